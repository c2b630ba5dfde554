// Command demo starts the whole system on loopback, sends one request of each kind, kills an
// engine under a stream, lets the routing daemons serve for a minute, and stops everything
// that it started.
//
// Usage:
//
//	go run ./prover/demo
package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/oleanderfake/runner"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

const (
	layers    = 24
	modelName = "report"
	account   = "field-crew"
	// limit is the time limit of the whole demo.
	limit = time.Minute + faultFreeTime
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Println("demo: failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo: ok")
}

func run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "oleandercove-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	l := launcher.New("bin", dir)
	defer l.Close()
	d := &demo{l: l, client: invoker.Client{Token: launcher.Token(account)}}
	done := make(chan error, 1)
	go func() { done <- d.steps(ctx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *demo) steps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{d.start, d.report, d.booking, d.edit, d.recovery, d.faultFreeMinute} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

type demo struct {
	l       *launcher.Launcher
	client  invoker.Client
	daemons []*launcher.Process
	engines []*launcher.Process
}

func (d *demo) start(ctx context.Context) error {
	if _, err := d.l.Platform(); err != nil {
		return err
	}
	fmt.Println("started the platform stand-in")
	if err := d.putEntries(ctx); err != nil {
		return err
	}
	if err := d.startBackends(); err != nil {
		return err
	}
	for i, dc := range []string{"dc-a", "dc-b", "dc-c"} {
		p, err := d.l.Daemon(fmt.Sprintf("entry-%d", i+1), dc)
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, p)
	}
	fmt.Println("started 3 daemons in 3 data centres")
	return launcher.Wait(10*time.Second, "complete answer", func() bool {
		a, err := d.complete(ctx, "warm-up", 1, nil)
		return err == nil && a.Done
	})
}

func (d *demo) putEntries(ctx context.Context) error {
	if err := d.l.PutAccount(ctx, account); err != nil {
		return err
	}
	model := &catalogue.Entry{
		Kind: catalogue.KindModel, Name: modelName, Owner: "assistant-team", Class: catalogue.ClassInteractive,
		Model: &catalogue.Model{Layers: layers, MaxTokens: 4096},
	}
	if err := d.l.PutEntry(ctx, model); err != nil {
		return err
	}
	return d.l.PutEntry(ctx, &catalogue.Entry{
		Kind: catalogue.KindService, Name: "logbook", Owner: "logbook-team", Class: catalogue.ClassStandard,
		Service: &catalogue.Service{IdempotentMethods: []string{http.MethodGet}},
	})
}

func (d *demo) startBackends() error {
	kinds := []struct {
		kind string
		time time.Duration
	}{{"a", 200 * time.Microsecond}, {"b", 400 * time.Microsecond}}
	for stage := range 3 {
		for _, k := range kinds {
			p, err := d.l.Engine(launcher.EngineSpec{
				ID: fmt.Sprintf("engine-%d%s", stage+1, k.kind), DataCentre: "dc-a", Model: modelName, Kind: k.kind,
				Layers: layers, From: stage * 8, To: stage*8 + 8, LayerTime: k.time,
			})
			if err != nil {
				return err
			}
			d.engines = append(d.engines, p)
		}
	}
	fmt.Println("started 6 engines: 3 stages, 2 kinds of accelerator")
	for i := range 2 {
		if _, err := d.l.Service(fmt.Sprintf("logbook-%d", i+1), "logbook"); err != nil {
			return err
		}
	}
	fmt.Println("started 2 service workers")
	return nil
}

func (d *demo) complete(ctx context.Context, id string, n int, onToken func(int)) (invoker.Answer, error) {
	return d.client.Complete(ctx, d.daemons[0].Address, invoker.Prompt{
		ID: id, Model: modelName, Text: "maintenance report for net 4", MaxTokens: n, OnToken: onToken,
	})
}

func (d *demo) report(ctx context.Context) error {
	a, err := d.complete(ctx, "report-1", 40, nil)
	if err != nil {
		return err
	}
	if !a.Done || a.Text != runner.ReferenceText(layers, "maintenance report for net 4", 40) {
		return fmt.Errorf("report is incomplete: %+v", a)
	}
	fmt.Printf("streamed a report of %d tokens, first token after %s\n", a.Tokens, a.First.Round(time.Millisecond))
	return nil
}

func (d *demo) booking(ctx context.Context) error {
	url := "http://" + d.daemons[1].Address + "/services/logbook/bookings"
	h := http.Header{api.HeaderIdempotencyKey: {"repair-17"}}
	res, err := d.client.Do(ctx, http.MethodPost, url, []byte(`{"Net":4}`), h)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusCreated {
		return fmt.Errorf("booking answered status %d", res.StatusCode)
	}
	fmt.Println("booked a repair")
	return nil
}

// edit changes a limit through one daemon and waits until another applies it.
func (d *demo) edit(ctx context.Context) error {
	if _, err := d.runControl(ctx, 0, "edit", "Model", modelName, "--set", "Limits.RequestsPerSecond=500"); err != nil {
		return err
	}
	start := time.Now()
	err := launcher.Wait(10*time.Second, "edited entry on the other daemon", func() bool {
		out, err := d.runControl(ctx, 2, "show", "Model", modelName, "--output", "json")
		return err == nil && bytes.Contains(out, []byte(`"RequestsPerSecond": 500`))
	})
	if err != nil {
		return err
	}
	fmt.Printf("edited a limit on entry-1; entry-3 applied it within %s\n", time.Since(start).Round(time.Millisecond))
	return nil
}

// runControl runs oleanderctl against one daemon and returns its standard output.
func (d *demo) runControl(ctx context.Context, daemon int, args ...string) ([]byte, error) {
	args = append(args, "--address", d.daemons[daemon].OperatorAddress, "--token", launcher.OperatorToken, "--operator", "demo")
	c := exec.CommandContext(ctx, filepath.Join("bin", "oleanderctl"), args...)
	c.Stderr = os.Stderr
	return c.Output()
}

// recovery kills an engine of the second stage after 50 tokens of a stream and checks that
// the stream is complete.
func (d *demo) recovery(ctx context.Context) error {
	a, err := d.complete(ctx, "report-2", 200, func(n int) {
		if n == 50 {
			fmt.Println("killing", d.engines[2].Name, "in the middle of a stream")
			d.engines[2].Kill()
		}
	})
	if err != nil {
		return err
	}
	if !a.Done || a.Text != runner.ReferenceText(layers, "maintenance report for net 4", 200) {
		return fmt.Errorf("stream is incomplete: done %v, %d tokens, %+v", a.Done, a.Tokens, a.Refusal)
	}
	fmt.Printf("the stream is complete with %d tokens, longest gap %s\n", a.Tokens, a.Gap.Round(time.Millisecond))
	return nil
}
