package meter

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
)

// client counts the calls to the platform client that it wraps.
type client struct {
	platform.Client
	meter *Meter
}

// WrapPlatform returns a client that wraps c and counts its calls by method and outcome.
func (m *Meter) WrapPlatform(c platform.Client) platform.Client { return &client{Client: c, meter: m} }

func (c *client) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	o, err := c.Client.Get(ctx, kind, name)
	c.count("Get", err)
	return o, err
}

func (c *client) List(ctx context.Context, kind platform.Kind) (platform.List, error) {
	l, err := c.Client.List(ctx, kind)
	c.count("List", err)
	return l, err
}

func (c *client) Put(ctx context.Context, kind platform.Kind, name string, expected unit.Version, value json.RawMessage) (platform.Object, error) {
	o, err := c.Client.Put(ctx, kind, name, expected, value)
	c.count("Put", err)
	return o, err
}

func (c *client) Watch(ctx context.Context, kind platform.Kind, after unit.Revision, wait time.Duration) (platform.List, error) {
	l, err := c.Client.Watch(ctx, kind, after, wait)
	c.count("Watch", err)
	return l, err
}

func (c *client) Hosts(ctx context.Context) ([]platform.Host, error) {
	h, err := c.Client.Hosts(ctx)
	c.count("Hosts", err)
	return h, err
}

func (c *client) count(call string, err error) {
	c.meter.count("platform_calls_total", map[string]string{"call": call, "outcome": outcomeTag(err)})
}

func outcomeTag(err error) string {
	switch {
	case err == nil:
		return "Done"
	case errors.Is(err, platform.ErrConflict):
		return "Conflict"
	case errors.Is(err, platform.ErrNotFound):
		return "NotFound"
	case errors.Is(err, platform.ErrBudget):
		return "Budget"
	case errors.Is(err, platform.ErrUnavailable):
		return "Unavailable"
	default:
		return "Unknown"
	}
}
