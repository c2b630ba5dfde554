package imitator

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerAttempt   = "X-Oleandercove-Attempt-Id"
	headerExpect    = "X-Oleandercove-Expect-Instance"
	headerNotRun    = "X-Oleandercove-Not-Executed"
	headerStamp     = "X-Oleandercove-Response-Stamp"
	headerChain     = "X-Oleandercove-Hop-Count"
	headerTokens    = "X-Oleandercove-Token-Count"
	headerRefusedBy = "At-Server"
	headerLastEvent = "Last-Event-Id"
	stampPrefix     = "stamp-"
	stateReady      = "ready"
	stateDraining   = "draining"
	serverSlots     = 6
	// heartbeatInterval is the time between two heartbeats of a backend server; its entry
	// is removed when no heartbeat arrived for maxMissedHeartbeats intervals.
	heartbeatInterval   = time.Second
	maxMissedHeartbeats = 3
	anyPort             = "127.0.0.1:0"
)

// Run is one execution of a request on a backend server.
type Run struct {
	Server, Method, Target, Body string
	Header                       http.Header
	At                           time.Time
}

// Runs records the requests that the backend servers of a site ran, by attempt id, and
// the requests that reached them.
type Runs struct {
	mu       sync.Mutex
	byID     map[string][]Run
	arrivals []Arrival
	// unanswered counts the sends of each attempt that dead engines got.
	unanswered map[string]int
}

func (r *Runs) countUnanswered(id string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unanswered == nil {
		r.unanswered = map[string]int{}
	}
	r.unanswered[id] += n
}

// Sends returns how often an attempt ran or reached an engine that didn't answer.
func (r *Runs) Sends(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID[id]) + r.unanswered[id]
}

// All returns all runs in order of time.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Run
	for _, list := range r.byID {
		out = append(out, list...)
	}
	slices.SortFunc(out, func(a, b Run) int { return a.At.Compare(b.At) })
	return out
}

func (r *Runs) add(id string, x Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], x)
}

// ByAttempt returns the runs of an attempt.
func (r *Runs) ByAttempt(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.byID[id])
}

// Idle reports whether a server began no request within the last d.
func (r *Runs) Idle(server string, d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.byID {
		for _, x := range list {
			if x.Server == server && time.Since(x.At) < d {
				return false
			}
		}
	}
	return true
}

// Server is a simulated backend server of the plain service.
type Server struct {
	Signals
	ID      string
	site    *Site
	address string
	// Failing resets the connection of a request after the request ran; Full rejects
	// requests before they run.
	Failing, Full atomic.Bool
	// Endless replaces the response to each request that runs, if it is set.
	Endless atomic.Pointer[Endless]
	// Raw replaces the response to each request, if it is set.
	Raw atomic.Pointer[Raw]
	// Stale is written before the response to a request that runs on a connection on which
	// an earlier one was rejected, if it is set. The connection is closed then.
	Stale    atomic.Pointer[string]
	rejected sync.Map // by address of the connection's other end
	stale    atomic.Int64
	draining atomic.Bool
	// withdrawn is set while the server doesn't register again.
	withdrawn atomic.Bool
	running   atomic.Int64
	// Silent is set while the server responds to no request that it runs. It still answers
	// health checks.
	Silent atomic.Bool
	// restarts counts the restarts of the process under its id.
	restarts atomic.Int64
}

// Endless is a response in raw bytes that never ends: Beginning, then Piece repeatedly
// until the caller closes the connection.
type Endless struct {
	Beginning, Piece string
}

// StaleSent returns how often Stale was written.
func (p *Server) StaleSent() int64 { return p.stale.Load() }

// sendStale writes text and the response to a request, and closes the connection.
func (p *Server) sendStale(w http.ResponseWriter, text, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	p.stale.Add(1)
	answer := "answer of " + p.ID
	_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		text, headerAttempt, id, headerStamp, stampPrefix+p.ID, len(answer), answer)
	_ = conn.Close()
}

// send writes the response to the connection of a request until the caller closes it.
func (e *Endless) send(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, err = io.WriteString(conn, e.Beginning)
	piece := []byte(e.Piece)
	for err == nil {
		_, err = conn.Write(piece)
	}
	_ = conn.Close()
}

type serverSpec struct {
	Service   string      `json:"service"`
	Address   string      `json:"address"`
	Zone      string      `json:"zone"`
	Slots     int         `json:"slots"`
	State     string      `json:"state"`
	Sequence  int64       `json:"sequence"`
	Born      int64       `json:"born"`
	RouteType string      `json:"route_type,omitempty"`
	Layers    *layersSpec `json:"layers,omitempty"`
}

func (s *Site) startServer(id, address string) error {
	p := &Server{ID: id, site: s}
	var err error
	if p.address, err = s.serve(address, p); err != nil {
		return err
	}
	p.Register()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, p)
	return nil
}

// Register writes the entry of the server in the ready state.
func (p *Server) Register() {
	p.draining.Store(false)
	p.withdrawn.Store(false)
	p.register()
}

// Withdraw removes the entry of the server, which serves on and doesn't register again until
// Register is called.
func (p *Server) Withdraw() {
	p.withdrawn.Store(true)
	p.RemoveEntry()
}

// MarkDraining writes the entry of the server in the draining state, in which routers
// must send it no new requests. The server itself doesn't reject them.
func (p *Server) MarkDraining() {
	p.draining.Store(true)
	p.register()
}

// RemoveEntry removes the entry of the server from the store.
func (p *Server) RemoveEntry() { p.site.Store.Remove(KindServers, p.ID) }

// Connections returns the number of open connections to the server.
func (p *Server) Connections() int {
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	return p.site.connections[p.address]
}

func (p *Server) register() {
	state := stateReady
	if p.draining.Load() {
		state = stateDraining
	}
	p.site.Store.recordHeartbeat(p.ID)
	p.site.Store.Put(KindServers, p.ID, serverSpec{
		Service: plainService, Address: p.address, Zone: "x", Slots: serverSlots, State: state, Born: 1 + p.restarts.Load(),
	})
}

// recordRun records that the server runs a request.
func (p *Server) recordRun(r *http.Request, body string) {
	p.site.Runs.add(r.Header.Get(headerAttempt), Run{Server: p.ID, Method: r.Method, Target: r.RequestURI, Body: body, Header: r.Header.Clone(), At: time.Now()})
}

// ServeHTTP answers health checks and runs the requests that are meant for this server.
func (p *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.sendRaw(w, r) {
		return
	}
	id := r.Header.Get(headerAttempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(headerAttempt, id)
	p.setLeavingHeader(w)
	if r.URL.Path == healthPath {
		p.answerHealthCheck(w, p.ID)
		return
	}
	if r.Header.Get(headerExpect) != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.recordArrival(p.site.Runs, p.ID, w, r) {
		return
	}
	running := p.running.Add(1)
	defer p.running.Add(-1)
	if limit := p.site.options.Slots; p.Full.Load() || (limit > 0 && running > limit) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		p.rejected.Store(r.RemoteAddr, true)
		return
	}
	p.recordRun(r, string(body))
	if p.Failing.Load() {
		panic(http.ErrAbortHandler)
	}
	if e := p.Endless.Load(); e != nil {
		e.send(w)
		return
	}
	p.crashOnTrigger(id, body, r.RequestURI)
	if p.Silent.Load() {
		<-r.Context().Done()
		return
	}
	time.Sleep(p.site.options.WorkTime)
	if text := p.Stale.Load(); text != nil {
		if _, ok := p.rejected.LoadAndDelete(r.RemoteAddr); ok {
			p.sendStale(w, *text, id)
			return
		}
	}
	w.Header().Set(headerStamp, stampPrefix+p.ID)
	// A write error means that the caller has closed the connection.
	_, _ = io.WriteString(w, "answer of "+p.ID)
}
