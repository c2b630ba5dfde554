package prover_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderfake/runner"
	"oleandercove.example/prover/invoker"
)

const (
	// mixedStreamCallers is enough to use all engines: with 8 callers the policy least-delay
	// sends every stream to the first engine of each stage.
	mixedStreamCallers  = 24
	mixedBookingCallers = 4
	mixedReaders        = 2
	// mixedAttempts bounds the attempts of a stream or booking. A booking whose claim is
	// running gets 409 until that attempt has ended.
	mixedAttempts = 12
	// streamDeadline is the deadline that a stream's caller sends, and streamLimit the time
	// after which it considers the answer lost.
	streamDeadline, streamLimit = 8 * time.Second, 14 * time.Second
	// retryDelay is the time after which a caller tries another daemon.
	retryDelay = 150 * time.Millisecond
	// bookingPause keeps bookings from taking the CPU of the streams.
	bookingPause = 20 * time.Millisecond
	// editPause is short enough for edits of the operators to overlap, and long enough not to
	// fill the history.
	editPause = 25 * time.Millisecond
)

// tally collects the answers that the callers of a run received.
type tally struct {
	mu       sync.Mutex
	counts   map[string]int
	bookings []*booking
	editors  []*mixedEditor
}

func (t *tally) count(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[what]++
}

// runCallers runs all callers until ctx is done and blocks until their last answers arrive.
func (m *mixedSite) runCallers(ctx context.Context, seed uint64, out *tally) {
	var wg sync.WaitGroup
	loop := func(rngStream uint64, runOnce func(rnd *rand.Rand, n int)) {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, rngStream))
			for n := 0; ctx.Err() == nil; n++ {
				runOnce(rnd, n)
			}
		})
	}
	for c := range mixedStreamCallers {
		loop(uint64(100+c), func(rnd *rand.Rand, n int) {
			m.runStream(rnd, fmt.Sprintf("caller %d, report %d", c, n), 20+rnd.IntN(60), out)
		})
	}
	for c := range mixedBookingCallers {
		loop(uint64(200+c), func(rnd *rand.Rand, n int) {
			m.runBooking(rnd, fmt.Sprintf("booking-%d-%d", c, n), out)
			<-m.timer.After(bookingPause)
		})
	}
	for c := range mixedReaders {
		loop(uint64(300+c), func(rnd *rand.Rand, _ int) {
			m.callService("read", booking{method: http.MethodGet}, rnd.IntN(mixedDaemons), out)
			<-m.timer.After(retryDelay / 10)
		})
	}
	for i, f := range ownFields[3:5] {
		e := &mixedEditor{editor: editor{site: m.site, name: fmt.Sprintf("operator-%d", i), field: f}}
		out.editors = append(out.editors, e)
		loop(uint64(400+i), func(_ *rand.Rand, n int) {
			e.edit(n + 1)
			<-m.timer.After(editPause)
		})
	}
	wg.Wait()
}

// mixedEditor keeps the values of all edits whose outcome is unknown: an edit that a paused
// daemon holds can take effect after later ones.
type mixedEditor struct {
	editor
	unknownValues []int
}

func (e *mixedEditor) edit(value int) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	before := len(e.possibleValues)
	e.patchOwnField(ctx, value)
	if len(e.possibleValues) > before && before > 0 {
		e.unknownValues = append(e.unknownValues, value)
	}
}

// runStream sends one prompt, and retries it at other daemons while the daemon is
// unavailable.
func (m *mixedSite) runStream(rnd *rand.Rand, text string, tokens int, out *tally) {
	first := rnd.IntN(mixedDaemons)
	for try := range mixedAttempts {
		if m.tryStream((first+try)%mixedDaemons, text, tokens, out) {
			return
		}
		<-m.timer.After(retryDelay)
	}
	m.recordViolation("stream %q: no daemon answered in %d tries", text, mixedAttempts)
}

// tryStream sends one prompt to one daemon, records a violation for a wrong answer, and
// reports whether the prompt needs no retry.
func (m *mixedSite) tryStream(daemon int, text string, tokens int, out *tally) bool {
	ctx, cancel := context.WithTimeout(context.Background(), streamLimit)
	defer cancel()
	start := time.Now()
	a, err := m.client.Complete(ctx, m.daemons[daemon].Address, invoker.Prompt{
		Model: modelName, Text: text, MaxTokens: tokens, Deadline: streamDeadline,
	})
	want := runner.ReferenceText(layers, text, tokens)
	switch {
	case !strings.HasPrefix(want, a.Text):
		m.recordViolation("stream %q on daemon %d: wrong text after %d tokens", text, daemon, a.Tokens)
	case a.Done && a.Text == want:
		out.count("stream complete")
	case a.Done:
		m.recordViolation("stream %q on daemon %d: end marker after %d of %d tokens", text, daemon, a.Tokens, tokens)
	case a.Refusal.Verdict == verdict.NotRun && a.Tokens > 0:
		m.recordViolation("stream %q on daemon %d: NotRun after %d tokens", text, daemon, a.Tokens)
	case a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound:
		m.recordViolation("stream %q on daemon %d: a known account and entry refused with status %d", text, daemon, a.Status)
	case a.Refusal.Verdict != "":
		out.count(fmt.Sprintf("stream %d %s %s", a.Status, a.Refusal.Verdict, a.Refusal.Reason))
		if a.Refusal.Reason == verdict.Draining || a.Refusal.Reason == verdict.Starting {
			return false
		}
	case dialFailed(err) && m.inOutage(daemon, start, time.Now(), false):
		out.count("stream not connected")
		return false
	case m.inOutage(daemon, start, time.Now(), true):
		out.count("stream lost with its daemon")
		return false
	default:
		m.recordViolation("stream %q on daemon %d: no end after %d of %d tokens in %s: status %d, %v",
			text, daemon, a.Tokens, tokens, time.Since(start).Round(time.Millisecond), a.Status, err)
	}
	return true
}

// dialFailed reports whether err means that no connection was made.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// runBooking sends one booking; one with a key is retried at other daemons after any
// failure whose verdict isn't Ran.
func (m *mixedSite) runBooking(rnd *rand.Rand, body string, out *tally) {
	b := &booking{method: http.MethodPost, body: body}
	tries := 1
	if rnd.IntN(4) > 0 {
		b.key, tries = "key-"+body, mixedAttempts
	}
	first := rnd.IntN(mixedDaemons)
	for try := range tries {
		a := m.callService("booking", *b, (first+try)%mixedDaemons, out)
		b.answers = append(b.answers, a)
		if a.status == http.StatusCreated || a.verdict == verdict.Ran {
			break
		}
		<-m.timer.After(retryDelay)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	out.bookings = append(out.bookings, b)
}

// callService sends one service call. It records a violation for a wrong refusal, and for a
// missing answer unless the daemon was in an outage: an abrupt one, or any if no connection
// was made.
func (m *mixedSite) callService(what string, b booking, daemon int, out *tally) bookingAnswer {
	start := time.Now()
	a, err := sendBooking(m.t.Context(), m.client, m.daemons[daemon].Address, b)
	out.count(fmt.Sprintf("%s %d%s", what, a.status, a.verdict))
	end := time.Now()
	switch {
	case a.status == http.StatusUnauthorized || a.status == http.StatusNotFound:
		m.recordViolation("%s %q on daemon %d: a known account and entry refused with status %d", what, b.body, daemon, a.status)
	case a.status >= http.StatusBadRequest && a.verdict == "":
		m.recordViolation("%s %q on daemon %d: status %d without a verdict", what, b.body, daemon, a.status)
	case a.status == 0 && !m.inOutage(daemon, start, end, !dialFailed(err)):
		m.recordViolation("%s %q on daemon %d: no answer in %s: %v", what, b.body, daemon, end.Sub(start).Round(time.Millisecond), err)
	}
	return a
}

// serves reports whether a new stream, booking and edit succeed at a daemon within 5 s.
func (m *mixedSite) serves(ctx context.Context, daemon int) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	const tokens = 5
	a, err := m.client.Complete(ctx, m.daemons[daemon].Address, invoker.Prompt{Model: modelName, Text: "fresh", MaxTokens: tokens})
	if err != nil || !a.Done || a.Text != runner.ReferenceText(layers, "fresh", tokens) {
		return false
	}
	id := fmt.Sprintf("fresh-%d-%d", daemon, time.Now().UnixNano())
	b, err := sendBooking(ctx, m.client, m.daemons[daemon].Address, booking{method: http.MethodPost, key: id, body: id})
	if err != nil || b.status != http.StatusCreated {
		return false
	}
	owner := catalogue.FieldEdit{Field: "Owner", Value: json.RawMessage(fmt.Sprintf("%q", id))}
	var e api.EditAccepted
	err = m.operator(daemon, "recovery").Edit(ctx, http.MethodPatch, entryPath(patchedKey), nil, api.EntryPatch{Set: []catalogue.FieldEdit{owner}}, &e)
	return m.recordOutcome(patchedKey, e, err) == ""
}
