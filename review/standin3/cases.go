package main

import (
	"fmt"
	"time"
)

const (
	hostName   = "nevel.example"
	statusPath = "/status/"
	orderPath  = "/orders/"
	service    = "logbook"
	next       = "logbook-next"
	accessKey  = "key-of-the-field-crews"
	revokedKey = "second-key-of-the-field-crews"
	// revokeTime is revoke_ms of the bounds.
	revokeTime = 5 * time.Second
	// callDeadline is the deadline of requests, as on the sheets of the plain services.
	callDeadline = 1500 * time.Millisecond
)

type (
	routeSpec struct {
		Name      string `json:"name"`
		Hostname  string `json:"hostname"`
		Prefix    string `json:"path_prefix"`
		Kind      string `json:"route_type"`
		TimeoutMS int    `json:"timeout_ms"`
		TargetMS  int    `json:"target_latency_ms"`
		Priority  int    `json:"priority"`
		Service   string `json:"service"`
		Attempts  int    `json:"max_attempts"`
		Anonymous bool   `json:"anonymous"`
	}
	serviceSpec struct {
		Name        string `json:"name"`
		HealthPath  string `json:"health_path"`
		Connections int    `json:"max_connections"`
	}
	tenantSpec struct {
		Name string   `json:"name"`
		Keys []string `json:"api_keys"`
	}
	configSpec struct {
		Version  int           `json:"version"`
		Routes   []routeSpec   `json:"routes"`
		Services []serviceSpec `json:"services"`
		Limits   struct {
			Header   int `json:"max_header_bytes"`
			Body     int `json:"max_body_bytes"`
			HeaderMS int `json:"header_timeout_ms"`
			IdleMS   int `json:"idle_timeout_ms"`
		} `json:"limits"`
		Tenants []tenantSpec `json:"tenants"`
	}
)

// operator writes the configuration. It moves the route for status requests, and adds routes.
type operator struct {
	e       *env
	current configSpec
	// revision is that of the last version.
	revision uint64
}

func newOperator(e *env) *operator {
	o := &operator{e: e}
	c := &o.current
	c.Version = 7
	c.Routes = []routeSpec{
		{Name: "r-status", Hostname: hostName, Prefix: statusPath, Kind: "safe", TimeoutMS: 1500, TargetMS: 300, Priority: 2, Service: service, Attempts: 2, Anonymous: true},
		{Name: "r-orders", Hostname: hostName, Prefix: orderPath, Kind: "unsafe", TimeoutMS: 1500, TargetMS: 300, Priority: 2, Service: service, Attempts: 2},
	}
	c.Services = []serviceSpec{{service, healthPath, 110}, {next, healthPath, 110}}
	c.Limits.Header, c.Limits.Body, c.Limits.HeaderMS, c.Limits.IdleMS = 16384, 4194304, 3000, 15000
	c.Tenants = []tenantSpec{{"field-crews", []string{accessKey, revokedKey}}}
	return o
}

// write writes the current version, and returns when the store had acknowledged it.
func (o *operator) write(what string) time.Time {
	o.revision = o.e.store.Put(kindConfig, configName, o.current)
	o.e.rec.log("operator: %s, version %d, acknowledged with revision %d", what, o.current.Version, o.revision)
	return time.Now()
}

// addRoute writes the next version, with one more route.
func (o *operator) addRoute(n int) {
	o.current.Version += 1 + n%3
	o.current.Routes = append(o.current.Routes, routeSpec{
		Name: fmt.Sprintf("r-extra-%d", n), Hostname: hostName, Prefix: fmt.Sprintf("/extra-%d/", n), Kind: "safe",
		TimeoutMS: 1500, TargetMS: 300, Priority: 2, Service: service, Attempts: 2, Anonymous: true,
	})
	o.write("a route is added")
}

// moveStatus writes the next version, in which the route for status requests goes to another
// service, and returns when the store had acknowledged it.
func (o *operator) moveStatus(to string) time.Time {
	o.current.Version += 2
	o.current.Routes[0].Service = to
	return o.write("the route " + statusPath + " goes to " + to)
}

// revoke writes the next version, without revokedKey.
func (o *operator) revoke() time.Time {
	o.current.Version += 2
	o.current.Tenants = []tenantSpec{{"field-crews", []string{accessKey}}}
	return o.write("a key is taken away")
}

const (
	// stormChanges and stormGap are the changes of a config_storm of 4 s.
	stormChanges = 12
	stormGap     = 330 * time.Millisecond
	// awayTime is how long the store is away in the drill.
	awayTime = time.Second
)

var plainCalls = []call{
	{kind: "status", method: "GET", path: statusPath + "net-4", deadline: callDeadline},
	{kind: "order", method: "POST", path: orderPath + "net-4", key: accessKey, body: `{"net":4}`, deadline: callDeadline},
}

// startSite starts workers and daemons with a first configuration.
func startSite(e *env, work time.Duration, services ...string) (*operator, []*worker, error) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var workers []*worker
	for _, s := range services {
		for i, z := range zones {
			w, err := startWorker(e, fmt.Sprintf("i-%s-%d", s, i+1), s, z, work)
			if err != nil {
				return nil, nil, err
			}
			workers = append(workers, w)
		}
	}
	o := newOperator(e)
	o.write("first configuration")
	if err := startDaemons(e, zones); err != nil {
		return nil, nil, err
	}
	time.Sleep(startTime)
	return o, workers, nil
}

// drill takes the store away for a moment and brings it back from a copy. Then the operator and
// the workers write again what they had written.
func drill(e *env, c state, o *operator, workers []*worker) {
	e.store.Drill(awayTime, c)
	time.Sleep(300 * time.Millisecond)
	o.write("written again")
	for _, w := range workers {
		w.RegisterAgain()
	}
}

// configAfterDrill: the store comes back from a copy that lacks the last changes of the
// configuration. The operator writes the newest one again, and a later one some seconds after.
func configAfterDrill(e *env) (bool, error) {
	o, workers, err := startSite(e, 15*time.Millisecond, service, next)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	wg := load(e, 2, 100*time.Millisecond, plainCalls, stop)
	time.Sleep(2 * time.Second)
	c := e.store.Copy()
	for n := range stormChanges {
		time.Sleep(stormGap)
		o.addRoute(n)
	}
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		drill(e, c, o, workers)
	}
	time.Sleep(contactTime + 1500*time.Millisecond)
	acknowledged := o.moveStatus(next)
	time.Sleep(configApplyTime + 8*time.Second)
	close(stop)
	wg.Wait()
	return e.checkConfig(acknowledged), nil
}

// checkConfig reports whether status requests that were sent later than configApplyTime after the
// acknowledgement ran at the old service.
func (e *env) checkConfig(acknowledged time.Time) bool {
	ran := e.runs.byAttempt()
	late, old, orders, refused := 0, 0, 0, 0
	for _, s := range e.requests.list() {
		if s.at.Sub(acknowledged) <= configApplyTime {
			continue
		}
		if s.kind == "order" {
			orders++
			if s.status != 200 {
				refused++
			}
			continue
		}
		late++
		for _, r := range ran[s.attempt] {
			if r.service == service {
				old++
			}
		}
	}
	e.rec.log("status requests sent later than %s after the acknowledgement: %d, run by the old service: %d", configApplyTime, late, old)
	e.rec.log("orders with a key in that time: %d, not served: %d", orders, refused)
	return old > 0
}

// revokedAfterDrill: the store comes back from a copy that lacks the last changes of the
// configuration. Later the operator takes a key away, and the store gives that version a revision
// that an earlier version had before the drill.
func revokedAfterDrill(e *env) (bool, error) {
	o, workers, err := startSite(e, 15*time.Millisecond, service)
	if err != nil {
		return false, err
	}
	keyed := []call{plainCalls[1], plainCalls[1]}
	keyed[1].kind, keyed[1].key = "order-revoked", revokedKey
	stop := make(chan struct{})
	wg := load(e, 2, 100*time.Millisecond, keyed, stop)
	time.Sleep(2 * time.Second)
	c := e.store.Copy()
	for n := range stormChanges {
		time.Sleep(stormGap)
		o.addRoute(n)
	}
	last := o.revision
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		drill(e, c, o, workers)
	}
	time.Sleep(contactTime + 1500*time.Millisecond)
	// Other writes of the system raise the revision by one or two a second.
	for end := time.Now().Add(40 * time.Second); e.trouble && time.Now().Before(end) && e.store.Revision() < last-1; {
		time.Sleep(5 * time.Millisecond)
	}
	acknowledged := o.revoke()
	time.Sleep(revokeTime + 6*time.Second)
	close(stop)
	wg.Wait()
	ran := e.runs.byAttempt()
	late, n := 0, 0
	for _, s := range e.requests.list() {
		if s.kind == keyed[1].kind && s.at.Sub(acknowledged) > revokeTime {
			late++
			n += len(ran[s.attempt])
		}
	}
	e.rec.log("requests with the key that was taken away, sent later than %s after the acknowledgement: %d, run: %d", revokeTime, late, n)
	return n > 0, nil
}

// drainAfterDrill: the store comes back from a copy that lacks the last changes. A worker that
// had registered in that time registers again, and drains some seconds after.
func drainAfterDrill(e *env) (bool, error) {
	o, workers, err := startSite(e, 15*time.Millisecond, service)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	wg := load(e, 2, 100*time.Millisecond, plainCalls[:1], stop)
	time.Sleep(2 * time.Second)
	c := e.store.Copy()
	for n := range stormChanges {
		time.Sleep(stormGap)
		o.addRoute(n)
	}
	w, err := startWorker(e, "i-"+service+"-4", service, "zone-a", 15*time.Millisecond)
	if err != nil {
		return false, err
	}
	workers = append(workers, w)
	e.rec.log("worker %s registered", w.id)
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		drill(e, c, o, workers)
	}
	time.Sleep(contactTime + 1500*time.Millisecond)
	revision := w.Register("draining")
	acknowledged := time.Now()
	e.rec.log("worker %s reports draining, acknowledged with revision %d", w.id, revision)
	time.Sleep(drainTime + 6*time.Second)
	close(stop)
	wg.Wait()
	n := 0
	ran := e.runs.byAttempt()
	for _, s := range e.requests.list() {
		if s.at.Sub(acknowledged) <= drainTime {
			continue
		}
		for _, r := range ran[s.attempt] {
			if r.worker == w.id {
				n++
			}
		}
	}
	e.rec.log("requests sent later than %s after the acknowledgement that reached the draining worker: %d", drainTime, n)
	return n > 0, nil
}

const (
	// usualClients are the clients of each daemon, and callPause is their pause between requests.
	usualClients = 8
	callPause    = 10 * time.Millisecond
	// slowWorkers of five workers take slowFactor times as long, for slowTime.
	slowWorkers = 2
	slowFactor  = 5
	slowTime    = 8 * time.Second
)

// largeAnswers: answers of 120 KB come in pieces, which takes a tenth of the deadline. Some workers
// turn slow, and then take half of it.
func largeAnswers(e *env) (bool, error) {
	_, workers, err := startSite(e, 150*time.Millisecond, service)
	if err != nil {
		return false, err
	}
	for n := len(workers); n < 5; n++ {
		w, err := startWorker(e, fmt.Sprintf("i-%s-%d", service, n+1), service, "zone-a", 150*time.Millisecond)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	for _, w := range workers {
		w.size, w.pieces = 120<<10, 12
	}
	stop := make(chan struct{})
	wg := load(e, usualClients, callPause, plainCalls[:1], stop)
	time.Sleep(3 * time.Second)
	for _, w := range workers[:slowWorkers] {
		if e.trouble {
			w.slow.Store(slowFactor)
			e.rec.log("worker %s turns slow", w.id)
		}
	}
	time.Sleep(slowTime)
	for _, w := range workers {
		w.slow.Store(1)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	return e.checkCut(), nil
}

// maxCut is how many requests of kept connections a daemon may leave without an answer.
const maxCut = 3

// checkCut reports whether a daemon ended more than maxCut connections without a whole answer,
// after it had passed the request on and well before its deadline.
func (e *env) checkCut() bool {
	ran := e.runs.byAttempt()
	cut, served := map[string]int{}, 0
	for _, s := range e.requests.list() {
		switch {
		case s.status == 200 && s.whole:
			served++
		case s.err != nil && len(ran[s.attempt]) > 0 && s.ended.Sub(s.at) < callDeadline-margin:
			cut[s.daemon]++
		}
	}
	e.rec.log("requests: %d, served whole: %d, connections ended without a whole answer: %v", len(e.requests.list()), served, cut)
	for _, n := range cut {
		if n > maxCut {
			return true
		}
	}
	return false
}

// margin is how long before its deadline a request must have ended to count.
const margin = 300 * time.Millisecond

const (
	// downTime is how long the store is down, and crashTime how long the worker.
	downTime  = 4500 * time.Millisecond
	crashTime = 2 * time.Second
	// statedBackoff is the Retry-After of the worker.
	statedBackoff = 10 * time.Second
	// backoffSlack is how long after the answer with Retry-After requests may still come, and
	// maxInBackoff how many may come after that.
	backoffSlack = 500 * time.Millisecond
	maxInBackoff = 2
)

// backoffAfterRestart: a worker crashes and starts again under its id while the store is down. It
// turns requests away with a Retry-After until it can register.
func backoffAfterRestart(e *env) (bool, error) {
	_, workers, err := startSite(e, 80*time.Millisecond, service)
	if err != nil {
		return false, err
	}
	w := workers[0]
	stop := make(chan struct{})
	wg := load(e, 4, 20*time.Millisecond, plainCalls[:1], stop)
	time.Sleep(4 * time.Second)
	if e.trouble {
		w.Crash()
		time.Sleep(crashTime / 2)
		e.store.Away(true)
		time.Sleep(crashTime / 2)
		w.retryAfter.Store(int64(statedBackoff.Seconds()))
		if err := w.Restart(); err != nil {
			return false, err
		}
		time.Sleep(downTime - crashTime/2)
		e.store.Away(false)
		time.Sleep(500 * time.Millisecond)
		e.rec.log("worker %s registers, with revision %d", w.id, w.RegisterAgain())
	} else {
		w.retryAfter.Store(int64(statedBackoff.Seconds()))
		time.Sleep(downTime)
	}
	w.retryAfter.Store(0)
	e.rec.log("worker %s takes requests", w.id)
	time.Sleep(statedBackoff)
	close(stop)
	wg.Wait()
	return e.checkBackoff(w), nil
}

// checkBackoff reports whether more than maxInBackoff requests reached a worker from one daemon
// between backoffSlack after an answer with Retry-After and the end of the stated time.
func (e *env) checkBackoff(w *worker) bool {
	daemonOf := map[string]string{}
	for _, s := range e.requests.list() {
		daemonOf[s.attempt] = s.daemon
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	first, count := map[string]time.Time{}, map[string]int{}
	for _, x := range w.rejections {
		if d := daemonOf[x.attempt]; first[d].IsZero() {
			first[d] = x.at
			e.rec.log("%s: first answer with Retry-After at %.3f", d, e.rec.since(x.at))
		}
	}
	for _, x := range w.arrivals {
		d := daemonOf[x.attempt]
		if at := first[d]; !at.IsZero() && x.at.After(at.Add(backoffSlack)) && x.at.Before(at.Add(statedBackoff)) {
			count[d]++
		}
	}
	e.rec.log("requests that reached %s from %s after that to the end of %s: %v", w.id, backoffSlack, statedBackoff, count)
	for _, n := range count {
		if n > maxInBackoff {
			return true
		}
	}
	return false
}
