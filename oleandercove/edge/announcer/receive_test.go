package announcer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/ledger"
	"oleandercove.example/wire/peer"
)

func downMarks(ids ...string) []*peer.DownMark {
	var out []*peer.DownMark
	for _, id := range ids {
		out = append(out, &peer.DownMark{Server: id, LeftMs: 4000})
	}
	return out
}

// Guards against a fleet that queries a healthy server at each beacon of a daemon that
// reports it down, and against a later report that is not checked. It happens when a
// daemon on a weak host considers the server down for some beacons.
func TestUpdateDown(t *testing.T) {
	tests := []struct {
		name    string
		beacons [][]*peer.DownMark
		want    []unit.BackendID
	}{
		{"a repeated report is checked again", [][]*peer.DownMark{downMarks("a"), downMarks("a"), downMarks("a")}, []unit.BackendID{"a"}},
		{"a second server is not checked", [][]*peer.DownMark{downMarks("a"), downMarks("a", "b")}, []unit.BackendID{"a", "b"}},
		{"a later report is not checked", [][]*peer.DownMark{downMarks("a"), nil, downMarks("a")}, []unit.BackendID{"a", "a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var p peerState
			var got []unit.BackendID
			for _, b := range tt.beacons {
				got = append(got, p.updateDown(b)...)
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against daemons that all notify all others of a silent engine that each
// detects by its own streams, and against reports of peers that are no longer live.
func TestReportedDown(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	a := &Announcer{Options: Options{Timer: clock}, peers: map[string]*peerState{}}
	is.True(!a.reportedDown("a"))
	p := &peerState{host: "entry-2", lastHeard: clock.Now()}
	p.updateDown(downMarks("a"))
	a.peers["10.1.0.41:7340"] = p
	is.True(a.reportedDown("a"))
	is.True(!a.reportedDown("b"))
	clock.Advance(minLivenessTimeout)
	is.True(!a.reportedDown("a"))
}

// Guards against live peers that count as lost in a large fleet, so that daemons of a
// low rank become watchers of the store.
func TestLivenessTimeout(t *testing.T) {
	tests := []struct {
		name  string
		peers int
		want  time.Duration
	}{
		{"a small fleet detects a loss late", 8, minLivenessTimeout},
		{"a data centre of forty hosts detects a loss late", 39, minLivenessTimeout},
		{"a fleet with a beacon of each peer every 2.5 s loses live peers", 160, 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			list := make([]*peerState, tt.peers)
			for i := range list {
				list[i] = &peerState{host: "entry", lastHeard: now}
			}
			is.Equal(len(sample(list)), min(tt.peers, fanOut))
			is.True(list[0].isLive(now.Add(tt.want - time.Millisecond)))
			is.True(!list[0].isLive(now.Add(tt.want)))
		})
	}
}

// Guards against a lease that is taken from a running process, which happens when the
// beacons of its host are missing or are those of the process before it, and against repairs
// that wait although the process is known to have stopped.
func TestHasStopped(t *testing.T) {
	const first, second = 1, 2
	tests := []struct {
		name string
		peer peerState
		age  time.Duration
		want bool
	}{
		{"the process is live", peerState{host: "entry-1", incarnation: first}, 0, false},
		{"the process is silent", peerState{host: "entry-1", incarnation: first}, time.Minute, false},
		{"the process is shutting down", peerState{host: "entry-1", incarnation: first, leaving: true}, 0, true},
		{"the process has shut down", peerState{host: "entry-1", incarnation: first, leaving: true}, time.Minute, true},
		{"another process of the host is live", peerState{host: "entry-1", incarnation: second}, 0, true},
		{"another process of the host was live before", peerState{host: "entry-1", incarnation: second}, time.Minute, false},
		{"another process of the host is shutting down", peerState{host: "entry-1", incarnation: second, leaving: true}, 0, false},
		{"the host is unknown", peerState{host: "entry-2", incarnation: second}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewManual(time.Unix(1000, 0))
			tt.peer.lastHeard = clock.Now()
			a := &Announcer{Options: Options{Timer: clock}, peers: map[string]*peerState{"10.1.0.41:7340": &tt.peer}}
			clock.Advance(tt.age)
			is.Equal(a.HasStopped("entry-1", processID(first)), tt.want)
		})
	}
}

// Guards against a lease that is taken from a running process because its host had another
// address before, from which beacons came until a moment ago.
func TestHasStoppedAfterMove(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	before := &peerState{host: "entry-1", incarnation: 1, lastHeard: clock.Now()}
	now := &peerState{host: "entry-1", incarnation: 2, lastHeard: clock.Now()}
	for range 20 { // the order of a map varies
		a := &Announcer{Options: Options{Timer: clock}, peers: map[string]*peerState{"10.1.0.41:7340": before, "10.1.0.42:7340": now}}
		is.True(!a.HasStopped("entry-1", processID(2)))
	}
}

// Guards against daemons that all choose the same engines after a restart of the fleet, which
// happens when the number of other daemons is not known before the first round of beacons.
func TestOtherDaemonsAtStart(t *testing.T) {
	is := is.New(t)
	const others = 40
	a := &Announcer{Options: Options{Timer: timer.NewManual(time.Unix(1000, 0)), Ledger: ledger.New(), Address: "127.0.0.1:7000"}, peers: map[string]*peerState{}}
	for i := range others {
		is.True(a.addSeed(fmt.Sprintf("127.0.0.1:%d", 7001+i)))
	}
	is.True(!a.addSeed("127.0.0.1:7001"))
	is.True(!a.addSeed(a.Address))
	a.Ledger.Begin([]ledger.Item{{Server: "i-1", Tokens: 100}})
	is.Equal(a.Ledger.EstimateUnreported("i-1"), ledger.Load{Running: others, Tokens: others * 100})
}
