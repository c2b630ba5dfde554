package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	global = PartKey(1)
	rare   = PartKey(2)
	bad    = PartKey(9)
	steady = PartKey(10)
	other  = PartKey(20)
)

// partEvent is a crash under a request with parts, or a pass of parts.
type partEvent struct {
	parts []PartKey
	// crash is empty for a pass.
	crash CrashID
	// content is 0 for a request of its own.
	content Fingerprint
	weak    bool
	// together is set if the event is at the same time as the one before.
	together bool
}

func crashOf(crash CrashID, parts ...PartKey) partEvent { return partEvent{parts: parts, crash: crash} }
func passOf(parts ...PartKey) partEvent                 { return partEvent{parts: parts} }

// replayParts applies events, 100 ms apart, and returns the history and the time after them.
func replayParts(events []partEvent) (*PartHistory, time.Time) {
	h, now := NewPartHistory(), time.Unix(1000, 0)
	for i, e := range events {
		if !e.together {
			now = now.Add(100 * time.Millisecond)
		}
		if e.crash == "" {
			h.Pass(e.parts, now)
			continue
		}
		content := e.content
		if content == 0 {
			content = Fingerprint(1000 + i)
		}
		h.Add(CrashRecord{Fingerprint: content, Crash: e.crash, Weak: e.weak, At: now, Parts: e.parts}, now)
		h.Evaluate(now)
	}
	return h, evaluateAll(h, now)
}

// evaluateAll evaluates all crashes and returns the time after that.
func evaluateAll(h *PartHistory, now time.Time) time.Time {
	now = now.Add(SettleDelay + firstPassTime)
	h.Evaluate(now)
	return now
}

func times(n int, event func(i int) partEvent) []partEvent {
	var out []partEvent
	for i := range n {
		out = append(out, event(i))
	}
	return out
}

func serverName(i int) CrashID { return CrashID(fmt.Sprint("server-", i)) }

// Guards against a part that continues to crash engines, and against harmless requests that are
// refused because they share other parts with the requests that crash engines.
func TestPartHistory(t *testing.T) {
	poisonAmong := func(n int, others ...PartKey) []partEvent {
		return times(n, func(i int) partEvent { return crashOf(serverName(i), append(append([]PartKey{}, others...), bad)...) })
	}
	tests := []struct {
		name   string
		events []partEvent
		give   []PartKey
		refuse bool
	}{
		{"two crashes quarantine", poisonAmong(2), []PartKey{bad}, false},
		{"three crashes don't quarantine", poisonAmong(3), []PartKey{bad}, true},
		{"another place or other parts beside it hide the part", poisonAmong(3), []PartKey{global, bad, other}, true},
		{"one crash under many requests counts often", times(9, func(int) partEvent { return crashOf("a", bad) }), []PartKey{bad}, false},
		{"one request that meets many crashes quarantines its part", times(9, func(i int) partEvent {
			return partEvent{parts: []PartKey{rare}, crash: serverName(i), content: 5}
		}), []PartKey{rare}, false},
		{"broken connections count as much as crashes", times(4, func(i int) partEvent {
			return partEvent{parts: []PartKey{bad}, crash: serverName(i), weak: true}
		}), []PartKey{bad}, false},
		{"broken connections don't count", times(5, func(i int) partEvent {
			return partEvent{parts: []PartKey{bad}, crash: serverName(i), weak: true}
		}), []PartKey{bad}, true},
		{"a part that all share is quarantined", append([]partEvent{passOf(global)}, poisonAmong(5, global)...), []PartKey{global}, false},
		{"a part that all share hides the poison part", append([]partEvent{passOf(global)}, poisonAmong(5, global)...), []PartKey{global, bad}, true},
		{"requests with a part that can't be distinguished yet are refused", poisonAmong(3, global), []PartKey{global}, false},
		{"both parts that can't be distinguished may run together", poisonAmong(3, global), []PartKey{global, bad}, true},
		{"a pass doesn't clear a part of a poison set", append(poisonAmong(3, global), passOf(global)), []PartKey{bad}, true},
		{"a crash with one part of a poison set is not counted", append(poisonAmong(3, rare), crashOf("x", bad)), []PartKey{bad}, true},
		{"a part with a pass between crashes is quarantined", append(append(poisonAmong(2), passOf(bad)), poisonAmong(4)...), []PartKey{bad}, false},
		{"a part that passed long ago is never quarantined", append([]partEvent{passOf(bad)}, poisonAmong(8)...), []PartKey{bad}, true},
		{"a quarantined part that passes stays", append(poisonAmong(3), passOf(bad)), []PartKey{bad}, false},
		{"crashes that the poison part explains count for bystanders", append(poisonAmong(3), times(5, func(i int) partEvent {
			return crashOf(serverName(i%3), rare)
		})...), []PartKey{rare}, false},
		{"a part that all share is quarantined at the start of a fleet, when its poison request is not known yet", append([]partEvent{
			crashOf("a", global), crashOf("b", global), crashOf("c", global),
		}, partEvent{parts: []PartKey{global, bad}, crash: "a", content: 50}, partEvent{parts: []PartKey{global, bad}, crash: "b", content: 51},
			partEvent{parts: []PartKey{global, bad}, crash: "c", content: 52}), []PartKey{global}, false},
		{"engines that crash together count as many crashes", times(30, func(i int) partEvent {
			return partEvent{parts: []PartKey{rare}, crash: serverName(i), together: i > 0}
		}), []PartKey{rare}, false},
		{"a request without parts is refused", poisonAmong(3), nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			// Parts of other requests pass all the time.
			h, now := replayParts(append([]partEvent{passOf(steady)}, tt.events...))
			_, refuse := h.Match(tt.give, now)
			is.Equal(refuse, tt.refuse)
		})
	}
}

// Guards against a quarantine that outlives its time, and against memory that grows with the
// number of crashes or parts.
func TestPartBounds(t *testing.T) {
	is := is.New(t)
	const last = PartKey(1 << 60)
	h, now := NewPartHistory(), time.Unix(1000, 0)
	for i := range 400 {
		var parts []PartKey
		for p := range 1 + i%999 {
			parts = append(parts, PartKey(100+1000*i+p))
		}
		h.Add(CrashRecord{Fingerprint: Fingerprint(i), Crash: serverName(i), At: now, Parts: append(parts, last)}, now)
		h.Pass(parts[:1], now)
		now = now.Add(sameCauseTime)
	}
	now = evaluateAll(h, now)
	_, refuse := h.Match([]PartKey{last}, now)
	is.True(refuse) // found among a thousand parts
	is.True(len(h.records) <= maxPartRecords)
	parts := 0
	for _, rec := range h.records {
		parts += len(rec.Parts)
	}
	is.True(parts <= maxHistoryParts)
	is.True(len(h.Sets(now)) <= maxPoisonSets)
	is.True(h.passes.Len() <= 2*maxPasses)
	now = now.Add(recordTTL)
	_, refuse = h.Match([]PartKey{last}, now)
	is.True(!refuse)
	is.Equal(len(h.records), 0)
}
