// Package launcher starts the project's own programs as processes, for tests,
// measurements and the demo.
//
// Close kills every process that the launcher started, each by its own id.
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

// readyLimit is how long a started process may take to respond.
const readyLimit = 20 * time.Second

// Launcher starts processes and kills them on Close.
type Launcher struct {
	// Binaries is the folder of the built programs.
	Binaries string
	// Dir holds logs, settings and journals.
	Dir string
	// DaemonSettings is appended to the settings file of each daemon.
	DaemonSettings string

	mu        sync.Mutex
	processes []*Process
	platform  *Process
	authority *Authority
	peers     []string
	cancels   []context.CancelFunc
	closed    bool
}

// New returns a Launcher that starts the programs in binaries and writes its files to dir.
func New(binaries, dir string) *Launcher { return &Launcher{Binaries: binaries, Dir: dir} }

// Close kills all processes and stops the registration of daemons. The launcher starts no
// new process afterwards.
func (l *Launcher) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stop := range l.cancels {
		stop()
	}
	for _, p := range l.processes {
		p.Kill()
	}
	l.processes, l.closed = nil, true
}

// run starts a program and blocks until its ready path responds with a status below 500,
// for up to readyLimit. If it doesn't respond, run returns the process together with the
// error.
func (l *Launcher) run(name, address, ready string, args ...string) (*Process, error) {
	p := &Process{Name: name, Address: address, Args: args, launcher: l}
	if err := l.add(p); err != nil {
		return nil, err
	}
	return p, p.WaitHTTP("http://"+address+ready, readyLimit)
}

// add starts a process, unless the launcher is closed.
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

// WaitHTTP blocks until a GET of the URL responds with a status below 500. It returns an
// error after limit.
func WaitHTTP(url string, limit time.Duration) error {
	return Wait(limit, "answer from "+url, func() bool { return responds(url) })
}

// responds reports whether a GET of the URL responds with a status below 500 within a second.
func responds(url string) bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get(url)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode < http.StatusInternalServerError
}

// Wait polls every 20 ms until the condition holds. It returns an error after limit, which
// states what was awaited.
func Wait(limit time.Duration, what string, condition func() bool) error {
	return WaitEvery(20*time.Millisecond, limit, what, condition)
}

// WaitEvery polls at the given interval until the condition holds. It returns an error
// after limit, which states what was awaited.
func WaitEvery(interval, limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(interval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("no %s within %s", what, limit)
}

func (l *Launcher) fakeBinary() string { return filepath.Join(l.Binaries, "oleanderfake") }

// Platform starts the simulated platform and waits until it responds, for up to
// readyLimit.
func (l *Launcher) Platform(flags ...string) (*Process, error) {
	a, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	args := append([]string{l.fakeBinary(), "platform", "--listen", a}, flags...)
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
	// AdvertiseFunc returns the address that the engine advertises in place of its own, such
	// as that of a proxy; nil advertises its own address.
	AdvertiseFunc func(address string) (string, error)
}

// Engine starts a fake engine and waits until it responds. Its journal is ID.journal.
func (l *Launcher) Engine(s EngineSpec) (*Process, error) {
	a, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	args := append([]string{
		l.fakeBinary(), "engine", "--listen", a, "--platform", l.platform.Address,
		"--id", s.ID, "--data-centre", s.DataCentre, "--model", s.Model,
		"--layers", fmt.Sprint(s.Layers), "--from", fmt.Sprint(s.From), "--to", fmt.Sprint(s.To),
		"--layer-time", s.LayerTime.String(), "--kind", s.Kind,
		"--journal", l.Journal(s.ID),
	}, s.Flags...)
	if s.AdvertiseFunc != nil {
		proxied, err := s.AdvertiseFunc(a)
		if err != nil {
			return nil, err
		}
		args = append(args, "--advertise", proxied)
	}
	return l.run(s.ID, a, "/v1/status", args...)
}

// Journal returns the path of a fake's journal.
func (l *Launcher) Journal(id string) string { return filepath.Join(l.Dir, id+".journal") }

// Service starts a fake service worker and waits until it responds. Its journal is
// ID.journal.
func (l *Launcher) Service(id, serves string, flags ...string) (*Process, error) {
	a, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	args := append([]string{
		l.fakeBinary(), "service", "--listen", a, "--platform", l.platform.Address,
		"--id", id, "--serves", serves, "--journal", l.Journal(id),
	}, flags...)
	return l.run(id, a, "/healthz", args...)
}

// settingsFormat is the format of a daemon's settings file.
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
		p.OperatorAddress = operators
		l.keepRegistered(p, dataCentre, address)
	}
	return p, err
}

// Token returns the bearer token of an account that PutAccount creates.
func Token(account string) string { return "token-" + account }

// TokenHash returns the hash of an account's token, as its catalogue entry holds it.
func TokenHash(account string) string {
	sum := sha256.Sum256([]byte(Token(account)))
	return hex.EncodeToString(sum[:])
}

// PutEntry writes a new catalogue entry to the platform, without a daemon in between.
func (l *Launcher) PutEntry(ctx context.Context, e *catalogue.Entry) error {
	v, err := catalogue.Encode(e)
	if err != nil {
		return err
	}
	c := platform.NewClient(platform.Options{Address: l.platform.Address})
	_, err = c.Put(ctx, platform.KindEntry, e.Key().ObjectName(), 0, v)
	return err
}

// PutAccount writes an account entry with the token that Token returns.
func (l *Launcher) PutAccount(ctx context.Context, name string) error {
	return l.PutEntry(ctx, &catalogue.Entry{
		Kind: catalogue.KindAccount, Name: unit.EntryName(name), Owner: "operator",
		Class: catalogue.ClassStandard, Account: &catalogue.Account{TokenHash: TokenHash(name)},
	})
}
