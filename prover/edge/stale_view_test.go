package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

// applyTime is the time within which a new configuration must be in force.
const applyTime = 4 * time.Second

// Guards against daemons that refuse what a new configuration allows, because the store no longer
// answers the daemons that watch it about the configuration, while it does about servers.
func TestConfigurationSilent(t *testing.T) {
	t.Parallel()
	const newKey = "key-after"
	is := is.New(t)
	s := newSiteWith(t, watcherDaemons, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 4, WorkTime: 20 * time.Millisecond})
	for _, i := range s.watchers() {
		s.endpoints[i].Inject(imitator.Faults{SilentKind: imitator.KindConfiguration})
	}
	// A call that waits meanwhile would still return the change.
	time.Sleep(time.Second)
	s.Configure(imitator.Key, newKey)
	written := time.Now()
	served := map[int]time.Duration{}
	late := 0
	for n := 0; time.Since(written) < 2*applyTime; n++ {
		i, sent := n%watcherDaemons, time.Since(written)
		status := s.status(i, fmt.Sprintf("new-%d", n), newKey)
		if _, ok := served[i]; !ok && status == http.StatusOK {
			served[i] = sent
		}
		if sent > applyTime && status == http.StatusUnauthorized {
			late++
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("first served after: %v, refused late: %d", served, late)
	is.Equal(late, 0)
	is.Equal(len(served), watcherDaemons)
	for _, after := range served {
		is.True(after < applyTime)
	}
}

// Guards against requests to a server that has left, because the store no longer answers the daemons
// that watch it about servers, while it does about the configuration.
func TestServersSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSiteWith(t, watcherDaemons, imitator.Options{DataCentres: []string{"x"}, Engines: 3, Servers: 4, WorkTime: 20 * time.Millisecond})
	c := s.startLoad("read", watcherDaemons)
	for _, i := range s.watchers() {
		s.endpoints[i].Inject(imitator.Faults{SilentKind: imitator.KindServers})
	}
	time.Sleep(time.Second)
	p := s.Servers()[0]
	p.Withdraw()
	removed := time.Now()
	time.Sleep(2 * applyTime)
	late := s.lateArrivals(p.ID, removed, time.Now(), disruptions{})
	t.Logf("late requests: %v", late)
	is.Equal(len(late), 0)
	c.finish()
}
