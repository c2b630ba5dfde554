package prover_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
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
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

// settleLimit bounds each wait for a state of the site, such as the daemons' agreement.
const settleLimit = 20 * time.Second

var (
	patchedKey  = catalogue.Key{Kind: catalogue.KindModel, Name: modelName}
	replacedKey = catalogue.Key{Kind: catalogue.KindService, Name: "logbook"}
)

// acceptedEdit is an edit that a daemon reported as accepted.
type acceptedEdit struct {
	key     catalogue.Key
	id      string
	version unit.Version
}

// site is a platform with daemons, and a record of the answers that operators and observers
// received.
type site struct {
	*launcher.Launcher
	platform *launcher.Process
	daemons  []*launcher.Process

	mu         sync.Mutex
	accepted   []acceptedEdit
	refusals   map[verdict.Verdict]int
	history    map[catalogue.Key]map[unit.Version]catalogue.Change
	violations []string
}

func newSite(t *testing.T, daemons int) *site {
	t.Helper()
	is := is.New(t)
	s := &site{
		Launcher: launcher.New("../bin", t.TempDir()), refusals: map[verdict.Verdict]int{},
		history: map[catalogue.Key]map[unit.Version]catalogue.Change{patchedKey: {}, replacedKey: {}},
	}
	t.Cleanup(s.Close)
	var err error
	s.platform, err = s.Platform()
	is.NoErr(err)
	createEntries(t, s.Launcher)
	for i := range daemons {
		d, err := s.Daemon(fmt.Sprintf("entry-%d", i), "dc-a")
		is.NoErr(err)
		is.NoErr(launcher.WaitHTTP("http://"+d.OperatorAddress+"/v1/entries", settleLimit))
		s.daemons = append(s.daemons, d)
	}
	return s
}

// operator returns a client of one daemon's operator interface; name is the author of edits.
func (s *site) operator(daemon int, name string) *client.Client {
	return client.New(client.Options{
		Addresses: []string{s.daemons[daemon].OperatorAddress}, Token: launcher.OperatorToken, Operator: name,
	})
}

// setPlatformFaults replaces the injected faults of the platform.
func (s *site) setPlatformFaults(ctx context.Context, f storer.Faults) error {
	return s.sendToPlatform(ctx, http.MethodPost, "/faults", f)
}

// registerHost writes a row of the platform's host list.
func (s *site) registerHost(ctx context.Context, h platform.Host) error {
	return s.sendToPlatform(ctx, http.MethodPut, "/v1/hosts/"+h.ID, h)
}

func (s *site) sendToPlatform(ctx context.Context, method, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	res, err := invoker.Client{}.Do(ctx, method, "http://"+s.platform.Address+path, body, nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func entryPath(k catalogue.Key) string {
	return "/v1/entries/" + string(k.Kind) + "/" + string(k.Name)
}

// recordViolation records a violation of what the product guarantees.
func (s *site) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// recordOutcome records the outcome of an edit and returns its verdict, which is empty for an
// accepted edit. An error without a refusal counts as MayHaveRun.
func (s *site) recordOutcome(key catalogue.Key, a api.EditAccepted, err error) verdict.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		if a.ID != "" {
			s.accepted = append(s.accepted, acceptedEdit{key: key, id: a.ID, version: a.Version})
		}
		return ""
	}
	v := verdict.MayHaveRun
	var e *client.Error
	if errors.As(err, &e) {
		v = e.Body.Verdict
	}
	s.refusals[v]++
	return v
}

// recordHistory reads the history of an entry from the platform and keeps its changes, because
// the stored history has only the latest ones.
func (s *site) recordHistory(ctx context.Context, p platform.Client, key catalogue.Key) {
	o, err := p.Get(ctx, platform.KindEntry, key.ObjectName())
	if err != nil {
		return
	}
	e, err := catalogue.Decode(o.Value, o.Version)
	if err != nil {
		s.recordViolation("stored entry %v cannot be read: %v", key, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range e.History {
		if old, ok := s.history[key][c.Version]; ok && old.ID != c.ID {
			s.violations = append(s.violations, fmt.Sprintf("version %d of %v changed from edit %s to %s", c.Version, key, old.ID, c.ID))
		}
		s.history[key][c.Version] = c
	}
}

// watchVersions reads the catalogue of one daemon until ctx is done and records a violation
// for each version that goes down.
func (s *site) watchVersions(ctx context.Context, daemon int) {
	seen := map[catalogue.Key]unit.Version{}
	c := s.operator(daemon, "")
	for ctx.Err() == nil {
		for k, v := range s.appliedVersions(ctx, c) {
			if v < seen[k] {
				s.recordViolation("daemon %d went from version %d of %v to %d", daemon, seen[k], k, v)
			}
			seen[k] = v
		}
	}
}

// appliedVersions returns the versions of the entries that one daemon applies.
func (s *site) appliedVersions(ctx context.Context, c *client.Client) map[catalogue.Key]unit.Version {
	out := map[catalogue.Key]unit.Version{}
	var l api.EntryList
	if c.Get(ctx, "/v1/entries", &l) == nil {
		for _, v := range l.Entries {
			out[v.Entry.Key()] = v.Version
		}
	}
	return out
}

// agree reports whether every daemon applies the platform's current versions.
func (s *site) agree(ctx context.Context, p platform.Client) bool {
	l, err := p.List(ctx, platform.KindEntry)
	if err != nil {
		return false
	}
	for i := range s.daemons {
		seen := s.appliedVersions(ctx, s.operator(i, ""))
		for _, o := range l.Objects {
			e, err := catalogue.Decode(o.Value, o.Version)
			if err != nil || (!e.Deleted && seen[e.Key()] != o.Version) {
				return false
			}
		}
	}
	return true
}

// createEntries writes an account, a model and a service directly to the platform.
func createEntries(t *testing.T, l *launcher.Launcher) {
	t.Helper()
	is := is.New(t)
	is.NoErr(l.PutAccount(t.Context(), account))
	is.NoErr(l.PutEntry(t.Context(), &catalogue.Entry{
		Kind: patchedKey.Kind, Name: patchedKey.Name, Owner: "team", Class: catalogue.ClassStandard,
		Model: &catalogue.Model{Layers: layers, MaxTokens: 4096},
	}))
	is.NoErr(l.PutEntry(t.Context(), &catalogue.Entry{
		Kind: replacedKey.Kind, Name: replacedKey.Name, Owner: "team", Class: catalogue.ClassStandard,
		Service: &catalogue.Service{IdempotentMethods: []string{http.MethodGet}},
	}))
}
