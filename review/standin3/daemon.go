package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// bounds are those of a small deployment.
var bounds = map[string]any{
	"drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_slack": 196,
	"contact_ms": 3000,
}

const (
	drainTime       = 2 * time.Second
	configApplyTime = 2 * time.Second
	contactTime     = 3 * time.Second
	readyLimit      = 20 * time.Second
	portBlock       = 18
)

// daemon is a process of the router, on a loopback address of its own.
type daemon struct {
	name, ip, zone, front, ready string
	// storeAddress is where the daemon reaches the store.
	storeAddress  string
	settings, log string
	rec           *recorder
	cmd           *exec.Cmd
	done          chan struct{}
}

// freePorts returns the first of some ports that are free on all addresses.
func freePorts(ips []string) (int, error) {
	for first := 21000 + os.Getpid()%200*100; first < 60000; first += 100 {
		if portsFree(ips, first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func portsFree(ips []string, first int) bool {
	for _, ip := range ips {
		for p := first; p < first+portBlock; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startDaemons starts daemons on 127.0.1.1, 127.0.1.2 and so on, and waits until they are ready.
func startDaemons(e *env, zones []string) error {
	var ips, seeds []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.0.1.%d", i+1))
	}
	first, err := freePorts(ips)
	if err != nil {
		return err
	}
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, first+17))
	}
	for i, ip := range ips {
		d := &daemon{
			name: fmt.Sprintf("edge-%s-%d", zones[i], i+1), ip: ip, zone: zones[i], rec: e.rec,
			front: fmt.Sprintf("%s:%d", ip, first+15), ready: fmt.Sprintf("%s:%d", ip, first+16),
		}
		if err := d.writeSettings(e, first, seeds); err != nil {
			return err
		}
		if err := d.start(e); err != nil {
			return err
		}
		e.daemons = append(e.daemons, d)
	}
	for _, d := range e.daemons {
		if err := d.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deploy file.
func (d *daemon) writeSettings(e *env, first int, seeds []string) error {
	text, err := os.ReadFile(filepath.Join(e.root, "deploy/router.toml"))
	if err != nil {
		return err
	}
	if d.storeAddress, err = e.store.Listen(); err != nil {
		return err
	}
	values := map[string]any{
		"node_name": d.name, "zone": d.zone, "ip": d.ip, "port_range": []int{first, first + 14}, "seeds": seeds,
		"platform.address": d.storeAddress, "listen.frontend": d.front, "listen.ready": d.ready,
		"limits.cores": 1, "limits.memory_mb": 284, "limits.cpu_share": 0.4, "limits.link_mbps": 1000.0,
	}
	for k, v := range bounds {
		values["bounds."+k] = v
	}
	var missing error
	out := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := values[m[1]]
		if !ok {
			missing = fmt.Errorf("template has %s, which is not known here", p)
		}
		if m[2] != "" {
			data, _ := json.Marshal(v)
			return string(data)
		}
		return fmt.Sprint(v)
	})
	if missing != nil {
		return missing
	}
	d.settings, d.log = filepath.Join(e.dir, d.name+".toml"), filepath.Join(e.dir, d.name+".log")
	return os.WriteFile(d.settings, []byte(out), 0o600)
}

// start starts the command of the deploy file.
func (d *daemon) start(e *env) error {
	f, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/oleandercove", "route", "--config", d.settings)
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = e.root, f, f
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.dir, "OLEANDERCOVE_BOOT=" + d.settings}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.done = done
	go func() {
		err := d.cmd.Wait()
		_ = f.Close()
		d.rec.log("%s: process ended: %v", d.name, err)
		close(done)
	}()
	d.rec.log("%s: process started", d.name)
	return nil
}

func (d *daemon) waitReady() error {
	c := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := c.Get("http://" + d.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.name)
}

func (d *daemon) signal(s syscall.Signal) {
	d.rec.log("%s: signal %s", d.name, s)
	if err := d.cmd.Process.Signal(s); err != nil {
		d.rec.log("%s: signal: %v", d.name, err)
	}
}

// kill ends the process.
func (d *daemon) kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Kill()
		<-d.done
	}
}
