package commander

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/leaser"
	"oleandercove.example/oleandercove/marker"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/watcher"
)

// fakeEnvironment implements the dependencies of a Commander.
type fakeEnvironment struct {
	timer     *timer.Manual
	version   string
	fence     unit.Fence
	leaseHeld bool
	// leaseChecks counts the checks of the lease, which ends after maxLeaseChecks
	// checks; 0 means never.
	leaseChecks, maxLeaseChecks int
	platformDown                bool
	sendError                   error
	backends                    []watcher.Backend
	sent                        []engine.Order
}

func (w *fakeEnvironment) ShardOf(string) leaser.Shard { return 0 }

func (w *fakeEnvironment) Check(leaser.Shard) (leaser.Grant, error) {
	w.leaseChecks++
	if !w.leaseHeld || (w.maxLeaseChecks > 0 && w.leaseChecks > w.maxLeaseChecks) {
		return leaser.Grant{}, leaser.ErrNotHeld
	}
	return leaser.Grant{Fence: w.fence}, nil
}

func (w *fakeEnvironment) Ready() bool { return true }

func (w *fakeEnvironment) List(k catalogue.Kind) []*catalogue.Entry {
	return []*catalogue.Entry{{Kind: k, Name: "m", Model: &catalogue.Model{Layers: 12, Version: w.version, Replicas: 1}}}
}

func (w *fakeEnvironment) Backends() []watcher.Backend { return w.backends }
func (w *fakeEnvironment) Suspect(unit.BackendID)      {}

func (w *fakeEnvironment) Send(_ context.Context, _ string, o engine.Order, check func() (leaser.Grant, error)) error {
	g, err := check()
	if err == nil && w.sendError == nil {
		o.Fence = g.Fence
		w.sent = append(w.sent, o)
	}
	return errors.Join(err, w.sendError)
}

// refresh installs the newest version, as a read from the platform does.
func (w *fakeEnvironment) refresh(context.Context) error {
	if w.platformDown {
		return platform.ErrUnavailable
	}
	w.version = "new"
	return nil
}

type noMarks struct{}

func (noMarks) List() []marker.Mark { return nil }

// Guards against orders that are sent without a lease or based on outdated state, and
// against orders that are repeated before the status can show them.
func TestReconcile(t *testing.T) {
	rows := []struct {
		name  string
		setUp func(w *fakeEnvironment)
		// rounds counts rounds with a new status each.
		rounds, sent int
		decision     string
	}{
		{"missing order is not sent", func(*fakeEnvironment) {}, 2, 1, recorder.DecisionOrder},
		{"order is repeated before the status shows it", func(*fakeEnvironment) {}, 6, 1, recorder.DecisionOrder},
		{"lost order is never repeated", func(*fakeEnvironment) {}, 16, 2, recorder.DecisionOrder},
		{"daemon without a lease sends orders", func(w *fakeEnvironment) { w.leaseHeld = false }, 4, 0, ""},
		{"order is sent after the lease ended", func(w *fakeEnvironment) { w.maxLeaseChecks = 2 }, 2, 0, recorder.DecisionNotHeld},
		{"statuses from before the lease are used", func(*fakeEnvironment) {}, 1, 0, ""},
		{"outdated copy of the catalogue is used in an outage", func(w *fakeEnvironment) { w.platformDown = true }, 4, 0, ""},
		{"refusal by the engine is not recorded", func(w *fakeEnvironment) { w.sendError = errStale }, 2, 0, recorder.DecisionStale},
		{"unknown outcome is treated as success", func(w *fakeEnvironment) { w.sendError = io.ErrUnexpectedEOF }, 2, 0, recorder.DecisionOrderUnknown},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			w := &fakeEnvironment{timer: timer.NewManual(time.Unix(100, 0)), version: "old", fence: 7, leaseHeld: true}
			r.setUp(w)
			j := recorder.New(recorder.Options{Capacity: 100, Timer: w.timer})
			c := New(Options{
				Leases: w, Catalogue: w, Backends: w, Marks: noMarks{}, Sender: w, Recorder: j,
				Timer: w.timer, Log: log.New(io.Discard), RefreshCatalogue: w.refresh, MaxLoads: 1,
			})
			seen := w.timer.Now().Add(-time.Second)
			for range r.rounds {
				w.backends = []watcher.Backend{{ID: "e", Role: platform.RoleEngine, Healthy: true, Seen: seen, Engine: &engine.Status{}}}
				_, _ = c.Reconcile(t.Context(), ShardKey)
				w.timer.Advance(interval)
				seen = w.timer.Now()
			}
			is.Equal(len(w.sent), r.sent)
			for _, o := range w.sent {
				is.Equal(o.Fence, unit.Fence(7))
				is.Equal(o.Version, "new")
			}
			events := j.Explain(recorder.BackendSubject("e"))
			is.Equal(len(events) > 0, r.decision != "")
			is.True(r.decision == "" || events[0].Decision == r.decision)
		})
	}
}
