package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

// Guards against a daemon that runs out of descriptors, because it keeps its connections to
// servers that have left.
func TestConnectionsToLeftServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSiteWith(t, 1, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 3, WorkTime: 20 * time.Millisecond})
	c := s.startLoad("read", 12)
	defer c.finish()
	left := s.Servers()[1:]
	s.waitFor("connections to all servers", func() bool { return left[0].Connections() > 1 && left[1].Connections() > 1 })
	for _, p := range left {
		p.Withdraw()
	}
	s.waitFor("the connections to be closed", func() bool { return left[0].Connections() == 0 && left[1].Connections() == 0 })
	is.True(s.Servers()[0].Connections() > 0) // those in use are kept
}
