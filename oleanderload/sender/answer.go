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

func (s *Sender) doRequest(ctx context.Context, r *Result, method, url string, body []byte) (*http.Response, error) {
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

// callService reads from the plain service.
func (s *Sender) callService(ctx context.Context, address string, r *Result) {
	res, err := s.doRequest(ctx, r, http.MethodGet, "http://"+address+"/services/"+string(s.profile.Service)+s.profile.ServicePath, nil)
	if err != nil {
		r.Outcome.Error = err.Error()
		return
	}
	defer res.Body.Close()
	r.Outcome.Status = res.StatusCode
	if res.StatusCode >= http.StatusBadRequest {
		recordRefusal(r, res)
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	r.Outcome.Complete = err == nil
}

// requestCompletion requests a streamed completion and checks it against the reference.
func (s *Sender) requestCompletion(ctx context.Context, i int, address string, r *Result) {
	body, err := json.Marshal(api.CompletionRequest{
		Model: string(s.profile.Model), Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true,
	})
	if err != nil {
		r.Outcome.Error = err.Error()
		return
	}
	res, err := s.doRequest(ctx, r, http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		r.Outcome.Error = err.Error()
		return
	}
	defer res.Body.Close()
	r.Outcome.Status = res.StatusCode
	if res.StatusCode != http.StatusOK {
		recordRefusal(r, res)
		return
	}
	c := &streamedCompletion{result: r, start: s.start}
	if s.OnToken != nil {
		c.onToken = func(n int) { s.OnToken(i, n) }
	}
	c.readEvents(res.Body)
	r.Outcome.Tokens = len(r.TokenTimes)
	c.check(runner.ReferenceText(s.profile.Layers, r.Prompt, r.MaxTokens))
}

func recordRefusal(r *Result, res *http.Response) {
	var m api.Refusal
	r.Outcome.RetryAfter = res.Header.Get("Retry-After")
	if json.NewDecoder(res.Body).Decode(&m) != nil || m.Verdict == "" || m.Reason == "" {
		r.Outcome.Violation = BadRefusal
		return
	}
	r.Outcome.Verdict, r.Outcome.Reason = m.Verdict, m.Reason
}

// streamedCompletion collects the events of a completion.
type streamedCompletion struct {
	result       *Result
	start        time.Time
	text         strings.Builder
	hasEndMarker bool
	hasError     bool
	onToken      func(n int)
}

// event is one server-sent event of a completion.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *api.Refusal `json:"error"`
}

func (c *streamedCompletion) readEvents(r io.Reader) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			c.hasEndMarker = true
			return
		}
		c.addEvent(data)
	}
	if err := lines.Err(); err != nil {
		c.result.Outcome.Error = err.Error()
	}
}

func (c *streamedCompletion) addEvent(data []byte) {
	var e event
	if json.Unmarshal(data, &e) != nil {
		c.result.Outcome.Violation = WrongText
		return
	}
	if e.Error != nil {
		c.hasError = true
		c.result.Outcome.Verdict, c.result.Outcome.Reason = e.Error.Verdict, e.Error.Reason
		return
	}
	if len(e.Choices) == 0 || e.Choices[0].Text == "" {
		return
	}
	c.text.WriteString(e.Choices[0].Text)
	c.result.TokenTimes = append(c.result.TokenTimes, time.Since(c.start))
	if c.onToken != nil {
		c.onToken(len(c.result.TokenTimes))
	}
}

// check compares the text with the reference. The text of a stream that ended with an
// error event must still be a prefix of the reference.
func (c *streamedCompletion) check(want string) {
	got, o := c.text.String(), &c.result.Outcome
	switch {
	case o.Violation != "":
	case !strings.HasPrefix(want, got) || (c.hasEndMarker && got != want):
		o.Violation = WrongText
	case c.hasEndMarker:
		o.Complete = true
	case c.hasError:
	case got == want:
		o.Violation = NoEndMark
	default:
		o.Violation = Truncated
	}
}
