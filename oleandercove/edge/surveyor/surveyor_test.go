package surveyor

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
)

const service = routing.ServiceName("assistant")

var epoch = time.Unix(1000, 0)

func request(route routing.Priority, account unit.AccountID, tokens int) Request {
	return Request{Service: service, Urgency: routing.Urgency{Priority: 1, Route: route}, Account: account, Tokens: tokens}
}

// Guards against demand that is counted twice or kept after a peer has stopped reporting, which
// happens when a daemon is cut off or restarts.
func TestPeerDemand(t *testing.T) {
	is := is.New(t)
	s, other := New(), New()
	s.Record(request(0, "a", 2000), true, epoch)
	other.Record(request(0, "a", 1000), true, epoch)
	other.Record(request(2, "b", 1000), false, epoch)
	for range 3 {
		s.SetPeerDemand("other", other.OwnDemand(epoch), epoch)
	}
	classes := s.Classes(service, epoch)
	is.Equal(len(classes), 2)
	is.Equal(classes[0].Rates, Rates{Offered: 1500, Admitted: 1500})
	is.Equal(classes[1].Rates, Rates{Offered: 500})
	accounts := s.Accounts(service, epoch)
	is.Equal(accounts[0], Account{HashAccount("a"), Rates{1500, 1500}})
	is.Equal(len(accounts), 2)
	later := epoch.Add(peerExpiry + time.Millisecond)
	is.Equal(len(s.Classes(service, later)), 1) // a silent peer still counts
	s.SetPeerDemand("other", other.OwnDemand(later), later)
	s.SetPeerDemand("other", nil, later)
	is.Equal(len(s.Classes(service, later)), 1) // a peer without demand keeps its last one
	is.Equal(len(New().Classes(service, epoch)), 0)
}

// Guards against a burst that counts long after its end, and against memory for each account that ever
// sent a request.
func TestDecay(t *testing.T) {
	is := is.New(t)
	s := New()
	for i := range 1000 {
		s.Record(request(0, unit.AccountID(fmt.Sprint(i)), 1000), true, epoch)
	}
	rate := s.Classes(service, epoch.Add(averagingTime))[0].Offered
	is.True(math.Abs(float64(rate)-1000*500/math.E) < 1000)
	is.Equal(len(s.Accounts(service, epoch.Add(time.Minute))), 0)
	is.Equal(len(s.OwnDemand(epoch.Add(time.Minute))), 0)
}

// Guards against data centres that know different demand of each other than of themselves, and
// against beacons that grow with the number of accounts.
func TestAggregateDemand(t *testing.T) {
	is := is.New(t)
	daemons := []*Surveyor{New(), New(), New()}
	for i := range 300 {
		daemons[i%3].Record(request(routing.Priority(i%2), unit.AccountID(fmt.Sprint(i)), 100), i%5 > 0, epoch)
	}
	for i, from := range daemons[1:] {
		daemons[0].SetPeerDemand(unit.HostID(fmt.Sprint(i)), from.OwnDemand(epoch), epoch)
		is.Equal(len(from.OwnDemand(epoch)[0].Accounts), maxHostAccounts)
	}
	sum := daemons[0].SumDemand(func(unit.HostID) bool { return true }, epoch)
	is.Equal(sum[0].Classes, daemons[0].Classes(service, epoch))
	is.Equal(Total(sum[0].Classes), Rates{Offered: 15000, Admitted: 12000})
	is.Equal(len(sum[0].Accounts), maxCentreAccounts)
	own := daemons[0].SumDemand(func(unit.HostID) bool { return false }, epoch)
	is.Equal(own[0].Classes, daemons[0].OwnDemand(epoch)[0].Classes)
}
