package pacer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against urgent streams that wait for less urgent ones after the loss of an engine: places
// come from the classes, and a later place never resumes earlier.
func TestPlaces(t *testing.T) {
	is := is.New(t)
	loss := Loss{Model: model, Card: card, Load: load(200), Silent: 10 * time.Millisecond, MaxGap: 250 * time.Millisecond}
	last := time.Duration(0)
	for place := 0.0; place < 1; place += 0.01 {
		d := Delay(loss, place)
		is.True(d >= last)
		last = d
	}
	is.Equal(Delay(loss, 0), time.Duration(0)) // the most urgent streams wait
	is.True(last > 500*time.Millisecond)
}
