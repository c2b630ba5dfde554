package announcer

import (
	"net"
	"strconv"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/follower"
)

// LiveHostCount returns the number of live daemons, this one included.
func (a *Announcer) LiveHostCount() int { return len(a.LiveHosts()) }

// KnownHostCount returns the number of daemons that may be live, this one included: all that
// were heard or found in the store within peerExpiry and have not announced that they leave.
func (a *Announcer) KnownHostCount() int { return 1 + a.knownPeers() }

// LiveHosts returns the live daemons, this one included.
func (a *Announcer) LiveHosts() []unit.HostID {
	out := []unit.HostID{a.Host}
	for _, p := range a.LivePeers() {
		out = append(out, p.Host)
	}
	return out
}

// LivePeers returns the live daemons other than this one.
func (a *Announcer) LivePeers() []follower.Peer {
	now := a.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []follower.Peer
	for _, p := range a.peers {
		if p.isLive(now) {
			out = append(out, follower.Peer{Host: p.host, DataCentre: p.dataCentre, Address: p.address, Capacity: p.capacity, Era: p.era})
		}
	}
	return out
}

// knownPeers returns the number of peers that have not announced that they leave. Peers
// that are not live count too, because right after the start no beacon has arrived yet.
func (a *Announcer) knownPeers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.peers {
		if !p.leaving {
			n++
		}
	}
	return n
}

// AnyServedModel reports whether any daemon has forwarded a model request.
func (a *Announcer) AnyServedModel() bool {
	if a.Options.HasServedModel() {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if p.servedModel {
			return true
		}
	}
	return false
}

// reportedDown reports whether the last beacon of a live peer listed the server as
// down.
func (a *Announcer) reportedDown(id unit.BackendID) bool {
	now := a.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.peers {
		if p.down[id] && p.isLive(now) {
			return true
		}
	}
	return false
}

// addSeed adds the address of a host that may run a daemon, from the settings, and reports
// whether it is new.
func (a *Announcer) addSeed(address string) bool {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		a.Log.Warn("seed address is invalid", "address", address, "err", err)
		return false
	}
	return a.addPeer(udp)
}

// addPeer adds an address to which beacons are sent, and reports whether it is new.
func (a *Announcer) addPeer(udp *net.UDPAddr) bool {
	if address := udp.String(); address == a.Address || !a.insertPeer(address, udp) {
		return false
	}
	a.Ledger.SetOtherDaemons(a.knownPeers())
	return true
}

func (a *Announcer) insertPeer(address string, udp *net.UDPAddr) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers[address] != nil {
		return false
	}
	a.peers[address] = &peerState{udp: udp, lastHeard: a.Timer.Now().Add(-minLivenessTimeout)}
	return true
}

// Process returns the id of this process, which distinguishes it from others of its host.
func (a *Announcer) Process() string { return processID(a.incarnation) }

func processID(incarnation uint64) string { return strconv.FormatUint(incarnation, 16) }

// HasStopped reports whether a process of a host is known to have stopped its controllers:
// it has announced that it shuts down, or the host has sent beacons of another process
// lately. An old beacon of the other process can arrive after a new one, so the answer may
// be wrong for some hundred milliseconds after a restart.
func (a *Announcer) HasStopped(host unit.HostID, process string) bool {
	now := a.Timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	replaced := false
	for _, p := range a.peers {
		if p.host != host {
			continue
		}
		if processID(p.incarnation) == process {
			return p.leaving
		}
		// A host that was replaced has an entry for each of its addresses.
		replaced = replaced || p.isLive(now)
	}
	return replaced
}
