package settings

// Peers configures the links to other daemons. Without Listen the daemon runs
// alone. Certificate, Key and Authority name PEM files; the certificate names
// the host.
type Peers struct {
	Listen string `check:"address"`
	// Advertise is the address that peers dial; empty means Listen.
	Advertise   string `check:"address"`
	Certificate string
	Key         string
	Authority   string
	// Join lists addresses of peers that a starting daemon contacts in
	// addition to the platform's host list, which may be unavailable.
	Join []string
}
