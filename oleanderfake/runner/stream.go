package runner

import (
	"slices"
	"sync"
	"time"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// stream is the state of one stream on this engine: the KV state of each
// layer and the activations that it handed on, one for each position.
type stream struct {
	// run serialises the execution of steps.
	run sync.Mutex

	mu      sync.Mutex
	epoch   unit.Epoch
	used    time.Time
	layers  []uint64
	outputs []engine.Activation
	// sampling is that of the first step; a change would break the answer.
	sampling *engine.Sampling
	// sent is the next position for the stage after this one.
	sent map[unit.BackendID]unit.Position
}

// enter accepts an epoch that is not older than the newest one seen.
func (s *stream) enter(e unit.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = time.Now()
	if e < s.epoch {
		return false
	}
	s.epoch = e
	return true
}

// samples tells whether a step samples as all steps of the stream before it.
func (s *stream) samples(g engine.Sampling) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sampling == nil {
		s.sampling = &g
	}
	return *s.sampling == g
}

func (s *stream) current(e unit.Epoch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch == e
}

func (s *stream) length() unit.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return unit.Position(len(s.outputs))
}

// append runs inputs through the layers and keeps the outputs.
func (s *stream) append(first unit.Layer, inputs []engine.Activation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range inputs {
		s.outputs = append(s.outputs, runLayers(s.layers, first, in))
	}
}

// output returns a copy of the outputs from a position on.
func (s *stream) output(from unit.Position) []engine.Activation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]engine.Activation{}, s.outputs[from:]...)
}

// nextFor returns the next position to send to a stage.
func (s *stream) nextFor(b unit.BackendID, otherwise unit.Position) unit.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.sent[b]; ok {
		return p
	}
	return otherwise
}

func (s *stream) markSent(b unit.BackendID, next unit.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[b] = next
}

// export returns a copy of the state.
func (s *stream) export() engine.KVState {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := engine.KVState{Epoch: s.epoch, Layers: slices.Clone(s.layers), Outputs: slices.Clone(s.outputs)}
	if s.sampling != nil {
		k.Sampling = *s.sampling
	}
	return k
}

// adopt takes an exported state over unless the stream has the positions or a
// newer epoch.
func (s *stream) adopt(k engine.KVState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outputs) >= len(k.Outputs) || s.epoch > k.Epoch {
		return false
	}
	s.epoch, s.layers, s.outputs, s.sampling, s.used = k.Epoch, k.Layers, k.Outputs, &k.Sampling, time.Now()
	return true
}

// table holds the streams of an engine.
type table struct {
	mu      sync.Mutex
	streams map[unit.StreamID]*stream
}

func newTable() *table { return &table{streams: map[unit.StreamID]*stream{}} }

// get returns the stream, and makes it if there is room.
func (t *table) get(id unit.StreamID, layers, limit int) (*stream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.streams[id]; ok {
		return s, true
	}
	if len(t.streams) >= limit {
		return nil, false
	}
	s := &stream{layers: make([]uint64, layers), sent: map[unit.BackendID]unit.Position{}, used: time.Now()}
	t.streams[id] = s
	return s, true
}

func (t *table) find(id unit.StreamID) (*stream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.streams[id]
	return s, ok
}

func (t *table) remove(id unit.StreamID, e unit.Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.streams[id]; ok && s.enter(e) {
		delete(t.streams, id)
	}
}

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams)
}

func (t *table) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams = map[unit.StreamID]*stream{}
}

// expire drops streams that no step has used for the given time.
func (t *table) expire(idle time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.streams {
		s.mu.Lock()
		old := time.Since(s.used) > idle
		s.mu.Unlock()
		if old {
			delete(t.streams, id)
		}
	}
}
