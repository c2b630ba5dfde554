// Command standin3 plays the cases of the third review. It starts the router's processes with
// the command of the deploy file, and is the platform's store, the workers, the clients and the
// operator of a small deployment on loopback addresses.
//
// Usage:
//
//	standin3 CASE FOLDER
//
// It writes record.txt into the folder. It exits with 1 if the rule was broken, with 0 if it
// held and with 2 if the case couldn't run. TROUBLE=0 in the environment leaves the disruption
// out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// startTime is the time between the start of the daemons and that of traffic.
	startTime = 10 * time.Second
	// maxTime bounds a case.
	maxTime = 110 * time.Second
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns a time as the record shows it.
func (r *recorder) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// env is what a case runs in.
type env struct {
	root, dir string
	trouble   bool
	rec       *recorder
	store     *store
	runs      *runs
	requests  *requests
	daemons   []*daemon
}

// cases are the cases by name; each returns whether the rule was broken.
var cases = map[string]func(*env) (bool, error){
	"revoked-after-drill":   revokedAfterDrill,
	"config-after-drill":    configAfterDrill,
	"drain-after-drill":     drainAfterDrill,
	"revoked-behind-freeze": revokedBehindFreeze,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		return notRun(err)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return notRun(err)
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return notRun(err)
	}
	defer os.RemoveAll(dir)
	e := &env{
		root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0",
		rec: &recorder{file: f, start: time.Now()}, runs: &runs{}, requests: &requests{},
	}
	e.store = startStore(e.rec)
	defer e.killDaemons()
	go e.endEarly()
	e.rec.log("case %s, trouble %v", os.Args[1], e.trouble)
	broken, err := cases[os.Args[1]](e)
	if err != nil {
		e.rec.log("the case could not run: %v", err)
		return notRun(err)
	}
	e.writeRequests()
	if os.Getenv("KEEP_LOGS") != "" {
		for _, d := range e.daemons {
			data, _ := os.ReadFile(d.log)
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), d.name+".log"), data, 0o600)
		}
	}
	if broken {
		e.rec.log("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	e.rec.log("the rule held")
	fmt.Println("held")
	return exitHeld
}

func (e *env) killDaemons() {
	for _, d := range e.daemons {
		d.kill()
	}
}

// endEarly ends the case, and all processes that it started, at a signal or after maxTime.
func (e *env) endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case s := <-stop:
		e.rec.log("ended by signal %s", s)
	case <-time.After(maxTime):
		e.rec.log("ended after %s", maxTime)
	}
	e.killDaemons()
	_ = os.RemoveAll(e.dir)
	os.Exit(exitNotRun)
}

func notRun(err error) int {
	fmt.Fprintln(os.Stderr, "standin3:", err)
	return exitNotRun
}

// writeRequests writes what was sent, answered and run.
func (e *env) writeRequests() {
	ran := e.runs.byAttempt()
	e.rec.log("requests: sent at, id, kind, daemon, status, bytes, whole, ended at, run at")
	for _, s := range e.requests.list() {
		var at []string
		for _, r := range ran[s.attempt] {
			at = append(at, fmt.Sprintf("%s (%s) %.3f", r.worker, r.service, e.rec.since(r.at)))
		}
		e.rec.log("  %.3f %s %s %s %d %d %v %.3f [%s] %v", e.rec.since(s.at), s.attempt, s.kind, s.daemon, s.status, s.body, s.whole,
			e.rec.since(s.ended), strings.Join(at, ", "), s.err)
	}
}
