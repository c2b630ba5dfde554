package screener

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/quarantiner"
)

const (
	// contactTime is how long daemons may take to learn what others know.
	contactTime = 3 * time.Second
	// partCrashes is the number of crashes after which contactTime begins, maxLateSends how
	// often a poison part may be sent later than that.
	partCrashes  = 5
	maxLateSends = 3
	tick         = 50 * time.Millisecond
	// crashTicks and passTicks are the times from a send to a crash and to a pass, in ticks.
	crashTicks, passTicks = 3, 12
	// beaconTicks is the time between two beacons, beaconPeers the number of peers that get
	// one.
	beaconTicks, beaconPeers = 5, 32
	badPart, globalPart      = quarantiner.PartKey(1 << 40), quarantiner.PartKey(1 << 41)
)

// partFleet is a large fleet whose daemons get requests with a poison part among others.
type partFleet struct {
	*fleet
	rng *rand.Rand
	// loss is the share of the beacons that get lost.
	loss float64
	// unreachable holds the daemons that get and send no beacons, until a time.
	unreachable map[int]time.Time
	// changedAt holds when a daemon was restarted or cut off last.
	changedAt map[int]time.Time
	later     map[int][]func()
	now       int
	next      uint64

	crashes []time.Time
	// waiting are harmless requests that have not passed yet.
	waiting []partRequest
	// late counts the sends with the poison part later than contactTime after the last of
	// partCrashes crashes, refused the harmless requests that were refused, and lateRefused
	// those of them that came later than that.
	late, refused, lateRefused, harmless int
	// largest is the size of the largest beacon in bytes.
	largest int
}

// isLate reports whether contactTime has passed since the last of partCrashes crashes.
func (f *partFleet) isLate() bool {
	return len(f.crashes) >= partCrashes && f.clock.Now().Sub(f.crashes[partCrashes-1]) > contactTime
}

// partRequest is a request at a daemon.
type partRequest struct {
	daemon *Screener
	id     Identity
}

// bystanders is the number of harmless requests on an engine that crashes.
const bystanders = 3

func (f *partFleet) isUnreachable(d int) bool { return f.clock.Now().Before(f.unreachable[d]) }

// broadcast sends the updates of a daemon to some others, or to all if n is the size of the
// fleet.
func (f *partFleet) broadcast(from, n int) {
	now := f.clock.Now()
	records, update := f.daemons[from].Records(now), f.daemons[from].PartUpdate(now)
	size := 8 * (len(update.Passes) + len(records))
	for _, rec := range records {
		size += 8 * len(rec.Parts)
	}
	f.largest = max(f.largest, size)
	for _, to := range f.rng.Perm(len(f.daemons))[:n] {
		if to == from || f.isUnreachable(from) || f.isUnreachable(to) || f.rng.Float64() < f.loss {
			continue
		}
		f.daemons[to].Merge(records)
		f.daemons[to].MergeParts(update)
	}
}

func (f *partFleet) after(ticks int, fn func()) {
	f.later[f.now+ticks] = append(f.later[f.now+ticks], fn)
}

func (f *partFleet) identity(parts ...quarantiner.PartKey) Identity {
	f.next++
	return Identity{Content: quarantiner.Fingerprint(f.next), Parts: parts}
}

// enter calls admitted once a request may run at a daemon, or refused if it may not within
// maxWait.
func (f *partFleet) enter(d int, id Identity, admitted, refused func()) {
	limit := f.clock.Now().Add(maxWait)
	var try func()
	try = func() {
		switch decision, release := f.daemons[d].tryAdmit(id, f.clock.Now()); {
		case release != nil:
			admitted()
		case decision == refuse || !f.clock.Now().Before(limit):
			refused()
		default:
			f.after(1, try)
		}
	}
	try()
}

// sendPoison sends a request with the poison part through a daemon. It is sent a second time
// after its first crash.
func (f *partFleet) sendPoison(d int, id Identity, attempts int) {
	if attempts > 0 {
		f.enter(d, id, func() { f.runPoison(d, id, attempts) }, func() {})
	}
}

func (f *partFleet) runPoison(d int, id Identity, attempts int) {
	s := f.daemons[d]
	if f.isLate() && !f.isUnreachable(d) && f.clock.Now().Sub(f.changedAt[d]) > contactTime {
		f.late++
	}
	f.after(crashTicks, func() {
		f.crashes = append(f.crashes, f.clock.Now())
		server := fmt.Sprint("server-", len(f.crashes))
		crash := CrashOf(backend.Server{ID: unit.BackendID(server)})
		s.RecordCrash(CrashEvent{Identity: id, Crash: crash})
		for range min(bystanders, len(f.waiting)) {
			x := f.waiting[f.rng.IntN(len(f.waiting))]
			x.daemon.RecordCrash(CrashEvent{Identity: x.id, Crash: crash})
		}
		f.broadcast(d, len(f.daemons))
		f.sendPoison(d, id, attempts-1)
	})
}

// sendHarmless sends a harmless request through a daemon.
func (f *partFleet) sendHarmless(d int, id Identity) {
	f.harmless++
	f.enter(d, id, func() {
		s := f.daemons[d]
		f.waiting = append(f.waiting, partRequest{s, id})
		f.after(passTicks, func() {
			f.waiting = f.waiting[1:]
			s.Pass(id)
			s.ReachedPosition(id.Content, CompletePosition)
		})
	}, func() {
		f.refused++
		if f.isLate() {
			f.lateRefused++
		}
	})
}

// step lets one tick pass.
func (f *partFleet) step() {
	f.clock.Advance(tick)
	f.now++
	for _, fn := range f.later[f.now] {
		fn()
	}
	delete(f.later, f.now)
	for d := range f.daemons {
		if f.now%beaconTicks == d%beaconTicks {
			f.broadcast(d, min(beaconPeers, len(f.daemons)))
		}
	}
}

// Guards against a poison part that each daemon of a large fleet has to find by itself, and
// against harmless requests with its other parts that are refused.
func TestPoisonPartInFleet(t *testing.T) {
	tests := []struct {
		name    string
		daemons int
		// poisonEvery is the time between two requests with the poison part, in ticks.
		poisonEvery int
		loss        float64
		// harmlessFirst is set if harmless requests come before the first poison one.
		harmlessFirst bool
		// disrupt is called every second.
		disrupt func(f *partFleet)
	}{
		{"three daemons", 3, 3, 0, true, func(*partFleet) {}},
		{"hundreds of daemons", 300, 1, 0, true, func(*partFleet) {}},
		{"beacons get lost", 300, 1, 0.3, true, func(*partFleet) {}},
		{"nothing has passed before", 60, 1, 0.1, false, func(*partFleet) {}},
		{"daemons restart in turn", 60, 1, 0.1, true, func(f *partFleet) {
			for range 5 {
				d := f.rng.IntN(len(f.daemons))
				f.daemons[d] = New(Options{Timer: f.clock, Log: logger.Discard()})
				f.changedAt[d] = f.clock.Now()
			}
		}},
		{"daemons are cut off in turn", 60, 1, 0.1, true, func(f *partFleet) {
			for range 5 {
				d := f.rng.IntN(len(f.daemons))
				f.unreachable[d] = f.clock.Now().Add(2 * time.Second)
				f.changedAt[d] = f.unreachable[d]
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := &partFleet{
				fleet: newFleet(tt.daemons), rng: rand.New(rand.NewPCG(1, 2)), loss: tt.loss,
				unreachable: map[int]time.Time{}, changedAt: map[int]time.Time{}, later: map[int][]func(){},
			}
			first := func() quarantiner.PartKey { return quarantiner.PartKey(100 + f.rng.IntN(60)) }
			for n := range 400 {
				if n >= 60 || tt.harmlessFirst {
					for range 4 {
						f.sendHarmless(f.rng.IntN(tt.daemons), f.identity(first(), globalPart))
					}
				}
				if n >= 60 && n%tt.poisonEvery == 0 {
					f.sendPoison(f.rng.IntN(tt.daemons), f.identity(first(), badPart, globalPart), 2)
				}
				if n%20 == 0 {
					tt.disrupt(f)
				}
				f.step()
			}
			t.Logf("%d crashes, %d late sends, %d of %d harmless requests refused, at most %d bytes in a beacon", len(f.crashes), f.late, f.refused, f.harmless, f.largest)
			is.True(len(f.crashes) >= 3)
			is.True(f.late <= maxLateSends)
			is.Equal(f.lateRefused, 0)
			is.True(float64(f.refused) <= 0.01*float64(f.harmless))
			is.True(f.largest <= 4<<10)
		})
	}
}

// Guards against beacons that grow with the parts of prompts.
func TestPartBytes(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	d := f.daemons[0]
	for n := range 200 {
		id := Identity{Content: quarantiner.Fingerprint(n)}
		for p := range 1500 {
			id.Parts = append(id.Parts, quarantiner.PartKey(1500*n+p))
		}
		d.RecordCrash(CrashEvent{Identity: id, Crash: CrashOf(backend.Server{ID: unit.BackendID(fmt.Sprint(n))})})
	}
	parts := 0
	for _, rec := range d.Records(f.clock.Now()) {
		parts += len(rec.Parts)
	}
	is.True(parts > 0)
	is.True(parts <= maxBeaconParts)
}
