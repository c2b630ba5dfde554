package watcher

import (
	"slices"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/chooser"
	"oleandercove.example/oleandercove/gossiper"
)

// watcherCount is the number of daemons that poll a backend server, and of those
// that read the host list for a data centre.
const watcherCount = 2

// selection caches which daemons are watchers for one membership. Hashing all
// daemons of a data centre for each backend server at each snapshot would use
// more than the CPU share that the control plane may use.
type selection struct {
	live    []gossiper.Member
	hosts   map[unit.DataCentre][]unit.HostID
	readers map[unit.DataCentre][]unit.HostID
	pollers map[unit.BackendID][]unit.HostID
}

func newSelection(live []gossiper.Member) *selection {
	return &selection{
		live: live, hosts: map[unit.DataCentre][]unit.HostID{},
		readers: map[unit.DataCentre][]unit.HostID{}, pollers: map[unit.BackendID][]unit.HostID{},
	}
}

// matches reports whether the selection is for this membership.
func (s *selection) matches(live []gossiper.Member) bool {
	same := len(live) == len(s.live) && (len(live) == 0 || &live[0] == &s.live[0])
	return same || slices.Equal(live, s.live)
}

func (s *selection) hostsOf(dc unit.DataCentre) []unit.HostID {
	h, ok := s.hosts[dc]
	if !ok {
		h = gossiper.Hosts(s.live, dc)
		s.hosts[dc] = h
	}
	return h
}

// polls reports whether a daemon polls a backend server of a data centre.
func (s *selection) polls(host unit.HostID, id unit.BackendID, dc unit.DataCentre) bool {
	p, ok := s.pollers[id]
	if !ok {
		p = chooser.Top("backend "+string(id), s.hostsOf(dc), watcherCount)
		s.pollers[id] = p
	}
	return slices.Contains(p, host)
}

// readsHostList reports whether a daemon reads the host list for a data centre.
func (s *selection) readsHostList(host unit.HostID, dc unit.DataCentre) bool {
	r, ok := s.readers[dc]
	if !ok {
		r = chooser.Top("host list", s.hostsOf(dc), watcherCount)
		s.readers[dc] = r
	}
	return slices.Contains(r, host)
}
