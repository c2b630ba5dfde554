package sender

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oleandercove.example/core/api"
	"oleandercove.example/oleanderfake/runner"
)

func (s *Sender) do(ctx context.Context, r *Result, method, url string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.tokens[r.Account])
	if r.Priority != "" {
		req.Header.Set(api.HeaderPriority, r.Priority)
	}
	if r.DeadlineMs > 0 {
		req.Header.Set(api.HeaderDeadline, strconv.Itoa(r.DeadlineMs))
	}
	return s.http.Do(req)
}

// call reads from a plain service.
func (s *Sender) call(ctx context.Context, address string, r *Result) {
	res, err := s.do(ctx, r, http.MethodGet, "http://"+address+"/services/"+string(s.profile.Service)+s.profile.ServicePath, nil)
	if err != nil {
		r.Outcome.Error = err.Error()
		return
	}
	defer res.Body.Close()
	r.Outcome.Status = res.StatusCode
	if res.StatusCode >= http.StatusBadRequest {
		refused(r, res)
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	r.Outcome.Complete = err == nil
}

// complete asks for a streamed completion and checks it.
func (s *Sender) complete(ctx context.Context, i int, address string, r *Result) {
	body, err := json.Marshal(api.CompletionRequest{
		Model: string(s.profile.Model), Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true,
	})
	if err != nil {
		r.Outcome.Error = err.Error()
		return
	}
	res, err := s.do(ctx, r, http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		r.Outcome.Error = err.Error()
		return
	}
	defer res.Body.Close()
	r.Outcome.Status = res.StatusCode
	if res.StatusCode != http.StatusOK {
		refused(r, res)
		return
	}
	a := &answer{result: r, start: s.start}
	if s.OnToken != nil {
		a.onToken = func(n int) { s.OnToken(i, n) }
	}
	a.read(res.Body)
	r.Outcome.Tokens = len(r.TokenTimes)
	a.check(runner.ReferenceText(s.profile.Layers, r.Prompt, r.MaxTokens))
}

func refused(r *Result, res *http.Response) {
	var m api.Refusal
	r.Outcome.RetryAfter = res.Header.Get("Retry-After")
	if json.NewDecoder(res.Body).Decode(&m) != nil || m.Verdict == "" || m.Reason == "" {
		r.Outcome.Violation = BadRefusal
		return
	}
	r.Outcome.Verdict, r.Outcome.Reason = m.Verdict, m.Reason
}

// answer is a streamed completion in progress.
type answer struct {
	result  *Result
	start   time.Time
	text    strings.Builder
	ended   bool
	failed  bool
	onToken func(n int)
}

// event is one server-sent event of a completion.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *api.Refusal `json:"error"`
}

func (a *answer) read(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			a.ended = true
			return
		}
		a.event(data)
	}
	if err := lines.Err(); err != nil {
		a.result.Outcome.Error = err.Error()
	}
}

func (a *answer) event(data []byte) {
	var e event
	if json.Unmarshal(data, &e) != nil {
		a.result.Outcome.Violation = Wrong
		return
	}
	if e.Error != nil {
		a.failed = true
		a.result.Outcome.Verdict, a.result.Outcome.Reason = e.Error.Verdict, e.Error.Reason
		return
	}
	if len(e.Choices) == 0 || e.Choices[0].Text == "" {
		return
	}
	a.text.WriteString(e.Choices[0].Text)
	a.result.TokenTimes = append(a.result.TokenTimes, time.Since(a.start))
	if a.onToken != nil {
		a.onToken(len(a.result.TokenTimes))
	}
}

// check compares the text with the reference. A stream that ended with an
// explicit error must still be a prefix of it.
func (a *answer) check(want string) {
	got, o := a.text.String(), &a.result.Outcome
	switch {
	case o.Violation != "":
	case !strings.HasPrefix(want, got) || (a.ended && got != want):
		o.Violation = Wrong
	case a.ended:
		o.Complete = true
	case a.failed:
	case got == want:
		o.Violation = NoEndMark
	default:
		o.Violation = Truncated
	}
}
