package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

const (
	// firstRead is the time between the first two reads of the registered hosts. Most
	// hosts of a fleet that starts as a whole have registered by then.
	firstRead = 2 * time.Second
	// readsPerSecond is how often all daemons together read the registered hosts. They
	// find each other by beacons, and need the list only after a long partition.
	readsPerSecond = 2
	// settledRead is the time that the pause between two reads grows to in a small
	// fleet.
	settledRead = 20 * time.Second
)

const (
	// startTime is the time after which a daemon of a fleet that starts as a whole
	// knows most of its peers: the second read of the registered hosts, and one round
	// of beacons.
	startTime = firstRead + 2*interval
	// restartTime is the same for a daemon that was registered before its start, so
	// that its first read has named the others.
	restartTime = 3 * interval
)

// settleAfter shortens the time until this daemon counts its peers as known.
func (a *Announcer) settleAfter(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settled = a.began.Add(d)
}

// Settled tells whether this daemon has run long enough to know its peers.
func (a *Announcer) Settled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.Timer.Now().Before(a.settled)
}

// Registry is the part of the store at which hosts register.
type Registry interface {
	// ListStale reads all objects of a kind, as they were up to some seconds ago.
	ListStale(ctx context.Context, kind objects.Kind) (objects.List, error)
	// Put writes an object if its version is still expected; 0 creates it.
	Put(ctx context.Context, kind objects.Kind, name string, expected unit.Version, value json.RawMessage) (objects.Object, error)
}

// KindHost is the kind of the objects by which daemons find each other.
const KindHost objects.Kind = "oleandercove-host"

// registration is the value of a host object.
type registration struct {
	// Address is where beacons are received.
	Address string
}

// know adds an address to which beacons are sent, and tells whether it is new.
func (a *Announcer) know(address string) bool {
	if address == a.Address {
		return false
	}
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		a.Log.Warn("address of a peer can't be read", "address", address, "err", err)
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers[address] != nil {
		return false
	}
	a.peers[address] = &remote{udp: udp, heard: a.Timer.Now().Add(-silence)}
	return true
}

// register writes the own address to the store and reads those of others, so
// that daemons find each other.
func (a *Announcer) register(ctx context.Context) {
	registered := false
	wait := firstRead
	for ctx.Err() == nil {
		l, err := a.Store.ListStale(ctx, KindHost)
		if err != nil {
			a.Log.Warn("registered hosts not read", "err", err)
		}
		known := a.knowAll(l.Objects)
		if known && !registered {
			a.settleAfter(restartTime)
		}
		registered = known || registered || a.write(ctx)
		_ = a.Timer.Sleep(ctx, wait)
		wait = nextRead(wait, a.Hosts())
	}
}

// nextRead returns the time until the read after the next one. It grows to a time
// in proportion to the number of hosts, so that the rate of calls does not grow with
// the fleet.
func nextRead(wait time.Duration, hosts int) time.Duration {
	most := max(settledRead, time.Duration(hosts)*time.Second/readsPerSecond)
	return min(2*wait, most)
}

// knowAll adds the addresses of registered hosts and tells them at once of this
// daemon. It returns whether this daemon is among them.
func (a *Announcer) knowAll(list []objects.Object) bool {
	registered, grown := false, false
	for _, o := range list {
		var r registration
		if err := json.Unmarshal(o.Value, &r); err != nil {
			a.Log.Warn("registration can't be read", "host", o.Name, "err", err)
			continue
		}
		registered = registered || (o.Name == string(a.Host) && r.Address == a.Address)
		grown = a.know(r.Address) || grown
	}
	if grown {
		a.Urge()
	}
	return registered
}

// write registers the own address and tells whether that is done.
func (a *Announcer) write(ctx context.Context) bool {
	value, err := json.Marshal(registration{Address: a.Address})
	if err != nil {
		a.Log.Error("registration can't be encoded", "err", err)
		return true
	}
	_, err = a.Store.Put(ctx, KindHost, string(a.Host), 0, value)
	// An object that exists is of an earlier run: hosts keep their addresses.
	if err != nil && !errors.Is(err, objects.ErrConflict) {
		a.Log.Warn("host not registered", "err", err)
		return false
	}
	return true
}
