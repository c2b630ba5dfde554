package gateway

import (
	"time"

	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/edge/directory"
)

// ViewBounds are the times within which changes in the store must have their effect on requests.
// A view that is older than a bound may lack a change that is in force.
type ViewBounds struct {
	// Keys is the bound for revoked keys, Configuration that for all else in the configuration,
	// and Servers that for backend servers that leave.
	Keys, Configuration, Servers time.Duration
}

// viewMargin is subtracted from the bounds. It covers the time between the check of a view and
// the send of the request or of the refusal.
const viewMargin = 500 * time.Millisecond

// confirmRefusal returns a refusal that a configuration demands, or, if that is too old to know,
// or if other daemons may know a later one, one that tells the caller to try again. A refusal that
// doesn't depend on the configuration stays as it is.
func (j *job) confirmRefusal(err *verdict.Error, conf *directory.Configuration) *verdict.Error {
	if latest := j.Directory.Configuration(); latest.Revision == conf.Revision {
		conf = latest
	}
	now := j.Timer.Now()
	age := now.Sub(conf.ConfirmedAt)
	switch {
	case !dependsOnConfiguration(err.Reason):
		return err
	case !conf.IsCompared(now):
		return staleView("configuration is being compared with those that other daemons know, it says: %s", err.Detail)
	case age <= j.Bounds.Configuration-viewMargin:
		return err
	}
	return staleView("configuration was last confirmed %s ago, it says: %s", age.Round(time.Millisecond), err.Detail)
}

// dependsOnConfiguration reports whether a newer configuration may allow what was refused before
// a backend server was chosen.
func dependsOnConfiguration(r verdict.Reason) bool {
	switch r {
	case verdict.UnknownPath, verdict.Unauthorized, verdict.NoBackend, verdict.HeaderTooLarge, verdict.TooLarge:
		return true
	default:
		return false
	}
}

// checkViews refuses a request if the view that a send relies on may lack a change that is in
// force. It is called before each send.
func (j *job) checkViews() *verdict.Error {
	if err := j.checkKeys(); err != nil {
		return err
	}
	v := j.Directory.Views(j.Timer.Now())
	if v.Configuration.IsBehind(j.Bounds.Configuration - viewMargin) {
		return staleView("another daemon has a newer configuration, this one was last confirmed %s ago", v.Configuration.Age.Round(time.Millisecond))
	}
	if v.Servers.IsBehind(j.Bounds.Servers - viewMargin) {
		return staleView("another daemon has a newer list of backend servers, this one was last confirmed %s ago", v.Servers.Age.Round(time.Millisecond))
	}
	return nil
}

// checkKeys refuses an authenticated request if its key was revoked, if the keys were last
// confirmed too long ago for the bound on revocation, or if other daemons may know a later version
// that the store has lost.
func (j *job) checkKeys() *verdict.Error {
	if !j.authenticated {
		return nil
	}
	conf := j.Directory.Configuration()
	if _, ok := conf.Table.Account(j.call.Key); !ok {
		return j.confirmRefusal(verdict.New(verdict.NotRun, verdict.Unauthorized, "key was revoked"), conf)
	}
	if !conf.IsCompared(j.Timer.Now()) {
		return staleView("keys are being compared with those that other daemons know")
	}
	if age := j.Timer.Now().Sub(conf.ConfirmedAt); age > j.Bounds.Keys-viewMargin {
		return staleView("keys were last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}

// staleView returns a refusal because this daemon's view is too old to decide.
func staleView(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.PlatformUnavailable, format, args...).WithRetryAfter(staleViewRetryAfter)
}
