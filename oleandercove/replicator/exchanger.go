package replicator

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/wire/peer"
)

// Message types of a table, relative to its first type.
const (
	kindItems uint32 = iota
	kindDigest
	kindSync
)

const (
	// maxBatchBytes bounds the items of one message; together with one value of
	// 1 MB they stay below the connector's limit.
	maxBatchBytes = 1 << 20
	// itemOverhead is the size in bytes of an item without its key and value.
	itemOverhead = 16
	// syncLimit bounds one synchronisation.
	syncLimit = 5 * time.Second
	// mismatchLimit is the number of successive digests that must differ to start a
	// synchronisation: one may differ because a change is still in flight.
	mismatchLimit = 2
	// maxRounds bounds the successive requests of one synchronisation.
	maxRounds = 64
)

// push sends items to all linked peers except one.
func (t *Table) push(except unit.HostID, items []Item) {
	if t.options.Connector == nil {
		return
	}
	for _, batch := range batches(items) {
		for _, l := range t.options.Connector.Links() {
			if l.Connected && l.Host != except {
				// A full queue drops the items; the next digests repair that.
				_ = t.options.Connector.Publish(l.Host, t.options.Kind+kindItems, &peer.Items{Items: batch})
			}
		}
	}
}

// batches splits items into messages of at most maxBatchBytes, or of one larger item.
func batches(items []Item) [][]*peer.Item {
	var out [][]*peer.Item
	size := maxBatchBytes
	for _, i := range items {
		n := len(i.Key) + len(i.Value) + itemOverhead
		if size += n; size > maxBatchBytes {
			out, size = append(out, nil), n
		}
		last := len(out) - 1
		out[last] = append(out[last], &peer.Item{Key: []byte(i.Key), Version: i.Version, Value: i.Value})
	}
	return out
}

func (t *Table) onItems(from unit.HostID, m *peer.Items) { t.installReceived(from, m.Items) }

// installReceived installs items of a peer and returns how many were new.
func (t *Table) installReceived(from unit.HostID, received []*peer.Item) int {
	items := make([]Item, 0, len(received))
	for _, i := range received {
		items = append(items, Item{Key: string(i.Key), Version: i.Version, Value: i.Value})
	}
	installed := t.merge(from, items)
	if len(installed) > 0 {
		t.options.OnChanged(from, installed)
	}
	return len(installed)
}

func (t *Table) onLink(host unit.HostID) {
	t.mu.Lock()
	// The first digest that differs on a new link starts a synchronisation.
	t.mismatches[host] = mismatchLimit
	t.mu.Unlock()
	t.sendDigest(host)
}

func (t *Table) onDigest(from unit.HostID, d *peer.Digest) {
	t.mu.Lock()
	if d.Hash == t.hash {
		delete(t.mismatches, from)
		nonEmpty := len(t.items) > 0
		t.mu.Unlock()
		if nonEmpty {
			t.options.OnComplete()
		}
		return
	}
	t.mismatches[from]++
	start := t.mismatches[from] >= mismatchLimit && !t.syncing[from]
	if start {
		t.syncing[from] = true
	}
	t.mu.Unlock()
	if start {
		t.options.Spawn(func() { t.synchronise(from) })
	}
}

// synchronise exchanges items with a peer. It repeats requests while the replies
// contain newer items, within maxRounds and syncLimit.
func (t *Table) synchronise(from unit.HostID) {
	defer func() {
		t.mu.Lock()
		delete(t.syncing, from)
		delete(t.mismatches, from)
		t.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), syncLimit)
	defer cancel()
	for range maxRounds {
		var reply peer.SyncReply
		if t.options.Connector.Request(ctx, from, t.options.Kind+kindSync, t.syncRequest(), &reply) != nil {
			return
		}
		t.sendWanted(from, reply.Wanted)
		lacked := t.lacksKey(reply.Items)
		installed := t.installReceived(from, reply.Items)
		if !lacked {
			t.options.OnComplete()
		}
		if installed == 0 {
			return
		}
	}
}

// lacksKey reports whether the table lacks a key of a peer's items. An empty table
// counts as lacking one, because it proves nothing about the peer's table.
func (t *Table) lacksKey(items []*peer.Item) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, i := range items {
		if _, ok := t.items[string(i.Key)]; !ok {
			return true
		}
	}
	return len(t.items) == 0
}

// syncRequest returns the key hashes and versions of the counted items.
func (t *Table) syncRequest() *peer.SyncRequest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := &peer.SyncRequest{}
	for h, k := range t.keysByHash {
		if i := t.items[k]; t.options.InDigest(i) {
			r.Keys, r.Versions = append(r.Keys, h), append(r.Versions, i.Version)
		}
	}
	return r
}

// sendWanted sends the items that a peer wants, given by the hashes of their keys.
func (t *Table) sendWanted(to unit.HostID, wanted []uint64) {
	t.mu.RLock()
	var items []Item
	for _, h := range wanted {
		if k, ok := t.keysByHash[h]; ok {
			items = append(items, t.items[k])
		}
	}
	t.mu.RUnlock()
	for _, b := range batches(items) {
		_ = t.options.Connector.Publish(to, t.options.Kind+kindItems, &peer.Items{Items: b})
	}
}

// onSync replies with items that are newer than the peer's, up to about maxBatchBytes, and
// with the key hashes of the items that the peer is to send.
func (t *Table) onSync(_ context.Context, _ unit.HostID, q *peer.SyncRequest) (proto.Message, error) {
	if len(q.Keys) != len(q.Versions) {
		return nil, connector.ErrMalformed
	}
	peerVersions := make(map[uint64]uint64, len(q.Keys))
	for n, h := range q.Keys {
		peerVersions[h] = q.Versions[n]
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, size := &peer.SyncReply{}, 0
	for h, v := range peerVersions {
		if k, ok := t.keysByHash[h]; !ok || t.items[k].Version < v {
			r.Wanted = append(r.Wanted, h)
		}
	}
	for k, i := range t.items {
		v, known := peerVersions[xxhash.Sum64String(k)]
		if (known && v >= i.Version) || (!known && !t.options.InDigest(i)) {
			continue
		}
		if size += len(k) + len(i.Value) + itemOverhead; size > maxBatchBytes && len(r.Items) > 0 {
			break
		}
		r.Items = append(r.Items, &peer.Item{Key: []byte(k), Version: i.Version, Value: i.Value})
	}
	return r, nil
}
