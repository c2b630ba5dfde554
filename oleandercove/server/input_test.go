package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/logger"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/authenticator"
	"oleandercove.example/oleandercove/chain"
	"oleandercove.example/oleandercove/recorder"
	"oleandercove.example/oleandercove/request"
	"oleandercove.example/oleandercove/validator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testCatalogue holds the token "t" and the model "report".
type testCatalogue struct{}

func (testCatalogue) AccountByToken(token string) (*catalogue.Entry, bool) {
	return &catalogue.Entry{Kind: catalogue.KindAccount, Name: "a"}, token == "t"
}

func (testCatalogue) Get(kind catalogue.Kind, name unit.EntryName) (*catalogue.Entry, bool) {
	e := &catalogue.Entry{Kind: kind, Name: name, Model: &catalogue.Model{MaxTokens: 100}}
	return e, kind == catalogue.KindModel && name == "report"
}

func (testCatalogue) List(catalogue.Kind) []*catalogue.Entry { return nil }
func (testCatalogue) Ready() bool                            { return true }

// serve starts a server with short time limits that answers valid requests at once.
func serve(t *testing.T, draining func() error) (address string) {
	t.Helper()
	clock := timer.NewReal()
	last := func(_ context.Context, r *request.Request) error { return r.Completion.Emit("text") }
	s := New(Options{
		Handler:   chain.Build(last, authenticator.New(testCatalogue{}), validator.Filter{}),
		Catalogue: testCatalogue{}, Recorder: recorder.New(recorder.Options{Capacity: 1, Timer: clock}),
		Timer: clock, Log: logger.Discard(), Ready: func() bool { return true },
		CheckDraining: draining, BodyTimeout: 300 * time.Millisecond,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	srv := NewHTTPServer(s.CallerHandler(), 300*time.Millisecond)
	var wg sync.WaitGroup
	wg.Go(func() { _ = srv.Serve(ln) })
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		is.New(t).NoErr(srv.Shutdown(ctx)) // fails if a connection stays open
		wg.Wait()
	})
	return ln.Addr().String()
}

// exchange sends raw bytes, keeps the connection open and reads the response.
func exchange(t *testing.T, address, raw string) (status int, refusal api.Refusal, closed bool) {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(c, raw)
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, refusal, err == io.ErrUnexpectedEOF || err == io.EOF
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	_ = json.Unmarshal(body, &refusal)
	return res.StatusCode, refusal, res.Close
}

const streamedBody = `{"model":"report","prompt":"net 4","stream":true}`

const validBody = `{"model":"report","prompt":"net 4"}`

func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
}

// Guards against invalid, oversized or slow requests that reach an engine, hold a
// connection or get no verdict.
func TestBadInput(t *testing.T) {
	const path = "/v1/completions"
	announce := func(token string, n int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: %s\r\nContent-Length: %d\r\n\r\n{", path, token, n)
	}
	for _, row := range []struct {
		name, raw string
		status    int
		reason    verdict.Reason
	}{
		{"valid request is refused", post(path, "", validBody), 200, ""},
		{"broken JSON reaches an engine", post(path, "", `{"model":`), 400, verdict.BadRequest},
		{"data after the JSON value is ignored", post(path, "", validBody+validBody), 400, verdict.BadRequest},
		{"wrong type is taken as zero", post(path, "", `{"model":"report","prompt":"x","max_tokens":"9"}`), 400, verdict.BadRequest},
		{"empty body is a request", post(path, "", ""), 400, verdict.BadRequest},
		{"empty prompt reaches an engine", post(path, "", `{"model":"report","prompt":" "}`), 400, verdict.BadRequest},
		{"negative max_tokens reaches an engine", post(path, "", `{"model":"report","prompt":"x","max_tokens":-1}`), 400, verdict.BadRequest},
		{"resume without an id continues another response", post(path, "X-Resume-Position: 3\r\n", streamedBody), 400, verdict.BadRequest},
		{"response that is not streamed is cut by a resume", post(path, "X-Resume-Position: 3\r\nX-Request-Id: r\r\n", validBody), 400, verdict.BadRequest},
		{"negative resume position is used", post(path, "X-Resume-Position: -3\r\nX-Request-Id: r\r\n", streamedBody), 400, verdict.BadRequest},
		{"resume position in words is ignored", post(path, "X-Resume-Position: all\r\nX-Request-Id: r\r\n", streamedBody), 400, verdict.BadRequest},
		{"resume position exceeds max_tokens", post(path, "X-Resume-Position: 101\r\nX-Request-Id: r\r\n", streamedBody), 400, verdict.BadRequest},
		{"valid resume is refused", post(path, "X-Resume-Position: 3\r\nX-Request-Id: r\r\n", streamedBody), 200, ""},
		{"negative temperature reaches an engine", post(path, "", `{"model":"report","prompt":"x","temperature":-1}`), 400, verdict.BadRequest},
		{"max_tokens exceeds the entry", post(path, "", `{"model":"report","prompt":"x","max_tokens":101}`), 400, verdict.BadRequest},
		{"unknown model is served by another one", post(path, "", `{"model":"other","prompt":"x"}`), 404, verdict.UnknownEntry},
		{"body with an oversized Content-Length is read before the refusal", announce("Bearer t", maxBodyBytes+1), 413, verdict.TooLarge},
		{"chunked body grows without limit", "POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\nTransfer-Encoding: chunked\r\n\r\n500000\r\n" + strings.Repeat("x", 0x500000) + "\r\n0\r\n\r\n", 413, verdict.TooLarge},
		{"slow body holds a connection", announce("Bearer t", 100), 408, verdict.SlowBody},
		{"body of an unknown caller is read", announce("Bearer wrong", 100), 401, verdict.Unauthorized},
		{"token without scheme is accepted", announce("t", 100), 401, verdict.Unauthorized},
		{"missing token is accepted", "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n", 401, verdict.Unauthorized},
		{"negative deadline is ignored", post(path, "X-Deadline-Ms: -5\r\n", validBody), 400, verdict.BadRequest},
		{"deadline in words is ignored", post(path, "X-Deadline-Ms: soon\r\n", validBody), 400, verdict.BadRequest},
		{"huge deadline overflows", post(path, "X-Deadline-Ms: 9223372036854775807\r\n", validBody), 200, ""},
		{"unknown priority is ignored", post(path, "X-Priority: urgent\r\n", validBody), 400, verdict.BadRequest},
		{"long request id fills the journal", post(path, "X-Request-Id: "+strings.Repeat("x", 129)+"\r\n", validBody), 400, verdict.BadRequest},
		{"request id breaks the log", post(path, "X-Request-Id: a\tb\r\n", validBody), 400, verdict.BadRequest},
		{"huge header is stored", post(path, "X-Pad: "+strings.Repeat("x", 64<<10)+"\r\n", validBody), 431, ""},
		{"broken request line hangs", "POST\r\n\r\n", 400, ""},
		{"wrong method gets no verdict", "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n", 405, verdict.WrongMethod},
		{"unknown path gets no verdict", "GET /v2 HTTP/1.1\r\nHost: h\r\n\r\n", 404, verdict.UnknownPath},
		{"trailing slash is redirected without a verdict", post(path+"/", "", validBody), 404, verdict.UnknownPath},
		{"slow headers hold a connection", "POST " + path + " HTTP/1.1\r\nHost: h\r\n", 0, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			status, refusal, closed := exchange(t, serve(t, nil), row.raw)
			is.Equal(status, row.status)
			is.Equal(refusal.Reason, row.reason)
			if row.reason != "" {
				is.Equal(refusal.Verdict, verdict.NotRun)
			}
			is.True(status != 0 || closed) // the server has ended the connection
		})
	}
}

// Guards against a body that is read although the daemon is draining and refuses the
// request anyway.
func TestDrainingBeforeBody(t *testing.T) {
	is := is.New(t)
	address := serve(t, func() error { return verdict.New(verdict.NotRun, verdict.Draining, "x").WithRetryAfter(time.Second) })
	status, refusal, _ := exchange(t, address, strings.TrimSuffix(post("/v1/completions", "", validBody), "}"))
	is.Equal(status, 503)
	is.Equal(refusal.Reason, verdict.Draining)
}

// Guards against a panic and against an accepted body that has no model, no input or a
// negative number of tokens.
func FuzzCompletion(f *testing.F) {
	for _, s := range []string{validBody, `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`, `{"max_tokens":-1}`, `[]`, `null`} {
		f.Add([]byte(s), true)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		m, err := parseCompletion(body, chat)
		if v, ok := verdict.FromError(err); err != nil && (!ok || v.Verdict != verdict.NotRun || v.Reason.Status() != 400) {
			t.Fatalf("refusal without a clear status: %v", err)
		}
		if err == nil && (m.Model == "" || strings.TrimSpace(promptText(m)) == "" || m.MaxTokens < 0) {
			t.Fatalf("accepted %+v", m)
		}
	})
}
