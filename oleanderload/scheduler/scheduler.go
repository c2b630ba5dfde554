// Package scheduler computes the requests of a run from a profile and its seed.
//
// Each client account has its own Poisson process, so that limiting one account to a part
// of the run does not change the arrivals of the others.
//
// Usage:
//
//	arrivals := scheduler.Schedule(p)
package scheduler

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderload/profile"
)

// Arrival is one request to send.
type Arrival struct {
	// At is the due time since the start of the run.
	At       time.Duration
	Account  unit.AccountID
	Priority string `json:",omitempty"`
	// Service is set if the request reads the plain service.
	Service    bool   `json:",omitempty"`
	Prompt     string `json:",omitempty"`
	MaxTokens  int    `json:",omitempty"`
	DeadlineMs int    `json:",omitempty"`
}

// Schedule returns the arrivals of a run, ordered by due time.
func Schedule(p *profile.Profile) []Arrival {
	total := 0.0
	for _, a := range p.Accounts {
		total += a.Weight
	}
	var out []Arrival
	for i, a := range p.Accounts {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		out = append(out, accountArrivals(p, a, p.Rate*a.Weight/total, rng)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

func accountArrivals(p *profile.Profile, a profile.Account, rate float64, rng *rand.Rand) []Arrival {
	end := p.Duration()
	if a.EndSeconds > 0 {
		end = min(end, profile.Seconds(a.EndSeconds))
	}
	var out []Arrival
	for at := profile.Seconds(a.StartSeconds); ; {
		at += profile.Seconds(rng.ExpFloat64() / rate)
		if at >= end {
			return out
		}
		out = append(out, newArrival(p, a, at, rng))
	}
}

func newArrival(p *profile.Profile, a profile.Account, at time.Duration, rng *rand.Rand) Arrival {
	r := Arrival{At: at, Account: a.Name, Priority: a.Priority, DeadlineMs: p.DeadlineMs}
	if rng.Float64() < p.ServiceShare {
		r.Service = true
		return r
	}
	r.Prompt = randomWords(sampleLength(p.Prompt, rng), rng)
	r.MaxTokens = sampleLength(p.Answer, rng)
	return r
}

func sampleLength(l profile.Length, rng *rand.Rand) int {
	n := float64(l.Median) * math.Exp(l.Sigma*rng.NormFloat64())
	return min(max(int(math.Round(n)), l.Min), l.Max)
}

func randomWords(n int, rng *rand.Rand) string {
	out := make([]string, n)
	for i := range out {
		out[i] = "w" + strconv.FormatUint(rng.Uint64()%1_000_000, 10)
	}
	return strings.Join(out, " ")
}
