package prover_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// readJournal reads the journal file of a fake.
func readJournal[T any](path string) ([]T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []T
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r T
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		out = append(out, r)
	}
	return out, lines.Err()
}

// execution identifies the work of one engine process on one stream.
type execution struct {
	start  string
	stream unit.StreamID
}

// auditJournals checks that no engine process ran a position of a stream
// twice or out of order.
func (r *rig) auditJournals() error {
	var faults []error
	for _, e := range r.engines {
		records, err := readJournal[engine.JournalRecord](r.Journal(e.Name))
		if err != nil {
			return err
		}
		next := map[execution]unit.Position{}
		for _, j := range records {
			x := execution{start: j.Start, stream: j.Stream}
			if j.First != next[x] {
				faults = append(faults, fmt.Errorf("%s: stream %s ran position %d after %d", e.Name, j.Stream, j.First, next[x]-1))
			}
			next[x] = j.First + unit.Position(j.Count)
		}
	}
	return errors.Join(faults...)
}
