package gateway

import (
	"oleandercove.example/oleandercove/edge/sequencer"
)

// attemptSequence returns the position after which the events of a new attempt must come.
func (s *stream) attemptSequence() sequencer.Sequence {
	if s.sends > 1 {
		return s.sequence.Resumed()
	}
	return s.sequence
}
