package directory

import (
	"time"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/unit"
)

const (
	// tellTime is how long peers are told what a server said of itself to this daemon.
	tellTime = 5 * time.Second
	// maxWords bounds the servers whose words are remembered.
	maxWords = 4096
)

// Word says that a backend server leaves. It belongs to one life of the server.
type Word struct {
	Server unit.BackendID
	Born   backend.Incarnation
	// At is when the server said so.
	At time.Time
}

// word is a Word with what this daemon knows beside it.
type word struct {
	Word
	// own words were said to this daemon, and not to a peer.
	own bool
	// stays is set once the server has said that it takes work again.
	stays bool
}

// words holds what servers said of themselves. It outlives their entries, which lapse
// and come back while the store is away.
type words map[unit.BackendID]*word

// add takes over a word and tells whether it is news. The word of a peer that is older
// than the server's own denial is none.
func (w words) add(x Word, own bool) bool {
	old := w[x.Server]
	if old == nil || old.Born != x.Born {
		w.makeRoom(x.At)
		w[x.Server] = &word{Word: x, own: own}
		return true
	}
	if old.stays && !x.At.After(old.At) {
		return false
	}
	news := old.stays
	if own || news {
		old.At, old.own, old.stays = x.At, own, false
	}
	return news
}

// makeRoom drops the oldest half of the words if there are too many.
func (w words) makeRoom(now time.Time) {
	if len(w) < maxWords {
		return
	}
	var sum time.Duration
	for _, x := range w {
		sum += now.Sub(x.At)
	}
	mean := sum / time.Duration(len(w))
	for id, x := range w {
		if now.Sub(x.At) >= mean {
			delete(w, id)
		}
	}
}

// since returns when the server said in its present life that it leaves, or zero.
func (w words) since(s backend.Server) time.Time {
	if x := w[s.ID]; x != nil && x.Born == s.Born && !x.stays {
		return x.At
	}
	return time.Time{}
}

// Leaves takes over that a backend server leaves, said to this daemon or to a peer. It
// tells whether that is news. Entries of the registry don't change it: only a new life
// of the server does, or Stays.
func (d *Directory) Leaves(x Word, own bool, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.words.add(x, own) {
		return false
	}
	d.publish(now)
	d.log.Info("backend server says that it leaves", "id", x.Server, "born", x.Born, "age", now.Sub(x.At), "own", own)
	return true
}

// Stays notes that a server takes work again, although it had said that it leaves.
func (d *Directory) Stays(s backend.Server, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.words[s.ID]
	if x == nil || x.Born != s.Born {
		return
	}
	x.At, x.stays = now, true
	d.publish(now)
	d.log.Info("backend server takes work again", "id", s.ID, "born", s.Born)
}

// Words returns what servers said to this daemon lately.
func (d *Directory) Words(now time.Time) []Word {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Word
	for _, x := range d.words {
		if x.own && !x.stays && now.Sub(x.At) < tellTime {
			out = append(out, x.Word)
		}
	}
	return out
}

// OnRenewed sets the function that is called when a newer entry says that a server
// takes work which has said that it leaves. It is called before the directory is used.
func (d *Directory) OnRenewed(fn func(backend.Server)) { d.renewed = fn }

// checkRenewed calls that function. The caller holds the lock.
func (d *Directory) checkRenewed(s backend.Server) {
	if d.renewed != nil && !s.Draining && !d.words.since(s).IsZero() {
		go d.renewed(s)
	}
}
