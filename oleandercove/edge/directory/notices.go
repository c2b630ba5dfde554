package directory

import (
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

const (
	// tellTime is how long peers are told what a server said of itself to this daemon.
	tellTime = 5 * time.Second
	// maxNotices bounds the servers whose notices are remembered.
	maxNotices = 4096
)

// LeavingNotice says that a backend server leaves. It belongs to one life of the server.
type LeavingNotice struct {
	Server unit.BackendID
	Born   backend.Incarnation
	// At is when the server said so.
	At time.Time
}

// notice is a LeavingNotice with what this daemon knows beside it.
type notice struct {
	LeavingNotice
	// own notices were said to this daemon, and not to a peer.
	own bool
	// serving is set once the server has said that it takes work again.
	serving bool
}

// notices holds what servers said of themselves. It outlives their entries, which lapse
// and come back while the store is away.
type notices map[unit.BackendID]*notice

// add takes over a notice and tells whether it is news. The notice of a peer that is older
// than the server's own denial is none.
func (n notices) add(x LeavingNotice, own bool) bool {
	old := n[x.Server]
	if old == nil || old.Born != x.Born {
		n.makeRoom(x.At)
		n[x.Server] = &notice{LeavingNotice: x, own: own}
		return true
	}
	if old.serving && !x.At.After(old.At) {
		return false
	}
	news := old.serving
	if own || news {
		old.At, old.own, old.serving = x.At, own, false
	}
	return news
}

// makeRoom drops the oldest half of the notices if there are too many.
func (n notices) makeRoom(now time.Time) {
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

// since returns when the server said in its present life that it leaves, or zero.
func (n notices) since(s backend.Server) time.Time {
	if x := n[s.ID]; x != nil && x.Born == s.Born && !x.serving {
		return x.At
	}
	return time.Time{}
}

// NoteLeaving takes over that a backend server leaves, said to this daemon or to a peer. It
// tells whether that is news. Entries of the registry don't change it: only a new life
// of the server does, or NoteServing.
func (d *Directory) NoteLeaving(x LeavingNotice, own bool, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.notices.add(x, own) {
		return false
	}
	d.publish(now)
	d.log.Info("backend server says that it leaves", "id", x.Server, "born", x.Born, "age", now.Sub(x.At), "own", own)
	return true
}

// NoteServing notes that a server takes work again, although it had said that it leaves.
func (d *Directory) NoteServing(s backend.Server, now time.Time) {
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

// LeavingNotices returns what servers said to this daemon lately.
func (d *Directory) LeavingNotices(now time.Time) []LeavingNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []LeavingNotice
	for _, x := range d.notices {
		if x.own && !x.serving && now.Sub(x.At) < tellTime {
			out = append(out, x.LeavingNotice)
		}
	}
	return out
}

// OnRenewed sets the function that is called when a newer entry says that a server
// takes work which has said that it leaves. It is called before the directory is used.
func (d *Directory) OnRenewed(fn func(backend.Server)) { d.renewed = fn }

// checkRenewed calls that function. The caller holds the lock.
func (d *Directory) checkRenewed(s backend.Server) {
	if d.renewed != nil && !s.Draining && !d.notices.since(s).IsZero() {
		go d.renewed(s)
	}
}
