package runner

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/api"
	"oleandercove.example/core/routing"
	"oleandercove.example/oleandercove/edge/measurer"
	"oleandercove.example/oleandercove/edge/prioritizer"
)

// Guards against a dump whose demand the operators' tool shows as nothing, which happens when a field
// is renamed here only.
func TestDumpForTools(t *testing.T) {
	is := is.New(t)
	class := prioritizer.ClassState{Urgency: routing.Urgency{Priority: 1, Route: 2}, Offered: 3, Admitted: 2, Excess: 0.5, HeldBack: 0.1, Rule: prioritizer.ClassRule}
	account := prioritizer.AccountShare{Hash: 7, Offered: 3, Admitted: 2, Share: 1, Excess: 0.25}
	data, err := json.Marshal(state{
		Host:      "edge-1",
		Demand:    []prioritizer.State{{Service: "draft", Short: true, Classes: []prioritizer.ClassState{class}, Accounts: []prioritizer.AccountShare{account}, Age: time.Second}},
		Crossings: []measurer.Total{{Purpose: "Beacons", Bytes: 9}},
	})
	is.NoErr(err)
	var got api.RoutingState
	is.NoErr(json.Unmarshal(data, &got))
	is.Equal(got, api.RoutingState{
		Host: "edge-1",
		Demand: []api.ServiceDemand{{
			Service: "draft", Short: true, Age: int64(time.Second),
			Classes:  []api.ClassDemand{{Urgency: api.Urgency{Priority: 1, Route: 2}, Offered: 3, Admitted: 2, Excess: 0.5, HeldBack: 0.1, Rule: "Class"}},
			Accounts: []api.AccountDemand{{Hash: 7, Offered: 3, Admitted: 2, Share: 1, Excess: 0.25}},
		}},
		Crossings: []api.Crossing{{Purpose: "Beacons", Bytes: 9}},
	})
}
