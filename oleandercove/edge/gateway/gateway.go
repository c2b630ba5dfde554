// Package gateway answers the requests of callers: it finds the route and the client
// account, chooses backend servers, and forwards responses byte for byte.
//
// Usage:
//
//	g := gateway.New(gateway.Options{Directory: d, Judge: j, Ledger: l, ...})
//	http.Serve(listener, g)
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/budgeter"
	"oleandercove.example/oleandercove/edge/deferrer"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/judge"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/oleandercove/edge/measurer"
	"oleandercove.example/oleandercove/edge/prioritizer"
	"oleandercove.example/oleandercove/edge/prober"
	"oleandercove.example/oleandercove/edge/rationer"
	"oleandercove.example/oleandercove/edge/reserver"
	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/oleandercove/edge/surveyor"
	"oleandercove.example/oleandercove/edge/throttler"
	"oleandercove.example/platform"
)

// Rerouter orders engines to continue a stream along another chain; requests of callers
// go through the Exchanger.
type Rerouter interface {
	Reroute(ctx context.Context, id unit.RequestID, c backend.Chain) (backend.OrderResult, backend.Address, error)
}

// Options configures a Gateway.
type Options struct {
	Directory *directory.Directory
	Exchanger *exchanger.Exchanger
	Judge     *judge.Judge
	Ledger    *ledger.Ledger
	Rerouter  Rerouter
	Prober    *prober.Prober
	Timer     timer.Service
	Log       *log.Logger
	Meter     *Meter
	Budgeter  *budgeter.Budgeter
	Rationer  *rationer.Rationer
	Screener  *screener.Screener
	Deferrer  *deferrer.Deferrer
	Throttler *throttler.Throttler
	// OnLeaving is called when a backend server first announces that it is leaving.
	OnLeaving func()
	// Bodies is the memory for the bodies of requests; nil means no bound.
	Bodies *reserver.Reserver
	// Surveyor keeps what callers offer, and Prioritizer decides how requests stand against each
	// other by that; nil means that all compete alike.
	Surveyor    *surveyor.Surveyor
	Prioritizer *prioritizer.Prioritizer
	// Crossings counts the bytes of requests and responses between data centres; nil counts
	// none.
	Crossings *measurer.Measurer
	// DataCentre is where this daemon runs.
	DataCentre unit.DataCentre
	Bounds     ViewBounds
}

// Gateway is an http.Handler for the requests of callers.
type Gateway struct {
	Options
	streams            streams
	shortages          shortages
	keepAlivesDisabled atomic.Bool
	// refusing is set once new requests might not finish before the daemon stops.
	refusing atomic.Bool
	// ending is done once running requests must be answered at once; end ends it.
	ending context.Context
	end    context.CancelFunc
	active atomic.Int64
	// servedModel is set once a model request has been accepted.
	servedModel atomic.Bool
}

// New returns a Gateway. It registers with the Judge, so that streams are notified of
// engines that are down.
func New(o Options) *Gateway {
	g := &Gateway{Options: o}
	g.ending, g.end = context.WithCancel(context.Background())
	o.Judge.OnDown(g.streams.interrupt)
	return g
}

// RecheckPoison ends the streams that have been quarantined before their engines began to answer.
func (g *Gateway) RecheckPoison() { g.streams.poisonFound() }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// HasServedModel reports whether a model request has been accepted since the start.
func (g *Gateway) HasServedModel() bool { return g.servedModel.Load() }

// DisableKeepAlives makes each connection of a caller close with its next response.
func (g *Gateway) DisableKeepAlives() { g.keepAlivesDisabled.Store(true) }

// RefuseNewRequests refuses all requests from now on. Callers can send them to another
// daemon at once; running requests continue.
func (g *Gateway) RefuseNewRequests() { g.refusing.Store(true) }

// EndRequests ends the running requests at the end of the grace time. Those without an answer are
// answered that they may have run; streams that have begun are cut.
func (g *Gateway) EndRequests() { g.end() }

// job is the state of one request of a caller.
type job struct {
	*Gateway
	w    http.ResponseWriter
	r    *http.Request
	call backend.Call
	body []byte
	// reserved is the memory that is reserved for the body, in bytes.
	reserved int64
	route    *routing.Route
	service  *routing.Service
	account  unit.AccountID
	// rank is how urgent the request is among those of its service.
	rank routing.Rank
	// chance is a random number in [0, 1) that decides whether the request counts as beyond the
	// share of its class or account.
	chance float64
	// claim is how the request stood against others in its last choice of engines.
	claim prioritizer.Claim
	// identity is the same for all attempts of one request, including retries by the caller.
	identity screener.Identity
	// authenticated is set for requests that carry a key. They are refused unless the
	// keys were confirmed recently.
	authenticated bool
	arrivedAt     time.Time
	// deadline is that of the caller until the route is known, and at most that of the
	// route then.
	deadline time.Time
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// loggedParts returns the first shared parts of the prompt in hexadecimal.
func (j *job) loggedParts() string {
	return fmt.Sprint(j.call.SharedParts[:min(len(j.call.SharedParts), maxLoggedParts)])
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	j := &job{Gateway: g, w: w, r: r, call: platform.DecodeCall(r.Header), arrivedAt: time.Now(), chance: rand.Float64(), claim: prioritizer.Full}
	j.deadline = j.arrivedAt.Add(j.timeout())
	defer j.releaseBody()
	if g.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	if err := j.prepare(); err != nil {
		j.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	if j.service != nil && j.service.Engine != nil {
		j.runModel(ctx)
		return
	}
	j.runCall(ctx)
}

// send sends the request to a backend server and handles the signals in its response.
func (j *job) send(ctx context.Context, a backend.Address, m backend.RequestMetadata) (*exchanger.Exchange, error) {
	m.Account, m.Rank, m.TimeLeft = j.account, j.rank, j.timeLeft()
	if j.isRemote(m.Server) {
		j.Crossings.Add(measurer.Requests, headerSize(j.r)+len(j.body))
	}
	sentAt := j.Timer.Now()
	e, err := j.Exchanger.Send(ctx, a, &exchanger.Request{
		ID: j.call.Request, Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host,
		Header: platform.EncodeRequestMetadata(j.r.Header, m), Body: j.body,
	})
	if err == nil {
		j.handleSignals(m.Server, platform.DecodeResponseMetadata(e.Response.StatusCode, e.Response.Header), sentAt)
	}
	return e, err
}

// isRemote reports whether a backend server is in another data centre than this daemon.
func (g *Gateway) isRemote(id unit.BackendID) bool {
	x, ok := g.Directory.Servers().Get(id)
	return ok && x.DataCentre != g.DataCentre
}
