package runner

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderfake/responder"
)

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/streams", e.handleStream)
	r.POST("/v1/steps", e.handleStep)
	r.POST("/v1/cancel", e.handleCancel)
	r.GET("/v1/status", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		responder.Write(w, http.StatusOK, e.Status())
	})
	r.GET("/v1/cache-events", e.handleCacheEvents)
	r.POST("/v1/export", e.handleExport)
	r.POST("/v1/import", e.handleImport)
	r.POST("/v1/orders", e.handleOrder)
	r.POST("/faults", e.handleFaults)
	r.Handler(http.MethodGet, "/journal", e.journal)
	r.Handler(http.MethodGet, "/orders", e.orders)
	return r
}

// lineWriter writes one JSON value per line. It is safe for concurrent use, as heartbeats
// come from another goroutine.
type lineWriter struct {
	mu sync.Mutex
	w  http.ResponseWriter
}

func (l *lineWriter) write(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.w.Write(append(b, '\n')); err != nil {
		return err
	}
	return http.NewResponseController(l.w).Flush()
}

// sendHeartbeats writes a heartbeat at each heartbeatInterval until stop is closed or a
// write fails.
func (l *lineWriter) sendHeartbeats(stop <-chan struct{}, line []byte) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if l.write(line) != nil {
				return
			}
		case <-stop:
			return
		}
	}
}

func (e *Engine) handleStream(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var m engine.StreamRequest
	if !responder.Read(w, r, &m) {
		return
	}
	e.crashOnPoison(m.Prompt)
	l := &lineWriter{w: w}
	heartbeat, err := json.Marshal(engine.Event{Kind: engine.EventBeat, Stream: m.Stream, Epoch: m.Epoch})
	if err != nil || l.write(heartbeat) != nil {
		return
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { l.sendHeartbeats(stop, heartbeat) })
	_ = e.generate(r.Context(), m, func(v engine.Event) error {
		b, err := json.Marshal(v)
		if err != nil {
			return err
		}
		return l.write(b)
	})
	close(stop)
	wg.Wait()
}

func (e *Engine) handleStep(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var m engine.StepRequest
	if !responder.Read(w, r, &m) {
		return
	}
	l := &lineWriter{w: w}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { l.sendHeartbeats(stop, nil) })
	reply := e.Step(r.Context(), m)
	close(stop)
	wg.Wait()
	if b, err := json.Marshal(reply); err == nil {
		_ = l.write(b)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var m engine.CancelRequest
	if !responder.Read(w, r, &m) {
		return
	}
	e.streams.remove(m.Stream, m.Epoch)
	w.WriteHeader(http.StatusNoContent)
}

// Faults are the injected faults of an engine.
type Faults struct {
	// Slow multiplies the time of every layer; 0 leaves it unchanged.
	Slow float64
	// LinkSlow multiplies the time of every transfer on a link; 0 leaves it unchanged.
	LinkSlow float64
	// Hang stops all work while heartbeats and status calls continue, as with a hung
	// accelerator.
	Hang bool
	// NoExport makes the engine refuse to export KV state.
	NoExport bool
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var m Faults
	if !responder.Read(w, r, &m) {
		return
	}
	e.batch.setHung(m.Hang)
	e.noExport.Store(m.NoExport)
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Slow > 0 {
		e.layerSlowdown = m.Slow
	}
	if m.LinkSlow > 0 {
		e.linkSlowdown = m.LinkSlow
	}
	w.WriteHeader(http.StatusNoContent)
}

// Serves returns the name of the model that the engine holds.
func (e *Engine) Serves() unit.EntryName {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model
}

// Busy reports whether the engine still holds streams.
func (e *Engine) Busy() bool { return e.streams.size() > 0 }
