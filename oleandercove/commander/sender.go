package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/receiver"
	"oleandercove.example/oleandercove/leaser"
)

// errStale means that an engine has seen a newer fencing number.
var errStale = errors.New("engine refused an old fencing number")

// Sender gives one order to the engine at an address.
type Sender interface {
	// Send calls check when the connection stands, directly before it writes the
	// order with the fencing number of the grant.
	Send(ctx context.Context, address string, o engine.Order, check func() (leaser.Grant, error)) error
}

// answerBuffer is the size of the buffer for the answer to an order, in bytes.
const answerBuffer = 4 << 10

type sender struct{ limit time.Duration }

// NewSender returns a Sender with a connection of its own for each order, so
// that no old order waits in the buffer of a kept connection. No order lasts
// longer than the limit.
func NewSender(limit time.Duration) Sender { return &sender{limit: limit} }

func (s *sender) Send(ctx context.Context, address string, o engine.Order, check func() (leaser.Grant, error)) error {
	ctx, cancel := context.WithTimeout(ctx, s.limit)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	g, err := check()
	if err != nil {
		return err
	}
	o.Fence = g.Fence
	return exchange(ctx, conn, address, o)
}

func exchange(ctx context.Context, conn net.Conn, address string, o engine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Close = true
	if err := req.Write(conn); err != nil {
		return err
	}
	res, err := receiver.New(conn, answerBuffer).Next(req.Method)
	if err != nil {
		return err
	}
	switch {
	case res.StatusCode == http.StatusPreconditionFailed:
		return errStale
	case res.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("engine answered status %d", res.StatusCode)
	}
	return nil
}
