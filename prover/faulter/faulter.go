// Package faulter runs a TCP proxy between two processes and injects faults into it:
// silent, half-open and closed connections.
//
// Usage:
//
//	p, err := faulter.New("logbook-1", "127.0.0.1:7001")
//	defer p.Close()
//	err = p.Silence(faulter.ToServer)
//	err = p.Heal()
package faulter

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
)

// Direction is the direction of the data that a fault drops.
type Direction string

const (
	// ToServer is the direction of requests.
	ToServer Direction = "upstream"
	// ToClient is the direction of responses.
	ToClient Direction = "downstream"
)

// halfOpenGrace is the time after a call of HalfOpen from which a connection counts as new.
const halfOpenGrace = 20 * time.Millisecond

// Proxy is a proxy between clients and one server.
type Proxy struct {
	// Address is the loopback address for clients.
	Address string
	proxy   *toxiproxy.Proxy
}

// New starts a proxy for the server at an address.
func New(name, upstream string) (*Proxy, error) {
	s := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := toxiproxy.NewProxy(s, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		return nil, err
	}
	return &Proxy{Address: p.Listen, proxy: p}, nil
}

// Silence drops the data of all connections in one direction, and keeps the
// connections open.
func (p *Proxy) Silence(d Direction) error {
	return p.add(fmt.Sprintf(`{"type":"timeout","stream":%q,"attributes":{"timeout":0}}`, d))
}

// HalfOpen drops the data of the connections that are open now in one direction.
// Connections that are opened later work.
func (p *Proxy) HalfOpen(d Direction) error {
	until := time.Now().Add(halfOpenGrace).UnixMilli()
	return p.add(fmt.Sprintf(`{"type":"half_open","stream":%q,"attributes":{"Until":%d}}`, d, until))
}

func (p *Proxy) add(toxic string) error {
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return err
}

// Cut closes all connections and refuses new ones.
func (p *Proxy) Cut() { p.proxy.Stop() }

// Heal removes all faults and accepts connections again after a Cut.
func (p *Proxy) Heal() error {
	p.proxy.Toxics.ResetToxics(context.Background())
	err := p.proxy.Start()
	if err == toxiproxy.ErrProxyAlreadyStarted {
		return nil
	}
	return err
}

// Close stops the proxy.
func (p *Proxy) Close() { p.proxy.Stop() }

// halfOpen is a toxic that drops the data of the connections that exist when it is added.
type halfOpen struct {
	// Until is the time in Unix milliseconds after which a connection counts as new.
	Until int64
}

// Pipe forwards the data of new connections and drops that of older ones.
func (t *halfOpen) Pipe(stub *toxics.ToxicStub) {
	if time.Now().UnixMilli() > t.Until {
		new(toxics.NoopToxic).Pipe(stub)
		return
	}
	new(toxics.TimeoutToxic).Pipe(stub)
}

func init() { toxics.Register("half_open", new(halfOpen)) }
