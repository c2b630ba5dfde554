package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/api"
	"oleandercove.example/oleanderfake/imitator"
)

// demandLimit is the time within which a daemon knows the demand at others, also after a restart.
const demandLimit = 5 * time.Second

// demand returns the demand of the classes as a daemon knows it, the most urgent first.
func (s *site) demand(router int) []api.ClassDemand {
	resp, err := http.Get("http://" + s.routers[router].PeerAddress + "/dump")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var state api.RoutingState
	if json.NewDecoder(resp.Body).Decode(&state) != nil || len(state.Demand) == 0 {
		return nil
	}
	return state.Demand[0].Classes
}

// sendStreams sends a few streams on a path through a daemon and waits for their ends. It reports
// whether all are whole.
func (s *site) sendStreams(router int, path, prefix string) bool {
	whole := true
	for i := range 4 {
		id := fmt.Sprintf("%s-%d-%d", prefix, i, time.Now().UnixNano())
		a := request{router: s.routers[router], id: id, method: http.MethodPost, path: path, key: imitator.Key, output: 5}.do()
		if err := a.checkStream(id, 5); err != nil {
			s.t.Logf("stream %s: %v: %.300s", id, err, a.body)
			whole = false
		}
	}
	return whole
}

// Guards against engines that don't get the urgency of a request, and against a daemon that doesn't
// know what callers offer elsewhere, also after its own restart and while the store is unavailable.
func TestUrgencyAcrossDaemons(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3)
	// The streams go through daemons 0 and 1, and daemon 2 hears of them.
	known := func() bool {
		is.True(s.sendStreams(0, imitator.ModelPath, "usual") && s.sendStreams(1, imitator.UrgentPath, "urgent")) // a stream isn't whole
		classes := s.demand(2)
		return len(classes) == 2 && classes[0].Urgency.Route == 0 && classes[1].Urgency.Route == 1 &&
			classes[0].Admitted > 0 && classes[1].Admitted > 0
	}
	within := func(what string) {
		began := time.Now()
		s.waitFor(what, known)
		is.True(time.Since(began) < demandLimit)
	}
	within("the demand of both classes")
	s.routers[2].Kill()
	is.NoErr(s.routers[2].Restart())
	s.waitReady(s.routers[2])
	within("the demand after a restart")
	for _, e := range s.endpoints {
		e.Inject(imitator.Faults{Unavailable: true})
	}
	within("the demand while the store is unavailable")
	ranks := map[string]string{}
	for _, a := range s.Runs.Arrivals() {
		if len(a.Attempt) > 5 {
			ranks[a.Attempt[:5]] = a.Rank
		}
	}
	is.Equal(ranks["urgen"], "0")
	is.Equal(ranks["usual"], "1")
}
