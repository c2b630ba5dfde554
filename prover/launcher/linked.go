package launcher

import (
	"fmt"
	"os"
	"path/filepath"
)

// LinkedDaemon starts a daemon that connects to the platform at platformAddress and
// advertises to its peers the address that proxy returns for the daemon's own peer
// address. It waits until the daemon is ready.
func (l *Launcher) LinkedDaemon(id, dataCentre, platformAddress string, proxy func(upstream string) (string, error)) (*Process, error) {
	a, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	operators, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	own, peers, err := l.peersSettings(id)
	if err != nil {
		return nil, err
	}
	advertised, err := proxy(own)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.peers[len(l.peers)-1] = advertised
	l.mu.Unlock()
	path := filepath.Join(l.Dir, id+".toml")
	text := fmt.Sprintf(settingsFormat, id, dataCentre, a, operators, OperatorToken, platformAddress) +
		peers + fmt.Sprintf("Advertise = %q\n", advertised) + l.DaemonSettings
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err := l.run(id, a, "/readyz", filepath.Join(l.Binaries, "oleandercove"), "run", "--config", path)
	if p != nil {
		p.OperatorAddress = operators
		l.keepRegistered(p, dataCentre, advertised)
	}
	return p, err
}
