// Package launcher starts the project's own programs as processes, for tests,
// measurements and the demo.
//
// Every process is ended by its id when the launcher closes.
//
// Usage:
//
//	l := launcher.New(binaries, folder)
//	defer l.Close()
//	p, err := l.Platform()
//	e, err := l.Engine(launcher.EngineSpec{ID: "e1", To: 24})
package launcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

// readyLimit bounds the start of a process.
const readyLimit = 20 * time.Second

// Launcher starts processes and ends them.
type Launcher struct {
	// Binaries is the folder of the built programs.
	Binaries string
	// Dir holds logs, settings and journals.
	Dir string
	// DaemonSettings is added to the settings file of each daemon.
	DaemonSettings string

	mu        sync.Mutex
	processes []*Process
	platform  *Process
	authority *Authority
	peers     []string
	stops     []context.CancelFunc
	closed    bool
}

// New returns a Launcher.
func New(binaries, dir string) *Launcher { return &Launcher{Binaries: binaries, Dir: dir} }

// Close ends all processes.
func (l *Launcher) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stop := range l.stops {
		stop()
	}
	for _, p := range l.processes {
		p.Kill()
	}
	l.processes, l.closed = nil, true
}

// run starts a program and waits until its address answers.
func (l *Launcher) run(name, address, ready string, args ...string) (*Process, error) {
	p := &Process{Name: name, Address: address, Args: args, launcher: l}
	if err := l.add(p); err != nil {
		return nil, err
	}
	if err := WaitHTTP("http://"+address+ready, readyLimit); err != nil {
		return p, fmt.Errorf("%s: %w; end of its log:\n%s", name, err, p.logTail())
	}
	return p, nil
}

// add starts a process, unless the launcher has been closed meanwhile.
func (l *Launcher) add(p *Process) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errors.New("launcher is closed")
	}
	if err := p.start(); err != nil {
		return err
	}
	l.processes = append(l.processes, p)
	return nil
}

// WaitHTTP waits until a URL answers below status 500.
func WaitHTTP(url string, limit time.Duration) error {
	return Wait(limit, "answer from "+url, func() bool {
		c := http.Client{Timeout: time.Second}
		res, err := c.Get(url)
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode < http.StatusInternalServerError
	})
}

// Wait polls until the condition holds.
func Wait(limit time.Duration, what string, condition func() bool) error {
	return WaitEvery(20*time.Millisecond, limit, what, condition)
}

// WaitEvery polls at the given interval until the condition holds.
func WaitEvery(interval, limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(interval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("no %s within %s", what, limit)
}

func (l *Launcher) fake() string { return filepath.Join(l.Binaries, "oleanderfake") }

// Platform starts the stand-in of the platform.
func (l *Launcher) Platform(flags ...string) (*Process, error) {
	a, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	args := append([]string{l.fake(), "platform", "--listen", a}, flags...)
	l.platform, err = l.run("platform", a, "/v1/hosts", args...)
	return l.platform, err
}

// EngineSpec describes a fake engine.
type EngineSpec struct {
	ID         string
	DataCentre string
	Model      string
	Layers     int
	From, To   int
	LayerTime  time.Duration
	Kind       string
	Flags      []string
	// Via returns the address at which others reach the engine; nil means that
	// they reach it directly.
	Via func(address string) (string, error)
}

// Engine starts a fake engine; its journal goes to ID.journal.
func (l *Launcher) Engine(s EngineSpec) (*Process, error) {
	a, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	args := append([]string{
		l.fake(), "engine", "--listen", a, "--platform", l.platform.Address,
		"--id", s.ID, "--data-centre", s.DataCentre, "--model", s.Model,
		"--layers", fmt.Sprint(s.Layers), "--from", fmt.Sprint(s.From), "--to", fmt.Sprint(s.To),
		"--layer-time", s.LayerTime.String(), "--kind", s.Kind,
		"--journal", l.Journal(s.ID),
	}, s.Flags...)
	if s.Via != nil {
		proxied, err := s.Via(a)
		if err != nil {
			return nil, err
		}
		args = append(args, "--advertise", proxied)
	}
	return l.run(s.ID, a, "/v1/status", args...)
}

// Journal returns the path of a fake's journal.
func (l *Launcher) Journal(id string) string { return filepath.Join(l.Dir, id+".journal") }

// Service starts a fake service worker; its journal goes to ID.journal.
func (l *Launcher) Service(id, serves string, flags ...string) (*Process, error) {
	a, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	args := append([]string{
		l.fake(), "service", "--listen", a, "--platform", l.platform.Address,
		"--id", id, "--serves", serves, "--journal", l.Journal(id),
	}, flags...)
	return l.run(id, a, "/healthz", args...)
}

// settingsFormat is the settings file of a daemon.
const settingsFormat = `Host = %q
DataCentre = %q
Region = "test"

[Callers]
Listen = %q

[Operators]
Listen = %q
Token = %q

[Platform]
Address = %q
`

// OperatorToken is the bearer token of the operators of all daemons.
const OperatorToken = "token-of-the-operators"

// Daemon starts a daemon and waits until it is ready.
func (l *Launcher) Daemon(id, dataCentre string) (*Process, error) {
	a, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	operators, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(l.Dir, id+".toml")
	address, peers, err := l.peersSettings(id)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsFormat, id, dataCentre, a, operators, OperatorToken, l.platform.Address) + peers + l.DaemonSettings
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err := l.run(id, a, "/readyz", filepath.Join(l.Binaries, "oleandercove"), "run", "--config", path)
	if p != nil {
		p.Operators = operators
		l.register(p, dataCentre, address)
	}
	return p, err
}

// Token returns the bearer token of an account that Account creates.
func Token(account string) string { return "token-" + account }

// TokenHash returns the hash of an account's token, as in its entry.
func TokenHash(account string) string {
	sum := sha256.Sum256([]byte(Token(account)))
	return hex.EncodeToString(sum[:])
}

// Put writes a catalogue entry straight to the platform.
func (l *Launcher) Put(ctx context.Context, e *catalogue.Entry) error {
	v, err := catalogue.Encode(e)
	if err != nil {
		return err
	}
	c := platform.NewClient(platform.Options{Address: l.platform.Address})
	_, err = c.Put(ctx, platform.KindEntry, e.Key().ObjectName(), 0, v)
	return err
}

// Account writes an account entry with the token that Token returns.
func (l *Launcher) Account(ctx context.Context, name string) error {
	return l.Put(ctx, &catalogue.Entry{
		Kind: catalogue.KindAccount, Name: unit.EntryName(name), Owner: "operator",
		Class: catalogue.ClassStandard, Account: &catalogue.Account{TokenHash: TokenHash(name)},
	})
}
