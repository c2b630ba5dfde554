package prover_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/booker"
	"oleandercove.example/prover/launcher"
)

// startWorkers starts n workers of the logbook and waits until every daemon gets an answer
// from one.
func (r *rig) startWorkers(t *testing.T, n int) []*launcher.Process {
	t.Helper()
	var out []*launcher.Process
	for i := range n {
		p, err := r.Service(fmt.Sprintf("worker-%d", i), "logbook")
		is.New(t).NoErr(err)
		out = append(out, p)
	}
	for i := range r.daemons {
		await(t, "answer of the logbook", func() bool {
			res, err := r.client.Do(t.Context(), http.MethodGet, "http://"+r.daemons[i].Address+"/services/logbook/x", nil, nil)
			if err != nil {
				return false
			}
			res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
	}
	return out
}

// stopGracefully sends SIGTERM to a process and fails the test unless it exits with 0 within
// 40 s.
func stopGracefully(t *testing.T, p *launcher.Process) {
	t.Helper()
	is := is.New(t)
	is.NoErr(p.Terminate())
	code, err := p.WaitExit(40 * time.Second)
	is.NoErr(err)
	is.Equal(code, 0)
}

// fetchJournal returns the journal of a running fake.
func fetchJournal[T any](t *testing.T, p *launcher.Process) []T {
	t.Helper()
	is := is.New(t)
	res, err := http.Get("http://" + p.Address + "/journal")
	is.NoErr(err)
	defer res.Body.Close()
	var out []T
	is.NoErr(json.NewDecoder(res.Body).Decode(&out))
	return out
}

// Guards against a refused, truncated or lost answer, which happens when a daemon stops as
// planned, or when its successor reports ready too early.
func TestDaemonsRolled(t *testing.T) {
	r := newRig(t, 3)
	r.startWorkers(t, 2)
	b, stopLoad := startLoad(t, r, 6)
	for i, d := range r.daemons {
		stopGracefully(t, d)
		is.New(t).NoErr(d.Restart())
		await(t, "ready after the restart", b.ready[i].Load)
	}
	stopLoad()
	b.check(t)
}

// Guards against an answer that is truncated when an engine or worker stops as planned, and
// against an engine that gets no work after its restart.
func TestEnginesRolled(t *testing.T) {
	t.Parallel() // most of its time is waiting
	// A small batch spreads the load over both engines of each stage.
	r := newRigWith(t, longAdmissionWait, 2, "--max-batch", "2")
	workers := r.startWorkers(t, 2)
	b, stopLoad := startLoad(t, r, 6)
	// One engine of each stage stays up while the other one is stopped.
	for parity := range 2 {
		for stage := range 3 {
			e := r.engines[2*stage+parity]
			stopGracefully(t, e)
			is.New(t).NoErr(e.Restart())
			is.New(t).NoErr(launcher.WaitHTTP("http://"+e.Address+"/v1/status", 20*time.Second))
		}
		for stage := range 3 {
			e := r.engines[2*stage+parity]
			await(t, "work on the restarted engine", func() bool { return len(fetchJournal[engine.JournalRecord](t, e)) > 0 })
		}
	}
	stopGracefully(t, workers[0])
	stopLoad()
	b.check(t)
}

// Guards against a stream that is cut without a refusal when the shutdown reaches its
// limit, against an exit long after the limit, and against new requests that aren't refused
// during the shutdown.
func TestStreamAtShutdownLimit(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 0)
	r.DaemonSettings = "\n[Shutdown]\nBalancerDelay = \"200ms\"\nLimit = \"3s\"\n"
	d, err := r.Daemon("entry-0", "dc-a")
	is.NoErr(err)
	r.daemons = append(r.daemons, d)
	await(t, "answer", func() bool { return r.allServe(t.Context()) })
	var terminatedAt time.Time
	a, err := r.complete(t.Context(), 0, "long", 4000, func(n int) {
		if n == 10 {
			terminatedAt = time.Now()
			is.NoErr(d.Terminate())
			await(t, "refusal of a new request", func() bool {
				late, err := r.complete(t.Context(), 0, "late", 1, nil)
				return err == nil && late.Status == http.StatusServiceUnavailable && late.Refusal.Reason == "Draining" &&
					late.Refusal.Verdict == "NotRun" && late.Header.Get("Retry-After") == "1"
			})
		}
	})
	is.NoErr(err)
	is.True(!a.Done)
	is.Equal(string(a.Refusal.Reason), "Draining")
	is.Equal(string(a.Refusal.Verdict), "MayHaveRun")
	code, err := d.WaitExit(20 * time.Second)
	is.NoErr(err)
	is.Equal(code, 0)
	is.True(time.Since(terminatedAt) < 5*time.Second)
}

// Guards against new work on a backend server later than 3 s after the first signal that it
// leaves, which happens when the server still accepts work and its row in the host list
// turns live again.
func TestNoNewWorkAfterLeaving(t *testing.T) {
	const allowed = 3 * time.Second
	is := is.New(t)
	r := newRig(t, 2)
	workers := r.startWorkers(t, 2)
	b, stopLoad := startLoad(t, r, 4)
	leavingRows := []platform.Host{
		{ID: "engine-0", Role: platform.RoleEngine, Address: r.engines[0].Address, Serves: modelName, State: platform.HostLeaving, DataCentre: "dc-a"},
		{ID: "worker-0", Role: platform.RoleService, Address: workers[0].Address, Serves: "logbook", State: platform.HostLeaving},
	}
	firstSignal := time.Now()
	// The fakes keep registering themselves as live, so the rows alternate.
	await(t, "end of the signals", func() bool {
		for _, h := range leavingRows {
			r.registerHost(t, h)
		}
		return time.Since(firstSignal) > 4*time.Second
	})
	await(t, "rest of the window", func() bool { return time.Since(firstSignal) > 7*time.Second })
	stopLoad()
	b.check(t)
	streams, total := map[unit.StreamID]bool{}, 0
	for _, j := range fetchJournal[engine.JournalRecord](t, r.engines[0]) {
		first := !streams[j.Stream]
		streams[j.Stream] = true
		total++
		is.True(!first || !within(j.At, firstSignal.Add(allowed), firstSignal.Add(7*time.Second))) // new stream on a leaving engine
	}
	for _, c := range fetchJournal[booker.Record](t, workers[0]) {
		total++
		is.True(!within(c.At, firstSignal.Add(allowed), firstSignal.Add(7*time.Second))) // new call on a leaving worker
	}
	is.True(total > 0)
}

func within(at, from, to time.Time) bool { return at.After(from) && at.Before(to) }

// registerHost writes a row of the platform's host list.
func (r *rig) registerHost(t *testing.T, h platform.Host) {
	t.Helper()
	is := is.New(t)
	body, err := json.Marshal(h)
	is.NoErr(err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+r.platform.Address+"/v1/hosts/"+h.ID, bytes.NewReader(body))
	is.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	res.Body.Close()
}
