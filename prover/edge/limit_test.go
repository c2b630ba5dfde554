package edge

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

const (
	// limitWindow is the span in which the requests to a server that has named a limit are
	// counted. It may get limitFactor times what its limit allows and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNotice is how long after it forwarded a response with a limit a daemon counts.
	limitNotice = 500 * time.Millisecond
)

// overLimit is the largest excess over what a server's limit allows.
type overLimit struct {
	server        string
	got, allowed  int
	firstLimitAge time.Duration
}

// requestsOverLimit returns the largest excess of requests, within limitWindow, over what a
// limit allows. It counts from gossipTime after a server first named a limit, while it names
// one, and the daemons that had forwarded a response with a limit.
func requestsOverLimit(arrivals []imitator.Arrival, e disruptions) overLimit {
	var worst overLimit
	byServer := map[string][]imitator.Arrival{}
	for _, a := range arrivals {
		byServer[a.Server] = append(byServer[a.Server], a)
	}
	for server, list := range byServer {
		var namedAt time.Time
		noticedAt := map[string]time.Time{}
		var counted []imitator.Arrival
		for _, a := range list {
			router := routerOf(a.Attempt)
			if a.Limit == "" || router == "" {
				namedAt, counted = time.Time{}, nil
				clear(noticedAt)
				continue
			}
			if namedAt.IsZero() {
				namedAt = a.At
			}
			at, ok := noticedAt[router]
			if !ok || e.hasBetween(router, at, a.At) {
				noticedAt[router] = a.At
				continue
			}
			if a.At.Before(at.Add(limitNotice)) || a.At.Before(namedAt.Add(gossipTime)) {
				continue
			}
			counted = append(counted, a)
			for counted[0].At.Before(a.At.Add(-limitWindow)) {
				counted = counted[1:]
			}
			limit, err := strconv.ParseFloat(a.Limit, 64)
			allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
			if err == nil && len(counted)-allowed > worst.got-worst.allowed {
				worst = overLimit{server, len(counted), allowed, a.At.Sub(namedAt)}
			}
		}
	}
	return worst
}

// Guards against servers that get far more requests than the limit that they have named,
// because each daemon keeps it for itself or none does, while daemons come and go.
func TestServerLimits(t *testing.T) {
	tests := []struct {
		name, kind, limit string
		// unlimited is the number of servers of the kind that name no limit.
		unlimited int
		// share is the least share of the requests that must be answered, use the least share
		// of the limits that must be used.
		share, use float64
	}{
		{"three of four servers name a limit", "read", "4.5", 1, 0.99, 0},
		{"all servers name a limit", "read", "12", 0, 0, 0.5},
		{"all servers name less than one request a second", "read", "0.4", 0, 0, 0.5},
		{"engines name a limit beside a copy without", "stream", "3", 4, 0.99, 0},
		{"all engines name a limit", "stream", "3", 0, 0, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSiteWith(t, 4, imitator.Options{DataCentres: []string{"x", "y"}, Engines: 4, Servers: 4, WorkTime: 10 * time.Millisecond})
			s.routers[3].Kill()
			c := s.startLoad(tt.kind, 8)
			s.waitFor("requests before the limits", func() bool { return len(s.Runs.Arrivals()) > 60 })
			s.setLimit(&tt.limit, tt.unlimited)
			e := disruptions{}
			time.Sleep(gossipTime)
			s.killAndRestart(3, e)
			s.routers[1].Kill()
			s.killAndRestart(0, e)
			limitedFrom := time.Now()
			limitedUntil := limitedFrom.Add(limitWindow + gossipTime)
			time.Sleep(time.Until(limitedUntil))
			s.setLimit(nil, 0)
			s.waitFor("requests to a server that no longer names a limit", func() bool { return s.hasUnlimitedArrivals(limitedUntil) })
			c.finish()
			worst := requestsOverLimit(s.Runs.Arrivals(), e)
			ok, share := c.answered()
			use := limitUse(s.Runs.Arrivals(), limitedFrom, limitedUntil)
			t.Logf("at most %d requests over the limit (%+v), %d answered, %.3f of all, %.2f of the limits used", worst.got-worst.allowed, worst, ok, share, use)
			is.Equal(worst.got-worst.allowed, 0)
			is.True(share >= tt.share)
			is.True(use >= tt.use)
			for id, a := range c.responses {
				is.True(a.took < 2*time.Second) // no caller waits for a limited server
				if isRefusal(a) && a.header.Get("Retry-After") == "" {
					t.Errorf("%s was refused without Retry-After", id)
				}
			}
		})
	}
}

// setLimit makes all servers and engines name a limit but the last ones of each kind, of which
// there are unlimited; nil means that none names one.
func (s *site) setLimit(limit *string, unlimited int) {
	for i, p := range s.Servers() {
		if limit == nil || i < len(s.Servers())-unlimited {
			p.Limit.Store(limit)
		}
	}
	for i, e := range s.Engines() {
		if limit == nil || i < len(s.Engines())-unlimited {
			e.Limit.Store(limit)
		}
	}
}

// hasUnlimitedArrivals reports whether each server that named a limit got a request after a time
// at which it names none.
func (s *site) hasUnlimitedArrivals(after time.Time) bool {
	limited, unlimited := map[string]bool{}, map[string]bool{}
	for _, a := range s.Runs.Arrivals() {
		if a.Limit != "" {
			limited[a.Server] = true
		} else if a.At.After(after) {
			unlimited[a.Server] = true
		}
	}
	for server := range limited {
		if !unlimited[server] {
			return false
		}
	}
	return true
}

// answered returns the number of requests that were answered whole, and their share of those that
// a daemon answered.
func (c *loadGenerator) answered() (ok int, share float64) {
	all := 0
	for _, a := range c.responses {
		if a.err != nil {
			continue
		}
		all++
		if a.status == http.StatusOK {
			ok++
		}
	}
	return ok, float64(ok) / float64(max(1, all))
}

// limitUse returns the share of the limits that was used within a time, over the servers that got
// requests.
func limitUse(arrivals []imitator.Arrival, from, to time.Time) float64 {
	limits := map[string]float64{}
	n := 0
	for _, a := range arrivals {
		if limit, err := strconv.ParseFloat(a.Limit, 64); err == nil && a.At.After(from) && a.At.Before(to) {
			limits[a.Server] = limit
			n++
		}
	}
	allowed := 0.0
	for _, limit := range limits {
		allowed += limit * to.Sub(from).Seconds()
	}
	return float64(n) / max(1, allowed)
}
