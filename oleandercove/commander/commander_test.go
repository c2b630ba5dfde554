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

// world is everything around a Commander.
type world struct {
	timer   *timer.Manual
	version string
	fence   unit.Fence
	held    bool
	// checks counts checks of the lease, which ends after the last of them;
	// 0 means never.
	checks, last int
	down         bool
	outcome      error
	backends     []watcher.Backend
	sent         []engine.Order
}

func (w *world) ShardOf(string) leaser.Shard { return 0 }

func (w *world) Check(leaser.Shard) (leaser.Grant, error) {
	w.checks++
	if !w.held || (w.last > 0 && w.checks > w.last) {
		return leaser.Grant{}, leaser.ErrNotHeld
	}
	return leaser.Grant{Fence: w.fence}, nil
}

func (w *world) Ready() bool { return true }

func (w *world) List(k catalogue.Kind) []*catalogue.Entry {
	return []*catalogue.Entry{{Kind: k, Name: "m", Model: &catalogue.Model{Layers: 12, Version: w.version, Replicas: 1}}}
}

func (w *world) Backends() []watcher.Backend { return w.backends }
func (w *world) Suspect(unit.BackendID)      {}

func (w *world) Send(_ context.Context, _ string, o engine.Order, check func() (leaser.Grant, error)) error {
	g, err := check()
	if err == nil && w.outcome == nil {
		o.Fence = g.Fence
		w.sent = append(w.sent, o)
	}
	return errors.Join(err, w.outcome)
}

// refresh brings the newest version, as a read of the platform does.
func (w *world) refresh(context.Context) error {
	if w.down {
		return platform.ErrUnavailable
	}
	w.version = "new"
	return nil
}

type noMarks struct{}

func (noMarks) List() []marker.Mark { return nil }

// TestReconcile guards against orders without a lease, from old knowledge, and
// against orders that are repeated before the status can show them.
func TestReconcile(t *testing.T) {
	rows := []struct {
		name string
		set  func(w *world)
		// rounds counts rounds with a new status each.
		rounds, sent int
		decision     string
	}{
		{"missing order is not given", func(*world) {}, 2, 1, recorder.DecisionOrder},
		{"order is repeated before the status shows it", func(*world) {}, 6, 1, recorder.DecisionOrder},
		{"lost order is never repeated", func(*world) {}, 16, 2, recorder.DecisionOrder},
		{"daemon without a lease gives orders", func(w *world) { w.held = false }, 4, 0, ""},
		{"order is sent after the lease ended", func(w *world) { w.last = 2 }, 2, 0, recorder.DecisionNotHeld},
		{"statuses from before the lease are used", func(*world) {}, 1, 0, ""},
		{"own copy of the catalogue is used in an outage", func(w *world) { w.down = true }, 4, 0, ""},
		{"refusal by the engine is not recorded", func(w *world) { w.outcome = errStale }, 2, 0, recorder.DecisionStale},
		{"unknown outcome is taken for done", func(w *world) { w.outcome = io.ErrUnexpectedEOF }, 2, 0, recorder.DecisionOrderUnknown},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			w := &world{timer: timer.NewManual(time.Unix(100, 0)), version: "old", fence: 7, held: true}
			r.set(w)
			j := recorder.New(recorder.Options{Capacity: 100, Timer: w.timer})
			c := New(Options{
				Leases: w, Catalogue: w, Backends: w, Marks: noMarks{}, Sender: w, Recorder: j,
				Timer: w.timer, Log: log.New(io.Discard), Refresh: w.refresh, MaxLoads: 1,
			})
			seen := w.timer.Now().Add(-time.Second)
			for range r.rounds {
				w.backends = []watcher.Backend{{ID: "e", Role: platform.RoleEngine, Healthy: true, Seen: seen, Engine: &engine.Status{}}}
				_, _ = c.Reconcile(t.Context(), Key)
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
