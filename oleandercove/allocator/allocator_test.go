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

// network connects the daemons of a test; daemons in different partitions can't
// reach each other.
type network struct {
	timer   *timer.Manual
	daemons map[unit.HostID]*node
}

// node is one daemon.
type node struct {
	*allocator.Allocator
	net       *network
	host      unit.HostID
	partition int
	slice     limiter.Amounts
	until     time.Time
	serve     func(from unit.HostID, body []byte) (proto.Message, error)
}

func (n *node) Self() gossiper.Member { return gossiper.Member{Host: n.host} }

func (n *node) Live() []gossiper.Member {
	var out []gossiper.Member
	for _, h := range []unit.HostID{"a", "b", "c", "d"} {
		if o := n.net.daemons[h]; o != nil && o.partition == n.partition {
			out = append(out, o.Self())
		}
	}
	return out
}

func (n *node) FleetSize() int { return len(n.net.daemons) }

func (n *node) SetExtraPeers([]connector.Peer) {}

func (n *node) Request(_ context.Context, to unit.HostID, _ uint32, m, reply proto.Message) error {
	other := n.net.daemons[to]
	if other.partition != n.partition {
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

// handlers captures the handler that an Allocator registers.
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

// renew makes every daemon report a demand far above the limit and returns the
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

// converge renews until all slices follow the current membership.
func (w *network) converge() float64 {
	for range 8 {
		w.renew()
	}
	return w.renew()
}

// Guards against two coordinators that each grant the whole limit, which happens
// while the fleet is partitioned and after the partition has healed.
func TestSlicesInPartition(t *testing.T) {
	is := is.New(t)
	w := newNetwork()
	is.True(math.Abs(w.converge()-limit) < tolerance)
	w.daemons["c"].partition, w.daemons["d"].partition = 1, 1
	is.True(w.converge() <= limit+tolerance)
	for _, n := range w.daemons {
		is.True(math.Abs(n.slice[limiter.Requests]-limit/4) < tolerance)
	}
	w.daemons["c"].partition, w.daemons["d"].partition = 0, 0
	is.True(math.Abs(w.converge()-limit) < tolerance)
}

// Guards against a new coordinator granting slices while those of its predecessor
// are valid, which happens after the predecessor fails.
func TestNewCoordinatorWaits(t *testing.T) {
	is := is.New(t)
	w := newNetwork()
	w.converge()
	coordinator := w.daemons["a"].Coordinator(account)
	w.daemons[coordinator].partition = 1 // the coordinator fails; its own slice stays valid for a while
	for range 6 {
		is.True(w.renew() <= limit+tolerance)
	}
}
