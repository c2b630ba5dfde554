package gateway

import (
	"sync"

	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/pathfinder"
)

// streams holds the running streams of a daemon.
type streams struct {
	mu  sync.Mutex
	all map[*stream]struct{}
}

func (s *streams) add(x *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*stream]struct{}{}
	}
	s.all[x] = struct{}{}
}

func (s *streams) remove(x *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, x)
}

// interrupt wakes the streams whose chain contains an engine that is down.
func (s *streams) interrupt(id unit.BackendID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.all {
		if x.usesEngine(id) {
			wake(x.engineDown)
		}
	}
}

// poisonFound wakes the streams whose prompts have shared parts.
func (s *streams) poisonFound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.all {
		if len(x.identity.Parts) > 0 {
			wake(x.poisonFound)
		}
	}
}

// wake puts an element into a channel unless one is waiting there.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// usesEngine reports whether the chain contains the engine.
func (s *stream) usesEngine(id unit.BackendID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chain.Contains(id)
}

// setChain makes a path the current one.
func (s *stream) setChain(p pathfinder.Path) {
	s.mu.Lock()
	s.chain = p.Chain
	s.mu.Unlock()
	s.path = p
}
