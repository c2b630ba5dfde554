package announcer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleandercove/edge/throttler"
	"oleandercove.example/wire/peer"
)

// Guards against changes of limits that change in transit, and against limits of a faulty peer
// that are no rate.
func TestLimitEncoding(t *testing.T) {
	is := is.New(t)
	sent, received := time.Unix(1000, 0), time.Unix(5000, 0)
	give := []throttler.Mark{
		{Server: "i-1", Born: 17, Limited: true, Limit: 7.25, At: sent.Add(-time.Second)},
		{Server: "i-2", Born: 18, At: sent},
	}
	list := encodeLimits(give, sent)
	list = append(list, &peer.LimitMark{Limited: true, Limit: math.NaN()}, &peer.LimitMark{Limited: true, Limit: -1})
	got := decodeLimits(list, received)
	is.Equal(len(got), 2)
	is.Equal(got[0].At, received.Add(-time.Second))
	is.Equal(got[1].At, received)
	for i := range got {
		got[i].At = give[i].At
	}
	is.Equal(got, give)
}
