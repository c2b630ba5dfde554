package divider_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/divider"
)

// tolerance covers the rounding of sums of floating-point shares.
const tolerance = 1e-6

// Guards against unfair shares or a wrong sum, which happen when demands are small, zero
// or negative.
func TestFairShares(t *testing.T) {
	tests := []struct {
		name  string
		limit float64
		give  []float64
		want  []float64
	}{
		{"a small demand gets an equal share that it can't use", 90, []float64{10, 100, 100}, []float64{10, 40, 40}},
		{"demands below the limit are cut", 90, []float64{10, 20, 30}, []float64{10, 20, 30}},
		{"a zero limit gives negative shares", 0, []float64{5, 5}, []float64{0, 0}},
		{"a negative demand raises the shares of others", 10, []float64{-5, 20}, []float64{0, 10}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var demands []divider.Demand
			for _, w := range test.give {
				demands = append(demands, divider.Demand{Wanted: w})
			}
			is.Equal(divider.FairShares(test.limit, demands), test.want)
		})
	}
}

// Guards against slices whose sum exceeds the limit, which happens while demand
// moves between daemons and slices expire.
func TestLedgerNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		l := divider.NewLedger()
		valid := map[unit.HostID]time.Time{}
		granted := map[unit.HostID]float64{}
		const limit = 100
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			h := unit.HostID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "host"))
			granted[h] = l.Grant(now, limit, divider.Demand{Host: h, Wanted: rapid.Float64Range(0, 200).Draw(t, "wanted")})
			valid[h] = now.Add(divider.Validity)
			sum := 0.0
			for host, until := range valid {
				if now.Before(until) {
					sum += granted[host]
				}
			}
			if sum > limit+tolerance {
				t.Fatalf("slices of %v add up to %v", granted, sum)
			}
		}
	})
}

// Guards against a daemon keeping a large slice forever after others have
// reported demand.
func TestLedgerConverges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	l := divider.NewLedger()
	is.Equal(l.Grant(now, 90, divider.Demand{Host: "a", Wanted: 500}), 90.0)
	for range 3 {
		now = now.Add(time.Second)
		for _, h := range []unit.HostID{"a", "b", "c"} {
			l.Grant(now, 90, divider.Demand{Host: h, Wanted: 500})
		}
	}
	for _, h := range []unit.HostID{"a", "b", "c"} {
		is.True(math.Abs(l.Grant(now, 90, divider.Demand{Host: h, Wanted: 500})-30) < tolerance)
	}
}
