package directory

import (
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

const (
	// noticeBroadcastTime is how long a notice that this daemon received from a server
	// is sent to peers.
	noticeBroadcastTime = 5 * time.Second
	// maxNotices is the largest number of servers whose notices are kept.
	maxNotices = 4096
)

// LeavingNotice reports that a backend server is leaving. It is valid for one instance
// of the server, which its start time identifies.
type LeavingNotice struct {
	Server unit.BackendID
	Born   backend.Incarnation
	// At is when the server reported it.
	At time.Time
}

// notice is a LeavingNotice with its origin and its state.
type notice struct {
	LeavingNotice
	// direct is set if this daemon received the notice from the server, not from a peer.
	direct bool
	// serving is set once the server has reported that it accepts requests again; At is
	// then the time of that report.
	serving bool
}

// notices holds the leaving notices of servers. They outlive the registry entries,
// which may lapse and be registered again while the store is unreachable.
type notices map[unit.BackendID]*notice

// add records a notice and reports whether it is new. A notice that is not later than
// the server's report that it accepts requests again is ignored.
func (n notices) add(x LeavingNotice, direct bool) bool {
	old := n[x.Server]
	if old == nil || old.Born != x.Born {
		n.evict(x.At)
		n[x.Server] = &notice{LeavingNotice: x, direct: direct}
		return true
	}
	if old.serving && !x.At.After(old.At) {
		return false
	}
	isNew := old.serving
	if direct || isNew {
		old.At, old.direct, old.serving = x.At, direct, false
	}
	return isNew
}

// evict drops the notices of at least the mean age once there are maxNotices.
func (n notices) evict(now time.Time) {
	if len(n) < maxNotices {
		return
	}
	var sum time.Duration
	for _, x := range n {
		sum += now.Sub(x.At)
	}
	mean := sum / time.Duration(len(n))
	for id, x := range n {
		if now.Sub(x.At) >= mean {
			delete(n, id)
		}
	}
}

// leavingSince returns when this instance of the server reported that it is leaving,
// or the zero time.
func (n notices) leavingSince(s backend.Server) time.Time {
	if x := n[s.ID]; x != nil && x.Born == s.Born && !x.serving {
		return x.At
	}
	return time.Time{}
}

// RecordLeaving records a leaving notice, which this daemon (direct) or a peer received
// from the server, and reports whether it is new. Registry entries don't undo the
// notice: only a new instance of the server does, or RecordServing.
func (d *Directory) RecordLeaving(x LeavingNotice, direct bool, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.notices.add(x, direct) {
		return false
	}
	d.publish(now)
	d.log.Info("backend server says that it leaves", "id", x.Server, "born", x.Born, "age", now.Sub(x.At), "own", direct)
	return true
}

// RecordServing records that a server accepts requests again after its leaving notice.
func (d *Directory) RecordServing(s backend.Server, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.notices[s.ID]
	if x == nil || x.Born != s.Born {
		return
	}
	x.At, x.serving = now, true
	d.publish(now)
	d.log.Info("backend server takes work again", "id", s.ID, "born", s.Born)
}

// LeavingNotices returns the notices to send to peers: those that this daemon received
// from servers within noticeBroadcastTime.
func (d *Directory) LeavingNotices(now time.Time) []LeavingNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []LeavingNotice
	for _, x := range d.notices {
		if x.direct && !x.serving && now.Sub(x.At) < noticeBroadcastTime {
			out = append(out, x.LeavingNotice)
		}
	}
	return out
}

// OnReadyAgain sets the function to call when a newer registry entry shows a server as
// not draining although its leaving notice is in force. Call OnReadyAgain before the
// Directory is used.
func (d *Directory) OnReadyAgain(fn func(backend.Server)) { d.onReadyAgain = fn }

// checkReadyAgain calls the function set by OnReadyAgain if the newer entry of a server
// contradicts its leaving notice. The caller holds the lock.
func (d *Directory) checkReadyAgain(s backend.Server) {
	if d.onReadyAgain != nil && !s.Draining && !d.notices.leavingSince(s).IsZero() {
		go d.onReadyAgain(s)
	}
}
