package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"oleandercove.example/core/api"
	"oleandercove.example/core/receiver"
	"oleandercove.example/oleanderctl/printer"
)

const (
	// routingTimeout bounds the call of a routing daemon.
	routingTimeout = 5 * time.Second
	// maxRoutingState bounds the dump of a routing daemon, in bytes.
	maxRoutingState = 64 << 20
)

func (p *program) demandCommand() *cobra.Command {
	return &cobra.Command{
		Use: "demand HOST:PORT", Short: "Show the demand, shares and crossings of a routing daemon", Args: cobra.ExactArgs(1),
		Annotations: map[string]string{offline: "true"},
		Long: "HOST:PORT is the address at which a routing daemon answers requests of peers. Rates are in tokens a\n" +
			"second, as the daemon knows them of the whole fleet. It needs no token.",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := routingState(c.Context(), args[0])
			if err != nil {
				return err
			}
			return p.printer.Print(s, printer.Demand(s))
		},
	}
}

// routingState requests the state of a routing daemon. It blocks for routingTimeout at most.
func routingState(ctx context.Context, address string) (api.RoutingState, error) {
	ctx, cancel := context.WithTimeout(ctx, routingTimeout)
	defer cancel()
	var s api.RoutingState
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
	if err != nil {
		return s, usageError{err}
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("daemon at %s answered %s", address, resp.Status)
	}
	data, err := receiver.ReadBody(resp.Body, maxRoutingState)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(data, &s)
}
