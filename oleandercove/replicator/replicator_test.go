package replicator

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
)

// fakeConnector connects two tables in memory and drops pushes on demand.
type fakeConnector struct {
	connector.Connector
	self     unit.HostID
	other    *fakeConnector
	handlers map[uint32]connector.Handler
	onLink   func(unit.HostID)
	lossy    bool
	sent     int
}

func (w *fakeConnector) Handle(kind uint32, h connector.Handler) { w.handlers[kind] = h }
func (w *fakeConnector) OnLink(fn func(unit.HostID))             { w.onLink = fn }
func (w *fakeConnector) Links() []connector.Link {
	return []connector.Link{{Host: w.other.self, Connected: true}}
}

func (w *fakeConnector) Publish(_ unit.HostID, kind uint32, m proto.Message) error {
	w.sent++
	if w.lossy && kind == kindItems {
		return connector.ErrQueueFull
	}
	body, _ := proto.Marshal(m)
	_, err := w.other.handlers[kind](context.Background(), w.self, body)
	return err
}

func (w *fakeConnector) Request(_ context.Context, _ unit.HostID, kind uint32, m, reply proto.Message) error {
	w.sent++
	body, _ := proto.Marshal(m)
	r, err := w.other.handlers[kind](context.Background(), w.self, body)
	if err != nil {
		return err
	}
	b, _ := proto.Marshal(r)
	return proto.Unmarshal(b, reply)
}

func pair() (a, b *Table, w *fakeConnector) {
	wa := &fakeConnector{self: "a", handlers: map[uint32]connector.Handler{}}
	wb := &fakeConnector{self: "b", handlers: map[uint32]connector.Handler{}, other: wa}
	wa.other = wb
	open := func(w *fakeConnector) *Table {
		return New(Options{
			Connector: w, Timer: timer.NewReal(), Spawn: func(fn func()) { fn() },
			InDigest: func(i Item) bool { return string(i.Value) != "gone" },
		})
	}
	return open(wa), open(wb), wa
}

// Guards against tables that stay different, which happens when pushed items are lost and
// the synchronisation omits or replaces items wrongly.
func TestRepair(t *testing.T) {
	for _, c := range []struct {
		failure    string
		a, b, want []Item
	}{
		{"lost push is never repaired", []Item{{"k", 2, []byte("new")}}, nil, []Item{{"k", 2, []byte("new")}}},
		{"older version replaces a newer one", []Item{{"k", 1, []byte("old")}}, []Item{{"k", 2, []byte("new")}}, []Item{{"k", 2, []byte("new")}}},
		{"each side keeps only its own items", []Item{{"k", 1, nil}}, []Item{{"l", 1, nil}}, []Item{{"k", 1, nil}, {"l", 1, nil}}},
		{"forgotten item comes back", []Item{{"k", 2, []byte("gone")}}, []Item{{"k", 1, []byte("old")}}, []Item{{"k", 2, []byte("gone")}}},
		{"uncounted item is sent to a daemon without it", []Item{{"k", 2, []byte("gone")}}, nil, nil},
		{"reply over the message limit stops the repair", large(5), nil, large(5)},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			a, b, w := pair()
			w.lossy, w.other.lossy = true, true
			a.Set(c.a...)
			b.Set(c.b...)
			w.lossy, w.other.lossy = false, false
			for range mismatchLimit {
				a.SendDigests()
				b.SendDigests()
			}
			is.Equal(a.Hash(), b.Hash())
			is.Equal(len(b.Items()), len(c.want))
			for _, i := range c.want {
				for _, table := range []*Table{a, b} {
					got, _ := table.Get(i.Key)
					is.Equal(got.Version, i.Version)
					is.Equal(string(got.Value), string(i.Value))
				}
			}
		})
	}
}

func large(n int) []Item {
	var out []Item
	for i := range n {
		out = append(out, Item{fmt.Sprint(i), 1, make([]byte, 900<<10)})
	}
	return out
}

// Guards against messages between equal tables without end, which happen when items
// that are not newer are forwarded.
func TestNoRedundantPush(t *testing.T) {
	is := is.New(t)
	a, b, w := pair()
	a.Set(Item{"k", 1, []byte("v")})
	b.Set(Item{"k", 1, []byte("v")}, Item{"k", 1, []byte("other")})
	is.Equal(w.sent, 1)
	is.Equal(w.other.sent, 0)
	a.Forget("k")
	is.Equal(a.Hash(), uint64(0))
}

// Guards against a joining daemon that lacks the tables of its first peer for two
// digest intervals, which happens when one differing digest starts no synchronisation.
func TestNewLink(t *testing.T) {
	is := is.New(t)
	a, b, w := pair()
	w.lossy = true
	a.Set(Item{"k", 1, []byte("v")})
	w.lossy = false
	w.other.onLink("a")
	w.onLink("b")
	_, ok := b.Get("k")
	is.True(ok)
}

// Guards against a table that counts as complete before it holds all items of a peer,
// which happens when one pushed item is enough.
func TestComplete(t *testing.T) {
	is := is.New(t)
	a, b, w := pair()
	completions := 0
	b.options.OnComplete = func() { completions++ }
	w.lossy = true
	a.Set(Item{"k", 1, []byte("v")})
	w.lossy = false
	a.Set(Item{"l", 1, []byte("v")})
	is.Equal(len(b.Items()), 1)
	is.Equal(completions, 0)
	w.other.onLink("a")
	w.onLink("b")
	is.Equal(len(b.Items()), 2)
	is.True(completions > 0)
}
