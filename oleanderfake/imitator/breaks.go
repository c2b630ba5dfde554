package imitator

import (
	"bytes"
	"net/http"
)

const (
	// BreakTrigger in the body of a request breaks its stream off in the middle of an event.
	// Streams that are resumed don't break off.
	BreakTrigger = "breaks-its-stream"
	// breakAfter is the number of events before the one that breaks off.
	breakAfter = 5
)

// ResumeFault is the response of each engine to a request that resumes a stream: a signed
// one with a status and a body that is no part of the stream.
type ResumeFault struct {
	Status int
	Body   string
}

// SetResumeFault makes all engines answer resumed requests with a fault, or correctly again
// if f is nil.
func (s *Site) SetResumeFault(f *ResumeFault) { s.resumeFault.Store(f) }

// writeResumeFault writes the fault that is set for resumed requests, and reports whether
// it did.
func (s *Site) writeResumeFault(w http.ResponseWriter, r *http.Request) bool {
	f := s.resumeFault.Load()
	if f == nil || !isResumed(r) {
		return false
	}
	w.WriteHeader(f.Status)
	// The caller may have closed the connection after the head.
	_, _ = w.Write([]byte(f.Body))
	return true
}

func isResumed(r *http.Request) bool { return r.Header.Get(headerLastEvent) != "" }

// breakOff writes a part of the event with the number n and closes the connection, if the
// request contains BreakTrigger and n is the event that breaks off.
func (s *stream) breakOff(w http.ResponseWriter, r *http.Request, n int) {
	if n <= breakAfter || isResumed(r) || !bytes.Contains(s.body, []byte(BreakTrigger)) {
		return
	}
	event := Event(r.Header.Get(headerAttempt), n)
	_, _ = w.Write([]byte(event[:len(event)/2]))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}
