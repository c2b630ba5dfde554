package connector

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/core/logger"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/wire/peer"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// authority issues certificates for the daemons of one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func (a *authority) issue(t *testing.T, host string) *Credentials {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), DNSNames: []string{host}, IsCA: a.key == nil,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	if a.key == nil {
		a.cert, a.key = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	if a.cert == c {
		a.cert, err = x509.ParseCertificate(der)
		is.NoErr(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return NewCredentials(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool)
}

func newAuthority(t *testing.T) *authority {
	a := &authority{}
	a.issue(t, "authority")
	return a
}

// startNode starts a connector; edit changes its options.
func startNode(t *testing.T, a *authority, host string, edit func(*Options)) (*TLSConnector, Peer) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	o := Options{
		Host: unit.HostID(host), Listener: ln, TLS: a.issue(t, host), Timer: timer.NewReal(), Log: logger.Discard(),
	}
	if edit != nil {
		edit(&o)
	}
	c := New(o)
	Serve(c, peer.TypeProbe, func(_ context.Context, _ unit.HostID, q *peer.ProbeRequest) (proto.Message, error) {
		if q.Host == "" {
			return nil, errors.New("no host")
		}
		return &peer.ProbeReply{Reached: true}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return c, Peer{Host: o.Host, Address: ln.Addr().String()}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		if condition() {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	t.Fatalf("no %s", what)
}

func connected(c *TLSConnector, h unit.HostID) func() bool {
	return func() bool { return c.conn(h) != nil }
}

// Guards against daemons of neighbouring releases that can't connect, which happens when
// the negotiated version is not the highest one that both support.
func TestVersions(t *testing.T) {
	for _, c := range []struct {
		failure                string
		min1, max1, min2, max2 uint32
		want                   uint32
	}{
		{"same release can't connect", 1, 1, 1, 1, 1},
		{"next release can't connect to the present one", 1, 1, 1, 2, 1},
		{"present release can't connect to the next one", 2, 3, 1, 2, 2},
		{"both choose a lower version than both support", 1, 3, 2, 3, 3},
		{"a release that is two versions older is accepted", 3, 4, 1, 2, 0},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			a := newAuthority(t)
			x, _ := startNode(t, a, "x", func(o *Options) { o.MinVersion, o.MaxVersion = c.min1, c.max1 })
			_, p := startNode(t, a, "y", func(o *Options) { o.MinVersion, o.MaxVersion = c.min2, c.max2 })
			_, err := x.Join(t.Context(), p.Address)
			if c.want == 0 {
				is.True(errors.Is(err, ErrVersion))
				return
			}
			is.NoErr(err)
			is.Equal(x.conn("y").version, c.want)
		})
	}
}

// Guards against a requester that blocks or gets a wrong reply, which happens when the
// peer's handler fails, is missing or has no link.
func TestRequests(t *testing.T) {
	a := newAuthority(t)
	x, _ := startNode(t, a, "x", nil)
	_, p := startNode(t, a, "y", nil)
	_, err := x.Join(t.Context(), p.Address)
	is.New(t).NoErr(err)
	for _, c := range []struct {
		failure string
		to      unit.HostID
		kind    uint32
		host    string
		fault   bool
	}{
		{"reply is lost", "y", peer.TypeProbe, "z", false},
		{"fault of the handler is taken for success", "y", peer.TypeProbe, "", true},
		{"unknown type blocks the requester", "y", 999, "z", true},
		{"request without a link blocks", "nobody", peer.TypeProbe, "z", true},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			var r peer.ProbeReply
			err := x.Request(t.Context(), c.to, c.kind, &peer.ProbeRequest{Host: c.host}, &r)
			is.Equal(err != nil, c.fault)
			is.Equal(r.Reached, !c.fault)
		})
	}
}

// Guards against a daemon that poses as another one, which happens when the host name
// or the authority of a certificate is not checked.
func TestIdentity(t *testing.T) {
	a, foreign := newAuthority(t), newAuthority(t)
	_, p := startNode(t, a, "y", nil)
	for _, c := range []struct {
		failure string
		tls     *Credentials
	}{
		{"name that the certificate lacks is accepted", a.issue(t, "other")},
		{"certificate of a foreign authority is accepted", foreign.issue(t, "x")},
	} {
		t.Run(c.failure, func(t *testing.T) {
			x, _ := startNode(t, a, "x", func(o *Options) { o.TLS = c.tls })
			// With TLS 1.3 the dialler may see the rejection only as a closed
			// connection during the exchange of hello messages.
			_, err := x.Join(t.Context(), p.Address)
			is.New(t).True(err != nil)
		})
	}
}

// silentConn is a connection that goes silent without closing.
type silentConn struct {
	net.Conn
	silenced *atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

func (v *silentConn) Write(b []byte) (int, error) {
	if v.silenced.Load() {
		return len(b), nil
	}
	return v.Conn.Write(b)
}

func (v *silentConn) Read(b []byte) (int, error) {
	n, err := v.Conn.Read(b)
	if v.silenced.Load() {
		<-v.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (v *silentConn) Close() error {
	v.once.Do(func() { close(v.closed) })
	return v.Conn.Close()
}

// Guards against a half-open link that is kept for longer than 1 s on the clock of
// the connector, which happens when a peer goes silent without closing.
func TestSilentLink(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	silenced := &atomic.Bool{}
	first := true
	x, _ := startNode(t, a, "x", func(o *Options) {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err == nil && first {
				first = false
				return &silentConn{Conn: raw, silenced: silenced, closed: make(chan struct{})}, nil
			}
			return raw, err
		}
	})
	_, p := startNode(t, a, "y", nil)
	x.SetPeers([]Peer{p})
	waitFor(t, "first link", connected(x, "y"))
	old := x.conn("y")
	silenced.Store(true)
	start := time.Now()
	waitFor(t, "new connection", func() bool { return x.conn("y") != nil && x.conn("y") != old })
	t.Logf("replaced a silent link after %s", time.Since(start))
	l := x.Links()[0]
	is.True(x.conn("y").opened.Sub(start) < time.Second)
	is.True(l.Connected)
	waitFor(t, "end of the old connection", func() bool { return old.session.IsClosed() })
}

// Guards against unbounded memory, which happens when messages are queued for a peer
// that reads none.
func TestQueue(t *testing.T) {
	is := is.New(t)
	n := &conn{queue: make(chan []byte, queueLength)}
	var err error
	for range queueLength + 1 {
		err = n.send([]byte{0})
	}
	is.True(errors.Is(err, ErrQueueFull))
	is.True(errors.Is((&conn{queue: make(chan []byte, 1)}).send(make([]byte, queueBytes+1)), ErrQueueFull))
}
