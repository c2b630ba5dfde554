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
	// slowMs delays some platform calls and not others, so that edits arrive
	// between a write with a lost answer and its reading back.
	slowMs = 12
	// slowPeriod is the time between two changes of the delay.
	slowPeriod = 5 * time.Millisecond
)

// ownFields has one field for each operator, so that their edits don't touch.
var ownFields = []string{
	"Limits.RequestsPerSecond", "Limits.TokensPerSecond", "Limits.ConcurrentStreams",
	"DrainMs", "Model.Replicas", "Model.ActivationBytes",
}

// editor is one operator with the values that its own field may have.
type editor struct {
	site  *site
	name  string
	field string
	// possible holds the last accepted value and later ones with an unknown
	// outcome.
	possible []int
	// edits counts the edits, and notRun has the authors of the refused ones.
	edits  int
	notRun []string
}

// patchOwn sets the operator's own field; nobody else edits it.
func (e *editor) patchOwn(ctx context.Context, value int) {
	body := api.EntryPatch{Set: []catalogue.FieldEdit{{Field: e.field, Value: json.RawMessage(fmt.Sprint(value))}}}
	switch e.patch(ctx, patched, body) {
	case "":
		e.possible = []int{value}
	case verdict.MayHaveRun:
		e.possible = append(e.possible, value)
	}
}

func (e *editor) patch(ctx context.Context, key catalogue.Key, body api.EntryPatch) verdict.Verdict {
	var a api.EditAccepted
	c, by := e.client()
	err := c.Edit(ctx, http.MethodPatch, entryPath(key), nil, body, &a)
	return e.note(by, e.site.outcome(key, a, err))
}

// replace reads an entry and writes it back with another owner, if nobody came
// first.
func (e *editor) replace(ctx context.Context, value int) {
	var v api.EntryView
	c, by := e.client()
	if c.Get(ctx, entryPath(replaced), &v) != nil {
		return
	}
	v.Entry.Owner = fmt.Sprintf("%s-%d", e.name, value)
	var a api.EditAccepted
	err := c.Edit(ctx, http.MethodPut, entryPath(replaced), &v.Version, &v.Entry, &a)
	e.note(by, e.site.outcome(replaced, a, err))
}

// client returns a client of any daemon, with an author that names this edit,
// so that the history shows exactly which edits took effect.
func (e *editor) client() (c *client.Client, by string) {
	e.edits++
	by = fmt.Sprintf("%s/%d", e.name, e.edits)
	return e.site.operator(rand.IntN(len(e.site.daemons)), by), by
}

func (e *editor) note(by string, v verdict.Verdict) verdict.Verdict {
	if v == verdict.NotRun {
		e.notRun = append(e.notRun, by)
	}
	return v
}

func (e *editor) run(ctx context.Context) {
	for i := range editsPerOperator {
		switch i % 4 {
		case 3:
			e.replace(ctx, i)
		case 2:
			owner := json.RawMessage(fmt.Sprintf("%q", e.name+fmt.Sprint(i)))
			e.patch(ctx, patched, api.EntryPatch{Set: []catalogue.FieldEdit{{Field: "Owner", Value: owner}}})
		default:
			e.patchOwn(ctx, i+1)
		}
	}
}

// TestRacingEdits guards against accepted edits that do not stand, refused
// edits that took effect, versions that go down, and daemons that disagree,
// while the platform loses writes and answers.
func TestRacingEdits(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3)
	p := platform.NewClient(platform.Options{Address: s.platform.Address})
	watching, stop := context.WithCancel(t.Context())
	var observers, operators sync.WaitGroup
	for i := range s.daemons {
		observers.Go(func() { s.observe(watching, i) })
	}
	for _, k := range []catalogue.Key{patched, replaced} {
		observers.Go(func() {
			for watching.Err() == nil {
				s.remember(watching, p, k)
			}
		})
	}
	var faults sync.WaitGroup
	racing, calm := context.WithCancel(t.Context())
	faults.Go(func() { s.disturb(racing) })
	var editors []*editor
	for i, f := range ownFields {
		e := &editor{site: s, name: fmt.Sprintf("operator-%d", i), field: f}
		editors = append(editors, e)
		operators.Go(func() { e.run(t.Context()) })
	}
	operators.Wait()
	calm()
	faults.Wait()
	is.NoErr(s.inject(t.Context(), storer.Faults{}))
	is.NoErr(launcher.Wait(settleLimit, "agreement of all daemons", func() bool { return s.agree(t.Context(), p) }))
	stop()
	observers.Wait()
	s.remember(t.Context(), p, patched)
	s.remember(t.Context(), p, replaced)
	superseded := s.checkAccepted()
	s.checkOperators(t, p, editors)
	t.Logf("edits %d: accepted %d (of these %d superseded unseen), not run %d, unknown %d; violations %d",
		len(ownFields)*editsPerOperator, len(s.accepted), superseded, s.refused[verdict.NotRun], s.refused[verdict.MayHaveRun], len(s.violated))
	for _, v := range s.violated {
		t.Error(v)
	}
	is.True(len(s.accepted) > 0)
}

// disturb loses writes and answers, and delays calls now and then, until ctx is
// done.
func (s *site) disturb(ctx context.Context) {
	slow := time.NewTicker(slowPeriod)
	defer slow.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		f := storer.Faults{LoseAnswers: lossShare, LoseWrites: lossShare, SlowMs: i % 2 * slowMs}
		if err := s.inject(ctx, f); err != nil && ctx.Err() == nil {
			s.violate("inject faults: %v", err)
		}
		select {
		case <-slow.C:
		case <-ctx.Done():
		}
	}
}

// checkAccepted looks for each accepted edit in the history and counts those
// that were superseded before the history was read.
func (s *site) checkAccepted() (superseded int) {
	for _, a := range s.accepted {
		c, ok := s.history[a.key][a.version]
		switch {
		case ok && c.ID != a.id:
			s.violate("accepted edit %s is not version %d of %v", a.id, a.version, a.key)
		case !ok && s.newest(a.key) > a.version:
			superseded++
		case !ok:
			s.violate("accepted edit %s is not in the history of %v", a.id, a.key)
		}
	}
	return superseded
}

func (s *site) newest(key catalogue.Key) (v unit.Version) {
	for n := range s.history[key] {
		v = max(v, n)
	}
	return v
}

// checkOperators compares what each operator was told with the final entry and
// with the history.
func (s *site) checkOperators(t *testing.T, p platform.Client, editors []*editor) {
	is := is.New(t)
	o, err := p.Get(t.Context(), platform.KindEntry, patched.ObjectName())
	is.NoErr(err)
	final, err := catalogue.Decode(o.Value, o.Version)
	is.NoErr(err)
	for _, e := range editors {
		if !slices.ContainsFunc(e.possible, func(v int) bool { return holds(final, e.field, v) }) {
			s.violate("%s does not have one of the values %v that %s set", e.field, e.possible, e.name)
		}
		for _, by := range e.notRun {
			if n := s.changesBy(by); n > 0 {
				s.violate("edit %s was refused as not run but is in the history", by)
			}
		}
		for i := range e.edits {
			if n := s.changesBy(fmt.Sprintf("%s/%d", e.name, i+1)); n > 1 {
				s.violate("edit %d of %s took effect %d times", i+1, e.name, n)
			}
		}
	}
}

func (s *site) changesBy(author string) (n int) {
	for _, changes := range s.history {
		for _, c := range changes {
			if c.By == author {
				n++
			}
		}
	}
	return n
}

// holds tells whether setting a field to a value would change nothing.
func holds(e *catalogue.Entry, field string, value int) bool {
	same, err := catalogue.Apply(e, []catalogue.FieldEdit{{Field: field, Value: json.RawMessage(fmt.Sprint(value))}})
	if err != nil {
		return false
	}
	d, err := catalogue.Diff(e, same)
	return err == nil && len(d) == 0
}

// TestEditsInOutage guards against edits that wait for a platform that is
// down, or that are not refused as NotRun.
func TestEditsInOutage(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	is.NoErr(s.inject(t.Context(), storer.Faults{Down: true}))
	start := time.Now()
	body := api.EntryPatch{Set: []catalogue.FieldEdit{{Field: "Owner", Value: json.RawMessage(`"x"`)}}}
	err := s.operator(0, "ann").Edit(t.Context(), http.MethodPatch, entryPath(patched), nil, body, &api.EditAccepted{})
	took := time.Since(start)
	var e *client.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Body.Verdict, verdict.NotRun)
	is.Equal(e.Body.Reason, verdict.PlatformUnavailable)
	is.Equal(e.RetryAfter, "5")
	is.True(took < time.Second) // refused at once
	t.Logf("edit refused after %s", took.Round(time.Millisecond))
}

// TestDrainAndDump guards against a drain mark that other daemons ignore, a
// drained daemon that does not stop cleanly, and secrets in a dump.
func TestDrainAndDump(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	_, err := s.Service("logbook-1", string(replaced.Name))
	is.NoErr(err)
	draining := func(want bool) func() bool {
		return func() bool {
			var l api.BackendList
			err := s.operator(1, "").Get(t.Context(), "/v1/backends", &l)
			return err == nil && len(l.Backends) == 1 && l.Backends[0].Draining == want
		}
	}
	is.NoErr(launcher.Wait(settleLimit, "backend server in service", draining(false)))
	is.NoErr(launcher.Wait(settleLimit, "drain accepted", func() bool { return s.drain(t, 0, "logbook-1", false) == nil }))
	start := time.Now()
	is.NoErr(launcher.Wait(3*time.Second, "drain on the other daemon", draining(true)))
	t.Logf("the other daemon honoured the drain after %s", time.Since(start).Round(time.Millisecond))
	is.NoErr(s.drain(t, 1, "logbook-1", true))
	is.NoErr(launcher.Wait(settleLimit, "end of the drain", draining(false)))

	var d api.Dump
	is.NoErr(s.operator(0, "").Get(t.Context(), "/v1/dump", &d))
	text, err := json.Marshal(d)
	is.NoErr(err)
	is.True(strings.Contains(string(text), account)) // the account is shown
	is.True(!strings.Contains(string(text), launcher.OperatorToken))
	is.True(!strings.Contains(string(text), launcher.TokenHash(account)))

	// The platform lists entry-1 but not entry-0, so daemon 0 reaches the
	// first through its mark and the second by being it.
	is.NoErr(s.list(t.Context(), platform.Host{ID: "entry-1", Role: platform.RoleEntry, State: platform.HostLive}))
	is.NoErr(launcher.Wait(settleLimit, "drain of another host", func() bool { return s.drain(t, 0, "entry-1", false) == nil }))
	is.NoErr(s.drain(t, 0, "entry-0", false))
	for _, d := range s.daemons {
		code, err := d.WaitExit(settleLimit)
		is.NoErr(err)
		is.Equal(code, 0)
	}
}

func (s *site) drain(t *testing.T, daemon int, target string, cancel bool) error {
	body := api.DrainRequest{Target: target, Cancel: cancel}
	return s.operator(daemon, "ann").Edit(t.Context(), http.MethodPost, "/v1/drain", nil, body, &api.DrainAccepted{})
}
