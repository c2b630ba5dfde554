package settings

import (
	"fmt"
	"net/netip"

	"oleandercove.example/core/loader"
)

// Peers configures the links to other daemons. If Listen is empty, the daemon runs
// without peers. Certificate, Key and Authority are paths of PEM files; the
// certificate names the host.
type Peers struct {
	Listen string `check:"address"`
	// Advertise is the address that peers dial; empty means Listen.
	Advertise   string `check:"address"`
	Certificate string
	Key         string
	Authority   string
	// Join lists the addresses of peers that a daemon contacts at its start, in
	// addition to the platform's host list, which may be unavailable.
	Join []string
}

// Check returns the missing files of a listener and the invalid addresses of peers.
func (p *Peers) Check() []loader.Problem {
	var out []loader.Problem
	for i, a := range p.Join {
		if _, err := netip.ParseAddrPort(a); err != nil {
			out = append(out, loader.Problem{Key: "Join", Expected: fmt.Sprintf("an IP address and port as value %d, got %q", i+1, a)})
		}
	}
	if p.Listen == "" {
		return out
	}
	for _, f := range []struct{ key, file string }{
		{"Certificate", p.Certificate}, {"Key", p.Key}, {"Authority", p.Authority},
	} {
		if f.file == "" {
			out = append(out, loader.Problem{Key: f.key, Expected: "a PEM file, because Listen is set"})
		}
	}
	return out
}
