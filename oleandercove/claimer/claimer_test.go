package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleanderfake/storer"
)

// store is a simulated platform with the claimers of several daemons.
type store struct {
	server  *httptest.Server
	daemons []*Claimer
	// cut makes the store apply the next write, lose its response, and then fail every
	// call until down is false again.
	cut, down atomic.Bool
}

func newStore(n int) *store {
	s := &store{}
	h := storer.New(storer.Options{}).Handler()
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case s.down.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.Method == http.MethodPut && s.cut.CompareAndSwap(true, false):
			s.down.Store(true)
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			h.ServeHTTP(w, r)
		}
	}))
	for range n {
		s.daemons = append(s.daemons, New(Options{
			Platform: s.client(), Timer: timer.NewReal(), Log: log.New(io.Discard), Buckets: 1,
		}))
	}
	return s
}

func (s *store) client() platform.Client {
	return platform.NewClient(platform.Options{Address: s.server.Listener.Addr().String()})
}

func (s *store) close() {
	s.server.CloseClientConnections()
}

func (s *store) faults(f storer.Faults) {
	b, _ := json.Marshal(f)
	if res, err := http.Post(s.server.URL+"/faults", "application/json", strings.NewReader(string(b))); err == nil {
		res.Body.Close()
	}
}

func (s *store) calls() (c storer.Calls) {
	if res, err := http.Get(s.server.URL + "/calls"); err == nil {
		defer res.Body.Close()
		_ = json.NewDecoder(res.Body).Decode(&c)
	}
	return c
}

func booking(key, body string) *request.Request {
	return &request.Request{
		Kind: catalogue.KindService, Name: "logbook", Account: "field-crew", IdempotencyKey: key,
		Entry: &catalogue.Entry{Service: &catalogue.Service{}},
		Call:  &request.Call{Method: http.MethodPost, Path: "/trips", Header: http.Header{}, Body: []byte(body)},
	}
}

// book sends a booking through a claimer to a service that responds with a body, or
// fails with err.
func book(c *Claimer, r *request.Request, answer string, err error) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return c.Handle(ctx, r, func(_ context.Context, r *request.Request) error {
		if err == nil {
			r.Call.Result = &request.Result{Status: http.StatusCreated, Header: http.Header{}, Body: []byte(answer)}
		}
		return err
	})
}

// Guards against a repeat that runs a second time, gets the response of another request,
// or is refused although the first attempt did not run.
func TestRepeat(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "lost")
	rows := []struct {
		name    string
		err     error // of the first attempt
		answer  string
		body    string // of the repeat
		verdict verdict.Verdict
		reason  verdict.Reason
		want    string
	}{
		{"a finished booking runs again", nil, "n-1", "a", "", "", "n-1"},
		{"a long response is replayed in part", nil, strings.Repeat("x", 2049), "a", "", "", `"Verdict":"Ran"`},
		{"another request gets the response", nil, "n-1", "b", verdict.NotRun, verdict.BadRequest, ""},
		{"a booking with an unknown outcome runs again", lost, "", "a", verdict.MayHaveRun, verdict.DuplicateRunning, ""},
		{"a booking that did not run is lost", verdict.New(verdict.NotRun, verdict.NoBackend, "x"), "", "a", "", "", "n-2"},
		{"a booking that ran without a response runs again", verdict.New(verdict.Ran, verdict.BackendFailed, "x"), "", "a", "", "", `"Verdict":"Ran"`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := newStore(2)
			defer s.close()
			is.Equal(book(s.daemons[0], booking("k", "a"), row.answer, row.err), row.err)
			s.daemons[0].Flush(t.Context())
			r := booking("k", row.body)
			v, failed := verdict.FromError(book(s.daemons[1], r, "n-2", nil))
			is.Equal(failed, row.verdict != "")
			if failed {
				is.Equal(v.Verdict, row.verdict)
				is.Equal(v.Reason, row.reason)
				return
			}
			is.True(strings.Contains(string(r.Call.Result.Body), row.want))
		})
	}
}

// Guards against bookings that hang or run without a claim while the platform is
// unavailable, and against bookings without a key that are refused meanwhile.
func TestOutage(t *testing.T) {
	is := is.New(t)
	s := newStore(1)
	defer s.close()
	s.faults(storer.Faults{Down: true})
	for i := range 5 {
		start := time.Now()
		v, failed := verdict.FromError(book(s.daemons[0], booking(fmt.Sprint(i), "a"), "n", nil))
		is.True(failed)
		is.Equal(v.Verdict, verdict.NotRun)
		is.Equal(v.Reason, verdict.PlatformUnavailable)
		is.True(v.RetryAfter > 0)
		is.True(time.Since(start) < 2*time.Second)
	}
	is.NoErr(book(s.daemons[0], booking("", "a"), "n", nil))
}

// Guards against a booking that stays Claimed, which happens when the response to its
// claim is lost at the start of an outage.
func TestLostClaim(t *testing.T) {
	is := is.New(t)
	s := newStore(2)
	defer s.close()
	s.cut.Store(true)
	v, failed := verdict.FromError(book(s.daemons[0], booking("a", "body"), "n", nil))
	is.True(failed)
	is.Equal(v.Verdict, verdict.NotRun)
	s.down.Store(false)
	s.daemons[0].Flush(t.Context())
	is.NoErr(book(s.daemons[1], booking("a", "body"), "n", nil))
}

// Guards against a bucket that exceeds the platform's limit on a value, or that drops
// claims within the retention.
func TestContent(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := content{}
	n := 0
	for ; ; n++ {
		o := &operation{row: Claim{Key: Key(fmt.Sprint(n)), Attempt: AttemptID(fmt.Sprint(n)), State: Claimed, At: now}}
		if !c.addClaim(o) {
			is.True(o.err != nil)
			break
		}
	}
	for i := range n {
		is.True(c.setOutcome(&operation{row: Claim{
			Key: Key(fmt.Sprint(i)), Attempt: AttemptID(fmt.Sprint(i)), State: Done, At: now,
			Response: &Response{Status: 201, Body: make([]byte, maxBodyBytes)},
		}}))
	}
	v, err := json.Marshal(c)
	is.NoErr(err)
	is.True(len(v) < 1<<20)
	c.trim(now)
	is.Equal(len(c.Claims), n)
	c.trim(now.Add(time.Second))
	is.Equal(len(c.Claims), 0)
}

// Guards against a booking that runs twice, a wrong verdict, and a booking that stays
// Claimed although it never ran, with two daemons and injected faults of the platform
// and the service.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore(2)
		defer s.close()
		m := &model{t: t, store: s, runs: map[string]int{}, unknown: map[string]bool{}}
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			s.faults(storer.Faults{
				LoseAnswers: rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "LoseAnswers"),
				LoseWrites:  rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "LoseWrites"),
				Down:        rapid.IntRange(0, 9).Draw(t, "Down") == 0,
			})
			m.round(rapid.IntRange(1, 6).Draw(t, "requests"))
		}
		s.faults(storer.Faults{})
		for _, key := range keys {
			m.recover(key)
		}
	})
}

var keys = []string{"a", "b", "c"}

type model struct {
	t     *rapid.T
	store *store

	mu      sync.Mutex
	runs    map[string]int
	unknown map[string]bool
}

// round sends n concurrent requests that share a few keys to both daemons.
func (m *model) round(n int) {
	var wg sync.WaitGroup
	for range n {
		key := rapid.SampledFrom(keys).Draw(m.t, "key")
		d := m.store.daemons[rapid.IntRange(0, 1).Draw(m.t, "daemon")]
		outcome := rapid.SampledFrom([]string{"answer", "answer", "not run", "lost before", "lost after"}).Draw(m.t, "outcome")
		wg.Go(func() { m.send(d, key, outcome) })
	}
	wg.Wait()
	for key, n := range m.runs {
		if n > 1 {
			m.t.Fatalf("booking %s ran %d times", key, n)
		}
	}
}

func (m *model) send(d *Claimer, key, outcome string) {
	ran := false
	r := booking(key, "body")
	err := d.Handle(context.Background(), r, func(_ context.Context, r *request.Request) error {
		m.mu.Lock()
		defer m.mu.Unlock()
		ran = outcome == "answer" || outcome == "lost after"
		m.runs[key] += map[bool]int{true: 1}[ran]
		switch outcome {
		case "answer":
			r.Call.Result = &request.Result{Status: http.StatusCreated, Header: http.Header{}, Body: []byte(key)}
			return nil
		case "not run":
			return verdict.New(verdict.NotRun, verdict.NoBackend, "refused")
		}
		m.unknown[key] = true
		return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "lost")
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	v, failed := verdict.FromError(err)
	switch {
	case !failed && (m.runs[key] != 1 || string(r.Call.Result.Body) != key):
		m.t.Errorf("booking %s succeeded after %d runs", key, m.runs[key])
	case failed && v.Verdict == verdict.NotRun && ran:
		m.t.Errorf("booking %s ran and was reported as not run", key)
	}
}

// recover repeats a booking without faults until it has run, unless its outcome is
// unknown.
func (m *model) recover(key string) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		m.send(m.store.daemons[0], key, "answer")
		if m.unknown[key] || m.runs[key] == 1 {
			return
		}
	}
	m.t.Fatalf("booking %s stays Claimed", key)
}

// BenchmarkBookings reports the platform calls for each booking at several arrival rates,
// with a platform that responds in 4 ms.
func BenchmarkBookings(b *testing.B) {
	rows := []struct{ daemons, buckets, rate int }{
		{1, 1, 10},
		{1, 1, 100},
		{1, 1, 1000},
		{1, 1024, 10},
		{1, 1024, 1000},
		{9, 1024, 20},
		{9, 1024, 800},
		{9, 16, 800},
	}
	for _, row := range rows {
		b.Run(fmt.Sprintf("daemons=%d/buckets=%d/rate=%d", row.daemons, row.buckets, row.rate), func(b *testing.B) {
			s := newStore(row.daemons)
			defer s.close()
			s.faults(storer.Faults{SlowMs: 4})
			for _, d := range s.daemons {
				d.options.Buckets = row.buckets
			}
			tick := time.NewTicker(time.Second / time.Duration(row.rate))
			defer tick.Stop()
			var wg sync.WaitGroup
			var refused atomic.Int64
			for i := range b.N {
				<-tick.C
				d := s.daemons[i%len(s.daemons)]
				wg.Go(func() {
					if book(d, booking(fmt.Sprint(i), "a"), "n", nil) != nil {
						refused.Add(1)
					}
				})
			}
			wg.Wait()
			for _, d := range s.daemons {
				d.Flush(b.Context())
			}
			c := s.calls()
			b.ReportMetric(float64(c.Writes)/float64(b.N), "writes/booking")
			b.ReportMetric(float64(c.Reads)/float64(b.N), "reads/booking")
			b.ReportMetric(float64(refused.Load())/float64(b.N), "refused/booking")
		})
	}
}
