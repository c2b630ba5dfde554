package connector

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/unit"
	"oleandercove.example/wire/peer"
)

const (
	// minVersion and maxVersion are the protocol versions of this program. A
	// release that adds version n keeps n-1, so that neighbouring releases
	// interoperate during a rolling upgrade.
	minVersion = 1
	maxVersion = 1
	// handshakeLimit bounds the TLS handshake and the exchange of hello messages.
	handshakeLimit = 2 * time.Second
	// streamOpenLimit bounds the opening of a yamux stream.
	streamOpenLimit = 5 * time.Second
)

// ErrVersion is returned by a handshake if the two daemons have no protocol version
// in common; no message was sent after the hello messages.
var ErrVersion = errors.New("no common protocol version")

// Credentials are the certificate of a daemon and the authority of its peers.
type Credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadCredentials reads credentials from PEM files.
func LoadCredentials(certificate, key, authority string) (*Credentials, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ca, err := os.ReadFile(authority)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, trace.BadParameter("%s contains no PEM certificate", authority)
	}
	return NewCredentials(pair, pool), nil
}

// NewCredentials returns credentials from loaded certificates.
func NewCredentials(certificate tls.Certificate, authority *x509.CertPool) *Credentials {
	return &Credentials{certificate: certificate, authority: authority}
}

// config returns a TLS configuration that verifies only the peer's chain. The host
// name is checked against the hello message, because a joining daemon has only
// addresses.
func (c *Credentials) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: c.authority,
		InsecureSkipVerify: true, VerifyConnection: c.verify, SessionTicketsDisabled: true,
	}
}

func (c *Credentials) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: c.authority, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// negotiate returns the highest version in both ranges, or ErrVersion.
func negotiate(a, b *peer.Hello) (uint32, error) {
	v := min(a.MaxVersion, b.MaxVersion)
	if v < max(a.MinVersion, b.MinVersion) {
		return 0, fmt.Errorf("%w: %d-%d and %d-%d", ErrVersion, a.MinVersion, a.MaxVersion, b.MinVersion, b.MaxVersion)
	}
	return v, nil
}

// establish turns a TCP connection into a connection to an identified peer, or
// closes it.
func (c *TLSConnector) establish(ctx context.Context, raw net.Conn, dialled, probe bool) (*conn, error) {
	n, err := c.handshake(ctx, &countingConn{Conn: raw, counters: &c.traffic}, dialled, probe)
	if err != nil {
		raw.Close()
	}
	return n, err
}

func (c *TLSConnector) handshake(ctx context.Context, raw net.Conn, dialled, probe bool) (*conn, error) {
	_ = raw.SetDeadline(time.Now().Add(handshakeLimit))
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	t, start := tls.Server(raw, c.options.TLS.config()), yamux.Server
	if dialled {
		t, start = tls.Client(raw, c.options.TLS.config()), yamux.Client
	}
	if err := t.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	s, err := start(&frameJoiner{Conn: t}, yamuxConfig())
	if err != nil {
		return nil, err
	}
	n := &conn{session: s, dialled: dialled, opened: c.options.Timer.Now()}
	if err := n.exchangeHellos(c.hello(probe), t.ConnectionState()); err != nil {
		if !dialled && errors.Is(err, ErrVersion) {
			// The dialler closes the connection once it has read the hello
			// message; the deadline of the connection bounds the wait.
			<-s.CloseChan()
		}
		s.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	return n, nil
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	// The connector sends its own heartbeats, whose silence limit is shorter.
	cfg.EnableKeepAlive = false
	cfg.StreamOpenTimeout = streamOpenLimit
	cfg.LogOutput = io.Discard
	return cfg
}

func (c *TLSConnector) hello(probe bool) *peer.Hello {
	return &peer.Hello{
		MinVersion: c.options.MinVersion, MaxVersion: c.options.MaxVersion, Host: string(c.options.Host), Probe: probe,
	}
}

// exchangeHellos opens the control stream and exchanges hello messages. The
// accepting side sends its own only after it has checked the dialler's identity, so
// that a rejected dialler never considers the link open.
func (n *conn) exchangeHellos(own *peer.Hello, s tls.ConnectionState) (err error) {
	if n.dialled {
		n.control, err = n.session.Open()
	} else {
		n.control, err = n.session.Accept()
	}
	if err != nil {
		return err
	}
	n.reader = newReader(n.control)
	if n.dialled {
		if err := writeMessage(n.control, own); err != nil {
			return err
		}
	}
	other, err := n.receiveHello(own, s)
	if err != nil {
		return err
	}
	if !n.dialled {
		if err := writeMessage(n.control, own); err != nil {
			return err
		}
	}
	n.version, err = negotiate(own, other)
	return err
}

// receiveHello reads the peer's hello message and checks it against the certificate.
func (n *conn) receiveHello(own *peer.Hello, s tls.ConnectionState) (*peer.Hello, error) {
	body, err := readMessage(n.reader)
	if err != nil {
		return nil, err
	}
	other := &peer.Hello{}
	if err := proto.Unmarshal(body, other); err != nil {
		return nil, err
	}
	if err := s.PeerCertificates[0].VerifyHostname(other.Host); err != nil {
		return nil, fmt.Errorf("certificate does not name host %q: %w", other.Host, err)
	}
	if other.Host == own.Host {
		return nil, errors.New("peer has the host name of this daemon")
	}
	n.host, n.probe = unit.HostID(other.Host), other.Probe
	return other, nil
}
