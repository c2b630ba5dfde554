package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sort"

	"github.com/spf13/cobra"

	"oleandercove.example/core/api"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderctl/client"
	"oleandercove.example/oleanderctl/printer"
)

func (p *program) hostsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "hosts", Short: "List the hosts that the platform lists", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var l api.HostList
			if err := p.client.Get(c.Context(), "/v1/hosts", &l); err != nil {
				return err
			}
			return p.printer.Print(l, printer.Hosts(l))
		},
	}
}

func (p *program) backendsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "backends", Short: "List the backend servers that a daemon sees", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var l api.BackendList
			if err := p.client.Get(c.Context(), "/v1/backends", &l); err != nil {
				return err
			}
			return p.printer.Print(l, printer.Backends(l))
		},
	}
}

func (p *program) dumpCommand() *cobra.Command {
	return &cobra.Command{
		Use: "dump HOST", Short: "Show the state of a daemon", Args: cobra.ExactArgs(1),
		Long: "HOST is the id of an entry host at one of the addresses, or one of the addresses.",
		RunE: func(c *cobra.Command, args []string) error {
			address, err := p.findAddress(c.Context(), args[0])
			if err != nil {
				return err
			}
			var d api.Dump
			if err := p.client.GetFrom(c.Context(), address, "/v1/dump", &d); err != nil {
				return err
			}
			t, err := printer.Dump(d)
			if err != nil {
				return err
			}
			return p.printer.Print(d, t)
		},
	}
}

// findAddress returns the address of an entry host, given by its id or by one of the
// addresses.
func (p *program) findAddress(ctx context.Context, host string) (string, error) {
	var lastErr error
	for _, a := range p.client.Addresses() {
		if a == host {
			return a, nil
		}
		id, err := p.client.Host(ctx, a)
		if err == nil && string(id) == host {
			return a, nil
		}
		if err != nil {
			lastErr = fmt.Errorf("%s: %w", a, err)
		}
	}
	if lastErr != nil {
		return "", lastErr
	}
	return "", notFoundError{fmt.Errorf("no address belongs to host %q", host)}
}

func (p *program) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain REQUEST-ID", Short: "Show why a request was served as it was", Args: cobra.ExactArgs(1),
		Long: "Asks the daemons at all addresses and shows their events in the order of their stamps.\n" +
			"backend:ID shows the orders to a backend server, entry:KIND.NAME the edits of an entry.",
		RunE: func(c *cobra.Command, args []string) error {
			x, err := p.collectEvents(c.Context(), args[0])
			if err != nil {
				return err
			}
			return p.printer.Print(x, printer.Events(x))
		},
	}
}

// collectEvents merges the events of a request from all daemons, ordered by stamp. It
// returns a notFoundError only if all daemons answered and none has events.
func (p *program) collectEvents(ctx context.Context, id string) (api.Explanation, error) {
	merged := api.Explanation{Request: unit.RequestID(id), Events: []api.Event{}}
	var lastErr error
	for _, a := range p.client.Addresses() {
		var x api.Explanation
		if err := p.client.GetFrom(ctx, a, "/v1/explain/"+url.PathEscape(id), &x); err != nil {
			fmt.Fprintf(p.stderr, "oleanderctl: %s did not explain: %v\n", a, err)
			lastErr = err
			continue
		}
		merged.Events = append(merged.Events, x.Events...)
	}
	if len(merged.Events) == 0 {
		if lastErr == nil {
			lastErr = notFoundError{fmt.Errorf("no daemon has events of request %q", id)}
		}
		return merged, lastErr
	}
	sort.SliceStable(merged.Events, func(i, j int) bool { return merged.Events[i].Stamp.Compare(merged.Events[j].Stamp) < 0 })
	return merged, nil
}

func (p *program) drainCommand() *cobra.Command {
	var cancel bool
	c := &cobra.Command{
		Use: "drain HOST|BACKEND", Short: "Shut a daemon down gracefully, or give a backend server no new work", Args: cobra.ExactArgs(1),
	}
	c.Flags().BoolVar(&cancel, "cancel", false, "give a backend server new work again")
	c.RunE = func(c *cobra.Command, args []string) error {
		a, err := p.sendDrain(c.Context(), api.DrainRequest{Target: args[0], Cancel: cancel})
		if err != nil {
			return err
		}
		t := printer.Table{Header: []string{"target", "role"}, Rows: [][]string{{a.Target, string(a.Role)}}}
		return p.printer.Print(a, t)
	}
	return c
}

// sendDrain sends the order to the target if that is one of the daemons, because a daemon
// drains itself even while the platform is unavailable. Otherwise any daemon writes the
// drain mark of the target.
func (p *program) sendDrain(ctx context.Context, d api.DrainRequest) (a api.DrainAccepted, err error) {
	recipient := p.client
	if address, err := p.findAddress(ctx, d.Target); err == nil {
		recipient = client.New(client.Options{Addresses: []string{address}, Token: p.token, Operator: p.operator})
	}
	err = recipient.Edit(ctx, http.MethodPost, "/v1/drain", nil, d, &a)
	var e *client.Error
	if errors.As(err, &e) && e.Status == http.StatusNotFound {
		return a, notFoundError{err}
	}
	return a, err
}
