package screener

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/quarantiner"
)

const (
	poison   = quarantiner.Fingerprint(1)
	harmless = quarantiner.Fingerprint(2)
)

// fleet is a group of daemons that exchange crash records when a test calls exchange.
type fleet struct {
	clock   *timer.Manual
	daemons []*Screener
}

func newFleet(n int) *fleet {
	f := &fleet{clock: timer.NewManual(time.Unix(1000, 0))}
	for range n {
		f.daemons = append(f.daemons, New(Options{Timer: f.clock, Log: logger.Discard()}))
	}
	return f
}

// exchange merges the records of each daemon into all others.
func (f *fleet) exchange() {
	now := f.clock.Now()
	for _, from := range f.daemons {
		records := from.Records(now)
		for _, to := range f.daemons {
			if to != from {
				to.Merge(records)
			}
		}
	}
}

// mayRun reports whether a daemon sends a request at once.
func (f *fleet) mayRun(daemon int, print quarantiner.Fingerprint) bool {
	_, release := f.daemons[daemon].tryAdmit(Identity{Content: print}, f.clock.Now())
	if release == nil {
		return false
	}
	release()
	return true
}

func crashUnder(print quarantiner.Fingerprint, server string) CrashEvent {
	return CrashEvent{Identity: Identity{Content: print}, Crash: CrashOf(backend.Server{ID: unit.BackendID(server)})}
}

// brokenConnections returns broken connections to servers that are not known to have
// crashed.
func brokenConnections(servers ...string) []CrashEvent {
	var out []CrashEvent
	for _, server := range servers {
		e := crashUnder(poison, server)
		e.Broken = true
		out = append(out, e)
	}
	return out
}

// Guards against a request that is refused for crashes that others caused, and against
// one that continues to crash servers.
func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		crashes []CrashEvent
		after   time.Duration
		want    decision
	}{
		{"a request without records waits", nil, 0, unrestricted},
		{"copies of a suspect run together", []CrashEvent{crashUnder(poison, "a")}, 0, oneCopy},
		{"a stream that was under way waits after two crashes", []CrashEvent{
			{Identity: Identity{Content: poison}, Crash: "a", Progressed: true}, {Identity: Identity{Content: poison}, Crash: "b", Progressed: true},
		}, quarantiner.SettleDelay, unrestricted},
		{"a stream that crashes engines when it is under way is never refused", []CrashEvent{
			{Identity: Identity{Content: poison}, Crash: "a", Progressed: true},
			{Identity: Identity{Content: poison}, Crash: "b", Progressed: true},
			{Identity: Identity{Content: poison}, Crash: "c", Progressed: true},
			{Identity: Identity{Content: poison}, Crash: "d", Progressed: true},
			{Identity: Identity{Content: poison}, Crash: "e", Progressed: true},
		}, 0, refuse},
		{"a request with two crashes runs before the records of others arrive", []CrashEvent{crashUnder(poison, "a"), crashUnder(poison, "b")}, 0, undecided},
		{"the only request in two crashes runs again", []CrashEvent{crashUnder(poison, "a"), crashUnder(poison, "b")}, quarantiner.SettleDelay, refuse},
		{"a harmless request in two crashes is quarantined", []CrashEvent{crashUnder(poison, "a"), crashUnder(harmless, "a"), crashUnder(harmless, "b"), crashUnder(poison, "b")}, quarantiner.SettleDelay, oneCopy},
		{"a request with three crashes beside another one runs again", []CrashEvent{
			crashUnder(poison, "a"), crashUnder(harmless, "a"), crashUnder(harmless, "b"), crashUnder(poison, "b"), crashUnder(poison, "c"),
		}, 0, refuse},
		{"four broken connections restrict a request", brokenConnections("a", "b", "c", "d"), quarantiner.SettleDelay, unrestricted},
		{"a request that breaks the connection to each server runs again", brokenConnections("a", "b", "c", "d", "e"), 0, refuse},
		{"broken connections count as crashes", append(brokenConnections("a", "b"), crashUnder(poison, "c")), quarantiner.SettleDelay, oneCopy},
		{"a weak record hides the crash behind a broken connection", append(brokenConnections("a", "b"), crashUnder(poison, "a"), crashUnder(poison, "b")), quarantiner.SettleDelay, refuse},
		{"one crash under two copies counts twice", []CrashEvent{crashUnder(poison, "a"), crashUnder(poison, "a")}, quarantiner.SettleDelay, oneCopy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1)
			for _, e := range tt.crashes {
				f.daemons[0].RecordCrash(e)
			}
			f.clock.Advance(tt.after)
			is.Equal(decide(f.daemons[0].history, poison, f.clock.Now()), tt.want)
		})
	}
}

// Guards against crashes that only one daemon counts, which happens when a poison
// request reaches one daemon after the other, and against a restarted daemon without
// the records of its peers.
func TestFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	crashes := 0
	for n := range 50 {
		if d := n % len(f.daemons); f.mayRun(d, poison) {
			f.daemons[d].RecordCrash(crashUnder(poison, fmt.Sprint("server-", crashes)))
			crashes++
		}
		f.exchange()
		f.clock.Advance(200 * time.Millisecond)
	}
	is.Equal(crashes, 2)
	f.clock.Advance(10 * time.Minute)
	f.daemons[3] = New(Options{Timer: f.clock, Log: logger.Discard()})
	f.exchange()
	f.clock.Advance(quarantiner.SettleDelay)
	is.True(!f.mayRun(3, poison))
	is.Equal(len(f.daemons[3].Cases()), 1)
	is.Equal(f.daemons[3].Cases()[0].Age >= 10*time.Minute, true)
}

// Guards against weak records that are never sent to peers, which happens when a request
// breaks the connection to each server and reaches one daemon after the other.
func TestBrokenConnections(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	sent := 0
	for n := range 12 {
		for range 2 {
			if d := n % len(f.daemons); f.mayRun(d, poison) {
				e := crashUnder(poison, fmt.Sprint("server-", sent))
				e.Broken = true
				f.daemons[d].RecordCrash(e)
				sent++
			}
		}
		f.exchange()
		f.clock.Advance(150 * time.Millisecond)
	}
	is.Equal(sent, 5)
}

// Guards against a quarantine that never expires because daemons keep sending it to each
// other.
func TestQuarantineExpires(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.daemons[0].RecordCrash(crashUnder(poison, "a"))
	f.daemons[0].RecordCrash(crashUnder(poison, "b"))
	for range 130 {
		f.clock.Advance(time.Minute)
		f.exchange()
	}
	is.True(f.mayRun(0, poison))
	is.True(f.mayRun(1, poison))
}

// Guards against refused content of which most copies are answered, which happens when
// servers crash for other reasons while many requests with the same content run on them.
func TestCommonContent(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for n := range 40 {
		d := n % len(f.daemons)
		is.True(f.mayRun(d, harmless))
		f.daemons[d].ReachedPosition(harmless, CompletePosition)
		f.daemons[(d+1)%3].RecordCrash(crashUnder(harmless, fmt.Sprint("server-", n)))
		f.exchange()
		f.exchange()
		f.clock.Advance(100 * time.Millisecond)
	}
	for _, d := range f.daemons {
		is.Equal(len(d.Cases()), 0)
	}
}

// Guards against harmless streams that are refused, which happens when a data centre
// loses two groups of engines shortly after each other under streams without an event.
func TestMassCrash(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for _, server := range []string{"a", "b"} {
		for print := range quarantiner.Fingerprint(30) {
			f.daemons[print%3].RecordCrash(crashUnder(print+10, server))
		}
		f.exchange()
		f.clock.Advance(50 * time.Millisecond)
	}
	f.clock.Advance(quarantiner.SettleDelay)
	for print := range quarantiner.Fingerprint(30) {
		d := f.daemons[print%3]
		is.True(f.mayRun(int(print%3), print+10))
		d.ReachedPosition(print+10, CompletePosition)
		is.Equal(decide(d.history, print+10, f.clock.Now()), unrestricted)
	}
	f.exchange()
	is.Equal(decide(f.daemons[0].history, 11, f.clock.Now()), unrestricted) // the withdrawal reached a peer
}

// Guards against a crash record that arrives after its withdrawal and stays.
func TestLateRecord(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.daemons[0].RecordCrash(crashUnder(harmless, "a"))
	late := f.daemons[0].Records(f.clock.Now())
	f.daemons[0].ReachedPosition(harmless, CompletePosition)
	f.daemons[1].Merge(f.daemons[0].Records(f.clock.Now()))
	f.daemons[1].Merge(late)
	is.Equal(decide(f.daemons[1].history, harmless, f.clock.Now()), unrestricted)
}

// Guards against a stream that is cleared at the position at which it crashes engines,
// and against one that stays restricted beyond that position.
func TestPosition(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	d := f.daemons[0]
	d.RecordCrash(CrashEvent{Identity: Identity{Content: poison}, Crash: "a", Position: 12})
	d.ReachedPosition(poison, 13)
	is.Equal(decide(d.history, poison, f.clock.Now()), oneCopy)
	d.ReachedPosition(poison, 14)
	is.Equal(decide(d.history, poison, f.clock.Now()), unrestricted)
}

// Guards against copies of a suspect that run at the same time, against a caller that
// waits without bound, and against a refusal without a time to retry after.
func TestEnter(t *testing.T) {
	is := is.New(t)
	d := New(Options{Timer: timer.NewReal(), Log: logger.Discard()})
	d.RecordCrash(crashUnder(poison, "a"))
	release, err := d.Enter(context.Background(), Identity{Content: poison})
	is.True(err == nil)
	began := time.Now()
	_, err = d.Enter(context.Background(), Identity{Content: poison})
	is.True(err != nil)
	is.Equal(err.Verdict, verdict.NotRun)
	is.True(err.RetryAfter > 0)
	is.True(time.Since(began) >= maxWait)
	other, err := d.Enter(context.Background(), Identity{Content: harmless})
	is.True(err == nil)
	other()
	release()
	release()
	release, err = d.Enter(context.Background(), Identity{Content: poison})
	is.True(err == nil)
	release()
	is.Equal(len(d.running), 0)
}

// Guards against memory that grows with the number of crashes, and against beacons that
// exceed a datagram.
func TestMemoryBound(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	d := f.daemons[0]
	for n := range 20000 {
		print := quarantiner.Fingerprint(n + 10)
		d.RecordCrash(crashUnder(print, fmt.Sprint("server-", n)))
		d.ReachedPosition(print+1000000, CompletePosition)
	}
	is.True(len(d.Records(f.clock.Now())) <= maxOutbox)
	is.True(d.completed.Len() <= 2*maxCompleted)
}

// Guards against requests of different callers that share crash records, and against
// fields of a request that are hashed without a separator.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	base := Content{Method: "GET", Host: "h", Target: "/a", Account: "x", Body: []byte("b")}
	is.Equal(base.Fingerprint(), base.Fingerprint())
	for _, other := range []Content{
		{Method: "POST", Host: "h", Target: "/a", Account: "x", Body: []byte("b")},
		{Method: "GET", Host: "i", Target: "/a", Account: "x", Body: []byte("b")},
		{Method: "GET", Host: "h", Target: "/b", Account: "x", Body: []byte("b")},
		{Method: "GET", Host: "h", Target: "/a", Account: "y", Body: []byte("b")},
		{Method: "GET", Host: "h", Target: "/a", Account: "x", Body: []byte("c")},
		{Method: "GET", Host: "h", Target: "/ax", Account: "", Body: []byte("b")},
	} {
		is.True(other.Fingerprint() != base.Fingerprint())
	}
}
