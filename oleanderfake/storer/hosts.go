package storer

import (
	"sort"
	"sync"
	"time"

	"oleandercove.example/core/platform"
)

// hostRow is the row of a host in the host list.
type hostRow struct {
	host     platform.Host
	lastSeen time.Time
	// published is the row that readers see; next replaces it at due.
	published *platform.Host
	next      platform.Host
	due       time.Time
}

type hostList struct {
	options Options
	mu      sync.Mutex
	rows    map[string]*hostRow
}

func newHostList(o Options) *hostList {
	return &hostList{options: o, rows: map[string]*hostRow{}}
}

// register stores the newest state of a host; readers see a change only after HostLag.
func (l *hostList) register(h platform.Host, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rows[h.ID]
	if r == nil {
		r = &hostRow{}
		l.rows[h.ID] = r
	}
	if r.host != h {
		r.host, r.next, r.due = h, h, now.Add(l.options.HostLag)
	}
	r.lastSeen = now
}

// list returns the published rows in order of host id and removes the expired ones.
func (l *hostList) list(now time.Time) []platform.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := []platform.Host{}
	for id, r := range l.rows {
		if !now.Before(r.due) {
			next := r.next
			r.published = &next
		}
		if l.expired(r, now) {
			delete(l.rows, id)
			continue
		}
		if r.published != nil {
			hosts = append(hosts, *r.published)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}

func (l *hostList) expired(r *hostRow, now time.Time) bool {
	return l.options.HostTimeout > 0 && now.Sub(r.lastSeen) > l.options.HostTimeout+l.options.HostLag
}
