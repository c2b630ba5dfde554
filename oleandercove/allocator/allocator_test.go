package allocator_test

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/allocator"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleandercove/divider"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/oleandercove/limiter"
	"oleandercove.example/oleandercove/spreader"
	"oleandercove.example/wire/peer"
)

// limit is the requests/s of the account in all tests.
const limit = 120

// tolerance covers the rounding of amounts to 32 bits in messages.
const tolerance = 0.001

var account = catalogue.Key{Kind: catalogue.KindAccount, Name: "depot-7"}

// network joins the daemons of a test; hosts of different sides can't talk.
type network struct {
	timer   *timer.Manual
	daemons map[unit.HostID]*node
}

// node is one daemon.
type node struct {
	*allocator.Allocator
	net   *network
	host  unit.HostID
	side  int
	slice limiter.Amounts
	until time.Time
	serve func(from unit.HostID, body []byte) (proto.Message, error)
}

func (n *node) Self() gossiper.Member { return gossiper.Member{Host: n.host} }

func (n *node) Live() []gossiper.Member {
	var out []gossiper.Member
	for _, h := range []unit.HostID{"a", "b", "c", "d"} {
		if o := n.net.daemons[h]; o != nil && o.side == n.side {
			out = append(out, o.Self())
		}
	}
	return out
}

func (n *node) Known() int { return len(n.net.daemons) }

func (n *node) WantExtra([]connector.Peer) {}

func (n *node) Request(_ context.Context, to unit.HostID, _ uint32, m, reply proto.Message) error {
	other := n.net.daemons[to]
	if other.side != n.side {
		return errors.New("partitioned")
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	answer, err := other.serve(n.host, body)
	if err != nil {
		return err
	}
	proto.Merge(reply, answer)
	return nil
}

// handlers catches the handler that an Allocator registers.
type handlers struct {
	connector.Connector
	n *node
}

func (h handlers) Handle(kind uint32, fn connector.Handler) {
	if kind == peer.TypeLimits {
		h.n.serve = func(from unit.HostID, body []byte) (proto.Message, error) {
			return fn(context.Background(), from, body)
		}
	}
}

func newNetwork() *network {
	w := &network{timer: timer.NewManual(time.Unix(1_000_000, 0)), daemons: map[unit.HostID]*node{}}
	c := spreader.New(spreader.Options{})
	c.Merge([]*catalogue.Entry{{
		Kind: account.Kind, Name: account.Name, Version: 1, Account: &catalogue.Account{},
		Limits: catalogue.Limits{RequestsPerSecond: limit},
	}})
	for _, h := range []unit.HostID{"a", "b", "c", "d"} {
		n := &node{net: w, host: h}
		n.Allocator = allocator.New(allocator.Options{Members: n, Links: n, Catalogue: c, Timer: w.timer})
		n.Serve(handlers{n: n})
		w.daemons[h] = n
	}
	return w
}

// renew lets every daemon report a demand far above the limit and returns the
// sum of the valid slices.
func (w *network) renew() float64 {
	w.timer.Advance(limiter.RenewInterval)
	now := w.timer.Now()
	for _, h := range []unit.HostID{"a", "b", "c", "d"} {
		n := w.daemons[h]
		wanted := limiter.Amounts{limiter.Requests: 1000}
		for _, s := range n.Slices(context.Background(), []limiter.Demand{{Key: account, Wanted: wanted}}) {
			n.slice, n.until = s.Granted, now.Add(divider.Validity)
		}
	}
	sum := 0.0
	for _, n := range w.daemons {
		if now.Before(n.until) {
			sum += n.slice[limiter.Requests]
		}
	}
	return sum
}

// settle renews until all slices follow the present membership.
func (w *network) settle() float64 {
	for range 8 {
		w.renew()
	}
	return w.renew()
}

// TestSlicesInPartition guards against two homes that each grant the whole
// limit while the fleet is partitioned, and after it is joined again.
func TestSlicesInPartition(t *testing.T) {
	is := is.New(t)
	w := newNetwork()
	is.True(math.Abs(w.settle()-limit) < tolerance)
	w.daemons["c"].side, w.daemons["d"].side = 1, 1
	is.True(w.settle() <= limit+tolerance)
	for _, n := range w.daemons {
		is.True(math.Abs(n.slice[limiter.Requests]-limit/4) < tolerance)
	}
	w.daemons["c"].side, w.daemons["d"].side = 0, 0
	is.True(math.Abs(w.settle()-limit) < tolerance)
}

// TestNewHomeWaits guards against a new home that grants slices while those of
// its predecessor are valid.
func TestNewHomeWaits(t *testing.T) {
	is := is.New(t)
	w := newNetwork()
	w.settle()
	home := w.daemons["a"].Home(account)
	w.daemons[home].side = 1 // the home fails; its own slice stays valid for a while
	for range 6 {
		is.True(w.renew() <= limit+tolerance)
	}
}
