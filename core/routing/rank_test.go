package routing

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against urgent requests that rank behind others, against a route whose priority has no
// effect for accounts with one of their own, and against ranks for services with requests of one
// urgency.
func TestRank(t *testing.T) {
	first, third := Priority(0), Priority(3)
	route := func(name RouteName, p Priority, services ...ServiceName) Route {
		r := Route{Name: name, Priority: p}
		for _, s := range services {
			r.Shares = append(r.Shares, Share{Service: s, Weight: 1})
		}
		return r
	}
	c := &Configuration{
		Routes: []Route{
			route("reminder", 0, "draft"), route("notice", 1, "draft"), route("promotion", 2, "draft"),
			route("status", 2, "gateway"),
		},
		Accounts: []Account{{ID: "clinic", Priority: &first}, {ID: "shop", Priority: &third}, {ID: "other"}},
	}
	anonymous := route("public", 4, "page")
	anonymous.Anonymous = true
	c.Routes = append(c.Routes, anonymous)
	table := c.Table()
	tests := []struct {
		name     string
		route    int
		account  int
		service  ServiceName
		number   int
		distinct bool
	}{
		{"the route doesn't rank requests of an account with a priority", 2, 0, "draft", 2, true},
		{"the account doesn't come before the route", 0, 1, "draft", 5, true},
		{"a request of an account without a priority has no rank", 1, 2, "draft", 3, true},
		{"a request without an account has no rank", 1, -1, "draft", 3, true},
		{"accounts don't rank requests of a service with one route", 3, 1, "gateway", 2, true},
		{"requests without a key are ranked by accounts", 4, -1, "page", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var a *Account
			if tt.account >= 0 {
				a = &c.Accounts[tt.account]
			}
			r := table.Rank(tt.service, NewUrgency(&c.Routes[tt.route], a))
			is.Equal(r.Number, tt.number)
			is.Equal(r.Distinct, tt.distinct)
			is.True(r.Label() <= maxRank)
		})
	}
	is.New(t).Equal(Rank{Number: 40}.Label(), 9)
}
