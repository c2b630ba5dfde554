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

// errStale is returned when an engine rejected an order, because it has seen a
// newer fencing number.
var errStale = errors.New("engine refused an old fencing number")

// Sender sends one order to the engine at an address.
type Sender interface {
	// Send blocks until the engine answers, ctx is done or the sender's time limit
	// passes. Once the connection is open it calls check, directly before it writes
	// the order with the fencing number of the grant. An error of check means that
	// the order was not sent.
	Send(ctx context.Context, address string, o engine.Order, check func() (leaser.Grant, error)) error
}

// responseBufferBytes is the size of the buffer for the response to an order.
const responseBufferBytes = 4 << 10

type sender struct{ limit time.Duration }

// NewSender returns a Sender that opens a new connection for each order, so that
// no old order waits in the buffer of a kept connection. The limit bounds the
// time of each order, including the dial.
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
	return postOrder(ctx, conn, address, o)
}

func postOrder(ctx context.Context, conn net.Conn, address string, o engine.Order) error {
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
	res, err := receiver.New(conn, responseBufferBytes).Next(req.Method)
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
