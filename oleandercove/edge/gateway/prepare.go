package gateway

import (
	"net/http"
	"strings"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/screener"
	"oleandercove.example/oleandercove/quarantiner"
)

const (
	// defaultDeadline is the time limit of requests for which the caller sets none; a
	// shorter limit of the route still applies.
	defaultDeadline = 60 * time.Second
	// startWait is how long a request waits for the first configuration of the daemon, which
	// is read within some milliseconds of the start.
	startWait = 100 * time.Millisecond
)

// prepare identifies the request and reads its body.
func (j *job) prepare() *verdict.Error {
	if err := j.checkShutdown(); err != nil {
		return err
	}
	conf := j.awaitConfiguration()
	if conf == nil {
		return verdict.New(verdict.NotRun, verdict.Starting, "no configuration is known yet").WithRetryAfter(startingRetryAfter)
	}
	if err := j.checkConfiguration(conf.Table); err != nil {
		return j.confirmRefusal(err, conf)
	}
	// The body may have taken until late in the grace time.
	if err := j.checkShutdown(); err != nil {
		return err
	}
	j.identity.Content = screener.Content{
		Method: j.r.Method, Host: j.r.Host, Target: j.r.RequestURI, Account: j.account, Body: j.body,
	}.Fingerprint()
	j.identity.Parts = quarantiner.PartKeys(string(j.service.Name), j.call.SharedParts)
	return nil
}

// checkConfiguration identifies the request and reads its body, and refuses what the
// configuration doesn't allow.
func (j *job) checkConfiguration(table *routing.Table) *verdict.Error {
	limits := table.Configuration.Limits
	if n := headerSize(j.r); limits.HeaderBytes > 0 && n > limits.HeaderBytes {
		return verdict.New(verdict.NotRun, verdict.HeaderTooLarge, "headers have %d bytes, limit is %d", n, limits.HeaderBytes)
	}
	if err := j.identify(table); err != nil {
		return err
	}
	j.deadline = j.arrivedAt.Add(j.timeout())
	return j.readBody(limits)
}

// checkShutdown refuses the request if it might not finish before the daemon stops.
func (j *job) checkShutdown() *verdict.Error {
	if !j.refusing.Load() {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Draining, "daemon is shutting down").WithRetryAfter(drainingRetryAfter)
}

// awaitConfiguration returns the configuration, or nil if none is known within startWait.
//
// Load pattern: all daemons of a fleet are killed. Their callers have one more try, and make it
// as soon as a daemon accepts connections.
func (j *job) awaitConfiguration() *directory.Configuration {
	if conf := j.Directory.Configuration(); conf != nil {
		return conf
	}
	select {
	case <-j.Directory.Configured():
	case <-time.After(startWait):
	case <-j.r.Context().Done():
	}
	return j.Directory.Configuration()
}

// headerSize returns the size of the request line and headers, in bytes.
func headerSize(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// identify finds the route, the client account and the service.
func (j *job) identify(table *routing.Table) *verdict.Error {
	path, _, _ := strings.Cut(j.r.RequestURI, "?")
	route, ok := table.Match(j.r.Host, path)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.UnknownPath, "no route for host and path")
	}
	j.route = route
	urgency := routing.NewUrgency(route, nil)
	if table.KeysNeeded() && !route.Anonymous {
		account, ok := table.Account(j.call.Key)
		if !ok {
			return verdict.New(verdict.NotRun, verdict.Unauthorized, "unknown key")
		}
		j.account, j.authenticated = account.ID, true
		urgency = routing.NewUrgency(route, account)
		if err := j.checkKeys(); err != nil {
			return err
		}
	}
	j.service = table.Service(route.Pick(j.splitPoint()))
	if j.service == nil {
		return verdict.New(verdict.NotRun, verdict.NoBackend, "route names an unknown service").WithRetryAfter(faultRetryAfter)
	}
	j.rank = table.Rank(j.service.Name, urgency)
	return nil
}

// timeout returns the time limit of the request: the timeout of the caller or else
// defaultDeadline, and at most the timeout of the route if it is known and has one.
func (j *job) timeout() time.Duration {
	d := defaultDeadline
	if j.call.Timeout > 0 {
		d = j.call.Timeout
	}
	if j.route != nil && j.route.Timeout > 0 {
		d = min(d, j.route.Timeout)
	}
	return d
}

// timeLeft returns the time until the deadline of the request, or 0 if it has none.
func (j *job) timeLeft() time.Duration {
	if j.deadline.IsZero() {
		return 0
	}
	return time.Until(j.deadline)
}
