package directory

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/logger"
	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

// entryOf is a registry entry of the server "a" in one of its lives.
func entryOf(revision unit.Revision, born int, state string) objects.Object {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","state":%q,"born":%d}`, state, born)
	return objects.Object{Name: "a", Revision: revision, Version: unit.Version(revision), Value: json.RawMessage(value)}
}

// TestNotices guards against the notice of a server that it leaves which an entry of the
// registry or a peer undoes, and against one that outlives the life in which it was said.
func TestNotices(t *testing.T) {
	now := time.Unix(1000, 0)
	said := func(d *Directory) { d.NoteLeaving(LeavingNotice{Server: "a", Born: 1, At: now}, true, now) }
	apply := func(d *Directory, o objects.Object) { d.Apply([]objects.Object{o}, now, now) }
	gone := objects.Object{Name: "a", Revision: 8, Deleted: true}
	tests := []struct {
		name string
		do   func(*Directory)
		out  bool
	}{
		{"notice is ignored", said, true},
		{"older entry undoes it", func(d *Directory) { said(d); apply(d, entryOf(4, 1, "ready")) }, true},
		{"newer entry of the same life undoes it", func(d *Directory) { said(d); apply(d, entryOf(7, 1, "ready")) }, true},
		{"entry that lapses and comes back undoes it", func(d *Directory) { said(d); apply(d, gone); apply(d, entryOf(9, 1, "ready")) }, true},
		{"notice about a life outlives it", func(d *Directory) { said(d); apply(d, entryOf(7, 2, "ready")) }, false},
		{"notice about an earlier life counts", func(d *Directory) { d.NoteLeaving(LeavingNotice{Server: "a", Born: 0, At: now}, true, now) }, false},
		{"server that takes work again serving out", func(d *Directory) { said(d); d.NoteServing(d.Servers().All()[0], now.Add(time.Second)) }, false},
		{"peer keeps the notice alive after that", func(d *Directory) {
			said(d)
			d.NoteServing(d.Servers().All()[0], now.Add(time.Second))
			d.NoteLeaving(LeavingNotice{Server: "a", Born: 1, At: now}, false, now.Add(2*time.Second))
		}, false},
		{"later notice of a peer is ignored", func(d *Directory) {
			said(d)
			d.NoteServing(d.Servers().All()[0], now.Add(time.Second))
			d.NoteLeaving(LeavingNotice{Server: "a", Born: 1, At: now.Add(2 * time.Second)}, false, now.Add(2*time.Second))
		}, true},
		{"drained server", func(d *Directory) { apply(d, entryOf(7, 1, "draining")) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := New(logger.Discard())
			apply(d, entryOf(5, 1, "ready"))
			tt.do(d)
			is.Equal(len(d.Servers().All()), 1)
			is.Equal(d.Servers().All()[0].Draining, tt.out)
		})
	}
}

// TestShared guards against notices that daemons tell each other for ever, and against
// notices of peers that are passed on.
func TestShared(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := New(logger.Discard())
	is.True(d.NoteLeaving(LeavingNotice{Server: "a", Born: 1, At: now}, true, now))
	is.True(d.NoteLeaving(LeavingNotice{Server: "b", Born: 1, At: now}, false, now))
	is.True(!d.NoteLeaving(LeavingNotice{Server: "a", Born: 1, At: now}, true, now)) // no news
	is.Equal(d.LeavingNotices(now), []LeavingNotice{{Server: "a", Born: 1, At: now}})
	is.Equal(len(d.LeavingNotices(now.Add(tellTime))), 0)
	for n := range 3 * maxNotices {
		d.notices.add(LeavingNotice{Server: unit.BackendID(fmt.Sprint(n)), At: now.Add(time.Duration(n) * time.Millisecond)}, true)
	}
	is.True(len(d.notices) <= maxNotices)
}

// TestRenewed guards against a server that came back and is never asked, and against
// questions to servers that said nothing.
func TestRenewed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	asked := make(chan unit.BackendID, 4)
	d := New(logger.Discard())
	d.OnRenewed(func(s backend.Server) { asked <- s.ID })
	d.Apply([]objects.Object{entryOf(5, 1, "ready")}, now, now)
	d.Apply([]objects.Object{entryOf(6, 1, "ready")}, now, now)
	d.NoteLeaving(LeavingNotice{Server: "a", Born: 1, At: now}, true, now)
	d.Apply([]objects.Object{entryOf(6, 1, "ready")}, now, now)
	d.Apply([]objects.Object{entryOf(7, 1, "draining")}, now, now)
	is.Equal(len(asked), 0)
	d.Apply([]objects.Object{entryOf(8, 1, "ready")}, now, now)
	is.Equal(<-asked, unit.BackendID("a"))
}
