package spreader

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/gossiper"
	"oleandercove.example/oleandercove/replicator"
)

// Guards against data centres where no daemon or every daemon watches the platform.
func TestWatchesPlatform(t *testing.T) {
	for _, c := range []struct {
		failure string
		live    []gossiper.Member
		want    int
	}{
		{"lone daemon gets no catalogue", []gossiper.Member{{Host: "a"}}, 1},
		{"all daemons of a data centre watch", []gossiper.Member{{Host: "a"}, {Host: "b"}, {Host: "c"}}, 2},
		{"second data centre is not covered", []gossiper.Member{{Host: "a"}, {Host: "b", DataCentre: "x"}}, 2},
		{"only draining daemons watch", []gossiper.Member{{Host: "a", Draining: true}, {Host: "b"}}, 1},
	} {
		t.Run(c.failure, func(t *testing.T) {
			n := 0
			for _, m := range c.live {
				if WatchesPlatform(m, c.live) {
					n++
				}
			}
			is.New(t).Equal(n, c.want)
		})
	}
}

// Guards against an older version that replaces a newer one, which happens when entries from
// peers bypass the merge by version, and against an invalid entry that blocks the others.
func TestMergeItems(t *testing.T) {
	item := func(version uint64, owner string) replicator.Item {
		v, err := catalogue.Encode(&catalogue.Entry{Kind: catalogue.KindModel, Name: "report", Owner: owner})
		is.New(t).NoErr(err)
		return replicator.Item{Key: "Model.report", Version: version, Value: v}
	}
	broken := replicator.Item{Key: "Model.broken", Version: 1, Value: []byte("{")}
	for _, c := range []struct {
		failure string
		items   []replicator.Item
		want    string
	}{
		{"older version reverts a newer one", []replicator.Item{item(3, "new"), item(2, "old")}, "new"},
		{"newer version is ignored", []replicator.Item{item(2, "old"), item(3, "new")}, "new"},
		{"broken entry blocks the others", []replicator.Item{broken, item(3, "new")}, "new"},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			s := New(Options{Timer: timer.NewReal(), Log: logger.Discard()})
			is.True(!s.Ready())
			for _, i := range c.items {
				s.mergeItems("peer", []replicator.Item{i})
			}
			e, ok := s.Get(catalogue.KindModel, unit.EntryName("report"))
			is.True(ok)
			is.Equal(e.Owner, c.want)
			is.True(!s.Ready()) // a pushed entry is not the whole catalogue
		})
	}
}

// Guards against a daemon that ends because of one odd entry of another writer, with memory
// for each of its layers, and against one that no longer gets the others.
func TestOddEntries(t *testing.T) {
	deep := strings.Repeat("[", 1000000) + strings.Repeat("]", 1000000)
	for _, c := range []struct{ failure, value string }{
		{"negative layers are used", `{"Kind":"Model","Name":"odd","Model":{"Layers":-5,"MaxTokens":10}}`},
		{"too many layers are used", `{"Kind":"Model","Name":"odd","Model":{"Layers":1000000000000000,"MaxTokens":10}}`},
		{"a number of layers that overflows is used", `{"Kind":"Model","Name":"odd","Model":{"Layers":9223372036854775807}}`},
		{"a negative number of tokens is used", `{"Kind":"Model","Name":"odd","Model":{"Layers":5,"MaxTokens":-10}}`},
		{"a rate beyond all is used", `{"Kind":"Model","Name":"odd","Limits":{"RequestsPerSecond":1e300}}`},
		{"a negative share is used", `{"Kind":"Model","Name":"odd","Limits":{"QueueShare":-1}}`},
		{"a time that overflows is used", `{"Kind":"Service","Name":"odd","Service":{"TimeoutMs":9223372036854775807}}`},
		{"a number beyond floating point is used", `{"Kind":"Model","Name":"odd","Limits":{"QueueShare":1e400}}`},
		{"an entry of 1,000,000 levels blocks the others", `{"Kind":"Model","Name":"odd","Model":` + deep + `}`},
		{"an entry without a value blocks the others", ``},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			s := New(Options{Timer: timer.NewReal(), Log: logger.Discard()})
			sound := `{"Kind":"Model","Name":"report","Model":{"Layers":5}}`
			n := s.Merge(s.decodeEntries([]platform.Object{{Name: "odd", Version: 3, Value: []byte(c.value)}, {Name: "report", Version: 3, Value: []byte(sound)}}))
			is.Equal(n, 1)
			s.mergeItems("peer", []replicator.Item{{Key: "odd", Version: 4, Value: []byte(c.value)}, {Key: "report", Version: 4, Value: []byte(sound)}})
			is.Equal(len(s.List(catalogue.KindModel)), 1)
			is.Equal(len(s.List(catalogue.KindService)), 0)
			e, ok := s.Get(catalogue.KindModel, "report")
			is.True(ok && e.Version == 4)
		})
	}
}
