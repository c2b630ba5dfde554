package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// uploadBody is max_body_bytes of the configuration, memoryMB the memory of a machine.
	uploadBody = 4194304
	memoryMB   = 284
	// uploadClients is the number of clients of the site.
	uploadClients = 92
	uploadDaemons = 9
	uploadWork    = 300 * time.Millisecond
	uploadTimeout = 20 * time.Second
	darkFor       = 5 * time.Second
	// maxLost is how many requests the rule excuses.
	maxLost = 3
)

// uploadPlay is the state of the case upload.
type uploadPlay struct {
	*stage

	mu sync.Mutex
	// passed holds the requests that reached a worker, disturbed until when a daemon is not in
	// touch.
	passed    map[string]bool
	disturbed map[string]time.Time
	dark      map[string]bool
	lost      map[string]int
	ends      map[string]int
}

// uploadCase: all daemons but one lose power, and their callers go to that one. It must not close
// kept connections whose requests it has passed on, for want of memory or otherwise.
func uploadCase(st *stage) (bool, error) {
	p := &uploadPlay{stage: st, passed: map[string]bool{}, disturbed: map[string]time.Time{}, dark: map[string]bool{}, lost: map[string]int{}, ends: map[string]int{}}
	st.configure(service{name: "wuno96b", prefix: "/puxa403/", kind: "unsafe", timeout: uploadTimeout, aim: time.Second, maxConnections: 110})
	for i := range 3 {
		w, err := newWorker(fmt.Sprintf("i-%08x", i+1), "wuno96b", fmt.Sprintf("127.7.0.%d", i+1), 6, 24)
		if err != nil {
			return false, err
		}
		w.onArrival = p.arrived
		w.work = func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(uploadWork)
			writeBody(rw, 800)
		}
		st.store.put("servers", w.id, w.entry())
	}
	if err := st.startDaemons(uploadDaemons, 0); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, d := range st.daemons {
		go p.enforceMemory(d, stop)
	}
	for i := range uploadClients {
		wg.Go(func() { p.client(i, stop) })
	}
	time.Sleep(15 * time.Second)
	if st.trouble {
		p.losePower(st.daemons[1:])
	}
	time.Sleep(15 * time.Second)
	close(stop)
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	broken := false
	for _, d := range st.daemons {
		st.note("%s: ended %d times for want of memory; %d requests that it had passed on lost their kept connection without an answer, while it was in touch", d.name, p.ends[d.name], p.lost[d.name])
		broken = broken || p.lost[d.name] > maxLost
	}
	return broken, nil
}

func (p *uploadPlay) arrived(a arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passed[a.id] = true
	p.note("%s reaches worker %s", a.id, a.worker)
}

// losePower makes daemons dark at once, and starts them again darkFor later.
func (p *uploadPlay) losePower(daemons []*daemon) {
	for _, d := range daemons {
		p.mu.Lock()
		p.dark[d.name], p.disturbed[d.name] = true, time.Now().Add(darkFor+contactTime)
		p.mu.Unlock()
		d.signal(syscall.SIGSTOP)
		p.note("%s loses power", d.name)
	}
	time.AfterFunc(darkFor, func() {
		for _, d := range daemons {
			err := d.restart()
			p.mu.Lock()
			p.dark[d.name] = false
			p.mu.Unlock()
			p.note("%s starts again: %v", d.name, err)
		}
	})
}

// enforceMemory kills a daemon that exceeds its memory, and starts it again, as the platform does.
func (p *uploadPlay) enforceMemory(d *daemon, stop <-chan struct{}) {
	peak := 0
	for {
		select {
		case <-stop:
			p.note("%s: peak of %d MB", d.name, peak)
			return
		case <-time.After(5 * time.Millisecond):
		}
		p.mu.Lock()
		dark := p.dark[d.name]
		p.mu.Unlock()
		if dark {
			continue
		}
		n := d.residentMB()
		peak = max(peak, n)
		if n <= memoryMB {
			continue
		}
		p.mu.Lock()
		p.ends[d.name]++
		p.mu.Unlock()
		p.note("%s has %d MB of %d and is killed by the platform", d.name, n, memoryMB)
		d.end()
		time.Sleep(500 * time.Millisecond)
		if err := d.start(); err != nil {
			p.note("%s does not start: %v", d.name, err)
		}
	}
}

// residentMB returns the memory of the process, in units of 2^20 bytes.
func (d *daemon) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(text)[0])
			return n / 1024
		}
	}
	return 0
}

// target returns the daemon to which the platform forwards a new connection of a client.
func (p *uploadPlay) target(i int) *daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	var up []*daemon
	for _, d := range p.daemons {
		if !p.dark[d.name] {
			up = append(up, d)
		}
	}
	return up[i%len(up)]
}

// client sends one booking after the other on a kept connection, until stop is closed.
func (p *uploadPlay) client(i int, stop <-chan struct{}) {
	body := bytes.Repeat([]byte("x"), uploadBody)
	var k *kept
	var d *daemon
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if k == nil {
			d = p.target(i)
			var err error
			if k, err = dial(d.callers()); err != nil {
				time.Sleep(300 * time.Millisecond)
				continue
			}
		}
		c := call{id: fmt.Sprintf("c%d-%d", i, n), method: http.MethodPost, path: "/puxa403/x", key: key, deadline: uploadTimeout, body: body}
		a := p.send(k, d, c)
		p.note("%s at %s: status %d, %v", c.id, d.name, a.status, a.err)
		if k.answers > 0 {
			p.count(c.id, d, a)
		}
		k.answers++
		if a.closed || a.err != nil {
			_ = k.conn.Close()
			k = nil
		}
		if a.status != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// send sends a request. It breaks off when the daemon loses power, as a caller does that gets no
// answer for long.
func (p *uploadPlay) send(k *kept, d *daemon, c call) answer {
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			p.mu.Lock()
			dark := p.dark[d.name]
			p.mu.Unlock()
			if dark {
				time.Sleep(time.Second)
				_ = k.conn.SetDeadline(time.Now())
				return
			}
		}
	}()
	return k.do(c)
}

// count counts a request that a daemon in touch had passed on and left without an answer.
func (p *uploadPlay) count(id string, d *daemon, a answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.closed && a.status == 0 && p.passed[id] && !p.dark[d.name] && time.Now().After(p.disturbed[d.name]) {
		p.lost[d.name]++
	}
}
