package judge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"

	"oleandercove.example/core/unit"
)

var start = time.Unix(1000, 0)

// Guards against a server that is excluded for ever, and against repeated notices of
// the same exclusion.
func TestDown(t *testing.T) {
	is := is.New(t)
	j := New()
	var notified []unit.BackendID
	j.OnDown(func(id unit.BackendID) { notified = append(notified, id) })
	is.True(j.SetDown("a", start, start.Add(DownTime)))
	is.True(!j.SetDown("a", start, start.Add(time.Second)))
	is.Equal(len(notified), 1)
	is.True(j.IsDown("a", start.Add(DownTime-time.Millisecond)))
	is.True(!j.IsDown("a", start.Add(DownTime)))
	is.Equal(len(j.Exclusions(start.Add(DownTime))), 0)
}

// Guards against a failing server that costs no more than a healthy one, and against
// one that is never tried again.
func TestRating(t *testing.T) {
	is := is.New(t)
	j := New()
	for range 5 {
		j.RecordFailure("a", start)
		j.RecordSuccess("b", 10*time.Millisecond)
	}
	bad, good := j.Rate("a", start), j.Rate("b", start)
	is.True(bad.Factor > 5*good.Factor)
	is.True(j.Rate("a", start.Add(20*failureHalvingTime)).Factor < 2)
	j.SetSlowdown("b", 3, start)
	is.Equal(j.Rate("b", start).Factor, 3.0)
}

// Guards against every request being offered to an engine that has lost its layers,
// and against a placement that considers the engine down.
func TestAbsent(t *testing.T) {
	is := is.New(t)
	j := New()
	out := func(after time.Duration) Reason {
		reason, _ := j.ExclusionReason(backend.Server{ID: "a"}, 0, start.Add(after))
		return reason
	}
	is.Equal(out(0), Eligible)
	j.SetAbsent("a", start)
	is.Equal(out(AbsentTime-time.Millisecond), Absent)
	is.True(!j.IsDown("a", start))
	is.Equal(out(AbsentTime), Eligible)
}

// Guards against an engine that counts as exited because its link loses packets. Its
// request would run once more than its route allows.
func TestHasExited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	j := New()
	j.SetDown("silent", now, now.Add(DownTime))
	is.True(j.IsDown("silent", now))
	is.True(!j.HasExited("silent", now))
	j.RecordExit("refused", now)
	is.True(j.HasExited("refused", now))
	is.True(!j.HasExited("refused", now.Add(DownTime)))
}

// Guards against chains over layers that an engine will release, and against a release
// notice that stays valid after the release.
func TestUsableLayers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	held, kept := backend.Layers{From: 10, To: 20}, backend.Layers{From: 12, To: 20}
	j := New()
	is.Equal(j.UsableLayers("e", held, now), held)
	j.SetReleasing("e", held, kept, now)
	is.Equal(j.UsableLayers("e", held, now), kept)
	grown := backend.Layers{From: 12, To: 22}
	is.Equal(j.UsableLayers("e", grown, now), grown)
	is.Equal(j.UsableLayers("e", held, now.Add(releaseTime)), held)
}

// Guards against requests that are sent to a full engine one after the other, and against
// an engine that stays unused after it has memory again.
func TestLoadLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	j := New()
	_, limited := j.LoadLimit("e", now)
	is.True(!limited)
	j.SetFull("e", 5000, now)
	limit, limited := j.LoadLimit("e", now)
	is.True(limited)
	is.Equal(limit, unit.TokenLayers(5000))
	_, limited = j.LoadLimit("e", now.Add(fullTime))
	is.True(!limited)
}
