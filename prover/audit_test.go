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

// readJournal returns the records of a fake's journal file, one JSON object a line.
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

// execution identifies the work of one engine process, by its start time, on one stream.
type execution struct {
	start  string
	stream unit.StreamID
}

// streamRange identifies the KV state of one stream in a range of layers.
type streamRange struct {
	stream   unit.StreamID
	from, to unit.Layer
}

// auditJournals checks that no engine process ran a position of a stream
// twice, out of order or after it had imported it, and that imported positions
// were run by another engine process with the same layers.
func (r *rig) auditJournals() error {
	var faults []error
	ran, imported := map[streamRange]unit.Position{}, map[streamRange]unit.Position{}
	for _, e := range r.engines {
		records, err := readJournal[engine.JournalRecord](r.Journal(e.Name))
		if err != nil {
			return err
		}
		next := map[execution]unit.Position{}
		for _, j := range records {
			x := execution{start: j.Start, stream: j.Stream}
			end, p := j.First+unit.Position(j.Count), streamRange{stream: j.Stream, from: j.From, to: j.To}
			if j.Imported {
				if j.First != 0 || end < next[x] {
					faults = append(faults, fmt.Errorf("%s: stream %s imported %d positions after it had %d", e.Name, j.Stream, end, next[x]))
				}
				imported[p], next[x] = max(imported[p], end), end
				continue
			}
			ran[p] = max(ran[p], end)
			if j.First != next[x] {
				faults = append(faults, fmt.Errorf("%s: stream %s ran position %d after %d", e.Name, j.Stream, j.First, next[x]-1))
			}
			next[x] = end
		}
	}
	for p, n := range imported {
		if ran[p] < n {
			faults = append(faults, fmt.Errorf("stream %s: %d positions of layers %d to %d were imported, %d were run", p.stream, n, p.from, p.to, ran[p]))
		}
	}
	return errors.Join(faults...)
}
