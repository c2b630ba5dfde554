package runner

import (
	"slices"
	"sync"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// stream is the state of a stream on this engine: the KV state of each layer and the output
// activation of each position.
type stream struct {
	// stepMu serialises the execution of steps and imports.
	stepMu sync.Mutex

	mu       sync.Mutex
	epoch    unit.Epoch
	lastUsed time.Time
	layers   []uint64
	outputs  []engine.Activation
	// sampling is the sampling of the first step; a change would corrupt the answer.
	sampling *engine.Sampling
	// nextPositions maps each engine that is a next stage to the next position to send to it.
	nextPositions map[unit.BackendID]unit.Position
}

// acceptEpoch reports whether an epoch is at least the newest one seen, and if so stores it.
func (s *stream) acceptEpoch(e unit.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = time.Now()
	if e < s.epoch {
		return false
	}
	s.epoch = e
	return true
}

// matchesSampling reports whether a step has the same sampling as the first step of the
// stream, whose sampling it stores.
func (s *stream) matchesSampling(g engine.Sampling) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sampling == nil {
		s.sampling = &g
	}
	return *s.sampling == g
}

func (s *stream) isCurrentEpoch(e unit.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch == e
}

func (s *stream) length() unit.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return unit.Position(len(s.outputs))
}

// append runs inputs through the layers and stores the outputs.
func (s *stream) append(first unit.Layer, inputs []engine.Activation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range inputs {
		s.outputs = append(s.outputs, runLayers(s.layers, first, in))
	}
}

// outputsFrom returns a copy of the outputs from a position on.
func (s *stream) outputsFrom(from unit.Position) []engine.Activation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]engine.Activation{}, s.outputs[from:]...)
}

// nextPosition returns the next position to send to an engine, or fallback if nothing has
// been sent to it.
func (s *stream) nextPosition(b unit.BackendID, fallback unit.Position) unit.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.nextPositions[b]; ok {
		return p
	}
	return fallback
}

func (s *stream) setNextPosition(b unit.BackendID, next unit.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextPositions[b] = next
}

// exportState returns a copy of the epoch, the state, the outputs and the sampling.
func (s *stream) exportState() engine.KVState {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := engine.KVState{Epoch: s.epoch, Layers: slices.Clone(s.layers), Outputs: slices.Clone(s.outputs)}
	if s.sampling != nil {
		k.Sampling = *s.sampling
	}
	return k
}

// importState replaces the state by an exported one and reports whether it did. It doesn't
// if the stream has at least as many positions or a newer epoch.
func (s *stream) importState(k engine.KVState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outputs) >= len(k.Outputs) || s.epoch > k.Epoch {
		return false
	}
	s.epoch, s.layers, s.outputs, s.sampling, s.lastUsed = k.Epoch, k.Layers, k.Outputs, &k.Sampling, time.Now()
	return true
}

// streamTable holds the streams of an engine by id.
type streamTable struct {
	mu      sync.Mutex
	streams map[unit.StreamID]*stream
}

func newStreamTable() *streamTable { return &streamTable{streams: map[unit.StreamID]*stream{}} }

// getOrCreate returns the stream, and creates it if there are fewer streams than limit. It
// reports whether there is a stream.
func (t *streamTable) getOrCreate(id unit.StreamID, layers, limit int) (*stream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.streams[id]; ok {
		return s, true
	}
	if len(t.streams) >= limit {
		return nil, false
	}
	s := &stream{layers: make([]uint64, layers), nextPositions: map[unit.BackendID]unit.Position{}, lastUsed: time.Now()}
	t.streams[id] = s
	return s, true
}

func (t *streamTable) find(id unit.StreamID) (*stream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.streams[id]
	return s, ok
}

// remove removes a stream unless it has a newer epoch.
func (t *streamTable) remove(id unit.StreamID, e unit.Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.streams[id]; ok && s.acceptEpoch(e) {
		delete(t.streams, id)
	}
}

func (t *streamTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams)
}

func (t *streamTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams = map[unit.StreamID]*stream{}
}

// expire drops the streams that had no step or import for longer than idle.
func (t *streamTable) expire(idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.streams {
		s.mu.Lock()
		old := time.Since(s.lastUsed) > idle
		s.mu.Unlock()
		if old {
			delete(t.streams, id)
		}
	}
}
