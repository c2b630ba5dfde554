package prover_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderfake/booker"
	"oleandercove.example/oleanderfake/storer"
	"oleandercove.example/prover/faulter"
	"oleandercove.example/prover/invoker"
	"oleandercove.example/prover/launcher"
)

const (
	bookingCallers    = 8
	bookingsPerCaller = 40
	maxBookingSends   = 4
	// bookingDeadlineMs is the deadline header in milliseconds. It is short, so that calls on
	// silent connections end within a run.
	bookingDeadlineMs = "800"
)

// bookingRig is a platform with two workers and three daemons. A proxy stands in front of
// each worker and between each daemon and the platform.
type bookingRig struct {
	*launcher.Launcher
	t             *testing.T
	client        invoker.Client
	platform      *launcher.Process
	workers       []*launcher.Process
	daemons       []*launcher.Process
	workerLinks   []*faulter.Proxy // to the workers
	platformLinks []*faulter.Proxy // to the platform, one for each daemon
}

func newBookingRig(t *testing.T) *bookingRig {
	is := is.New(t)
	r := &bookingRig{Launcher: launcher.New("../bin", t.TempDir()), t: t, client: invoker.Client{Token: launcher.Token(account)}}
	t.Cleanup(r.Close)
	var err error
	r.platform, err = r.Platform("--host-timeout", "0s", "--host-lag", "0s")
	is.NoErr(err)
	is.NoErr(r.PutAccount(t.Context(), account))
	is.NoErr(r.PutEntry(t.Context(), &catalogue.Entry{
		Kind: catalogue.KindService, Name: "logbook", Owner: "logbook-team", Class: catalogue.ClassStandard,
		Service: &catalogue.Service{IdempotentMethods: []string{http.MethodGet}},
	}))
	for i := range 2 {
		id := fmt.Sprintf("logbook-%d", i)
		w, err := r.UnregisteredService(id, "--delay", "3ms")
		is.NoErr(err)
		r.workers, r.workerLinks = append(r.workers, w), append(r.workerLinks, r.proxy(id, w.Address))
		r.RegisterService(t.Context(), id, "logbook", r.workerLinks[i].Address)
	}
	for i := range 3 {
		id := fmt.Sprintf("entry-%d", i)
		r.platformLinks = append(r.platformLinks, r.proxy(id, r.platform.Address))
		d, err := r.DaemonVia(id, r.platformLinks[i].Address)
		is.NoErr(err)
		r.daemons = append(r.daemons, d)
		is.NoErr(launcher.Wait(20*time.Second, "answer of a worker", func() bool {
			a := r.send(booking{body: "warm-up", method: http.MethodGet}, i)
			return a.status == http.StatusOK
		}))
	}
	return r
}

func (r *bookingRig) proxy(name, upstream string) *faulter.Proxy {
	p, err := faulter.New(name, upstream)
	is.New(r.t).NoErr(err)
	r.t.Cleanup(p.Close)
	return p
}

// bookingFault is a fault that start injects and heal ends; n selects its target.
type bookingFault struct {
	name  string
	start func(r *bookingRig, n int) error
	heal  func(r *bookingRig, n int) error
}

func healWorkerLink(r *bookingRig, n int) error   { return r.workerLinks[n%2].Heal() }
func healPlatformLink(r *bookingRig, n int) error { return r.platformLinks[n%3].Heal() }
func healPlatform(r *bookingRig, _ int) error {
	return postFaults(r.platform.Address, storer.Faults{})
}

func postFaults(address string, f any) error {
	b, err := json.Marshal(f)
	if err != nil {
		return err
	}
	res, err := http.Post("http://"+address+"/faults", "application/json", bytes.NewReader(b))
	if err == nil {
		res.Body.Close()
	}
	return err
}

var bookingFaults = []bookingFault{
	{"worker killed", func(r *bookingRig, n int) error { r.workers[n%2].Kill(); return nil }, func(r *bookingRig, n int) error { return r.workers[n%2].Restart() }},
	{"daemon killed", func(r *bookingRig, n int) error { r.daemons[n%3].Kill(); return nil }, func(r *bookingRig, n int) error { return r.daemons[n%3].Restart() }},
	{"worker cuts answers", func(r *bookingRig, n int) error {
		return postFaults(r.workers[n%2].Address, booker.Faults{CutAfter: true})
	}, func(r *bookingRig, n int) error { return postFaults(r.workers[n%2].Address, booker.Faults{}) }},
	{"platform loses answers", func(r *bookingRig, _ int) error {
		return postFaults(r.platform.Address, storer.Faults{LoseAnswers: 0.5})
	}, healPlatform},
	{"answers of a worker are lost", func(r *bookingRig, n int) error { return r.workerLinks[n%2].Silence(faulter.ToClient) }, healWorkerLink},
	{"platform down", func(r *bookingRig, _ int) error {
		return postFaults(r.platform.Address, storer.Faults{Down: true})
	}, healPlatform},
	{"link to a worker cut", func(r *bookingRig, n int) error { r.workerLinks[n%2].Cut(); return nil }, healWorkerLink},
	{"answers of the platform are lost", func(r *bookingRig, n int) error { return r.platformLinks[n%3].Silence(faulter.ToClient) }, healPlatformLink},
	{"requests to a worker are lost", func(r *bookingRig, n int) error { return r.workerLinks[n%2].Silence(faulter.ToServer) }, healWorkerLink},
	{"connections to the platform are half open", func(r *bookingRig, n int) error { return r.platformLinks[n%3].HalfOpen(faulter.ToClient) }, healPlatformLink},
}

// booking is one booking of a caller; its body identifies it in the journals.
type booking struct {
	key, body, method string
	answers           []bookingAnswer
}

// bookingAnswer is the result of one call; status 0 means that no answer came.
type bookingAnswer struct {
	status  int
	verdict verdict.Verdict
}

func (r *bookingRig) send(b booking, daemon int) bookingAnswer {
	a, _ := sendBooking(r.t.Context(), r.client, r.daemons[daemon].Address, b)
	return a
}

// sendBooking sends one call and waits at most 5 s. It returns an error if no answer came
// or a successful one can't be decoded; the status is then 0.
func sendBooking(ctx context.Context, c invoker.Client, address string, b booking) (bookingAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	h := http.Header{api.HeaderIdempotencyKey: {b.key}, api.HeaderDeadline: {bookingDeadlineMs}}
	res, err := c.Do(ctx, b.method, "http://"+address+"/services/logbook/trips", []byte(b.body), h)
	if err != nil {
		return bookingAnswer{}, err
	}
	defer res.Body.Close()
	a := bookingAnswer{status: res.StatusCode}
	var refusal api.Refusal
	if err := json.NewDecoder(res.Body).Decode(&refusal); err != nil && a.status < http.StatusBadRequest {
		return bookingAnswer{}, err
	}
	a.verdict = refusal.Verdict
	return a, nil
}

// runBooking sends one booking. One with an idempotency key is sent up to
// maxBookingSends times, to the daemons in turn; after a success it usually stops.
func (r *bookingRig) runBooking(rnd *rand.Rand, b *booking) {
	sends := 1
	if b.key != "" {
		sends = 1 + rnd.IntN(maxBookingSends)
	}
	first := rnd.IntN(len(r.daemons))
	for i := range sends {
		a := r.send(*b, (first+i)%len(r.daemons))
		b.answers = append(b.answers, a)
		if a.status == http.StatusCreated && rnd.IntN(4) > 0 {
			return
		}
	}
}

// runLoad sends bookings from several callers while two faults start and end, and returns
// the bookings with their answers.
func (r *bookingRig) runLoad(seed uint64) []*booking {
	var mu sync.Mutex
	var all []*booking
	var wg sync.WaitGroup
	started := make(chan struct{}, bookingCallers*bookingsPerCaller)
	for c := range bookingCallers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(c)))
			for i := range bookingsPerCaller {
				b := &booking{method: http.MethodPost, body: fmt.Sprintf("booking-%d-%d", c, i)}
				if rnd.IntN(4) > 0 {
					b.key = "key-" + b.body
				}
				started <- struct{}{}
				r.runBooking(rnd, b)
				mu.Lock()
				all = append(all, b)
				mu.Unlock()
			}
		})
	}
	r.injectFaults(seed, started)
	wg.Wait()
	return all
}

// injectFaults injects two faults one after the other. Each starts after a random number
// of bookings and ends after another random number.
func (r *bookingRig) injectFaults(seed uint64, started <-chan struct{}) {
	is := is.New(r.t)
	rnd := rand.New(rand.NewPCG(seed, 1<<32))
	skip := func() {
		for range 20 + rnd.IntN(40) {
			<-started
		}
	}
	n := rnd.IntN(6)
	for i := range 2 {
		f := bookingFaults[(2*seed+uint64(i))%uint64(len(bookingFaults))]
		r.t.Logf("fault: %s", f.name)
		skip()
		is.NoErr(f.start(r, n))
		skip()
		is.NoErr(f.heal(r, n))
	}
}

// countRuns stops the workers and counts the runs of each booking in their journals. All
// calls must have ended before.
func (r *bookingRig) countRuns() map[string]int {
	is := is.New(r.t)
	runs := map[string]int{}
	for _, w := range r.workers {
		is.NoErr(w.Terminate())
	}
	for _, w := range r.workers {
		_, err := w.WaitExit(30 * time.Second)
		is.NoErr(err)
		data, err := os.ReadFile(r.Journal(w.Name))
		is.NoErr(err)
		lines := bufio.NewScanner(bytes.NewReader(data))
		for lines.Scan() {
			var rec booker.Record
			is.NoErr(json.Unmarshal(lines.Bytes(), &rec))
			runs[rec.Body]++
		}
	}
	return runs
}

// check returns an error if a booking ran twice, succeeded without a run, or ran although
// every answer had the verdict NotRun.
func (b *booking) check(runs int) error {
	succeeded, notRun := false, true
	for _, a := range b.answers {
		succeeded = succeeded || a.status == http.StatusCreated
		notRun = notRun && a.verdict == verdict.NotRun
	}
	switch {
	case runs > 1:
		return fmt.Errorf("%s ran %d times: %v", b.body, runs, b.answers)
	case succeeded && runs != 1:
		return fmt.Errorf("%s succeeded without a run: %v", b.body, b.answers)
	case notRun && runs != 0:
		return fmt.Errorf("%s ran and is reported as not run: %v", b.body, b.answers)
	}
	return nil
}

// bookingSeeds returns the seeds of this run; SEEDS lists them, separated by commas.
func bookingSeeds(t *testing.T) []uint64 {
	seeds := []uint64{0, 1, 2, 3, 4}
	if text := os.Getenv("SEEDS"); text != "" {
		seeds = nil
		for _, s := range strings.Split(text, ",") {
			var n uint64
			_, err := fmt.Sscan(s, &n)
			is.New(t).NoErr(err)
			seeds = append(seeds, n)
		}
	}
	return seeds
}

// Guards against a booking that runs twice, a wrong verdict and a success without a run,
// which happen when any component fails at a random moment.
// SEEDS lists the seeds; each default seed injects two of the ten faults.
func TestBookings(t *testing.T) {
	for _, seed := range bookingSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := newBookingRig(t)
			all := r.runLoad(seed)
			runs := r.countRuns()
			verdicts := map[string]int{}
			for _, b := range all {
				if err := b.check(runs[b.body]); err != nil {
					t.Error(err)
				}
				for _, a := range b.answers {
					verdicts[fmt.Sprintf("%d%s", a.status, a.verdict)]++
				}
			}
			t.Logf("%d bookings, answers %v", len(all), verdicts)
		})
	}
}
