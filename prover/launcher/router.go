package launcher

import (
	"fmt"
	"os"
	"path/filepath"

	"oleandercove.example/core/unit"
)

// RouterSpec describes a daemon that routes on the platform.
type RouterSpec struct {
	Host       unit.HostID
	DataCentre unit.DataCentre
	// Store is the address of the platform's store.
	Store string
	// Settings is appended to the settings file.
	Settings string
}

// Router is a daemon that routes on the platform.
type Router struct {
	*Process
	// CallerAddress is the address for clients.
	CallerAddress string
	// ReadyAddress is the address of the readiness check.
	ReadyAddress string
	// PeerAddress is the address for peers and operators.
	PeerAddress string
}

// Router starts a daemon that routes on the platform. It does not wait until the daemon is
// ready, because readiness needs a configuration in the store.
func (l *Launcher) Router(s RouterSpec) (*Router, error) {
	callers, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	ready, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	port, err := allocatedPorts.take(2)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.Dir, string(s.Host)+".toml")
	text := fmt.Sprintf(`Host = %q
DataCentre = %q
IP = "127.0.0.1"
PeerPorts = [%d, %d]
Seeds = []
StoreAddress = %q
[Listen]
Callers = %q
Ready = %q
[Limits]
Cores = 1
MemoryMegabytes = 256
[Bounds]
KeyRevocation = "5s"
Grace = "8s"
RetryShare = 0.2
RetryReserve = 100.0
%s`, s.Host, s.DataCentre, port, port+1, s.Store, callers, ready, s.Settings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p := &Process{Name: string(s.Host), Address: callers, Args: []string{filepath.Join(l.Binaries, "oleandercove"), "route", "--config", file}, launcher: l}
	if err := l.add(p); err != nil {
		return nil, err
	}
	return &Router{Process: p, CallerAddress: callers, ReadyAddress: ready, PeerAddress: fmt.Sprintf("127.0.0.1:%d", port+1)}, nil
}
