package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"oleandercove.example/oleanderfake/imitator"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 4 << 20
	// rawUploads is the number of uploads for each raw response.
	rawUploads = 10
	// rawHead begins a raw response; its headers follow.
	rawHead = "HTTP/1.1 200 OK\r\nX-Oleandercove-Attempt-Id: " + imitator.IDMark + "\r\nX-Oleandercove-Response-Stamp: s\r\n"
)

// Guards against an answer that is no proper one and reaches the caller as a success or with a
// status of its own, and against a proper answer that doesn't: early, interim or without a length.
func TestRawAnswers(t *testing.T) {
	tests := []struct {
		name, text string
		reset      bool
		status     int
	}{
		{"a part before a reset counts as the answer", rawHead + "\r\nanswer", true, http.StatusBadGateway},
		{"a long part before a reset counts as the answer", rawHead + "\r\n" + strings.Repeat("answer", 20<<10), true, http.StatusBadGateway},
		{"an answer with status 000 is passed on", strings.Replace(rawHead, "200 OK", "000 None", 1) + "\r\nanswer", false, http.StatusBadGateway},
		{"a status 000 counts as an interim answer", "HTTP/1.1 000 None\r\n\r\n" + rawHead + "\r\nanswer", false, http.StatusBadGateway},
		{"a blank in a name is passed on", rawHead + "Some Name: 1\r\n\r\nanswer", false, http.StatusBadGateway},
		{"a blank after a name hides the chunks", rawHead + "Transfer-Encoding : chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", false, http.StatusBadGateway},
		{"a control byte in a name is passed on", rawHead + "Some\x01Name: 1\r\n\r\nanswer", false, http.StatusBadGateway},
		{"a blank in a name of a trailer is ignored", rawHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nSome Name: 1\r\n\r\n", false, http.StatusBadGateway},
		{"chunks in version 1.0 are the body", strings.Replace(rawHead, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", false, http.StatusBadGateway},
		{"a length beside chunks is ignored", rawHead + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", false, http.StatusBadGateway},
		{"an answer without a body hides one", strings.Replace(rawHead, "200 OK", "204 None", 1) + "Content-Length: 6\r\n\r\nanswer", false, http.StatusBadGateway},
		{"an answer without a length that ends in order is lost", rawHead + "\r\nanswer", false, http.StatusOK},
		{"an answer with a length is lost", rawHead + "Content-Length: 6\r\n\r\nanswer", false, http.StatusOK},
		{"an answer in chunks is lost", rawHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", false, http.StatusOK},
		{"an answer after an interim one is lost", "HTTP/1.1 103 Early Hints\r\n\r\n" + rawHead + "\r\nanswer", false, http.StatusOK},
	}
	s := newSiteWith(t, 1, imitator.Options{DataCentres: []string{"x", "y"}, Engines: 4, Servers: 1, BodyBytes: uploadBytes})
	upload := strings.Repeat("u", uploadBytes-len("u00-00"))
	for n, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s.Servers()[0].Raw.Store(&imitator.Raw{Text: tt.text, Reset: tt.reset})
			defer s.Servers()[0].Raw.Store(nil)
			for i := range rawUploads {
				// Requests with one content would be taken for the cause of the resets.
				id := fmt.Sprintf("u%02d-%02d", n, i)
				got := request{router: s.routers[0], id: id, method: "POST", path: imitator.BookPath, key: imitator.Key, body: id + upload}.do()
				is.Equal(len(s.Runs.ByAttempt(id)), 1)
				is.True(got.status == tt.status || (tt.status != http.StatusOK && got.err != nil)) // a broken answer is replaced or breaks off
				is.True(tt.status != http.StatusOK || (got.err == nil && got.body == "answer"))
			}
		})
	}
}
