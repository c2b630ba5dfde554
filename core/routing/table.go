package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table looks up the routes, services and accounts of one Configuration. It is safe
// for concurrent use.
type Table struct {
	Configuration *Configuration
	byHost        map[string][]*Route
	byKey         map[AccessKey]*Account
	byService     map[ServiceName]*Service
	ranks         rankTable
}

// Table builds the look-up table of the configuration.
func (c *Configuration) Table() *Table {
	t := &Table{
		Configuration: c,
		byHost:        make(map[string][]*Route, len(c.Routes)),
		byKey:         make(map[AccessKey]*Account),
		byService:     make(map[ServiceName]*Service, len(c.Services)),
		ranks:         newRankTable(c),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			t.byKey[k] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		t.byService[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route of the host whose prefix is the longest match for the
// path. The host may carry a port, and its case is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Account returns the client account that holds the key.
func (t *Table) Account(key AccessKey) (*Account, bool) {
	a, ok := t.byKey[key]
	return a, ok
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name ServiceName) *Service { return t.byService[name] }

// KeysNeeded reports whether callers authenticate by access keys, which is so if the
// configuration has client accounts.
func (t *Table) KeysNeeded() bool { return len(t.Configuration.Accounts) > 0 }

// Pick maps a point in [0, 1), usually a random one, to a service of the route, in
// proportion to the weights.
func (r *Route) Pick(point float64) ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += max(0, s.Weight)
	}
	left := point * float64(total)
	for _, s := range r.Shares {
		left -= float64(max(0, s.Weight))
		if left < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}
