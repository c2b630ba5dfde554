package checker

import (
	"strings"

	"oleandercove.example/core/routing"
)

// checkRoutes checks each route, and routes against each other.
func (f *findings) checkRoutes(c *routing.Configuration) {
	names, places := index{}, index{}
	for i := range c.Routes {
		r := &c.Routes[i]
		at := Subject{Kind: KindRoute, Index: i, Name: string(r.Name)}
		if r.Name == "" {
			f.add(Error, at, "Name", "the route has no name, so no log line names it")
		} else if first, ok := names.addUnique(string(r.Name), i); !ok {
			f.add(Error, at, "Name", "route %d has this name, too", first)
		}
		if first, ok := places.addUnique(r.Host+"\x00"+r.Prefix, i); !ok {
			f.add(Warning, at, "Prefix", "never matches: route %d %q comes first with this host and prefix", first, c.Routes[first].Name)
		}
		f.checkPlace(at, r)
		f.checkShares(at, c, r)
		f.checkTimes(at, r)
	}
}

// checkPlace checks the host and prefix of a route.
func (f *findings) checkPlace(at Subject, r *routing.Route) {
	switch {
	case r.Host == "":
		f.add(Warning, at, "Host", "never matches: the route has no host")
	case strings.Contains(r.Host, ":"):
		f.add(Warning, at, "Host", "never matches: the port of a request is cut off before the comparison")
	case strings.ContainsAny(r.Host, "/ *"):
		f.add(Warning, at, "Host", "never matches: hosts are compared as they stand, without patterns")
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		f.add(Warning, at, "Prefix", "never matches: %q doesn't begin with a slash", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		f.add(Warning, at, "Prefix", "%q doesn't end with a slash, so it matches the beginning of a name, too", r.Prefix)
	case strings.Contains(r.Prefix, "?"):
		f.add(Warning, at, "Prefix", "never matches: the query of a request is cut off before the comparison")
	}
}

// checkShares checks the services of a route.
func (f *findings) checkShares(at Subject, c *routing.Configuration, r *routing.Route) {
	if len(r.Shares) == 0 {
		f.add(Error, at, "Shares", "the route names no service, so daemons skip it")
		return
	}
	total := 0
	seen := index{}
	for i, s := range r.Shares {
		total += max(0, s.Weight)
		if c.Service(s.Service) == nil {
			f.add(Error, at, "Shares", "service %q doesn't exist, so its requests are refused", s.Service)
		}
		if _, ok := seen.addUnique(string(s.Service), i); !ok {
			f.add(Warning, at, "Shares", "service %q is named twice", s.Service)
		}
		switch {
		case s.Weight < 0:
			f.add(Error, at, "Shares", "the weight of service %q is negative", s.Service)
		case s.Weight == 0:
			f.add(Warning, at, "Shares", "service %q never gets a request: its weight is 0", s.Service)
		}
	}
	if total == 0 {
		f.add(Error, at, "Shares", "all weights are 0, so the first service gets all requests")
	}
}

// checkTimes checks the times and attempts of a route against each other.
func (f *findings) checkTimes(at Subject, r *routing.Route) {
	if r.Timeout < 0 || r.Objective < 0 || r.MaxEventGap < 0 {
		f.add(Error, at, "Timeout", "a time is negative")
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		f.add(Warning, at, "Timeout", "%s is below the objective of %s, so no late response is allowed", r.Timeout, r.Objective)
	}
	if r.Timeout > 0 && r.MaxEventGap > r.Timeout {
		f.add(Warning, at, "MaxEventGap", "%s is above the timeout of %s", r.MaxEventGap, r.Timeout)
	}
	if r.MaxEventGap > 0 && !r.Stream {
		f.add(Warning, at, "MaxEventGap", "the route has no streams, so it has no effect")
	}
	if r.Attempts > maxUsefulAttempts {
		f.add(Warning, at, "Attempts", "%d attempts are more than the retry budget of a fleet allows for many requests", r.Attempts)
	}
	if r.Priority < 0 {
		f.add(Error, at, "Priority", "%d is more urgent than 0, the most urgent priority", r.Priority)
	}
}

// maxUsefulAttempts is far above the attempts that retry budgets, a fraction of a retry for each
// request, pay for.
const maxUsefulAttempts = 10
