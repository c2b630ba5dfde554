package edge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
)

// outcomes counts streams by how they ended for their callers.
type outcomes struct {
	complete, refused int
	// cut is the number of streams that a daemon ended early, left that of streams from which
	// the callers disconnected, expired that of streams that reached their deadlines.
	cut, left, expired int
	// waiting holds the ids of the streams that left and expired count.
	waiting []string
}

// add counts the response to a request for a stream.
func (o *outcomes) add(a request, got response) {
	var dial *net.OpError
	switch {
	case got.checkStream(a.id, a.output) == nil:
		o.complete++
	case got.left:
		o.left++
		o.waiting = append(o.waiting, a.id)
	case got.status != http.StatusOK && got.status != 0, errors.As(got.err, &dial) && dial.Op == "dial":
		o.refused++
	case got.took >= a.waits():
		o.expired++
		o.waiting = append(o.waiting, a.id)
	default:
		o.cut++
	}
}

// sentOnce returns how many of the attempts were sent to at most one engine.
func (s *site) sentOnce(attempts []string) int {
	n := 0
	for _, id := range attempts {
		if s.Runs.Sends(id) <= 1 {
			n++
		}
	}
	return n
}

// earlyEnds returns how many streams daemons report to have ended early, by the number of runs
// and the reason.
func (s *site) earlyEnds() map[string]int {
	files, err := filepath.Glob(filepath.Join(s.launcher.Dir, "*.log"))
	if err != nil {
		s.t.Fatal(err)
	}
	out := map[string]int{}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			s.t.Fatal(err)
		}
		for line := range bytes.Lines(data) {
			var l struct {
				Msg  string
				Runs int
				Err  string
			}
			// Lines of the runtime are no JSON.
			if json.Unmarshal(line, &l) == nil && l.Msg == "stream ended early" {
				out[fmt.Sprintf("%d runs: %s", l.Runs, l.Err)]++
			}
		}
	}
	return out
}
