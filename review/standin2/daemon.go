package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are the bounds of the small site, as its sheet states them.
var bounds = map[string]string{
	"bounds.revoke_ms": "5000", "bounds.config_apply_ms": "2000", "bounds.drain_ms": "2000", "bounds.grace_s": "8",
	"bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "202",
}

// daemon is one process of the project on an address of its own.
type daemon struct {
	name    string
	ip      string
	callers string
	ready   string
	config  string
	log     string
	binary  string
	args    []string
	command *exec.Cmd
	exited  chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// renderSettings fills in the project's template as the platform does.
func renderSettings(template string, values map[string]string) (string, error) {
	var missing []string
	out := placeholder.ReplaceAllStringFunc(template, func(m string) string {
		name := placeholder.FindStringSubmatch(m)[1]
		v, ok := values[name]
		if !ok {
			missing = append(missing, name)
		}
		return v
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("no values for %v", missing)
	}
	return out, nil
}

// network is the range of loopback addresses of one run, and the ports that are the same on all
// hosts.
type network struct {
	second, third           int
	callers, ready, control int
	firstPeer               int
}

// newNetwork picks a range of loopback addresses at random and ports that are free there.
func newNetwork() network {
	for {
		n := network{second: 10 + rand.IntN(200), third: rand.IntN(250), callers: 21000 + rand.IntN(5000)}
		n.ready, n.control, n.firstPeer = n.callers+1, n.callers+2, n.callers+10
		if n.isFree(n.callers) && n.isFree(n.ready) && n.isFree(n.firstPeer) && n.isFree(n.firstPeer+1) {
			return n
		}
	}
}

func (n network) host(i int) string { return fmt.Sprintf("127.%d.%d.%d", n.second, n.third, i+1) }

func (n network) isFree(port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.host(0), port))
	if err != nil {
		return false
	}
	return l.Close() == nil
}

// newDaemon writes the settings of the daemon with a number. The command line is that of the
// deploy file, with the path of the settings file.
func newDaemon(root, dir string, n network, i, daemons int, zone, store string) (*daemon, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy/router.toml"))
	if err != nil {
		return nil, err
	}
	d := &daemon{name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: n.host(i)}
	d.callers, d.ready = fmt.Sprintf("%s:%d", d.ip, n.callers), fmt.Sprintf("%s:%d", d.ip, n.ready)
	var seeds []string
	for k := range min(3, daemons) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", n.host(k), n.control)))
	}
	values := map[string]string{
		"node_name": d.name, "zone": zone, "ip": d.ip, "port_range": fmt.Sprintf("[%d,%d]", n.firstPeer, n.firstPeer+15),
		"seeds": "[" + strings.Join(seeds, ",") + "]", "platform.address": store, "listen.frontend": d.callers, "listen.ready": d.ready,
		"limits.cores": "1", "limits.memory_mb": "284", "limits.cpu_share": "0.4", "limits.link_mbps": "1000.0",
	}
	for k, v := range bounds {
		values[k] = v
	}
	text, err := renderSettings(string(template), values)
	if err != nil {
		return nil, err
	}
	d.config, d.log = filepath.Join(dir, d.name+".toml"), filepath.Join(dir, d.name+".log")
	if err := os.WriteFile(d.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	run, err := runLine(root)
	if err != nil {
		return nil, err
	}
	d.binary, d.args = filepath.Join(root, run[0]), run[1:]
	for k, word := range d.args {
		if word == "/etc/oleandercove/node.toml" {
			d.args[k] = d.config
		}
	}
	return d, nil
}

// runLine returns the words of the deploy file's run line.
func runLine(root string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(text, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy file has no run line")
}

// start starts the process.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	d.command = exec.Command(d.binary, d.args...)
	d.command.Stdout, d.command.Stderr = out, out
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERCOVE_BOOT=" + d.config}
	if err := d.command.Start(); err != nil {
		return err
	}
	started.add(d.command.Process)
	exited := make(chan struct{})
	d.exited = exited
	command := d.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// processes are those that this program has started.
type processes struct {
	mu  sync.Mutex
	all []*os.Process
}

var started processes

func (p *processes) add(x *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, x)
}

// killAll ends all processes that have not ended yet.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.all {
		_ = x.Kill()
	}
}

// kill ends the process at once and waits for its end.
func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Signal(syscall.SIGCONT)
	_ = d.command.Process.Kill()
	<-d.exited
}

// waitReady blocks until the daemon says that it is ready.
func (d *daemon) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, err := get("http://" + d.ready + "/readyz"); err == nil && status == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", d.name, limit)
}
