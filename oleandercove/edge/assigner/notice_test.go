package assigner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/oleandercove/edge/partitioner"
)

// Guards against an engine that releases layers which the next requests still use, and
// against an order that only adds layers but is delayed.
func TestNotice(t *testing.T) {
	held := backend.Layers{From: 10, To: 20}
	engines := []partitioner.Engine{{ID: "e", Layers: held}}
	start := time.Unix(100, 0)
	tests := []struct {
		name   string
		layers backend.Layers
		waits  bool
		kept   backend.Layers
	}{
		{"order that only adds layers waits", backend.Layers{From: 8, To: 20}, false, backend.Layers{}},
		{"order that only releases layers has no notice", backend.Layers{From: 12, To: 20}, true, backend.Layers{From: 12, To: 20}},
		{"order that shifts the range has no notice", backend.Layers{From: 15, To: 25}, true, backend.Layers{From: 15, To: 20}},
		{"order for another range keeps layers", backend.Layers{From: 40, To: 50}, true, backend.Layers{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			targets := []partitioner.Target{{Engine: "e", Layers: tt.layers}}
			due, n, changed := notices{}.update(targets, engines, start)
			is.Equal(changed, tt.waits)
			is.Equal(len(due) == 0, tt.waits)
			if !tt.waits {
				return
			}
			is.Equal(n["e"].kept(), tt.kept)
			due, n, changed = n.update(targets, engines, start.Add(noticeDelay/2))
			is.Equal(len(due), 0)
			is.True(!changed)
			due, _, _ = n.update(targets, engines, start.Add(noticeDelay))
			is.Equal(due, targets)
		})
	}
}

// Guards against an order without notice, which happens when the plan or the engine has
// changed since the last notice.
func TestNoticeAfterChange(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	engines := []partitioner.Engine{{ID: "e", Layers: backend.Layers{From: 10, To: 20}}}
	_, n, _ := notices{}.update([]partitioner.Target{{Engine: "e", Layers: backend.Layers{From: 12, To: 20}}}, engines, start)
	due, _, changed := n.update([]partitioner.Target{{Engine: "e", Layers: backend.Layers{From: 14, To: 20}}}, engines, start.Add(time.Second))
	is.True(changed)
	is.Equal(len(due), 0)
}
