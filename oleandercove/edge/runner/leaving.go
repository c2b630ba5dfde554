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

// engineLeaves takes over that an engine said in a report, or in the answer to an
// order, that it leaves.
func (r *Runner) engineLeaves(a backend.Address, born backend.Incarnation) {
	servers := r.directory.Servers()
	id, ok := servers.At(a)
	if !ok {
		return
	}
	if x, _ := servers.Get(id); born == 0 {
		born = x.Born
	}
	now := r.timer.Now()
	if r.directory.NoteLeaving(directory.LeavingNotice{Server: id, Born: born, At: now}, true, now) {
		r.announcer.Urge()
	}
}

// askAgain asks a server that had said that it leaves, and whose entry was written anew
// as one that takes work, whether it does.
func (r *Runner) askAgain(engines *platform.Engines, x backend.Server) {
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
	takes, err := engines.TakesWork(context.Background(), x.Address, path)
	if err != nil {
		r.log.Info("backend server that leaves not asked", "id", x.ID, "err", err)
		return
	}
	if takes {
		r.directory.NoteServing(x, r.timer.Now())
	}
}

// reportOut keeps a gauge of the servers that are not chosen, by reason.
func (r *Runner) reportOut() (stop func()) {
	gauges := make(map[judge.Reason]tally.Gauge, len(judge.Reasons))
	for _, reason := range judge.Reasons {
		gauges[reason] = r.metrics.scope.Tagged(map[string]string{"reason": string(reason)}).Gauge("servers_out")
	}
	return r.timer.Subscribe(reportInterval, func(time.Time) {
		counts := map[judge.Reason]int{}
		now := r.timer.Now()
		for _, x := range r.directory.Servers().All() {
			reason, _ := r.judge.Out(x, r.ledger.OwnRunning(x.ID), now)
			counts[reason]++
		}
		for reason, g := range gauges {
			g.Update(float64(counts[reason]))
		}
	})
}
