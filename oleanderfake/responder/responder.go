// Package responder reads and writes the JSON messages of the simulated systems.
//
// Usage:
//
//	if !responder.Read(w, r, &m) {
//		return
//	}
//	responder.Write(w, http.StatusOK, answer)
package responder

import (
	"encoding/json"
	"net/http"
)

// Read decodes the body of r into v and returns true, or answers with status 400 and returns
// false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Write answers with a status and v as the JSON body.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
