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

// settleLimit bounds the wait for all daemons to agree.
const settleLimit = 20 * time.Second

var (
	patched  = catalogue.Key{Kind: catalogue.KindModel, Name: modelName}
	replaced = catalogue.Key{Kind: catalogue.KindService, Name: "logbook"}
)

// acceptedEdit is an edit that a daemon reported as accepted.
type acceptedEdit struct {
	key     catalogue.Key
	id      string
	version unit.Version
}

// site is a platform with daemons, and what operators and observers saw.
type site struct {
	*launcher.Launcher
	platform *launcher.Process
	daemons  []*launcher.Process

	mu       sync.Mutex
	accepted []acceptedEdit
	refused  map[verdict.Verdict]int
	history  map[catalogue.Key]map[unit.Version]catalogue.Change
	violated []string
}

func newSite(t *testing.T, daemons int) *site {
	t.Helper()
	is := is.New(t)
	s := &site{
		Launcher: launcher.New("../bin", t.TempDir()), refused: map[verdict.Verdict]int{},
		history: map[catalogue.Key]map[unit.Version]catalogue.Change{patched: {}, replaced: {}},
	}
	t.Cleanup(s.Close)
	var err error
	s.platform, err = s.Platform()
	is.NoErr(err)
	createEntries(t, s.Launcher)
	for i := range daemons {
		d, err := s.Daemon(fmt.Sprintf("entry-%d", i), "dc-a")
		is.NoErr(err)
		is.NoErr(launcher.WaitHTTP("http://"+d.Operators+"/v1/entries", settleLimit))
		s.daemons = append(s.daemons, d)
	}
	return s
}

// operator returns a client of one daemon.
func (s *site) operator(daemon int, name string) *client.Client {
	return client.New(client.Options{
		Addresses: []string{s.daemons[daemon].Operators}, Token: launcher.OperatorToken, Operator: name,
	})
}

// inject sets the faults of the platform.
func (s *site) inject(ctx context.Context, f storer.Faults) error {
	return s.tellPlatform(ctx, http.MethodPost, "/faults", f)
}

// list puts a host on the platform's list.
func (s *site) list(ctx context.Context, h platform.Host) error {
	return s.tellPlatform(ctx, http.MethodPut, "/v1/hosts/"+h.ID, h)
}

func (s *site) tellPlatform(ctx context.Context, method, path string, message any) error {
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

// violate records a broken promise.
func (s *site) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violated = append(s.violated, fmt.Sprintf(format, args...))
}

// outcome records how an edit ended and returns its verdict; an accepted edit
// has none.
func (s *site) outcome(key catalogue.Key, a api.EditAccepted, err error) verdict.Verdict {
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
	s.refused[v]++
	return v
}

// remember collects the changes of an entry from the platform itself, because
// the history keeps only the latest.
func (s *site) remember(ctx context.Context, p platform.Client, key catalogue.Key) {
	o, err := p.Get(ctx, platform.KindEntry, key.ObjectName())
	if err != nil {
		return
	}
	e, err := catalogue.Decode(o.Value, o.Version)
	if err != nil {
		s.violate("stored entry %v cannot be read: %v", key, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range e.History {
		if old, ok := s.history[key][c.Version]; ok && old.ID != c.ID {
			s.violated = append(s.violated, fmt.Sprintf("version %d of %v changed from edit %s to %s", c.Version, key, old.ID, c.ID))
		}
		s.history[key][c.Version] = c
	}
}

// observe reads the catalogue of one daemon until ctx is done and reports
// versions that go down.
func (s *site) observe(ctx context.Context, daemon int) {
	seen := map[catalogue.Key]unit.Version{}
	c := s.operator(daemon, "")
	for ctx.Err() == nil {
		for k, v := range s.versions(ctx, c) {
			if v < seen[k] {
				s.violate("daemon %d went from version %d of %v to %d", daemon, seen[k], k, v)
			}
			seen[k] = v
		}
	}
}

// versions returns what one daemon applies.
func (s *site) versions(ctx context.Context, c *client.Client) map[catalogue.Key]unit.Version {
	out := map[catalogue.Key]unit.Version{}
	var l api.EntryList
	if c.Get(ctx, "/v1/entries", &l) == nil {
		for _, v := range l.Entries {
			out[v.Entry.Key()] = v.Version
		}
	}
	return out
}

// agree tells whether every daemon applies the platform's current versions.
func (s *site) agree(ctx context.Context, p platform.Client) bool {
	l, err := p.List(ctx, platform.KindEntry)
	if err != nil {
		return false
	}
	for i := range s.daemons {
		seen := s.versions(ctx, s.operator(i, ""))
		for _, o := range l.Objects {
			e, err := catalogue.Decode(o.Value, o.Version)
			if err != nil || (!e.Deleted && seen[e.Key()] != o.Version) {
				return false
			}
		}
	}
	return true
}

// createEntries writes an account, a model and a service straight to the
// platform.
func createEntries(t *testing.T, l *launcher.Launcher) {
	t.Helper()
	is := is.New(t)
	is.NoErr(l.Account(t.Context(), account))
	is.NoErr(l.Put(t.Context(), &catalogue.Entry{
		Kind: patched.Kind, Name: patched.Name, Owner: "team", Class: catalogue.ClassStandard,
		Model: &catalogue.Model{Layers: layers, MaxTokens: 4096},
	}))
	is.NoErr(l.Put(t.Context(), &catalogue.Entry{
		Kind: replaced.Kind, Name: replaced.Name, Owner: "team", Class: catalogue.ClassStandard,
		Service: &catalogue.Service{IdempotentMethods: []string{http.MethodGet}},
	}))
}
