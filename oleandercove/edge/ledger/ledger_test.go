package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against load that is counted twice, or that is kept after the end of a request
// or after a daemon stops sending its load.
func TestLoads(t *testing.T) {
	is := is.New(t)
	l, now := New(), time.Unix(1000, 0)
	ticket := l.Begin([]Item{{Server: "a", Tokens: 100, Prefill: 80}})
	l.SetPeerLoad("other", []Entry{{Server: "a", Load: Load{Running: 2, Tokens: 50}}}, now)
	l.SetPeerLoad("other", []Entry{{Server: "a", Load: Load{Running: 3, Tokens: 60}}}, now)
	is.Equal(l.Load("a"), Load{Running: 4, Tokens: 160, Prefill: 80})
	ticket.PrefillDone()
	ticket.PrefillDone()
	is.Equal(l.Load("a"), Load{Running: 4, Tokens: 160})
	ticket.End()
	ticket.End()
	is.Equal(l.Load("a"), Load{Running: 3, Tokens: 60})
	is.Equal(len(l.OwnLoads()), 0)
	l.Expire(now.Add(loadTTL + time.Millisecond))
	is.Equal(l.Load("a"), Load{})
}

// Guards against engines that look idle to daemons that all begin requests at the same
// moment, and against an estimate that remains once the others have sent their load.
func TestEstimateUnreported(t *testing.T) {
	is := is.New(t)
	l := New()
	l.SetOtherDaemons(3)
	l.NextRound()
	ticket := l.Begin([]Item{{Server: "a", Tokens: 100}})
	is.Equal(l.EstimateUnreported("a"), Load{Running: 3, Tokens: 300})
	is.Equal(l.EstimateUnreported("b"), Load{})
	is.Equal(l.Load("a"), Load{Running: 1, Tokens: 100})
	l.SetOtherDaemons(2)
	l.NextRound()
	ticket.End()
	is.Equal(l.EstimateUnreported("a"), Load{Running: 2, Tokens: 200})
	l.SetOtherDaemons(2)
	l.NextRound()
	is.Equal(l.EstimateUnreported("a"), Load{})
}
