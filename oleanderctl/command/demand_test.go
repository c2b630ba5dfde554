package command_test

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/oleanderctl/command"
)

// Guards against operators who can't see which class or account is held back, and against a failed
// call that looks like a fleet without demand.
func TestDemand(t *testing.T) {
	const dump = `{"Host":"edge-1","Demand":[{"Service":"draft","Short":true,"Age":40000000,
"Classes":[{"Urgency":{"Priority":1,"Route":2},"Offered":900,"Admitted":300,"Excess":0.5,"HeldBack":0.08,"Rule":"Class"}],
"Accounts":[{"Hash":48879,"Offered":600,"Admitted":100,"Share":150,"Excess":0.75},{"Hash":7,"Offered":50,"Admitted":50,"Share":50}]}],
"Crossings":[{"Purpose":"Beacons","Bytes":4096}]}`
	tests := []struct {
		name   string
		daemon daemon
		code   int
		out    []string
	}{
		{"a class or an account is missing", daemon{status: 200, body: dump}, command.ExitOK, []string{"1/2", "450", "8.0%", "0000beef", "75.0%", "4096 B"}},
		{"a failure looks like no demand", daemon{status: 503, body: ""}, command.ExitFailure, []string{"503"}},
		{"an answer of another server is accepted", daemon{status: 200, body: "hello"}, command.ExitFailure, []string{"invalid character"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(&tt.daemon)
			defer s.Close()
			var out bytes.Buffer
			is.Equal(command.Run([]string{"demand", strings.TrimPrefix(s.URL, "http://")}, nil, &out, &out), tt.code)
			for _, want := range tt.out {
				is.True(strings.Contains(out.String(), want))
			}
			is.True(!strings.Contains(out.String(), "00000007")) // an account within its share is listed
		})
	}
}
