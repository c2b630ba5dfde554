package exchanger

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
)

// refusal returns a response with status 503 and a short body; without an id if id is empty.
func refusal(id string) string {
	head := "HTTP/1.1 503 Service Unavailable\r\n"
	if id != "" {
		head += "Id: " + id + "\r\n"
	}
	return head + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
}

// sendAndRead sends a request with an id and returns the status and body of the response,
// or "not sent" or "sent" if there was none.
func sendAndRead(t *testing.T, x *Exchanger, a backend.Address, id string) string {
	t.Helper()
	is := is.New(t)
	e, err := x.Send(t.Context(), a, get(id))
	var failure *Error
	if errors.As(err, &failure) {
		return map[bool]string{true: "sent", false: "not sent"}[failure.Sent]
	}
	is.NoErr(err)
	defer e.Close()
	body, err := io.ReadAll(e.Response.Body)
	is.NoErr(err)
	return strconv.Itoa(e.Response.StatusCode) + " " + string(body)
}

// Guards against a request that counts as not run although the server runs it, and against
// the answer of another request, which happen when a faulty server writes an earlier response
// once more on a kept connection after the next request was written.
func TestStaleResponse(t *testing.T) {
	yes := response("2", "yes")
	cut := func(text, at string) string { return text[:strings.Index(text, at)+len(at)] }
	tests := []struct {
		name     string
		requests []string
		answers  []string
		// want holds the status and body that the last request gets; see sendAndRead.
		want  string
		dials int64
	}{
		{"a refusal without an id", []string{"1", "2"}, []string{refusal("1"), refusal("") + yes}, "sent", 1},
		{"a success without an id", []string{"1", "2"}, []string{response("1", "ok"), strings.Replace(response("", "ok"), "Id: \r\n", "", 1) + yes}, "sent", 1},
		{"a refusal without an id after one with another id", []string{"2"}, []string{refusal("1") + refusal("") + yes}, "sent", 1},
		{"a refusal of an earlier send of the request", []string{"1", "1"}, []string{refusal("1"), response("1", "ok")}, "200 ok", 2},
		{"a refusal of an earlier send before another request", []string{"1", "2", "1"}, []string{refusal("1"), yes, response("1", "ok")}, "200 ok", 2},
		{"two refusals of an earlier request", []string{"1", "2"}, []string{refusal("1"), refusal("1") + refusal("1") + yes}, "200 yes", 1},
		{"a refusal that breaks off in its body", []string{"1", "2"}, []string{refusal("1"), cut(refusal("1"), "fu") + yes}, "sent", 1},
		{"an interim response of an earlier request", []string{"1", "2"}, []string{refusal("1"), "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n" + yes}, "200 yes", 1},
		{"a further refusal after a skipped one", []string{"1", "2", "3"}, []string{refusal("1"), refusal("1") + yes, response("3", "ok")}, "200 ok", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, got := server(t, tt.answers...)
			x := newExchanger()
			last := ""
			for _, id := range tt.requests {
				last = sendAndRead(t, x, a, id)
			}
			is.Equal(last, tt.want)
			is.Equal(x.Dials(), tt.dials)
			is.Equal(got.Load(), int64(len(tt.requests))) // each request is sent once
		})
	}
}

// Guards against responses that can't be matched to their requests, which happens when a
// server doesn't repeat the id of a request or the request has none: its connection must
// carry no other request.
func TestNoID(t *testing.T) {
	tests := []struct {
		name     string
		requests []string
		answers  []string
		dials    int64
	}{
		{"a server doesn't repeat ids", []string{"1", "2"}, []string{refusal(""), refusal("")}, 2},
		{"requests have no ids", []string{"", ""}, []string{refusal(""), refusal("")}, 2},
		{"a request without an id follows another one", []string{"1", ""}, []string{refusal("1"), refusal("")}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, _ := server(t, tt.answers...)
			x := newExchanger()
			for _, id := range tt.requests {
				is.Equal(sendAndRead(t, x, a, id), "503 full")
			}
			is.Equal(x.Dials(), tt.dials)
		})
	}
}

// Guards against a new connection after each refusal, which overloaded servers send by the
// hundred, and against a list of refused requests that grows without a bound.
func TestManyRefusals(t *testing.T) {
	is := is.New(t)
	var answers []string
	for i := range 2 * maxUnsuccessful {
		answers = append(answers, refusal(strconv.Itoa(i)))
	}
	a, _ := server(t, answers...)
	x := newExchanger()
	for i := range answers {
		is.Equal(sendAndRead(t, x, a, strconv.Itoa(i)), "503 full")
	}
	is.Equal(x.Dials(), int64(2))
}
