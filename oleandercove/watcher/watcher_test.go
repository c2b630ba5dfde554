package watcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/gossiper"
)

func fleet(centres, hosts int) []gossiper.Member {
	var out []gossiper.Member
	for i := range centres * hosts {
		out = append(out, gossiper.Member{
			Host: unit.HostID(fmt.Sprintf("entry-%d", i)), DataCentre: unit.DataCentre(fmt.Sprintf("dc-%d", i%centres)),
		})
	}
	return out
}

// Guards against backend servers that no daemon or every daemon polls, which happens when
// a data centre has few, no or draining daemons.
func TestPollerSelection(t *testing.T) {
	for _, c := range []struct {
		failure string
		live    []gossiper.Member
		dc      unit.DataCentre
		want    int
	}{
		{"lone daemon polls nothing", fleet(1, 1), "dc-0", 1},
		{"backend server is polled by all daemons", fleet(3, 3), "dc-0", 2},
		{"data centre without daemons is not watched", fleet(2, 3), "dc-9", 2},
		{"draining daemon still watches", []gossiper.Member{
			{Host: "a", DataCentre: "dc-0", Draining: true}, {Host: "b", DataCentre: "dc-0"},
		}, "dc-0", 1},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			for k := range 50 {
				n := 0
				for _, m := range c.live {
					if newSelection(c.live).polls(m.Host, unit.BackendID(fmt.Sprint(k)), c.dc) {
						n++
						is.True(!m.Draining)
					}
				}
				is.Equal(n, c.want)
			}
		})
	}
}

// Guards against a wrong state of a backend server, which happens when its reports differ,
// are outdated or come from a former poller.
func TestCombine(t *testing.T) {
	live := fleet(1, 2)
	row := func(leaving, removed bool) report {
		return report{version: 1, removed: removed, backend: Backend{ID: "e", Address: "a:1", DataCentre: "dc-0", Draining: leaving}}
	}
	poll := func(version uint64, address, start string, healthy, draining bool) report {
		b := Backend{ID: "e", Address: address, Healthy: healthy, Draining: draining}
		if healthy {
			b.Engine = &engine.Status{Start: start}
		}
		return report{version: version, backend: b}
	}
	list := source{fromList, "entry-0"}
	p0, p1, former := source{fromPoll, "entry-0"}, source{fromPoll, "entry-1"}, source{fromPoll, "entry-9"}
	good := poll(5, "a:1", "s", true, false)
	for _, c := range []struct {
		failure           string
		reports           map[source]report
		known             bool
		healthy, draining bool
	}{
		{"server without a status gets work", map[source]report{list: row(false, false)}, true, false, false},
		{"one poller without a route hides a good server", map[source]report{list: row(false, false), p0: good, p1: poll(9, "a:1", "", false, false)}, true, true, false},
		{"drain seen by one poller only is ignored", map[source]report{list: row(false, false), p0: good, p1: poll(4, "a:1", "s", true, true)}, true, true, true},
		{"drain of an earlier instance hides a restarted server", map[source]report{list: row(false, false), p0: good, p1: poll(4, "a:1", "before", true, true)}, true, true, false},
		{"leaving row of the list is ignored", map[source]report{list: row(true, false), p0: good}, true, true, true},
		{"report of a former poller outlives newer ones", map[source]report{list: row(false, false), p0: poll(5, "a:1", "", false, false), former: good}, true, false, false},
		{"server is lost when its pollers have just crashed", map[source]report{list: row(false, false), former: good}, true, true, false},
		{"status of an old address counts", map[source]report{list: row(false, false), p0: poll(5, "b:1", "s", true, false)}, true, false, false},
		{"vanished server stays", map[source]report{list: row(false, true), p0: poll(5, "a:1", "", false, false)}, false, false, false},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			b, ok := combine("e", c.reports, report{}, newSelection(live))
			is.Equal(ok, c.known)
			is.Equal(b.Healthy && ok, c.healthy)
			is.Equal(b.Draining, c.draining)
		})
	}
}

// Guards against urgent changes that are delayed, and against too many messages, which
// happens when each poll is sent to the peers.
func TestShouldPublish(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	status := func(to unit.Layer, running int) *engine.Status {
		return &engine.Status{To: to, Load: engine.Load{Running: running}}
	}
	old := Backend{Healthy: true, Engine: status(8, 100), Seen: now}
	for _, c := range []struct {
		failure string
		b       Backend
		age     time.Duration
		small   bool
		want    bool
	}{
		{"equal status is sent", Backend{Healthy: true, Engine: status(8, 100)}, time.Hour, true, false},
		{"lost health waits", Backend{Engine: status(8, 100)}, 0, true, true},
		{"drain waits", Backend{Healthy: true, Draining: true, Engine: status(8, 100)}, 0, true, true},
		{"new layers wait", Backend{Healthy: true, Engine: status(4, 100)}, 0, true, true},
		{"new layers wait in a large fleet", Backend{Healthy: true, Engine: status(4, 100)}, 0, false, true},
		{"load is sent with each poll", Backend{Healthy: true, Engine: status(8, 200)}, time.Second, true, false},
		{"load is never sent", Backend{Healthy: true, Engine: status(8, 200)}, rateInterval, true, true},
		{"load is sent to a large fleet", Backend{Healthy: true, Engine: status(8, 200)}, rateInterval, false, false},
		{"small change of load is sent", Backend{Healthy: true, Engine: status(8, 110)}, rateInterval, true, false},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is.New(t).Equal(shouldPublish(old, c.b, now.Add(c.age), c.small), c.want)
		})
	}
}

// Guards against a field of a report that is lost between daemons, which happens
// when encode and decode differ.
func TestEncoding(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	r := report{version: 7, backend: Backend{
		ID: "e", Role: platform.RoleEngine, Address: "a:1", DataCentre: "dc", Serves: "report",
		Healthy: true, Draining: true, Engine: &engine.Status{Start: "s", To: 8}, Seen: now,
	}}
	i, err := encode("e", source{fromPoll, "entry-0"}, r)
	is.NoErr(err)
	id, s, got, ok := decode(i, now)
	is.True(ok)
	is.Equal(id, unit.BackendID("e"))
	is.Equal(s, source{fromPoll, "entry-0"})
	is.Equal(got, r)
}
