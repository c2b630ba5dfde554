package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

// Guards against daemons that stop following the list of servers, that end, or that call the
// store again and again because of odd entries of another writer. They are followed by a
// server that was replaced and by a daemon that starts.
func TestOddEntries(t *testing.T) {
	const (
		levels   = 1_000_000
		span     = 3 * time.Second
		maxCalls = 60 // of one daemon within span, with the changes of a repair
	)
	entry := func(field, value string) string {
		return `{"service":"plain-service","address":"127.0.0.1:9","zone":"x","slots":6,"state":"ready","sequence":1,"born":1,"` + field + `":` + value + `}`
	}
	odd := []string{
		entry("service", strings.Repeat("[", levels)+strings.Repeat("]", levels)),
		entry("x", strings.Repeat(`{"x":`, levels)+"1"+strings.Repeat("}", levels)),
		entry("slots", "99999999999999999999"),
		entry("cold_remaining_ms", "1e400"),
		entry("address", `"127.0.0.1:65536"`),
		entry("address", `"127.0.0.1:0"`),
		entry("layers", `{"from":-9223372036854775808,"to":9223372036854775807}`),
		"NaN", "null", "{bytes that can't be read}", "\"\x00\xff\"",
	}
	is := is.New(t)
	s := newSite(t, 2)
	s.routers[0].Kill()
	for i, text := range odd {
		s.Store.PutRaw("servers", fmt.Sprintf("%c-odd-%d", 'a'+i*2, i), text)
	}
	is.NoErr(s.routers[0].Restart())
	s.waitReady(s.routers[0])
	served := func(i int, id string) bool { return s.status(i, id, imitator.Key) == http.StatusOK }
	for i := range s.routers {
		s.waitFor("a response through each daemon", func() bool { return served(i, fmt.Sprintf("before-%d-%d", i, time.Now().UnixNano())) })
	}
	for _, p := range s.Servers() {
		is.NoErr(s.Replace(p))
	}
	// The servers have other ids now, so only daemons that follow the list reach them.
	for i := range s.routers {
		s.waitFor("a response of a new server through each daemon", func() bool { return served(i, fmt.Sprintf("after-%d-%d", i, time.Now().UnixNano())) })
	}
	calls := make([]int, len(s.endpoints))
	for i, e := range s.endpoints {
		calls[i] = e.Calls()
	}
	time.Sleep(span)
	for i, e := range s.endpoints {
		is.True(e.Calls()-calls[i] <= maxCalls)
	}
	for i := range 20 {
		is.True(served(i%len(s.routers), fmt.Sprintf("last-%d", i)))
	}
	is.Equal(len(s.Violations()), 0)
}
