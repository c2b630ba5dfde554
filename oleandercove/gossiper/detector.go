package gossiper

import (
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
)

// The limits add up to the time until a killed daemon is removed from every peer's
// membership: 1.0 s + 0.5 s + 0.8 s and two ticks, below the target of 3 s.
const (
	// silenceLimit is the silence of a neighbour after which it is probed through
	// peers. The connector opens a new connection earlier.
	silenceLimit = time.Second
	// refusedSilenceLimit is the shorter limit if the connection is closed and a
	// new one was refused.
	refusedSilenceLimit = 400 * time.Millisecond
	// probeLimit bounds the indirect probes of a member.
	probeLimit = 500 * time.Millisecond
	// suspicionLimit is the time a member has to refute a suspicion.
	suspicionLimit = 800 * time.Millisecond
	// tickInterval is the time between two decisions.
	tickInterval = 100 * time.Millisecond
	// pauseLimit is the gap between two ticks that shows that this process was
	// paused; its view is then outdated, and it raises no suspicion for graceLimit.
	pauseLimit = 400 * time.Millisecond
	graceLimit = 1200 * time.Millisecond
	// probeValidity is the time for which a successful indirect probe is valid.
	probeValidity = time.Second
	// forgetLimit is the time after which dead members, and those that left, are
	// removed. Until then dead members are candidates to connect to.
	forgetLimit = 10 * time.Minute
	// indirectProbes is the maximum number of peers through which a member is probed.
	indirectProbes = 3
)

// record is a member with the times that this daemon keeps about it.
type record struct {
	member Member
	// since is the time at which this daemon learned of the present state.
	since time.Time
	// probeValidUntil is the time until which silence of the member on the link with
	// this daemon is ignored, because an indirect probe reached the member.
	probeValidUntil time.Time
	probing         bool
}

// actionKind is what to do about a member.
type actionKind int

const (
	// probeMember probes the member through peers.
	probeMember actionKind = iota
	// declareDead declares the member dead.
	declareDead
	// forgetMember removes the member.
	forgetMember
)

type action struct {
	kind   actionKind
	member Member
}

// snapshot is the input of decide.
type snapshot struct {
	now     time.Time
	records []record
	links   map[unit.HostID]connector.Link
	wanted  map[unit.HostID]bool
	// noSuspicionUntil is the time until which this daemon neither suspects members
	// nor declares them dead.
	noSuspicionUntil time.Time
}

// decide returns the actions for a snapshot. They depend on the snapshot only.
func decide(s snapshot) []action {
	var out []action
	for _, r := range s.records {
		switch age := s.now.Sub(r.since); {
		case r.member.State == Alive && !r.probing && s.now.After(r.probeValidUntil) && s.silent(r.member.Host):
			out = append(out, action{probeMember, r.member})
		case r.member.State == Suspect && age >= suspicionLimit && s.now.After(s.noSuspicionUntil):
			out = append(out, action{declareDead, r.member})
		case !r.member.Live() && age >= forgetLimit:
			out = append(out, action{forgetMember, r.member})
		}
	}
	return out
}

func (s snapshot) silent(h unit.HostID) bool {
	l, ok := s.links[h]
	if !ok || !s.wanted[h] || s.now.Before(s.noSuspicionUntil) {
		return false
	}
	silence := s.now.Sub(l.LastHeard)
	return silence > silenceLimit || (!l.Connected && l.Failures > 0 && silence > refusedSilenceLimit)
}
