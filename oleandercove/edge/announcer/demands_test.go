package announcer

import (
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/routing"
	"oleandercove.example/oleandercove/edge/surveyor"
	"oleandercove.example/wire/peer"
)

// Guards against demand that changes in transit, and against messages of a faulty peer with which
// no share can be computed: without demand, with more admitted than offered, or with entries without end.
func TestDemandEncoding(t *testing.T) {
	is := is.New(t)
	give := []surveyor.Demand{{
		Service:  "draft",
		Classes:  []surveyor.Class{{Urgency: routing.Urgency{Priority: -1, Route: 2}, Rates: surveyor.Rates{Offered: 900, Admitted: 300}}},
		Accounts: []surveyor.Account{{Hash: 1 << 31, Rates: surveyor.Rates{Offered: 90, Admitted: 30}}},
	}}
	is.Equal(decodeDemands(encodeDemands(give)), give)
	odd := &peer.ServiceDemand{Service: "draft", Classes: []*peer.ClassDemand{{Priority: 1}, {Priority: 2, Offered: 5, Admitted: 50}}}
	for range 10 * maxAccounts {
		odd.Accounts = append(odd.Accounts, &peer.AccountDemand{Offered: 1})
	}
	got := decodeDemands([]*peer.ServiceDemand{odd})[0]
	is.Equal(len(got.Classes), 1)
	is.Equal(got.Classes[0].Admitted, got.Classes[0].Offered)
	is.Equal(len(got.Accounts), maxAccounts)
}
