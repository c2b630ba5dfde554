package gateway

// obstacle is what keeps a stream from another chain; empty if none was looked for.
type obstacle string

const (
	// obstacleCapacity means that no chain has room.
	obstacleCapacity obstacle = "NoCapacity"
	// obstacleLink means that no chain within a data centre has room, and that this daemon
	// has used up its part of the link between data centres.
	obstacleLink obstacle = "LinkUsedUp"
	// obstacleBudget means that the retry budget of the fleet allows no retry.
	obstacleBudget obstacle = "RetryBudget"
	// obstacleAttempts means that the request has run as often as its route allows.
	obstacleAttempts obstacle = "Attempts"
	// obstacleSends means that the request was sent maxSends times.
	obstacleSends obstacle = "Sends"
	// obstacleNotIdempotent means that the request may have run and must not run again.
	obstacleNotIdempotent obstacle = "NotIdempotent"
	// obstacleDeadline means that too little time is left.
	obstacleDeadline obstacle = "Deadline"
)

// takeRetry takes a retry from the budget. The error is that of the budgeter.
func (s *stream) takeRetry() error {
	err := s.Budgeter.TakeRetry(s.service.Name)
	if err != nil {
		s.obstacle = obstacleBudget
	}
	return err
}
