package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/connector"
	"oleandercove.example/oleanderfake/storer"
	"oleandercove.example/prover/cluster"
)

const (
	// backendsPerDaemon is 2,100 backend servers for 610 daemons.
	backendsPerDaemon = 2100.0 / designSize
	// entryCount is 3,400 accounts and the models and services.
	entryCount = 3420
	// editInterval is the interval of 9,400 changes a day.
	editInterval = 24 * time.Hour / 9400
	// timedEdits is the number of changes whose propagation time is measured.
	timedEdits = 20
	// settleLimit is how long a started fleet may take to settle.
	settleLimit = 2 * time.Minute
	// quietTime is how long the start-up traffic may take to end.
	quietTime = 8 * time.Second
	// editLimit is how long one change may take to reach all daemons.
	editLimit = 30 * time.Second
)

// Point holds the figures at one size, for each daemon unless noted.
type Point struct {
	Daemons int
	// SentBytesPerSecond and ReceivedBytesPerSecond are the traffic of peer links.
	SentBytesPerSecond, ReceivedBytesPerSecond float64
	// MaxBytesPerSecond is the traffic of the daemon with the most, in both directions.
	MaxBytesPerSecond float64
	// PolledBytesPerSecond is the traffic of status calls to backend servers.
	PolledBytesPerSecond float64
	// PolledCallsPerSecond is the rate of status calls, ConnectionsPerSecond the rate of
	// new connections for them.
	PolledCallsPerSecond, ConnectionsPerSecond float64
	MessagesPerSecond                          float64
	LinksMean                                  float64
	// CPUPercent is the CPU time of the daemons, FakesCPUPercent that of the fakes' process.
	CPUPercent, FakesCPUPercent float64
	MemoryMB                    float64
	// ReadsPerSecond, WatchesPerSecond and HostListsPerSecond are the platform calls of the
	// entire fleet.
	ReadsPerSecond, WatchesPerSecond, HostListsPerSecond float64
	// SettleSeconds is the time from the start of the fleet until it settles.
	SettleSeconds float64
	// ChangeP50Ms and ChangeMaxMs are the time until a change is in force on all daemons.
	ChangeP50Ms, ChangeMaxMs float64
}

func measure(ctx context.Context, n int, o options) (Point, error) {
	p := Point{Daemons: n}
	fakes, stop, err := startFakes(ctx, o.busy)
	if err != nil {
		return p, err
	}
	defer stop()
	runtime.GC()
	memory, start := memoryInUse(), time.Now()
	end, err := startProfile(o.profiles, fmt.Sprintf("%d-start", n))
	if err != nil {
		return p, err
	}
	c, err := cluster.Start(ctx, cluster.Options{
		Daemons: n, DataCentres: o.centres, Regions: o.regions,
		Backends: int(float64(n) * backendsPerDaemon), Entries: entryCount, Fakes: fakes,
	})
	if err != nil {
		return p, err
	}
	defer c.Close()
	if err := c.WaitSettled(settleLimit); err != nil {
		dumpGoroutines(o.profiles, fmt.Sprint(n))
		return p, err
	}
	end()
	p.SettleSeconds = time.Since(start).Seconds()
	time.Sleep(quietTime)
	end, err = startProfile(o.profiles, fmt.Sprint(n))
	if err != nil {
		return p, err
	}
	err = p.measureWindow(ctx, c, o.window)
	end()
	if err != nil {
		return p, err
	}
	runtime.GC()
	p.MemoryMB = (memoryInUse() - memory) / float64(n) / (1 << 20)
	return p, p.timeEdits(ctx, c)
}

// measureWindow measures the steady traffic while entries change at the design's rate.
func (p *Point) measureWindow(ctx context.Context, c *cluster.Cluster, window time.Duration) error {
	before, cpu := traffic(c), cluster.CPUTime()
	usage, err := c.Usage()
	if err != nil {
		return err
	}
	calls, err := c.PlatformCalls()
	if err != nil {
		return err
	}
	start := time.Now()
	for i := 0; time.Since(start) < window; i++ {
		if err := c.Edit(ctx, fmt.Sprintf("account-%d", i), 1); err != nil {
			return err
		}
		time.Sleep(min(editInterval, window-time.Since(start)))
	}
	seconds := time.Since(start).Seconds()
	after, n := traffic(c), float64(len(c.Daemons))
	for i, a := range after {
		b := before[i]
		sent, received := float64(a.BytesSent-b.BytesSent)/seconds, float64(a.BytesReceived-b.BytesReceived)/seconds
		p.SentBytesPerSecond += sent / n
		p.ReceivedBytesPerSecond += received / n
		p.MaxBytesPerSecond = max(p.MaxBytesPerSecond, sent+received)
		p.MessagesPerSecond += float64(a.MessagesSent-b.MessagesSent+a.MessagesReceived-b.MessagesReceived) / seconds / n
		p.LinksMean += float64(len(c.Daemons[i].Connector.Links())) / n
	}
	p.CPUPercent = (cluster.CPUTime() - cpu).Seconds() / seconds / n * 100
	return p.setRates(c, usage, calls, seconds)
}

// setRates sets the figures that the fakes counted since the given states.
func (p *Point) setRates(c *cluster.Cluster, usage cluster.Usage, calls storer.Calls, seconds float64) error {
	u, err := c.Usage()
	if err != nil {
		return err
	}
	now, err := c.PlatformCalls()
	each := seconds * float64(len(c.Daemons))
	p.FakesCPUPercent = (u.CPU - usage.CPU).Seconds() / each * 100
	p.PolledBytesPerSecond = float64(u.PolledBytes-usage.PolledBytes) / each
	p.PolledCallsPerSecond = float64(u.PolledCalls-usage.PolledCalls) / each
	p.ConnectionsPerSecond = float64(u.PolledConnections-usage.PolledConnections) / each
	p.ReadsPerSecond = float64(now.Reads-calls.Reads) / seconds
	p.WatchesPerSecond = float64(now.Watches-calls.Watches) / seconds
	p.HostListsPerSecond = float64(now.Hosts-calls.Hosts) / seconds
	return err
}

func (p *Point) timeEdits(ctx context.Context, c *cluster.Cluster) error {
	var took []float64
	for i := range timedEdits {
		name := fmt.Sprintf("account-%d", entryCount-1-i)
		if err := c.Edit(ctx, name, 1); err != nil {
			return err
		}
		accepted := time.Now()
		if err := c.WaitForVersion(name, unit.Version(2), editLimit); err != nil {
			return err
		}
		took = append(took, float64(time.Since(accepted).Microseconds())/1000)
	}
	slices.Sort(took)
	p.ChangeP50Ms, p.ChangeMaxMs = took[len(took)/2], took[len(took)-1]
	return nil
}

func traffic(c *cluster.Cluster) []connector.Traffic {
	var out []connector.Traffic
	for _, d := range c.Daemons {
		out = append(out, d.Connector.Traffic())
	}
	return out
}

// memoryInUse returns the bytes in use by the heap and the stacks.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// values lists the figures with their names, for printing and fitting.
func (p *Point) values() []value {
	return []value{
		{"sent B/s", &p.SentBytesPerSecond},
		{"received B/s", &p.ReceivedBytesPerSecond},
		{"most B/s", &p.MaxBytesPerSecond},
		{"polled B/s", &p.PolledBytesPerSecond},
		{"messages/s", &p.MessagesPerSecond},
		{"links", &p.LinksMean},
		{"CPU %", &p.CPUPercent},
		{"memory MB", &p.MemoryMB},
		{"fakes' CPU %", &p.FakesCPUPercent},
		{"status calls/s", &p.PolledCallsPerSecond},
		{"status connections/s", &p.ConnectionsPerSecond},
		{"reads/s (fleet)", &p.ReadsPerSecond},
		{"watches/s (fleet)", &p.WatchesPerSecond},
		{"host lists/s (fleet)", &p.HostListsPerSecond},
		{"settled s", &p.SettleSeconds},
		{"change p50 ms", &p.ChangeP50Ms},
		{"change max ms", &p.ChangeMaxMs},
	}
}

type value struct {
	name   string
	number *float64
}

func (p *Point) print(w io.Writer) {
	fmt.Fprintf(w, "%d daemons:", p.Daemons)
	for _, v := range p.values() {
		fmt.Fprintf(w, "  %s %.2f", v.name, *v.number)
	}
	fmt.Fprintln(w)
}

// fit returns the value of each figure's least-squares line at the given size, or zeros for
// fewer than two points.
func fit(points []Point, size int) Point {
	out := Point{Daemons: size}
	if len(points) < 2 {
		return out
	}
	for i, v := range out.values() {
		var n, x, y, xx, xy float64
		for _, p := range points {
			a, b := float64(p.Daemons), *p.values()[i].number
			n, x, y, xx, xy = n+1, x+a, y+b, xx+a*a, xy+a*b
		}
		slope := (n*xy - x*y) / (n*xx - x*x)
		*v.number = (y-slope*x)/n + slope*float64(size)
	}
	return out
}
