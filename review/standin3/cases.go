package main

import (
	"fmt"
	"syscall"
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
	keyed := revokedCalls()
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
	return e.checkRevoked(acknowledged), nil
}

// kindRevoked marks the requests with revokedKey.
const kindRevoked = "order-revoked"

// revokedCalls returns orders with a key that stays and with one that is taken away.
func revokedCalls() []call {
	out := []call{plainCalls[1], plainCalls[1]}
	out[1].kind, out[1].key = kindRevoked, revokedKey
	return out
}

// checkRevoked reports whether requests with revokedKey ran that were sent later than revokeTime
// after the acknowledgement of the version without it.
func (e *env) checkRevoked(acknowledged time.Time) bool {
	ran := e.runs.byAttempt()
	late, n := 0, 0
	at := map[string]int{}
	for _, s := range e.requests.list() {
		if s.kind == kindRevoked && s.at.Sub(acknowledged) > revokeTime {
			late++
			n += len(ran[s.attempt])
			at[s.daemon] += len(ran[s.attempt])
		}
	}
	e.rec.log("requests with the key that was taken away, sent later than %s after the acknowledgement: %d, run: %d %v", revokeTime, late, n, at)
	return n > 0
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
	// freezeTime is how long a machine freezes, backTime how long the store is away meanwhile.
	freezeTime = 5100 * time.Millisecond
	backTime   = 500 * time.Millisecond
)

// revokedBehindFreeze: the machine that has read the store last freezes while the store comes back
// from a copy. The operator takes a key away before the machine wakes.
func revokedBehindFreeze(e *env) (bool, error) {
	o, workers, err := startSite(e, 15*time.Millisecond, service)
	if err != nil {
		return false, err
	}
	keyed := revokedCalls()
	stop := make(chan struct{})
	wg := load(e, 2, 100*time.Millisecond, keyed, stop)
	time.Sleep(2 * time.Second)
	c := e.store.Copy()
	time.Sleep(3500 * time.Millisecond)
	o.addRoute(0)
	time.Sleep(700 * time.Millisecond)
	frozen := e.reader()
	woken := time.After(freezeTime)
	if e.trouble {
		frozen.signal(syscall.SIGSTOP)
		e.store.Drill(backTime, c)
		time.Sleep(200 * time.Millisecond)
		o.write("written again")
		for _, w := range workers {
			w.RegisterAgain()
		}
	}
	time.Sleep(400 * time.Millisecond)
	acknowledged := o.revoke()
	for n := range 2 {
		if _, err := startWorker(e, fmt.Sprintf("i-%s-%d", service, 4+n), service, "zone-a", 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	<-woken
	if e.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	e.rec.log("the store's revision is %d", e.store.Revision())
	time.Sleep(time.Until(acknowledged.Add(revokeTime + 8*time.Second)))
	close(stop)
	wg.Wait()
	return e.checkRevoked(acknowledged), nil
}

// reader returns the daemon that was the last to watch the configuration.
func (e *env) reader() *daemon {
	address := e.store.Reader()
	for _, d := range e.daemons {
		if d.storeAddress == address {
			return d
		}
	}
	return e.daemons[0]
}
