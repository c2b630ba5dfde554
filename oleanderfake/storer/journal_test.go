package storer

import (
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/platform"
)

// Guards against writes that take effect without a record, and against records of refused
// writes.
func TestJournal(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	_, ok := s.put(platform.KindEntry, "Model.report", 0, "first", []byte("1"), false)
	is.True(ok)
	_, ok = s.put(platform.KindEntry, "Model.report", 0, "refused", []byte("2"), false)
	is.True(!ok)
	records := s.journal.Records()
	is.Equal(len(records), 1)
	is.Equal(records[0].WriteID, "first")
}
