package follower

import (
	"time"

	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/wire/peer"
)

// maxAge is the longest age that is sent; longer ones are cut to it.
const maxAge = time.Hour

func decode(r *peer.ChangesReply) directory.Update {
	u := directory.Update{
		Cursor: directory.Cursor{Incarnation: r.Incarnation, Position: r.Position, Configuration: directory.ConfigurationVersion{
			Revision: unit.Revision{Era: unit.Era(r.RevisionEra), Number: r.Revision},
		}},
		Full: r.Full, ServersRevision: unit.Revision{Era: unit.Era(r.ServersEra), Number: r.ServersRevision}, ServersAge: milliseconds(r.ServersAgeMs, 2*maxAge),
		CoveredFor: milliseconds(r.CoveredMs, maxAge), EraFor: milliseconds(r.EraMs, maxAge), ConfirmedAge: milliseconds(r.ConfigurationAgeMs, 2*maxAge),
		Packed: r.Configuration, Waited: milliseconds(r.HeldMs, maxHold+answerSlack),
	}
	for _, s := range r.Servers {
		u.Servers = append(u.Servers, objects.Object{
			Name: s.Name, Revision: unit.Revision{Era: unit.Era(r.ServersEra), Number: s.Revision}, Version: unit.Version(s.Revision), Value: s.Value, Deleted: s.Removed,
		})
	}
	return u
}

// milliseconds returns a time that a peer states, cut to a limit, so that it can't overflow.
func milliseconds(ms uint64, limit time.Duration) time.Duration {
	return time.Duration(min(ms, uint64(limit.Milliseconds()))) * time.Millisecond
}

func encode(u directory.Update) *peer.ChangesReply {
	r := &peer.ChangesReply{
		Incarnation: u.Cursor.Incarnation, Position: u.Cursor.Position, Full: u.Full,
		Revision: u.Cursor.Configuration.Revision.Number, RevisionEra: uint64(u.Cursor.Configuration.Revision.Era),
		ServersAgeMs: roundUpMillis(u.ServersAge), ConfigurationAgeMs: roundUpMillis(u.ConfirmedAge), Configuration: u.Packed,
		HeldMs: uint64(u.Waited.Milliseconds()), ServersRevision: u.ServersRevision.Number, ServersEra: uint64(u.ServersRevision.Era),
		// Rounded down, so that no time counts as covered that was not.
		CoveredMs: uint64(max(0, min(u.CoveredFor, maxAge)).Milliseconds()),
		EraMs:     uint64(max(0, min(u.EraFor, maxAge)).Milliseconds()),
	}
	for _, o := range u.Servers {
		r.Servers = append(r.Servers, &peer.StoredServer{Name: o.Name, Revision: o.Revision.Number, Value: o.Value, Removed: o.Deleted})
	}
	return r
}

// roundUpMillis returns an age in whole milliseconds, rounded up so that it is never
// too young. Ages beyond maxAge, such as that of an unknown state, are cut to it,
// which any receiver can represent.
func roundUpMillis(d time.Duration) uint64 { return uint64(min(max(0, d), maxAge).Milliseconds() + 1) }
