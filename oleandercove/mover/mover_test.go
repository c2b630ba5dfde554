package mover

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
)

func at(id unit.BackendID, from, to unit.Layer, ms int) Candidate {
	return Candidate{Stage: engine.Stage{Backend: id, From: from, To: to}, TokenTime: time.Duration(ms) * time.Millisecond}
}

// Guards against streams that stay on a slow stage, and against moves that don't pay or change
// the layers.
func TestDecide(t *testing.T) {
	chain := []Candidate{at("a", 0, 4, 2), at("slow", 4, 8, 200)}
	spare := []Candidate{at("b", 0, 4, 1), at("c", 4, 8, 3), at("d", 4, 8, 2), at("x", 4, 9, 1)}
	late := Snapshot{Chain: chain, Alternatives: spare, Interval: 202 * time.Millisecond, Remaining: 50, Positions: 40}
	for _, row := range []struct {
		name   string
		change func(s *Snapshot)
		want   unit.BackendID
	}{
		{"late stream stays on a slow stage", func(*Snapshot) {}, "d"},
		{"stream in time moves", func(s *Snapshot) { s.Interval = LateInterval - 1 }, ""},
		{"stream moves for its last token", func(s *Snapshot) { s.Remaining = 1 }, ""},
		{"cost of a long replay is ignored", func(s *Snapshot) { s.Positions = 1e6 }, ""},
		{"stream moves to a stage that is hardly faster", func(s *Snapshot) { s.Alternatives = []Candidate{at("e", 4, 8, 150)} }, ""},
		{"stream moves to other layers", func(s *Snapshot) { s.Alternatives = []Candidate{at("x", 4, 9, 1), at("y", 3, 8, 1)} }, ""},
		{"late stream without an alternative moves", func(s *Snapshot) { s.Alternatives = nil }, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := late
			row.change(&s)
			m, ok := Decide(s)
			is.Equal(ok, row.want != "")
			if ok {
				is.Equal(m.To.Backend, row.want)
				is.Equal(m.From.Backend, unit.BackendID("slow"))
			}
		})
	}
}

// Guards against an overloaded engine, which happens when many streams move to it before its
// load report shows them.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(0, 0))
	l := NewLimiter(clock)
	is.True(l.Allow("a", 2))
	is.True(l.Allow("a", 2))
	is.True(!l.Allow("a", 2))
	is.True(l.Allow("b", 2))
	clock.Advance(loadReportLag)
	is.True(l.Allow("a", 2))
	is.True(l.Allow("c", 0)) // an engine without batches still takes one
	is.True(!l.Allow("c", 0))
}

// Guards against streams that are cut off when a leaving engine stops, and against needless
// moves of streams that end before that.
func TestDecideLeaving(t *testing.T) {
	leaving := at("a", 0, 4, 2)
	for _, row := range []struct {
		name      string
		remaining int
		left      time.Duration
		spare     []Candidate
		want      bool
	}{
		{"long stream is cut at the limit", 1000, 20 * time.Second, []Candidate{at("b", 0, 4, 9)}, true},
		{"stream that ends in time moves", 100, 20 * time.Second, []Candidate{at("b", 0, 4, 9)}, false},
		{"short stream is cut just before the limit", 1, time.Second, []Candidate{at("b", 0, 4, 9)}, true},
		{"stream moves to other layers", 1000, 20 * time.Second, []Candidate{at("b", 0, 8, 9)}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := Snapshot{Interval: 20 * time.Millisecond, Remaining: row.remaining, Alternatives: row.spare}
			_, ok := DecideLeaving(s, leaving.Stage, row.left)
			is.New(t).Equal(ok, row.want)
		})
	}
}
