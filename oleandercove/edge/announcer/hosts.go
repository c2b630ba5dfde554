package announcer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"time"

	"oleandercove.example/core/logger"
	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

const (
	// firstReadDelay is the time between the first two reads of the registered hosts.
	// Most hosts of a fleet that starts as a whole have registered by then.
	firstReadDelay = 2 * time.Second
	// fleetReadsPerSecond is how often all daemons together read the registered hosts.
	// They find each other by beacons, and need the list only after a long partition.
	fleetReadsPerSecond = 2
	// steadyReadDelay is the longest delay between two reads in a small fleet.
	steadyReadDelay = 20 * time.Second
)

const (
	// fleetStartSettleTime is the time after which a daemon of a fleet that starts as a
	// whole has discovered most of its peers: the second read of the registered hosts and one
	// round of beacons.
	fleetStartSettleTime = firstReadDelay + 2*beaconInterval
	// restartSettleTime is the same for a daemon that was registered before its start,
	// so that its first read lists the others.
	restartSettleTime = 3 * beaconInterval
)

// settleAfter sets the time after the start from which the peers count as discovered.
func (a *Announcer) settleAfter(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settledAt = a.started.Add(d)
}

// Settled reports whether this daemon has run long enough to have discovered its peers.
func (a *Announcer) Settled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.Timer.Now().Before(a.settledAt)
}

// Registry is the part of the store in which hosts register.
type Registry interface {
	// ListStale returns all objects of a kind as they were up to some seconds ago.
	ListStale(ctx context.Context, kind objects.Kind) (objects.List, error)
	// Put writes an object if its version is the expected one; version 0 creates it.
	Put(ctx context.Context, kind objects.Kind, name string, expected unit.Version, value json.RawMessage) (objects.Object, error)
}

// KindHost is the kind of the objects by which daemons find each other.
const KindHost objects.Kind = "oleandercove-host"

// registration is the value of a host's object in the store.
type registration struct {
	// Address is where the host receives beacons.
	Address string
}

// registrationState is whether the store has the registration of this daemon.
type registrationState struct {
	registered bool
	// era is the newest era of the store in which the hosts were listed.
	era unit.Era
}

// observe merges a list of hosts, of which this daemon may be one. A store that has come back from a
// copy may have lost the registration, whatever a list says that may be some seconds old.
func (s *registrationState) observe(listed bool, era unit.Era) {
	isStep := s.era != 0 && era > s.era
	s.registered = (s.registered || listed) && !isStep
	s.era = max(s.era, era)
}

// runRegistration registers this daemon in the store and reads the registered hosts
// until ctx is done, so that daemons find each other.
func (a *Announcer) runRegistration(ctx context.Context) {
	var s registrationState
	delay := firstReadDelay
	for ctx.Err() == nil {
		l, err := a.Registry.ListStale(ctx, KindHost)
		if err != nil {
			a.Log.Warn("listing registered hosts failed", "err", err)
		} else {
			a.oddHosts.Keep(l.Objects)
		}
		listed := a.addRegistered(l.Objects)
		if listed && !s.registered {
			a.settleAfter(restartSettleTime)
		}
		s.observe(listed, l.Revision.Era)
		s.registered = s.registered || a.registerSelf(ctx)
		_ = a.Timer.Sleep(ctx, delay)
		delay = nextReadDelay(delay, a.LiveHostCount())
	}
}

// nextReadDelay returns the delay after the next read. It doubles up to a time in
// proportion to the number of hosts, so that the rate of calls does not grow with the
// fleet.
func nextReadDelay(delay time.Duration, hosts int) time.Duration {
	maxDelay := max(steadyReadDelay, time.Duration(hosts)*time.Second/fleetReadsPerSecond)
	return min(2*delay, maxDelay)
}

// addRegistered adds the addresses of the registered hosts as peers, and sends beacons
// at once if one is new. It reports whether this daemon is among them. Odd registrations
// are ignored.
func (a *Announcer) addRegistered(list []objects.Object) bool {
	registered, added := false, false
	for _, o := range list {
		address, err := decodeRegistration(o.Value)
		if err != nil {
			if a.oddHosts.Add(o) {
				a.Log.Warn("host registration ignored", "host", logger.Shorten(o.Name), "revision", o.Revision, "err", logger.Shorten(err.Error()))
			}
			continue
		}
		a.oddHosts.Remove(o)
		registered = registered || (o.Name == string(a.Host) && address.String() == a.Address)
		added = a.addPeer(net.UDPAddrFromAddrPort(address)) || added
	}
	if added {
		a.FlushNow()
	}
	return registered
}

var errNotIPv4 = errors.New("beacons are sent over IPv4")

// decodeRegistration returns the address of a registered host. A name is an error: other
// writers may leave any, and each read would look it up.
func decodeRegistration(value json.RawMessage) (netip.AddrPort, error) {
	var r registration
	if err := json.Unmarshal(value, &r); err != nil {
		return netip.AddrPort{}, err
	}
	a, err := objects.ParseAddress(r.Address)
	if err == nil && !a.Addr().Is4() {
		err = errNotIPv4
	}
	return a, err
}

// registerSelf registers the address of this daemon and reports whether no further
// attempt is needed.
func (a *Announcer) registerSelf(ctx context.Context) bool {
	value, err := json.Marshal(registration{Address: a.Address})
	if err != nil {
		a.Log.Error("registration encoding failed", "err", err)
		return true
	}
	_, err = a.Registry.Put(ctx, KindHost, string(a.Host), 0, value)
	// A conflict means that an earlier run has registered this host: hosts keep their
	// addresses.
	if err != nil && !errors.Is(err, objects.ErrConflict) {
		a.Log.Warn("host registration failed", "err", err)
		return false
	}
	return true
}
