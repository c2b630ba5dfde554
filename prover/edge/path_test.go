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

// Guards against requests that a daemon changes, sends twice, refuses wrongly, or forwards
// although it must refuse them.
func TestRequestPath(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	r := s.routers[0]

	booked := request{router: r, id: "b1", method: "POST", path: imitator.BookPath + "a//b/%2e?x=1&y", key: imitator.Key, body: "drum"}.do()
	is.NoErr(booked.err)
	is.Equal(booked.status, http.StatusOK)
	is.True(strings.HasPrefix(booked.body, "answer of plain-"))
	got := s.Runs.ByAttempt("b1")
	is.Equal(len(got), 1)
	is.Equal(got[0].Target, imitator.BookPath+"a//b/%2e?x=1&y")
	is.Equal(got[0].Body, "drum")
	is.Equal(got[0].Header.Get("X-Oleandercove-Tenant"), imitator.Account)
	is.Equal(got[0].Header.Get("Authorization"), "")
	is.Equal(got[0].Header.Get("X-Oleandercove-Expect-Instance"), got[0].Server)

	streamed := request{router: s.routers[1], id: "s1", method: "POST", path: imitator.ModelPath + "daily", key: imitator.Key, output: 20}.do()
	is.NoErr(streamed.checkStream("s1", 20))
	is.Equal(len(s.Runs.ByAttempt("s1")), 1)

	tests := []struct {
		name    string
		request request
		want    int
	}{
		{"unknown route reaches a server", request{id: "e1", method: "GET", path: "/nowhere/", key: imitator.Key}, http.StatusNotFound},
		{"unknown key reaches a server", request{id: "e2", method: "GET", path: imitator.StatusPath, key: "wrong"}, http.StatusUnauthorized},
		{"missing key reaches a server", request{id: "e3", method: "GET", path: imitator.StatusPath}, http.StatusUnauthorized},
		{"large headers reach a server", request{id: "e5", method: "GET", path: imitator.StatusPath + strings.Repeat("x", 17000), key: imitator.Key}, http.StatusRequestHeaderFieldsTooLarge},
		{"large body reaches a server", request{id: "e4", method: "POST", path: imitator.BookPath, key: imitator.Key, body: strings.Repeat("x", 70000)}, http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.request.router = r
			a := tt.request.do()
			is.NoErr(a.err)
			is.Equal(a.status, tt.want)
			is.Equal(len(s.Runs.ByAttempt(tt.request.id)), 0)
		})
	}
	is.Equal(len(s.Violations()), 0)
}

// Guards against a booking that runs twice, a refusal of a request that ran, and a read that
// is not retried on another server, which happen when servers fail or are full.
func TestServerFails(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	r := s.routers[0]
	for _, p := range s.Servers() {
		p.Failing.Store(true)
	}
	a := request{router: r, id: "b1", method: "POST", path: imitator.BookPath, key: imitator.Key, body: "x"}.do()
	is.Equal(a.status, http.StatusBadGateway)
	is.Equal(len(s.Runs.ByAttempt("b1")), 1)

	s.Servers()[1].Failing.Store(false)
	for i := range 6 {
		id := fmt.Sprintf("r%d", i)
		a = request{router: r, id: id, method: "GET", path: imitator.StatusPath, key: imitator.Key}.do()
		is.Equal(a.status, http.StatusOK)
	}

	for _, p := range s.Servers() {
		p.Failing.Store(false)
		p.Full.Store(true)
	}
	a = request{router: r, id: "b2", method: "POST", path: imitator.BookPath, key: imitator.Key, body: "x"}.do()
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
	is.True(a.took < 2*time.Second)
	is.Equal(len(s.Runs.ByAttempt("b2")), 0)
}

// streamAll runs n streams concurrently through all daemons and returns their responses.
func (s *site) streamAll(n, output int, prefix string) []response {
	out := make([]response, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = request{
				router: s.routers[i%len(s.routers)], id: fmt.Sprintf("%s%d", prefix, i), method: "POST", path: imitator.ModelPath, key: imitator.Key, output: output,
			}.do()
		}()
	}
	wg.Wait()
	return out
}

// Guards against streams that break, lose or repeat events, or pause for longer than callers
// wait, which happens when an engine of their chain fails.
func TestEngineLost(t *testing.T) {
	// maxGap is the pause after which callers disconnect.
	const maxGap = 2 * time.Second
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprintf("first engine %v", first), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 2)
			timer := time.AfterFunc(300*time.Millisecond, func() { s.pickEngine(first).SetDead(true) })
			defer timer.Stop()
			for i, a := range s.streamAll(12, 60, "s") {
				is.NoErr(a.checkStream(fmt.Sprintf("s%d", i), 60))
				is.True(a.gap < maxGap)
			}
			is.Equal(len(s.Violations()), 0)
		})
	}
}

// pickEngine returns an engine that holds the first layer if first is true, and one that
// doesn't if it is false.
func (s *site) pickEngine(first bool) *imitator.Engine {
	for _, e := range s.Engines() {
		if e.Holds(0, 1) == first {
			return e
		}
	}
	return s.Engines()[0]
}

// Guards against a graceful shutdown that cuts a running stream, and against a daemon that
// hangs or exits with an error after it.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	r := s.routers[0]
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	done := make(chan response, 1)
	go func() {
		done <- request{router: r, id: "s1", method: "POST", path: imitator.ModelPath, key: imitator.Key, output: 150}.do()
	}()
	s.waitFor("the stream to run", func() bool { return len(s.Runs.ByAttempt("s1")) == 1 })
	is.NoErr(r.Terminate())
	is.NoErr((<-done).checkStream("s1", 150))
	code, err := r.WaitExit(10 * time.Second)
	is.NoErr(err)
	is.Equal(code, 0)
}

// Guards against a revoked key that is accepted by a daemon whose store is unavailable, and
// against valid keys that are refused there although a peer has the newest configuration.
func TestRevokedKey(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3)
	s.waitFor("a read with the second key", func() bool { return s.status(0, "w", imitator.OtherKey) == http.StatusOK })
	s.endpoints[0].Inject(imitator.Faults{Unavailable: true})
	s.Configure(imitator.Key)
	revoked := time.Now()
	for time.Since(revoked) < 7*time.Second {
		before := time.Since(revoked)
		id := fmt.Sprintf("k%d", before.Milliseconds())
		if got := s.status(0, id, imitator.OtherKey); got == http.StatusOK {
			is.True(before < 5*time.Second)
		}
		is.Equal(s.status(0, "v"+id, imitator.Key), http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(s.status(0, "last", imitator.OtherKey), http.StatusUnauthorized)
}

// status sends a read through a daemon and returns the HTTP status.
func (s *site) status(router int, id, key string) int {
	return request{router: s.routers[router], id: id, method: "GET", path: imitator.StatusPath, key: key}.do().status
}

// Guards against requests that fail while the store is unavailable, and against servers that
// are dropped because their entries expired in that time.
func TestStoreUnavailable(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	s.endpoints[0].Inject(imitator.Faults{Unavailable: true})
	// Entries expire after several missed heartbeats, so only after some seconds.
	for i := range 25 {
		is.Equal(s.status(0, fmt.Sprintf("a%d", i), imitator.Key), http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	for _, p := range s.Servers() {
		p.RemoveEntry()
	}
	s.Store.DropHistory()
	s.endpoints[0].Inject(imitator.Faults{})
	time.AfterFunc(time.Second, func() {
		for _, p := range s.Servers() {
			p.Register()
		}
	})
	for i := range 30 {
		is.Equal(s.status(0, fmt.Sprintf("b%d", i), imitator.Key), http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a daemon that never places layers, which happens when the store applies its
// writes but the responses are lost.
func TestLostWrites(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	s.endpoints[0].Inject(imitator.Faults{LoseAnswers: true})
	lost := s.pickEngine(true)
	lost.SetDead(true)
	lost.RemoveEntry()
	s.endpoints[0].Inject(imitator.Faults{})
	s.waitFor("all layers to be held again", s.Covered)
	is.NoErr(s.streamAll(1, 10, "s")[0].checkStream("s0", 10))
}

// Guards against requests to a server whose entry states that it is draining.
func TestServerDrains(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	s.Servers()[0].MarkDraining()
	s.waitFor("the server to get no requests", func() bool {
		s.status(0, "p", imitator.Key)
		return s.Runs.Idle(s.Servers()[0].ID, 500*time.Millisecond)
	})
	for i := range 20 {
		id := fmt.Sprintf("d%d", i)
		is.Equal(s.status(0, id, imitator.Key), http.StatusOK)
		is.Equal(s.Runs.ByAttempt(id)[0].Server, s.Servers()[1].ID)
	}
}
