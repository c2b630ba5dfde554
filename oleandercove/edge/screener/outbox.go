package screener

import (
	"time"

	"oleandercove.example/oleandercove/quarantiner"
)

const (
	// shareTime is how long a crash record is repeated in beacons. Beacons get lost, and
	// in a large fleet each peer receives a beacon of this daemon within this time.
	shareTime = 3 * time.Second
	// withdrawalTime is how long a withdrawal is remembered. No peer sends the record
	// for longer, unless it has quarantined the request.
	withdrawalTime = time.Minute
	// maxOutbox bounds the records and withdrawals in one beacon, maxWithdrawn the
	// withdrawals that are remembered, and maxQuarantined the quarantined requests in
	// one beacon.
	maxOutbox      = 64
	maxWithdrawn   = 4096
	maxQuarantined = 32
	// completedTime is how long content that has run to its end gets no crash record.
	// Many requests can have the same content, and servers also crash for other reasons.
	completedTime = 15 * time.Second
	// maxCompleted bounds the requests in each generation of completed ones.
	maxCompleted = 8192
)

// recordKey identifies one crash record.
type recordKey struct {
	fingerprint quarantiner.Fingerprint
	crash       quarantiner.CrashID
}

func recordKeyOf(rec quarantiner.CrashRecord) recordKey { return recordKey{rec.Fingerprint, rec.Crash} }

// item is a crash record or a withdrawal that is sent to peers until a time.
type item struct {
	record quarantiner.CrashRecord
	until  time.Time
}

// outbox holds the records and withdrawals to send to peers. It also remembers
// withdrawals, because a record can arrive after its withdrawal.
type outbox struct {
	items       []item
	withdrawals map[recordKey]time.Time
}

func newOutbox() outbox { return outbox{withdrawals: map[recordKey]time.Time{}} }

// add queues a record or a withdrawal for peers.
func (o *outbox) add(rec quarantiner.CrashRecord, now time.Time) {
	if rec.Cleared {
		o.remember(rec, now)
	}
	o.items = append(o.items, item{record: rec, until: now.Add(shareTime)})
	o.items = o.items[max(0, len(o.items)-maxOutbox):]
}

// remember stores a withdrawal for withdrawalTime.
func (o *outbox) remember(rec quarantiner.CrashRecord, now time.Time) {
	if len(o.withdrawals) >= maxWithdrawn {
		clear(o.withdrawals)
	}
	o.withdrawals[recordKeyOf(rec)] = now.Add(withdrawalTime)
}

// isWithdrawn reports whether a record has been withdrawn.
func (o *outbox) isWithdrawn(rec quarantiner.CrashRecord, now time.Time) bool {
	until, ok := o.withdrawals[recordKeyOf(rec)]
	return ok && now.Before(until)
}

// pending returns the records and withdrawals to send now. Records that were withdrawn
// since they were queued are omitted.
func (o *outbox) pending(now time.Time) []quarantiner.CrashRecord {
	kept, out := o.items[:0], []quarantiner.CrashRecord(nil)
	for _, i := range o.items {
		if !now.Before(i.until) || (!i.record.Cleared && o.isWithdrawn(i.record, now)) {
			continue
		}
		kept, out = append(kept, i), append(out, i.record)
	}
	o.items = kept
	return out
}
