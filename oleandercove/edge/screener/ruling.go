package screener

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/quarantiner"
)

// ruling is what holds for a request.
type ruling int

const (
	// free requests may run at any time.
	free ruling = iota
	// aloneOfCopies lets one copy of the request run at a time.
	aloneOfCopies
	// undecided waits for the marks of other requests of the same crash.
	undecided
	// refuse keeps the request from all backend servers.
	refuse
)

// rule decides what holds for a request from its marks alone.
func rule(b *quarantiner.Book, f quarantiner.Fingerprint, now time.Time) ruling {
	if b.Convicted(f, now) {
		return refuse
	}
	ends := b.Ends(f)
	switch {
	case len(ends) >= 2 && now.Sub(ends[len(ends)-1].At) < quarantiner.SettleDelay:
		return undecided
	case b.Suspect(f, now):
		return aloneOfCopies
	default:
		return free
	}
}

// Content is what two requests that are the same have in common.
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
		// A digest accepts all writes.
		_, _ = d.WriteString(part)
		_, _ = d.WriteString(separator)
	}
	_, _ = d.Write(c.Body)
	return quarantiner.Fingerprint(d.Sum64())
}
