package gossiper

import (
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
)

// The limits add up to the time until a killed daemon is out of every peer's
// membership: 1.0 s + 0.5 s + 0.8 s and two ticks, below the target of 3 s.
const (
	// silenceLimit is the silence of a neighbour after which peers are asked.
	// The connector opens a new connection before it.
	silenceLimit = time.Second
	// refusedLimit is the shorter limit when the connection is closed and a
	// new one was refused.
	refusedLimit = 400 * time.Millisecond
	// probeLimit bounds the indirect probes.
	probeLimit = 500 * time.Millisecond
	// suspicionLimit is the time a member has to refute a suspicion.
	suspicionLimit = 800 * time.Millisecond
	// tickInterval is the time between two decisions.
	tickInterval = 100 * time.Millisecond
	// pauseLimit is the gap between two ticks that shows that this process was
	// paused; its view is then outdated and raises no suspicion for graceLimit.
	pauseLimit = 400 * time.Millisecond
	graceLimit = 1200 * time.Millisecond
	// excuseLimit is the time for which a successful indirect probe counts.
	excuseLimit = time.Second
	// forgetLimit is the time for which dead members are kept as candidates.
	forgetLimit = 10 * time.Minute
	// indirectProbes is the number of peers that are asked.
	indirectProbes = 3
)

// record is a member and the local times about it.
type record struct {
	member Member
	// since is when this daemon saw the present state.
	since time.Time
	// excused is until when the member's silence on the own link is ignored.
	excused time.Time
	probing bool
}

// actionKind says what to do about a member.
type actionKind int

const (
	// probe asks peers about the member.
	probe actionKind = iota
	// bury declares the member dead.
	bury
	// forget removes the member.
	forget
)

type action struct {
	kind   actionKind
	member Member
}

// snapshot is what decisions are made from.
type snapshot struct {
	now     time.Time
	records []record
	links   map[unit.HostID]connector.Link
	wanted  map[unit.HostID]bool
	// quiet is until when this daemon raises no suspicion.
	quiet time.Time
}

// decide returns what to do; it depends on the snapshot only.
func decide(s snapshot) []action {
	var out []action
	for _, r := range s.records {
		switch age := s.now.Sub(r.since); {
		case r.member.State == Alive && !r.probing && s.now.After(r.excused) && s.silent(r.member.Host):
			out = append(out, action{probe, r.member})
		case r.member.State == Suspect && age >= suspicionLimit && s.now.After(s.quiet):
			out = append(out, action{bury, r.member})
		case !r.member.Live() && age >= forgetLimit:
			out = append(out, action{forget, r.member})
		}
	}
	return out
}

func (s snapshot) silent(h unit.HostID) bool {
	l, ok := s.links[h]
	if !ok || !s.wanted[h] || s.now.Before(s.quiet) {
		return false
	}
	silence := s.now.Sub(l.Heard)
	return silence > silenceLimit || (!l.Connected && l.Failures > 0 && silence > refusedLimit)
}
