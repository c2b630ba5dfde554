package observer

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/logger"
	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/prober"
)

// engines answers questions over new connections.
type engines struct{ err error }

func (e engines) Report(context.Context, backend.Address) (backend.Report, error) {
	return backend.Report{Running: 2}, e.err
}

// link answers over a kept connection until it is closed.
type link struct {
	ended  func()
	err    error
	closed atomic.Bool
}

func (l *link) Report(context.Context) (backend.Report, error) {
	return backend.Report{Running: 1}, l.err
}

func (l *link) Close() { l.closed.Store(true) }

type site struct {
	*Observer
	judge  *judge.Judge
	timer  *timer.Manual
	links  []*link
	urged  atomic.Int64
	server backend.Server
}

func newSite(t *testing.T, answer, linkErr error) *site {
	is := is.New(t)
	m, j, d := timer.NewManual(time.Unix(1000, 0)), judge.New(), directory.New(logger.Discard())
	entry := objects.Object{Name: "a", Revision: 6, Value: json.RawMessage(`{"service":"model","address":"10.0.0.1:1","state":"ready"}`)}
	d.Replace([]objects.Object{entry}, m.Now(), m.Now())
	s := &site{judge: j, timer: m}
	s.server, _ = d.Servers().Get("a")
	is.Equal(s.server.Address, backend.Address("10.0.0.1:1"))
	s.Observer = New(Options{
		Open: func(_ context.Context, _ backend.Address, ended func()) (Link, error) {
			l := &link{ended: ended, err: linkErr}
			s.links = append(s.links, l)
			return l, nil
		},
		Prober: prober.New(prober.Options{Engines: engines{answer}, Directory: d, Judge: j, Timer: m, Log: logger.Discard()}),
		Urge:   func() { s.urged.Add(1) }, Log: logger.Discard(),
	})
	return s
}

// TestEnded guards against an engine whose end is noticed only when its streams
// are silent, and against one that is left out because it closed a connection.
func TestEnded(t *testing.T) {
	tests := []struct {
		name   string
		answer error
		down   bool
	}{
		{"the process has ended", syscall.ECONNREFUSED, true},
		{"the engine closes an idle connection", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, tt.answer, nil)
			r, err := s.Report(t.Context(), s.server.ID, s.server.Address)
			is.NoErr(err)
			is.Equal(r.Running, 1)
			s.links[0].ended()
			is.Equal(s.judge.IsDown("a", s.timer.Now()), tt.down)
			is.Equal(s.urged.Load() == 1, tt.down)
		})
	}
}

// TestLinkFails guards against an engine without reports because its kept
// connection is silent.
func TestLinkFails(t *testing.T) {
	is := is.New(t)
	s := newSite(t, nil, errors.New("silent"))
	r, err := s.Report(t.Context(), s.server.ID, s.server.Address)
	is.NoErr(err)
	is.Equal(r.Running, 2)
	is.True(s.links[0].closed.Load())
}

// TestKeep guards against connections to engines that have left, and against a
// new one for each report.
func TestKeep(t *testing.T) {
	is := is.New(t)
	s := newSite(t, nil, nil)
	for range 3 {
		_, err := s.Report(t.Context(), s.server.ID, s.server.Address)
		is.NoErr(err)
	}
	is.Equal(len(s.links), 1)
	s.Keep([]backend.Server{s.server})
	is.True(!s.links[0].closed.Load())
	s.Keep(nil)
	is.True(s.links[0].closed.Load())
}
