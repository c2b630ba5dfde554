package scheduler_test

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderload/profile"
	"oleandercove.example/oleanderload/scheduler"
)

func testProfile() *profile.Profile {
	return &profile.Profile{
		Seed: 14, Addresses: []string{"127.0.0.1:1"}, Rate: 400, DurationSeconds: 20, Model: "report", Layers: 8,
		Prompt: profile.Length{Median: 6, Sigma: 0.4, Min: 2, Max: 12}, Answer: profile.Length{Median: 30, Sigma: 0.5, Min: 10, Max: 90},
		Accounts: []profile.Account{{Name: "steady", Weight: 3}, {Name: "burst", Weight: 1, StartSeconds: 5, EndSeconds: 10}},
	}
}

// Guards against runs that can't be repeated, and against a seed that has no effect.
func TestScheduleIsSeeded(t *testing.T) {
	is := is.New(t)
	other := testProfile()
	other.Seed++
	is.NoErr(testProfile().Check())
	is.True(reflect.DeepEqual(scheduler.Schedule(testProfile()), scheduler.Schedule(testProfile())))
	is.True(!reflect.DeepEqual(scheduler.Schedule(testProfile()), scheduler.Schedule(other)))
}

// Guards against arrivals that are out of order or ignore the weights, lengths and times of
// the profile.
func TestScheduleFollowsTheProfile(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	var last time.Duration
	for _, a := range scheduler.Schedule(testProfile()) {
		counts[string(a.Account)]++
		is.True(a.At >= last) // arrivals are out of order
		is.True(a.MaxTokens >= 10 && a.MaxTokens <= 90)
		is.True(len(strings.Fields(a.Prompt)) >= 2 && len(strings.Fields(a.Prompt)) <= 12)
		if a.Account == "burst" {
			is.True(a.At >= 5*time.Second && a.At < 10*time.Second) // account sends outside its part
		}
		last = a.At
	}
	near := func(n int, want float64) bool { return math.Abs(float64(n)-want) < 5*math.Sqrt(want) }
	is.True(near(counts["steady"], 6000)) // weight is ignored
	is.True(near(counts["burst"], 500))
}
