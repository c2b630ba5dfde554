// Package invoker sends requests to a daemon as a client, for tests, measurements and the
// demo.
//
// Usage:
//
//	c := invoker.Client{Token: "token-depot-7"}
//	a, err := c.Complete(ctx, address, invoker.Prompt{Model: "report", Text: "net 4"})
package invoker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oleandercove.example/core/api"
)

// Client sends requests with a bearer token. A nil HTTP uses the default client.
type Client struct {
	Token string
	HTTP  *http.Client
}

// Prompt is a request for a streamed completion.
type Prompt struct {
	ID        string
	Model     string
	Text      string
	MaxTokens int
	// Temperature above 0 makes the response depend on the seed of the request.
	Temperature float64
	// Resume is the number of tokens that the caller already received.
	Resume int
	// Deadline is the time limit that the request states; 0 states none.
	Deadline time.Duration
	// OnToken is called after each token with the number of tokens so far.
	OnToken func(n int)
	// OnText is called with the text of each token.
	OnText func(text string)
}

// Answer is the response as the caller received it.
type Answer struct {
	Status int
	Text   string
	Tokens int
	// Done is true if the stream ended with its end mark.
	Done    bool
	Refusal api.Refusal
	Header  http.Header
	// First is the time from the request to the first token.
	First time.Duration
	// Gap is the longest time between two tokens.
	Gap time.Duration
}

func (c Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// Complete sends a request for a streamed completion and reads the response to its end.
// It returns an error if the request fails or the response can't be read. A refusal is
// returned in the Answer, not as an error.
func (c Client) Complete(ctx context.Context, address string, p Prompt) (Answer, error) {
	body, err := json.Marshal(api.CompletionRequest{
		Model: p.Model, Prompt: p.Text, MaxTokens: p.MaxTokens, Stream: true, Temperature: p.Temperature,
	})
	if err != nil {
		return Answer{}, err
	}
	h := http.Header{api.HeaderRequestID: {p.ID}}
	if p.Deadline > 0 {
		h.Set(api.HeaderDeadline, strconv.FormatInt(p.Deadline.Milliseconds(), 10))
	}
	if p.Resume > 0 {
		h.Set(api.HeaderResume, strconv.Itoa(p.Resume))
	}
	start := time.Now()
	res, err := c.Do(ctx, http.MethodPost, "http://"+address+"/v1/completions", body, h)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	a := Answer{Status: res.StatusCode, Header: res.Header}
	if res.StatusCode != http.StatusOK {
		return a, json.NewDecoder(res.Body).Decode(&a.Refusal)
	}
	return a, a.read(res.Body, start, p)
}

func (a *Answer) read(r io.Reader, start time.Time, p Prompt) error {
	lines := bufio.NewScanner(r)
	last := start
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Done = true
			return nil
		}
		text, err := a.addChunk([]byte(data))
		if err != nil || text == "" {
			continue
		}
		now := time.Now()
		if a.Tokens == 0 {
			a.First = now.Sub(start)
		} else {
			a.Gap = max(a.Gap, now.Sub(last))
		}
		last = now
		a.Tokens++
		a.Text += text
		if p.OnToken != nil {
			p.OnToken(a.Tokens)
		}
		if p.OnText != nil {
			p.OnText(text)
		}
	}
	return lines.Err()
}

func (a *Answer) addChunk(data []byte) (string, error) {
	var m struct {
		api.Completion
		Error *api.Refusal `json:"error"`
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return "", err
	}
	if m.Error != nil {
		a.Refusal = *m.Error
		return "", nil
	}
	if len(m.Choices) == 0 {
		return "", fmt.Errorf("chunk has no choices")
	}
	return m.Choices[0].Text, nil
}

// Do sends a request with the client's token. Header fields with an empty value are left
// out.
func (c Client) Do(ctx context.Context, method, url string, body []byte, h http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range h {
		if v[0] != "" {
			req.Header[k] = v
		}
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	return c.client().Do(req)
}
