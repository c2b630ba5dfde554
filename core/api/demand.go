package api

// RoutingState is the part of the dump of a routing daemon that tools show.
type RoutingState struct {
	Host      string
	Peers     []string
	Demand    []ServiceDemand
	Crossings []Crossing
}

// ServiceDemand is what callers of the fleet offer to a service, as a daemon knows it.
type ServiceDemand struct {
	Service string
	// Short is set while the room is divided among classes and accounts.
	Short    bool
	Classes  []ClassDemand
	Accounts []AccountDemand
	// Age is the age of the plan in nanoseconds.
	Age int64
}

// Urgency is the priority of the client account, or of the route if the account has none, and that
// of the route.
type Urgency struct {
	Priority, Route int
}

// ClassDemand is the demand of the requests of one urgency.
type ClassDemand struct {
	Urgency Urgency
	// Offered and Admitted are in tokens a second.
	Offered, Admitted float64
	// Excess is the part of the requests beyond the share of the class, and HeldBack the share of
	// each engine that the others leave to more urgent ones.
	Excess, HeldBack float64
	// Rule is the rule by which they do.
	Rule string
}

// AccountDemand is the demand of a client account, by the hash of its name.
type AccountDemand struct {
	Hash uint32
	// Offered, Admitted and Share are in tokens a second.
	Offered, Admitted, Share float64
	// Excess is the part of the requests beyond the share.
	Excess float64
}

// Crossing is the number of bytes that a daemon exchanged with other data centres for a purpose.
type Crossing struct {
	Purpose string
	Bytes   int64
}
