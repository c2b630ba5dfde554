package prioritizer

import (
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/oleandercove/edge/surveyor"
)

const (
	// maxHeldBack is the share of an engine that requests leave if all others are more urgent,
	// while all fit. It covers what arrives until the daemons know of each other's requests.
	maxHeldBack = 0.1
	// excessHeldBack is what a request beyond its share leaves while not all fit.
	excessHeldBack = 0.15
	// minTimeWeight bounds the weight of time from below, so that engines are still compared.
	minTimeWeight = 0.1
	// leastShare is the part of a class in the room, relative to its part of the demand, that
	// more urgent classes leave to it.
	leastShare = 0.3
	// restHeldBack is what most requests beyond their share leave: they find room only at engines
	// that are half empty, which shows that nothing is short any more.
	restHeldBack = 0.5
	// excessTryShare is the rate of requests beyond their share, relative to all that are
	// admitted, that leave only excessHeldBack. All daemons see the same free room, and would fill it
	// several times before they know of each other's requests.
	excessTryShare = 0.1
	// minTry is the least part of the requests beyond their share that do so, so that room that
	// has become free is found.
	minTry = 0.25
	// shortageShare is the share of the demand that is refused for lack of room from which the
	// room is divided.
	shortageShare = 0.02
	// outageShare is the share of the demand that is admitted below which the room is not divided:
	// most engines are lost, and what little there is says nothing about the next second.
	outageShare = 0.3
)

// isShort reports whether the room has to be divided: a noticeable part of the demand is refused,
// but not most of it.
func isShort(total surveyor.Rates) bool {
	admitted := total.AdmittedShare()
	return admitted < 1-shortageShare && admitted > outageShare
}

// classShare is the part of one class in the demand and in the room.
type classShare struct {
	surveyor.Class
	// moreUrgent and part are the parts of the demand that are more urgent, and of the class.
	moreUrgent, part float64
	// excess is the part of the class's requests beyond its share, and try the part of these that
	// leave only excessHeldBack.
	excess, try float64
}

// divideByClass divides what is admitted among the classes, the most urgent first. Each class leaves
// at least leastShare of their parts to the others. While all fit no class has an excess.
func divideByClass(classes []surveyor.Class) []classShare {
	total := surveyor.Total(classes)
	out := make([]classShare, len(classes))
	room := float64(total.Admitted)
	moreUrgent, left := 0.0, room
	for i, c := range classes {
		part := float64(c.Offered / total.Offered)
		out[i] = classShare{Class: c, moreUrgent: min(1, moreUrgent), part: part}
		moreUrgent += part
		left -= leastShare * part * room
	}
	if !isShort(total) || len(classes) < 2 {
		return out
	}
	for i := range out {
		c := &out[i]
		least := leastShare * c.part * room
		share := min(float64(c.Offered), least+left)
		left -= share - least
		c.excess, c.try = 1-share/float64(c.Offered), 1
		// The most urgent class takes room from no other one.
		if i > 0 {
			c.try = tryPart(c.excess*float64(c.Offered), room)
		}
	}
	return out
}

// tryPart returns the part of the requests beyond a share that leave only excessHeldBack, given
// their rate and that of all that are admitted.
func tryPart(excess, room float64) float64 {
	return max(minTry, min(1, excessTryShare*room/max(1, excess)))
}

// claims are the claims that requests of a class can have: within its share, and beyond it.
type claims struct {
	within, beyond Claim
	// share has the parts of the requests for which each claim is.
	share classShare
}

// newClaims returns the claims of a class. While the room is divided, requests within the share
// compete with all others alike.
func newClaims(c classShare, short bool) claims {
	within := Claim{TimeWeight: max(minTimeWeight, 1-c.moreUrgent), From: c.moreUrgent, To: min(1, c.moreUrgent+c.part), Rule: NoRule}
	beyond := within
	if c.moreUrgent > 0 && !short {
		within.HeldBack, within.Rule = maxHeldBack*c.moreUrgent, ClassRule
	}
	beyond.HeldBack, beyond.Rule = excessHeldBack, ClassShareRule
	return claims{within: within, beyond: beyond, share: c}
}

// pick returns the claim of a request, for a random number in [0, 1).
func (c claims) pick(random float64) Claim {
	switch {
	case random >= c.share.excess:
		return c.within
	case random < c.share.excess*(1-c.share.try):
		out := c.beyond
		out.HeldBack = restHeldBack
		return out
	default:
		return c.beyond
	}
}

// classPlan is what follows from the demand of the classes of a service.
type classPlan struct {
	madeAt  time.Time
	classes []surveyor.Class
	claims  map[routing.Urgency]claims
	short   bool
}

func newClassPlan(classes []surveyor.Class, now time.Time) *classPlan {
	p := &classPlan{madeAt: now, classes: classes, claims: map[routing.Urgency]claims{}, short: isShort(surveyor.Total(classes))}
	for _, c := range divideByClass(classes) {
		p.claims[c.Urgency] = newClaims(c, p.short)
	}
	return p
}
