package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

const (
	// bodyBytes is the size of a large body, and bodyCallers the number of callers that
	// send one each, again and again for bodyTime.
	bodyBytes   = 4 << 20
	bodyCallers = 96
	bodyTime    = 4 * time.Second
	// hostMemory is the memory that the settings of the daemon state. Large bodies have less
	// than a third of it.
	hostMemory = 256 << 20
)

// Guards against a daemon that runs out of memory, and loses the bookings that it has passed on,
// because all callers with large bodies have come to it.
func TestLargeBodies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSiteWith(t, 1, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 3, WorkTime: 300 * time.Millisecond, BodyBytes: bodyBytes})
	body := strings.Repeat("x", bodyBytes)
	var mu sync.Mutex
	statuses := map[int]int{}
	var failed []string
	var wg sync.WaitGroup
	began := time.Now()
	for i := range bodyCallers {
		wg.Go(func() {
			for n := 0; time.Since(began) < bodyTime; n++ {
				a := request{router: s.routers[0], id: fmt.Sprintf("b%d-%d", i, n), method: http.MethodPost, path: imitator.BookPath, key: imitator.Key, body: body}.do()
				mu.Lock()
				statuses[a.status]++
				if a.status == 0 {
					failed = append(failed, fmt.Sprintf("after %s, %d runs: %v", a.took, len(s.Runs.ByAttempt(fmt.Sprintf("b%d-%d", i, n))), a.err))
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	small := map[int]int{}
	for n := 0; time.Since(began) < bodyTime; n++ {
		small[s.status(0, fmt.Sprintf("small-%d", n), imitator.Key)]++
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	peak, err := s.routers[0].PeakMemory()
	is.NoErr(err)
	t.Logf("peak memory %d MiB, answers by status %v, those to small requests %v, failures %v", peak>>20, statuses, small, failed)
	is.True(peak < hostMemory)
	is.True(statuses[http.StatusOK] > hostMemory/3/bodyBytes) // more than fit at once: the memory is used again
	is.Equal(statuses[0], 0)                                  // no connection ends without an answer
	is.Equal(len(small), 1)                                   // all are served
	is.True(small[http.StatusOK] > 0)
}
