package marker_test

import (
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/marker"
	"oleandercove.example/oleandercove/watcher"
)

// store simulates a platform with one mark; lostAnswers is the number of replies to drop.
type store struct {
	platform.Client
	object      platform.Object
	lostAnswers int
	down        bool
}

func (s *store) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	if s.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	if s.object.Name != name {
		return platform.Object{}, platform.ErrNotFound
	}
	return s.object, nil
}

func (s *store) Put(_ context.Context, _ platform.Kind, name string, expected unit.Version, value json.RawMessage) (platform.Object, error) {
	if s.object.Version != expected {
		return platform.Object{}, platform.ErrConflict
	}
	s.object = platform.Object{Name: name, Version: expected + 1, Value: value}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	return s.object, nil
}

type staticBackends []watcher.Backend

func (f staticBackends) Backends() []watcher.Backend { return append([]watcher.Backend{}, f...) }
func (staticBackends) Suspect(unit.BackendID)        {}

// Guards against marks that are accepted but not stored, and against a drain of a
// restarted host that has no effect.
func TestSet(t *testing.T) {
	engine := marker.Mark{Target: "engine-1", Role: platform.RoleEngine, Draining: true}
	host := marker.Mark{Target: "entry-2", Role: platform.RoleEntry, Draining: true}
	self := marker.Mark{Target: "entry-1", Role: platform.RoleEntry, Draining: true}
	rows := []struct {
		name    string
		store   store
		marks   []marker.Mark
		version unit.Version
		stopped bool
		failed  bool
	}{
		{"mark is not written", store{}, []marker.Mark{engine}, 1, false, false},
		{"mark is written twice after a lost answer", store{lostAnswers: 1}, []marker.Mark{engine, engine}, 1, false, false},
		{"second drain of a host is dropped", store{}, []marker.Mark{host, host}, 2, false, false},
		{"mark is accepted in an outage", store{down: true}, []marker.Mark{engine}, 0, false, true},
		{"own shutdown needs the platform", store{down: true}, []marker.Mark{self}, 0, true, false},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			stopped := false
			m := marker.New(marker.Options{
				Platform: &r.store, Timer: timer.NewReal(), Log: log.New(io.Discard),
				Self: "entry-1", Stop: func() { stopped = true },
			})
			for _, k := range r.marks {
				err := m.Set(t.Context(), k)
				is.Equal(err != nil, r.failed)
				if v, ok := verdict.FromError(err); ok {
					is.Equal(v.Verdict, verdict.NotRun)
				}
			}
			is.Equal(r.store.object.Version, r.version)
			is.Equal(stopped, r.stopped)
			b := m.WithMarks(staticBackends{{ID: "engine-1", Healthy: true}}).Backends()
			is.Equal(b[0].Usable(), !m.Draining("engine-1"))
		})
	}
}
