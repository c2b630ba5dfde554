package launcher

import (
	"errors"
	"fmt"
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
	// OperatorAddress is the address of a daemon's listener for operators.
	OperatorAddress string
	Args            []string

	launcher *Launcher
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	state    *os.ProcessState
}

// start runs the program and appends its output to NAME.log in the launcher's folder.
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
	// The kernel kills the process if the launcher's process dies first.
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

// maxTail is the maximum number of log bytes in an error.
const maxTail = 2000

// logTail returns the end of the program's output, for errors.
func (p *Process) logTail() string {
	b, err := os.ReadFile(filepath.Join(p.launcher.Dir, p.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxTail):])
}

// WaitHTTP blocks until a GET of the URL responds with a status below 500. It returns an
// error with the end of the program's output after limit, or when the process exits.
func (p *Process) WaitHTTP(url string, limit time.Duration) error {
	var exited bool
	err := Wait(limit, "answer from "+url, func() bool {
		exited = p.Exited()
		return exited || responds(url)
	})
	if exited {
		err = errors.New("the process has exited")
	}
	if err != nil {
		return fmt.Errorf("%s: %w; end of its log:\n%s", p.Name, err, p.logTail())
	}
	return nil
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
	return 0, errors.New("status of the process has no VmHWM line")
}

func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and blocks until the process has exited.
func (p *Process) Kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done()
}

// Terminate sends SIGTERM, which starts a graceful shutdown. It doesn't wait for the exit.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Restart starts the program again, with the same arguments, after it has exited.
func (p *Process) Restart() error { return p.start() }

func (p *Process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// WaitExit blocks until the process has exited and returns its exit code. It returns an
// error after limit.
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

// Exited reports whether the process has exited.
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
