package prover_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderctl/client"
	"oleandercove.example/oleanderfake/storer"
	"oleandercove.example/prover/launcher"
)

const (
	editsPerOperator = 40
	// lossShare is the share of writes, and of answers, that the platform loses.
	lossShare = 0.15
	// slowMs delays some platform calls and not others, so that edits arrive between a write
	// whose answer is lost and the read that checks it.
	slowMs = 12
	// slowPeriod is the time between two changes of the delay slowMs.
	slowPeriod = 5 * time.Millisecond
)

// ownFields has one field for each operator, so that their edits don't conflict.
var ownFields = []string{
	"Limits.RequestsPerSecond", "Limits.TokensPerSecond", "Limits.ConcurrentStreams",
	"DrainMs", "Model.Replicas", "Model.ActivationBytes",
}

// editor is one operator that edits a field of its own and shared entries.
type editor struct {
	site  *site
	name  string
	field string
	// possibleValues holds the last accepted value of the field and later ones whose
	// outcome is unknown.
	possibleValues []int
	// editCount counts the edits; notRunAuthors has the authors of those refused as NotRun.
	editCount     int
	notRunAuthors []string
}

// patchOwnField sets the operator's own field, which no other operator edits.
func (e *editor) patchOwnField(ctx context.Context, value int) {
	body := api.EntryPatch{Set: []catalogue.FieldEdit{{Field: e.field, Value: json.RawMessage(fmt.Sprint(value))}}}
	switch e.patch(ctx, patchedKey, body) {
	case "":
		e.possibleValues = []int{value}
	case verdict.MayHaveRun:
		e.possibleValues = append(e.possibleValues, value)
	}
}

func (e *editor) patch(ctx context.Context, key catalogue.Key, body api.EntryPatch) verdict.Verdict {
	var a api.EditAccepted
	c, by := e.authoredClient()
	err := c.Edit(ctx, http.MethodPatch, entryPath(key), nil, body, &a)
	return e.recordNotRun(by, e.site.recordOutcome(key, a, err))
}

// replaceOwner reads an entry and writes it back with another owner, on condition that its
// version hasn't changed.
func (e *editor) replaceOwner(ctx context.Context, value int) {
	var v api.EntryView
	c, by := e.authoredClient()
	if c.Get(ctx, entryPath(replacedKey), &v) != nil {
		return
	}
	v.Entry.Owner = fmt.Sprintf("%s-%d", e.name, value)
	var a api.EditAccepted
	err := c.Edit(ctx, http.MethodPut, entryPath(replacedKey), &v.Version, &v.Entry, &a)
	e.recordNotRun(by, e.site.recordOutcome(replacedKey, a, err))
}

// authoredClient returns a client of a random daemon, with an author of its own for each
// edit, so that the history shows exactly which edits took effect.
func (e *editor) authoredClient() (c *client.Client, by string) {
	e.editCount++
	by = fmt.Sprintf("%s/%d", e.name, e.editCount)
	return e.site.operator(rand.IntN(len(e.site.daemons)), by), by
}

// recordNotRun keeps the author of an edit that was refused as NotRun and returns v.
func (e *editor) recordNotRun(by string, v verdict.Verdict) verdict.Verdict {
	if v == verdict.NotRun {
		e.notRunAuthors = append(e.notRunAuthors, by)
	}
	return v
}

func (e *editor) run(ctx context.Context) {
	for i := range editsPerOperator {
		switch i % 4 {
		case 3:
			e.replaceOwner(ctx, i)
		case 2:
			owner := json.RawMessage(fmt.Sprintf("%q", e.name+fmt.Sprint(i)))
			e.patch(ctx, patchedKey, api.EntryPatch{Set: []catalogue.FieldEdit{{Field: "Owner", Value: owner}}})
		default:
			e.patchOwnField(ctx, i+1)
		}
	}
}

// Guards against accepted edits that are lost, refused edits that take effect, versions that
// go down and daemons that disagree, which happen when operators edit at the same time while
// the platform loses writes and answers.
func TestRacingEdits(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3)
	p := platform.NewClient(platform.Options{Address: s.platform.Address})
	watchCtx, stopWatching := context.WithCancel(t.Context())
	var observers, operators sync.WaitGroup
	for i := range s.daemons {
		observers.Go(func() { s.watchVersions(watchCtx, i) })
	}
	for _, k := range []catalogue.Key{patchedKey, replacedKey} {
		observers.Go(func() {
			for watchCtx.Err() == nil {
				s.recordHistory(watchCtx, p, k)
			}
		})
	}
	var faults sync.WaitGroup
	faultCtx, stopFaults := context.WithCancel(t.Context())
	faults.Go(func() { s.injectPlatformFaults(faultCtx) })
	var editors []*editor
	for i, f := range ownFields {
		e := &editor{site: s, name: fmt.Sprintf("operator-%d", i), field: f}
		editors = append(editors, e)
		operators.Go(func() { e.run(t.Context()) })
	}
	operators.Wait()
	stopFaults()
	faults.Wait()
	is.NoErr(s.setPlatformFaults(t.Context(), storer.Faults{}))
	is.NoErr(launcher.Wait(settleLimit, "agreement of all daemons", func() bool { return s.agree(t.Context(), p) }))
	stopWatching()
	observers.Wait()
	s.recordHistory(t.Context(), p, patchedKey)
	s.recordHistory(t.Context(), p, replacedKey)
	superseded := s.checkAccepted()
	s.checkEditors(t, p, editors)
	t.Logf("edits %d: accepted %d (of these %d superseded before the history was read), not run %d, unknown %d; violations %d",
		len(ownFields)*editsPerOperator, len(s.accepted), superseded, s.refusals[verdict.NotRun], s.refusals[verdict.MayHaveRun], len(s.violations))
	for _, v := range s.violations {
		t.Error(v)
	}
	is.True(len(s.accepted) > 0)
}

// injectPlatformFaults makes the platform lose writes and answers, and delay calls in every
// other period, until ctx is done.
func (s *site) injectPlatformFaults(ctx context.Context) {
	slow := time.NewTicker(slowPeriod)
	defer slow.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		f := storer.Faults{LoseAnswers: lossShare, LoseWrites: lossShare, SlowMs: i % 2 * slowMs}
		if err := s.setPlatformFaults(ctx, f); err != nil && ctx.Err() == nil {
			s.recordViolation("inject faults: %v", err)
		}
		select {
		case <-slow.C:
		case <-ctx.Done():
		}
	}
}

// checkAccepted records a violation for each accepted edit that is missing from the history.
// It returns the number of those that were superseded before the history was read.
func (s *site) checkAccepted() (superseded int) {
	for _, a := range s.accepted {
		c, ok := s.history[a.key][a.version]
		switch {
		case ok && c.ID != a.id:
			s.recordViolation("accepted edit %s is not version %d of %v", a.id, a.version, a.key)
		case !ok && s.newestVersion(a.key) > a.version:
			superseded++
		case !ok:
			s.recordViolation("accepted edit %s is not in the history of %v", a.id, a.key)
		}
	}
	return superseded
}

func (s *site) newestVersion(key catalogue.Key) (v unit.Version) {
	for n := range s.history[key] {
		v = max(v, n)
	}
	return v
}

// checkEditors compares the answers that each operator received with the final entry and
// the history.
func (s *site) checkEditors(t *testing.T, p platform.Client, editors []*editor) {
	is := is.New(t)
	o, err := p.Get(t.Context(), platform.KindEntry, patchedKey.ObjectName())
	is.NoErr(err)
	final, err := catalogue.Decode(o.Value, o.Version)
	is.NoErr(err)
	for _, e := range editors {
		if !slices.ContainsFunc(e.possibleValues, func(v int) bool { return hasValue(final, e.field, v) }) {
			s.recordViolation("%s does not have one of the values %v that %s set", e.field, e.possibleValues, e.name)
		}
		for _, by := range e.notRunAuthors {
			if n := s.countChangesBy(by); n > 0 {
				s.recordViolation("edit %s was refused as not run but is in the history", by)
			}
		}
		for i := range e.editCount {
			if n := s.countChangesBy(fmt.Sprintf("%s/%d", e.name, i+1)); n > 1 {
				s.recordViolation("edit %d of %s took effect %d times", i+1, e.name, n)
			}
		}
	}
}

func (s *site) countChangesBy(author string) (n int) {
	for _, changes := range s.history {
		for _, c := range changes {
			if c.By == author {
				n++
			}
		}
	}
	return n
}

// hasValue reports whether a field of an entry already has a value, so that setting it
// changes nothing.
func hasValue(e *catalogue.Entry, field string, value int) bool {
	same, err := catalogue.Apply(e, []catalogue.FieldEdit{{Field: field, Value: json.RawMessage(fmt.Sprint(value))}})
	if err != nil {
		return false
	}
	d, err := catalogue.Diff(e, same)
	return err == nil && len(d) == 0
}

// Guards against edits that block, or are not refused as NotRun, when the platform is down.
func TestEditsInOutage(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	is.NoErr(s.setPlatformFaults(t.Context(), storer.Faults{Down: true}))
	start := time.Now()
	body := api.EntryPatch{Set: []catalogue.FieldEdit{{Field: "Owner", Value: json.RawMessage(`"x"`)}}}
	err := s.operator(0, "ann").Edit(t.Context(), http.MethodPatch, entryPath(patchedKey), nil, body, &api.EditAccepted{})
	took := time.Since(start)
	var e *client.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Body.Verdict, verdict.NotRun)
	is.Equal(e.Body.Reason, verdict.PlatformUnavailable)
	is.Equal(e.RetryAfter, "5")
	is.True(took < time.Second) // refused at once
	t.Logf("edit refused after %s", took.Round(time.Millisecond))
}

// Guards against a drain mark that other daemons ignore, a drained daemon that doesn't exit
// with 0, and an operator's token or a token hash in a dump.
func TestDrainAndDump(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	_, err := s.Service("logbook-1", string(replacedKey.Name))
	is.NoErr(err)
	draining := func(want bool) func() bool {
		return func() bool {
			var l api.BackendList
			err := s.operator(1, "").Get(t.Context(), "/v1/backends", &l)
			return err == nil && len(l.Backends) == 1 && l.Backends[0].Draining == want
		}
	}
	is.NoErr(launcher.Wait(settleLimit, "backend server in service", draining(false)))
	is.NoErr(launcher.Wait(settleLimit, "drain accepted", func() bool { return s.requestDrain(t, 0, "logbook-1", false) == nil }))
	start := time.Now()
	is.NoErr(launcher.Wait(3*time.Second, "drain on the other daemon", draining(true)))
	t.Logf("the other daemon honoured the drain after %s", time.Since(start).Round(time.Millisecond))
	is.NoErr(s.requestDrain(t, 1, "logbook-1", true))
	is.NoErr(launcher.Wait(settleLimit, "end of the drain", draining(false)))

	var d api.Dump
	is.NoErr(s.operator(0, "").Get(t.Context(), "/v1/dump", &d))
	text, err := json.Marshal(d)
	is.NoErr(err)
	is.True(strings.Contains(string(text), account)) // the account is shown
	is.True(!strings.Contains(string(text), launcher.OperatorToken))
	is.True(!strings.Contains(string(text), launcher.TokenHash(account)))

	// The platform lists entry-1 but not entry-0. Daemon 0 reaches entry-1 through its
	// drain mark, and entry-0 because it is entry-0 itself.
	is.NoErr(s.registerHost(t.Context(), platform.Host{ID: "entry-1", Role: platform.RoleEntry, State: platform.HostLive}))
	is.NoErr(launcher.Wait(settleLimit, "drain of another host", func() bool { return s.requestDrain(t, 0, "entry-1", false) == nil }))
	is.NoErr(s.requestDrain(t, 0, "entry-0", false))
	for _, d := range s.daemons {
		code, err := d.WaitExit(settleLimit)
		is.NoErr(err)
		is.Equal(code, 0)
	}
}

func (s *site) requestDrain(t *testing.T, daemon int, target string, cancel bool) error {
	body := api.DrainRequest{Target: target, Cancel: cancel}
	return s.operator(daemon, "ann").Edit(t.Context(), http.MethodPost, "/v1/drain", nil, body, &api.DrainAccepted{})
}
