package screener

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/quarantiner"
)

// decision is whether and how a request may run now.
type decision int

const (
	// unrestricted requests may run at any time.
	unrestricted decision = iota
	// oneCopy lets one copy of the request run at a time.
	oneCopy
	// undecided requests wait for the records of other requests of the same crashes.
	undecided
	// refuse keeps a quarantined request from all backend servers.
	refuse
)

// decide returns the decision for a request: one that has a poison part is refused, one with a
// part of several crashes waits for the records of other daemons. The caller holds the lock.
func (s *Screener) decide(id Identity, now time.Time) decision {
	s.evaluateParts(now)
	if _, poison := s.parts.Match(id.Parts, now); poison {
		return refuse
	}
	if s.parts.Undecided(id.Parts, now) {
		return undecided
	}
	return decide(s.history, id.Content, now)
}

// decide returns the decision for a content from its crash records alone, whether or not
// a copy of it is running.
func decide(h *quarantiner.History, f quarantiner.Fingerprint, now time.Time) decision {
	if h.IsQuarantined(f, now) {
		return refuse
	}
	strong := h.StrongRecords(f)
	switch {
	case len(strong) >= 2 && now.Sub(strong[len(strong)-1].At) < quarantiner.SettleDelay:
		return undecided
	case h.IsSuspect(f, now):
		return oneCopy
	default:
		return unrestricted
	}
}

// Content is what identifies copies of the same request.
type Content struct {
	Method, Host, Target string
	Account              unit.AccountID
	Body                 []byte
}

// Fingerprint returns the fingerprint of the content.
func (c Content) Fingerprint() quarantiner.Fingerprint {
	const separator = "\x00"
	d := xxhash.New()
	for _, part := range []string{c.Method, c.Host, c.Target, string(c.Account)} {
		// Writes to a digest don't fail.
		_, _ = d.WriteString(part)
		_, _ = d.WriteString(separator)
	}
	_, _ = d.Write(c.Body)
	return quarantiner.Fingerprint(d.Sum64())
}
