package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// daemonSpec describes a daemon of the project. All daemons have the same ports on loopback
// addresses of their own.
type daemonSpec struct {
	name, zone, ip string
	ports          ports
	seeds          []string
	store          string
	// files is the limit of descriptors; 0 means that of the caller.
	files int
}

type ports struct{ callers, ready, control, peers int }

type daemon struct {
	daemonSpec
	root, file string
	cmd        *exec.Cmd
	done       chan struct{}
	log        *os.File
}

const settingsText = `Host = "%s"
DataCentre = "%s"
IP = "%s"
PeerPorts = [%d,%d]
Seeds = [%s]
StoreAddress = "%s"

[Listen]
Callers = "%s:%d"
Ready = "%s:%d"

[Limits]
Cores = 1
MemoryMegabytes = 284

[Bounds]
KeyRevocation = "5000ms"
Grace = "8s"
RetryShare = 0.2
RetryReserve = 202
`

// startDaemon writes the settings and starts the program with the command of the deploy file.
func startDaemon(root, dir string, s daemonSpec) (*daemon, error) {
	seeds := ""
	for i, x := range s.seeds {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", x)
	}
	file := filepath.Join(dir, s.name+".toml")
	text := fmt.Sprintf(settingsText, s.name, s.zone, s.ip, s.ports.peers, s.ports.peers+15, seeds, s.store,
		s.ip, s.ports.callers, s.ip, s.ports.ready)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, s.name+".log"))
	if err != nil {
		return nil, err
	}
	d := &daemon{daemonSpec: s, root: root, file: file, log: log}
	return d, d.start()
}

// start starts the process.
func (d *daemon) start() error {
	program := filepath.Join(d.root, "target", "oleandercove")
	cmd := exec.Command(program, "route", "--config", d.file)
	if d.files > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec \"$0\" route --config \"$1\"", d.files), program, d.file)
	}
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, d.log, d.log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERCOVE_BOOT=" + d.file}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.cmd, d.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// restart kills the process and starts it again.
func (d *daemon) restart() error {
	d.end()
	return d.start()
}

func (d *daemon) callers() string { return fmt.Sprintf("%s:%d", d.ip, d.ports.callers) }

// ready reports whether the daemon answers the platform's question with 200.
func (d *daemon) ready(c *http.Client) bool {
	r, err := c.Get(fmt.Sprintf("http://%s:%d/readyz", d.ip, d.ports.ready))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// followed returns the daemon that this one last said in its log to follow.
func (d *daemon) followed() string {
	data, err := os.ReadFile(d.log.Name())
	if err != nil {
		return ""
	}
	peer := ""
	for _, line := range strings.Split(string(data), "\n") {
		var x struct{ Msg, Peer string }
		if json.Unmarshal([]byte(line), &x) == nil && x.Msg == "following a peer" {
			peer = x.Peer
		}
	}
	return peer
}

// exited reports whether the process has ended.
func (d *daemon) exited() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// end kills the process and waits for that.
func (d *daemon) end() {
	d.signal(syscall.SIGKILL)
	d.signal(syscall.SIGCONT)
	select {
	case <-d.done:
	case <-time.After(5 * time.Second):
	}
}

// descriptors returns the number of open descriptors of the process.
func (d *daemon) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}
