// Package journaler keeps a journal of what a simulated system ran.
//
// Records go to memory and, if a file is given, to the file with one write for each record,
// so that they survive a SIGKILL of the process.
//
// Usage:
//
//	j, err := journaler.New[engine.JournalRecord]("engine.journal")
//	j.Append(record)
package journaler

import (
	"encoding/json"
	"net/http"
	"os"
	"sync"
)

// Journal is an append-only list of records. It is safe for concurrent use.
type Journal[T any] struct {
	mu      sync.Mutex
	records []T
	file    *os.File
}

// InMemory returns a journal without a file.
func InMemory[T any]() *Journal[T] { return &Journal[T]{} }

// New opens a journal that appends to the file at a path; an empty path keeps the journal
// in memory only. It returns an error if the file can't be opened.
func New[T any](path string) (*Journal[T], error) {
	j := &Journal[T]{}
	if path == "" {
		return j, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	j.file = f
	return j, err
}

// Append adds a record. It panics if the record can't be written to the file.
func (j *Journal[T]) Append(record T) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, record)
	if j.file == nil {
		return
	}
	line, err := json.Marshal(record)
	if err == nil {
		_, err = j.file.Write(append(line, '\n'))
	}
	if err != nil {
		panic(err) // checks must not read a journal that lacks records
	}
}

// Records returns a copy of all records.
func (j *Journal[T]) Records() []T {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]T{}, j.records...)
}

// ServeHTTP writes all records as a JSON array.
func (j *Journal[T]) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(j.Records())
}
