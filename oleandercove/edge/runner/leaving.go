package runner

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"oleandercove.example/core/backend"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/platform"
)

// recordEngineLeaving records a leaving notice that an engine sent in a report or in the
// answer to an order, and sends it to all peers at once if it is new. A zero born
// stands for the instance in the registry.
func (r *Runner) recordEngineLeaving(a backend.Address, born backend.Incarnation) {
	servers := r.directory.Servers()
	id, ok := servers.IDByAddress(a)
	if !ok {
		return
	}
	if x, _ := servers.Get(id); born == 0 {
		born = x.Born
	}
	now := r.timer.Now()
	if r.directory.RecordLeaving(directory.LeavingNotice{Server: id, Born: born, At: now}, true, now) {
		r.announcer.FlushNow()
	}
}

// recheckLeaving queries a server that has sent a leaving notice, after a newer registry
// entry shows it as not draining. If the server accepts requests, its notice no longer
// counts.
func (r *Runner) recheckLeaving(engines *platform.Engines, x backend.Server) {
	t := r.directory.Table()
	if t == nil {
		return
	}
	s := t.Service(x.Service)
	if s == nil || (s.Engine == nil && s.HealthPath == "") {
		return
	}
	path := ""
	if s.Engine == nil {
		path = s.HealthPath
	}
	accepts, err := engines.AcceptsRequests(context.Background(), x.Address, path)
	if err != nil {
		r.log.Info("query of leaving backend server failed", "id", x.ID, "err", err)
		return
	}
	if accepts {
		r.directory.RecordServing(x, r.timer.Now())
	}
}

// reportExcludedServers updates a gauge of the servers that are not chosen, by reason,
// until stop is called.
func (r *Runner) reportExcludedServers() (stop func()) {
	gauges := make(map[judge.Reason]tally.Gauge, len(judge.Reasons))
	for _, reason := range judge.Reasons {
		gauges[reason] = r.metrics.scope.Tagged(map[string]string{"reason": string(reason)}).Gauge("servers_out")
	}
	return r.timer.Subscribe(reportInterval, func(time.Time) {
		counts := map[judge.Reason]int{}
		now := r.timer.Now()
		for _, x := range r.directory.Servers().All() {
			reason, _ := r.judge.ExclusionReason(x, r.ledger.OwnRunning(x.ID), now)
			counts[reason]++
		}
		for reason, g := range gauges {
			g.Update(float64(counts[reason]))
		}
	})
}
