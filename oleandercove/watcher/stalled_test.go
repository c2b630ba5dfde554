package watcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
)

// Guards against new streams on a hung engine, and against an engine wrongly counted as
// hung, which happens when it is idle, slow, overloaded or restarted.
func TestStalled(t *testing.T) {
	const second = int64(1e6) // an iteration of one second, in microseconds
	working := func(iterations uint64) engine.Status { return engine.Status{Iterations: iterations, Pending: 3} }
	idle := engine.Status{Iterations: 5}
	slow := engine.Status{Iterations: 5, Pending: 3, TokenTimeMicros: second}
	hung := []engine.Status{working(5), working(5), working(5)}
	for _, row := range []struct {
		name   string
		gap    time.Duration
		states []engine.Status
		want   bool
	}{
		{"hung engine gets new streams", 500 * time.Millisecond, hung, true},
		{"one late status hides an engine", 500 * time.Millisecond, hung[:2], false},
		{"overloaded engine counts as hung", 5 * time.Second, []engine.Status{working(5), working(6), working(7)}, false},
		{"idle engine counts as hung", 5 * time.Second, []engine.Status{idle, idle, idle}, false},
		{"work after a pause counts from the pause", 5 * time.Second, []engine.Status{idle, idle, working(5)}, false},
		{"slow engine counts as hung", 5 * time.Second, []engine.Status{slow, slow, slow}, false},
		{"hung engine gets new streams once its own have left", 5 * time.Second, append(hung, idle), true},
		{"idle engine is hidden for ever", 20 * time.Second, append(hung, idle, idle), false},
		{"engine that runs again stays hidden", time.Second, append(hung, working(6)), false},
		{"restarted engine stays hidden", time.Second, append(hung, engine.Status{Start: "new", Iterations: 5, Pending: 3}), false},
	} {
		t.Run(row.name, func(t *testing.T) {
			var w engineProgress
			now := time.Unix(0, 0)
			for _, s := range row.states {
				now = now.Add(row.gap)
				w.update(&s, now)
			}
			is.New(t).Equal(w.stalled, row.want)
		})
	}
}

// Guards against a stalled engine that counts as dead, or a dead one as stalled, which
// happens when the reports of its pollers differ.
func TestStalledReports(t *testing.T) {
	good := report{backend: Backend{Healthy: true, Engine: &engine.Status{}}}
	hung := report{backend: Backend{Engine: &engine.Status{}}}
	dead := report{}
	for _, row := range []struct {
		name    string
		reports []report
		want    bool
	}{
		{"stalled engine counts as dead", []report{hung, hung}, true},
		{"dead engine counts as stalled", []report{dead, dead}, false},
		{"one late report hides an engine", []report{good, hung}, false},
		{"unreachable poller keeps a stalled engine", []report{dead, hung}, true},
		{"working engine counts as stalled", []report{good, good}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var b Backend
			for _, r := range row.reports {
				b.Healthy = b.Healthy || r.backend.Healthy
			}
			b.deriveStalled(row.reports)
			is.Equal(b.Stalled, row.want)
			is.Equal(b.Engine != nil, row.want)
		})
	}
}
