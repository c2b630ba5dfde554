package recorder

import "oleandercove.example/core/unit"

// Decisions of the controllers and of operators' requests.
const (
	// DecisionOrder is an order that an engine confirmed.
	DecisionOrder = "Order"
	// DecisionOrderUnknown is an order whose outcome is unknown.
	DecisionOrderUnknown = "OrderUnknown"
	// DecisionStale is an order that an engine refused as old.
	DecisionStale = "StaleOrder"
	// DecisionNotHeld is an order that was not sent, because the lease ended.
	DecisionNotHeld = "LeaseNotHeld"
	// DecisionBlocked is a wish that can't be met safely now.
	DecisionBlocked = "Blocked"
	// DecisionEdit is an operator's edit that was accepted.
	DecisionEdit = "Edit"
	// DecisionEditRefused is an operator's edit that was refused.
	DecisionEditRefused = "EditRefused"
	// DecisionEditUnknown is an operator's edit whose outcome is unknown.
	DecisionEditUnknown = "EditUnknown"
)

// BackendSubject is the subject under which explain finds the events of a
// backend server.
func BackendSubject(id unit.BackendID) unit.RequestID { return unit.RequestID("backend:" + id) }

// EntrySubject is the subject under which explain finds the edits of a
// catalogue entry.
func EntrySubject(object string) unit.RequestID { return unit.RequestID("entry:" + object) }
