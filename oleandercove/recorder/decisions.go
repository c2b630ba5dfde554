package recorder

import "oleandercove.example/core/unit"

// Decisions of the controllers and of operators' requests.
const (
	// DecisionOrder is an order that an engine confirmed.
	DecisionOrder = "Order"
	// DecisionOrderUnknown is an order whose outcome is unknown.
	DecisionOrderUnknown = "OrderUnknown"
	// DecisionStale is an order that an engine rejected, because it has seen a newer
	// fencing number.
	DecisionStale = "StaleOrder"
	// DecisionNotHeld is an order that was not sent, because the lease was no longer held.
	DecisionNotHeld = "LeaseNotHeld"
	// DecisionBlocked is a target state of an engine that can't be reached safely now.
	DecisionBlocked = "Blocked"
	// DecisionEdit is an operator's edit that was accepted.
	DecisionEdit = "Edit"
	// DecisionEditRefused is an operator's edit that was refused.
	DecisionEditRefused = "EditRefused"
	// DecisionEditUnknown is an operator's edit whose outcome is unknown.
	DecisionEditUnknown = "EditUnknown"
)

// BackendSubject returns the subject under which Explain finds the events of a
// backend server.
func BackendSubject(id unit.BackendID) unit.RequestID { return unit.RequestID("backend:" + id) }

// EntrySubject returns the subject under which Explain finds the edits of a
// catalogue entry.
func EntrySubject(object string) unit.RequestID { return unit.RequestID("entry:" + object) }
