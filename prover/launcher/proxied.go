package launcher

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/registrar"
)

// UnregisteredService starts a fake service worker that does not register itself.
func (l *Launcher) UnregisteredService(id string, flags ...string) (*Process, error) {
	a, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	args := append([]string{l.fakeBinary(), "service", "--listen", a, "--id", id, "--journal", l.Journal(id)}, flags...)
	return l.run(id, a, "/healthz", args...)
}

// RegisterService adds a service worker to the platform's host list at the address of its
// proxy.
func (l *Launcher) RegisterService(ctx context.Context, id, serves, address string) {
	registrar.Register(ctx, l.platform.Address, platform.Host{
		ID: id, Role: platform.RoleService, Address: address, DataCentre: "dc-a",
		State: platform.HostLive, Serves: unit.EntryName(serves),
	})
}

// DaemonVia starts a daemon without peers that connects to the platform at
// platformAddress, and waits until the daemon is ready.
func (l *Launcher) DaemonVia(id, platformAddress string) (*Process, error) {
	a, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	operators, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(l.Dir, id+".toml")
	text := fmt.Sprintf(settingsFormat, id, "dc-a", a, operators, OperatorToken, platformAddress) + l.DaemonSettings
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err := l.run(id, a, "/readyz", filepath.Join(l.Binaries, "oleandercove"), "run", "--config", path)
	if p != nil {
		p.OperatorAddress = operators
	}
	return p, err
}
