package launcher

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one started program.
type Process struct {
	Name    string
	Address string
	// Operators is the address of a daemon's listener for operators.
	Operators string
	Args      []string

	launcher *Launcher
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	state    *os.ProcessState
}

// start runs the program; its output goes to a file in the launcher's folder.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.launcher.Dir, p.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.Args[0], p.Args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel ends the process if the launcher dies first.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.state = cmd.ProcessState
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// maxTail bounds the part of a log in an error.
const maxTail = 2000

// logTail returns the end of the program's output, for errors.
func (p *Process) logTail() string {
	b, err := os.ReadFile(filepath.Join(p.launcher.Dir, p.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxTail):])
}

// PeakMemory returns the largest resident memory of the process so far, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return n << 10, err
		}
	}
	return 0, errors.New("status of the process names no peak")
}

func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done()
}

// Terminate asks the process to shut down gracefully.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Restart starts the program again after its end.
func (p *Process) Restart() error { return p.start() }

func (p *Process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// WaitExit waits for the end of the process and returns its exit code.
func (p *Process) WaitExit(limit time.Duration) (int, error) {
	select {
	case <-p.done():
	case <-time.After(limit):
		return 0, fmt.Errorf("%s did not exit within %s", p.Name, limit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.ExitCode(), nil
}

// Exited tells whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done():
		return true
	default:
		return false
	}
}

// PID returns the id of the process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

const (
	// firstPort and lastPort lie below the range from which the kernel takes the
	// ports of outgoing connections: a port of that range can be taken between
	// the choice and the start of the program.
	firstPort, lastPort = 10000, 32000
	// maxPortTries bounds the search for a free port.
	maxPortTries = 100
)

// FreeAddress returns a loopback address with a port that was free just now.
func FreeAddress() (string, error) {
	var err error
	for range maxPortTries {
		var l net.Listener
		port := firstPort + rand.IntN(lastPort-firstPort)
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", err
}
