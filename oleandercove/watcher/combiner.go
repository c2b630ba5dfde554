package watcher

import (
	"oleandercove.example/core/unit"
)

// combine returns the view of one backend server, or false if it was removed. It
// uses polled and the reports of selected daemons. While there are no reports of
// selected daemons, such as just after a crash, it uses those of all daemons.
func combine(id unit.BackendID, reports map[source]report, polled report, sel *selection) (Backend, bool) {
	row, leaving, ok := newestRow(reports, sel)
	if !ok {
		return Backend{}, false
	}
	b := row.backend
	b.Leaving, b.Draining, b.Healthy, b.Engine = leaving, leaving, false, nil
	selected := selectedReports(reports, fromPoll, func(h unit.HostID) bool { return sel.polls(h, id, b.DataCentre) })
	if polled.backend.ID != "" {
		selected = append(selected, polled)
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
	b.deriveStalled(selected)
	for _, r := range selected {
		b.Draining = b.Draining || (r.backend.Draining && r.backend.Address == b.Address && sameInstance(r.backend, b))
	}
	return b, b.Healthy || !row.removed
}

// newestRow returns the newest host list row with an address, and whether any selected
// reader reports the backend server as leaving. The row is marked as removed if
// all reports of selected readers are.
func newestRow(reports map[source]report, sel *selection) (row report, leaving, ok bool) {
	for s, r := range reports {
		if s.origin == fromList && !r.removed && (!ok || r.version > row.version) {
			row, ok = r, true
		}
	}
	if !ok {
		return row, false, false
	}
	selected := selectedReports(reports, fromList, func(h unit.HostID) bool { return sel.readsHostList(h, row.backend.DataCentre) })
	row.removed = true
	for _, r := range selected {
		leaving = leaving || r.backend.Draining
		row.removed = row.removed && r.removed
	}
	return row, leaving, true
}

// selectedReports returns the reports of selected daemons, or all if these have none.
func selectedReports(reports map[source]report, o origin, selected func(unit.HostID) bool) []report {
	var in, all []report
	for s, r := range reports {
		if s.origin != o || (o == fromPoll && r.removed) {
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

// sameInstance reports whether two views may be of the same instance of an engine;
// a view without a status may be of any.
func sameInstance(a, b Backend) bool {
	return a.Engine == nil || b.Engine == nil || a.Engine.Start == b.Engine.Start
}
