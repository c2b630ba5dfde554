package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const valid = `Host = "entry-1"
DataCentre = "dc-a"
Callers.Listen = "127.0.0.1:8080"
Platform.Address = "127.0.0.1:7000"
`

func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

// Guards against a valid file that is rejected or gets wrong defaults.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := load(t, valid)
	is.NoErr(err)
	is.Equal(s.Shutdown.Limit.Std(), 30*time.Second)
	is.Equal(s.Policy.SilenceLimit.Std(), time.Second)
}

// Guards against invalid settings that a daemon starts with, and against errors without
// the line and the key.
func TestFaults(t *testing.T) {
	for _, row := range []struct {
		name, text string
		want       []string
	}{
		{"empty file starts a daemon", "", []string{"1: Host:", "1: DataCentre:", "1: Callers.Listen:", "1: Platform.Address:"}},
		{"silence limit below the heartbeat makes every stream recover", valid + "[Policy]\nSilenceLimit = '200ms'", []string{"6: Policy.SilenceLimit: expected at least 500ms"}},
		{"slow polling misses the 3 s of a leaving backend", valid + "[Policy]\nPollInterval = '5s'", []string{"6: Policy.PollInterval: expected at most 1s"}},
		{"misspelt policy is taken as the default", valid + "[Policy]\nBalance = 'least-dealy'", []string{"6: Policy.Balance: expected least-delay, round-robin"}},
		{"requests wait without a bound", valid + "[Admission]\nMaxWait = '0s'", []string{"6: Admission.MaxWait: expected a value above zero"}},
		{"delay uses up the whole shutdown", valid + "[Shutdown]\nLimit = '1s'", []string{"5: Shutdown.BalancerDelay: expected a duration from 0s"}},
		{"order outlasts the lease that allows it", valid + "[Controllers]\nOrderLimit = '6s'", []string{"6: Controllers.OrderLimit: expected less than Lease (6s)"}},
		{"operators are served without a token", valid + "[Operators]\nListen = '127.0.0.1:9'", []string{"5: Operators.Token: expected a bearer token"}},
		{"links to peers come up without certificates", valid + "[Peers]\nListen = '127.0.0.1:9'", []string{"5: Peers.Certificate: expected a PEM file", "5: Peers.Key: expected", "5: Peers.Authority: expected"}},
		{"misspelt peer is never contacted", valid + "[Peers]\nJoin = ['peer-1:8082']", []string{"6: Peers.Join: expected an IP address and port as value 1"}},
		{"misspelt level logs everything", valid + "[Log]\nLevel = 'warning'", []string{"6: Log.Level: expected debug"}},
		{"unlimited body time holds connections", valid + "Callers.BodyTimeout = '0s'", []string{"5: Callers.BodyTimeout: expected a value above zero"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			_, err := load(t, row.text)
			is.True(err != nil)
			lines := strings.Split(err.Error(), "\n")
			is.Equal(len(lines), len(row.want))
			for i, w := range row.want {
				is.True(strings.Contains(lines[i], "s.toml:"+w))
			}
		})
	}
}
