package watcher

import (
	"oleandercove.example/core/unit"
)

// combine returns the view of one backend server, or false if it is gone.
// Reports of daemons that are selected now come first; others count only when
// there are none, such as just after a daemon died.
func combine(id unit.BackendID, reports map[source]report, own report, sel *selection) (Backend, bool) {
	row, leaving, ok := newest(reports, sel)
	if !ok {
		return Backend{}, false
	}
	b := row.backend
	b.Leaving, b.Draining, b.Healthy, b.Engine = leaving, leaving, false, nil
	selected := choose(reports, fromPoll, func(h unit.HostID) bool { return sel.polls(h, id, b.DataCentre) })
	if own.backend.ID != "" {
		selected = append(selected, own)
	}
	var best report
	for _, r := range selected {
		if r.backend.Address != b.Address {
			continue
		}
		b.Healthy = b.Healthy || r.backend.Healthy
		if r.backend.Healthy && r.version >= best.version {
			best = r
		}
	}
	b.Engine, b.Seen = best.backend.Engine, best.backend.Seen
	b.stall(selected)
	for _, r := range selected {
		b.Draining = b.Draining || (r.backend.Draining && r.backend.Address == b.Address && sameRun(r.backend, b))
	}
	return b, b.Healthy || !row.gone
}

// newest returns the latest list row and whether any selected reader says that
// the backend server is leaving. A row that is gone keeps the address of an
// older one.
func newest(reports map[source]report, sel *selection) (row report, leaving, ok bool) {
	for s, r := range reports {
		if s.origin == fromList && !r.gone && (!ok || r.version > row.version) {
			row, ok = r, true
		}
	}
	if !ok {
		return row, false, false
	}
	selected := choose(reports, fromList, func(h unit.HostID) bool { return sel.reads(h, row.backend.DataCentre) })
	row.gone = true
	for _, r := range selected {
		leaving = leaving || r.backend.Draining
		row.gone = row.gone && r.gone
	}
	return row, leaving, true
}

// choose returns the reports of selected daemons, or all if there are none.
func choose(reports map[source]report, o origin, selected func(unit.HostID) bool) []report {
	var in, all []report
	for s, r := range reports {
		if s.origin != o || (o == fromPoll && r.gone) {
			continue
		}
		all = append(all, r)
		if selected(s.host) {
			in = append(in, r)
		}
	}
	if len(in) == 0 {
		return all
	}
	return in
}

// sameRun tells whether two views are of the same process of an engine.
func sameRun(a, b Backend) bool {
	return a.Engine == nil || b.Engine == nil || a.Engine.Start == b.Engine.Start
}
