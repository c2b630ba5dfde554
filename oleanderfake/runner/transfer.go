package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/engine"
	"oleandercove.example/oleanderfake/responder"
)

// fetchTimeout limits the time of an export from another engine.
const fetchTimeout = 5 * time.Second

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var m engine.CancelRequest
	if !responder.Read(w, r, &m) {
		return
	}
	s, ok := e.streams.find(m.Stream)
	if !ok || e.noExport.Load() {
		http.Error(w, "stream not found", http.StatusNotFound)
		return
	}
	from, to, _ := e.heldLayers()
	k := s.exportState()
	k.Stream, k.Model, k.From, k.To = m.Stream, e.Serves(), from, to
	time.Sleep(e.linkTime(len(k.Outputs)))
	responder.Write(w, http.StatusOK, k)
}

// handleImport imports the state of a stream, which it fetches if the request names a
// source. Steps of the stream wait for the import, so that no state is replaced while a step
// runs.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var m engine.KVState
	if !responder.Read(w, r, &m) {
		return
	}
	if m.Source != "" {
		var err error
		if m, err = e.fetchState(r.Context(), m); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	from, to, draining := e.heldLayers()
	if draining {
		http.Error(w, "takes no new streams", http.StatusServiceUnavailable)
		return
	}
	if m.From != from || m.To != to || len(m.Layers) != int(to-from) {
		http.Error(w, "layers don't match", http.StatusConflict)
		return
	}
	s, hasCapacity := e.streams.getOrCreate(m.Stream, int(to-from), e.options.MaxStreams)
	if !hasCapacity {
		http.Error(w, "no memory for another stream", http.StatusTooManyRequests)
		return
	}
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	if s.importState(m) {
		e.journal.Append(engine.JournalRecord{
			Backend: e.options.Backend, Start: e.instanceID, Stream: m.Stream, Epoch: m.Epoch, From: from, To: to,
			Count: len(m.Outputs), Imported: true, At: time.Now(),
		})
	}
	w.WriteHeader(http.StatusNoContent)
}

// fetchState fetches the state of a stream from another engine, within fetchTimeout. It
// returns an error if the engine can't be reached or refuses the export.
func (e *Engine) fetchState(ctx context.Context, m engine.KVState) (engine.KVState, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	body, err := json.Marshal(engine.CancelRequest{Stream: m.Stream, Epoch: m.Epoch})
	if err != nil {
		return m, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Source+"/v1/export", bytes.NewReader(body))
	if err != nil {
		return m, err
	}
	res, err := e.http.Do(req)
	if err != nil {
		return m, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return m, fmt.Errorf("export answered status %d", res.StatusCode)
	}
	var k engine.KVState
	err = json.NewDecoder(res.Body).Decode(&k)
	return k, err
}
