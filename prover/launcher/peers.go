package launcher

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"time"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/registrar"
)

const (
	// certificateValidity is the validity of test certificates.
	certificateValidity = 24 * time.Hour
	// clockSkew is by how much test certificates are backdated.
	clockSkew = time.Hour
	// registerInterval is the time between two refreshes of a daemon's row in the host list.
	registerInterval = time.Second
	// joinAddresses is the maximum number of peers in the Join setting of a daemon.
	joinAddresses = 3
)

// Authority issues the certificates of test daemons.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	// PEM is the certificate of the authority.
	PEM []byte
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := template("oleandercove test authority")
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(der)
	return &Authority{certificate: c, key: key, PEM: encodePEM("CERTIFICATE", der)}, err
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(certificateValidity),
	}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Issue returns the PEM certificate and key of a host.
func (a *Authority) Issue(host string) (certificate, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	t := template(host)
	t.DNSNames = []string{host}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &k.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	raw, err := x509.MarshalECPrivateKey(k)
	return encodePEM("CERTIFICATE", der), encodePEM("EC PRIVATE KEY", raw), err
}

// IssuePair issues the certificate of a host for use in this process. It returns the key
// pair and a pool that holds the authority.
func (a *Authority) IssuePair(host string) (tls.Certificate, *x509.CertPool, error) {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	c, k, err := a.Issue(host)
	if err != nil {
		return tls.Certificate{}, nil, err
	}
	pair, err := tls.X509KeyPair(c, k)
	return pair, pool, err
}

// peersFormat is the format of the Peers section of a daemon's settings file.
const peersFormat = `
[Peers]
Listen = %q
Certificate = %q
Key = %q
Authority = %q
Join = [%s]
`

// peersSettings writes the certificates of a daemon and returns its peer address and its
// Peers section. The section names up to joinAddresses of the daemons started before.
func (l *Launcher) peersSettings(id string) (address, section string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.authority == nil {
		if l.authority, err = NewAuthority(); err != nil {
			return "", "", err
		}
	}
	address, err = FreeAddress()
	if err != nil {
		return "", "", err
	}
	cert, key, err := l.authority.Issue(id)
	if err != nil {
		return "", "", err
	}
	base := filepath.Join(l.Dir, id)
	for suffix, data := range map[string][]byte{".crt": cert, ".key": key, ".ca": l.authority.PEM} {
		if err := os.WriteFile(base+suffix, data, 0o600); err != nil {
			return "", "", err
		}
	}
	var join []string
	for _, a := range l.peers[:min(joinAddresses, len(l.peers))] {
		join = append(join, fmt.Sprintf("%q", a))
	}
	l.peers = append(l.peers, address)
	return address, fmt.Sprintf(peersFormat, address, base+".crt", base+".key", base+".ca", strings.Join(join, ", ")), nil
}

// keepRegistered refreshes the row of a daemon in the platform's host list while its
// process runs; in production the platform itself does this.
func (l *Launcher) keepRegistered(p *Process, dataCentre, address string) {
	row := platform.Host{
		ID: p.Name, Role: platform.RoleEntry, Address: address,
		DataCentre: unit.DataCentre(dataCentre), State: platform.HostLive,
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.mu.Lock()
	l.cancels = append(l.cancels, cancel)
	l.mu.Unlock()
	go func() {
		t := time.NewTicker(registerInterval)
		defer t.Stop()
		for {
			if p.running() {
				registrar.Register(ctx, l.platform.Address, row)
			}
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
	}()
}

// running reports whether the process is still running.
func (p *Process) running() bool {
	select {
	case <-p.done():
		return false
	default:
		return true
	}
}
