package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

// staleConcurrency is the number of requests at the same time; they need as many connections.
const staleConcurrency = 12

// Guards against a caller that is told that its booking has not run although it has, which
// happens when a faulty server writes an earlier refusal once more on a kept connection.
func TestStaleRefusals(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n"
	const notRun = "X-Oleandercove-Not-Executed: 1"
	tests := []struct {
		name, stale string
	}{
		{"the refusal has no id", fmt.Sprintf(refusal, notRun+"\r\n")},
		{"the refusal has the id of its request", fmt.Sprintf(refusal, "X-Oleandercove-Attempt-Id: earlier\r\n"+notRun+"\r\n")},
		{"the refusal breaks off", "HTTP/1.1 503 Service Unavailable\r\n" + notRun},
	}
	// With a single server the bookings can't avoid it after its refusals.
	s := newSiteWith(t, 1, imitator.Options{DataCentres: []string{"x", "y"}, Engines: 4, Servers: 1})
	bad := s.Servers()[0]
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			bad.Stale.Store(&tt.stale)
			defer bad.Stale.Store(nil)
			before := bad.StaleSent()
			round := 0
			s.waitFor("an earlier refusal that is written once more", func() bool {
				round++
				bad.Full.Store(true)
				s.book(fmt.Sprintf("full-%d-%d", n, round))
				bad.Full.Store(false)
				for id, got := range s.book(fmt.Sprintf("stale-%d-%d", n, round)) {
					ran := len(s.Runs.ByAttempt(id))
					is.True(ran <= 1)
					is.True(got.status == http.StatusOK || got.status == http.StatusBadGateway || ran == 0)
				}
				return bad.StaleSent() > before
			})
		})
	}
}

// book sends bookings at the same time and returns their responses by id.
func (s *site) book(prefix string) map[string]response {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]response{}
	for i := range staleConcurrency {
		wg.Go(func() {
			id := fmt.Sprintf("%s-%d", prefix, i)
			got := request{router: s.routers[0], id: id, method: "POST", path: imitator.BookPath, key: imitator.Key, body: "x"}.do()
			mu.Lock()
			defer mu.Unlock()
			out[id] = got
		})
	}
	wg.Wait()
	return out
}
