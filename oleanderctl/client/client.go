// Package client calls the operators' interface of the daemons.
//
// A call goes to the first address that takes it. An edit moves on to the next
// address only while no connection could be opened, because a request that was
// sent may have run.
//
// Usage:
//
//	c := client.New(client.Options{Addresses: []string{"10.0.0.1:7003"}, Token: "..."})
//	var l api.EntryList
//	err := c.Get(ctx, "/v1/entries", &l)
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"oleandercove.example/core/api"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
)

const (
	// callTimeout bounds a call; a daemon spends up to 8 s on an edit.
	callTimeout = 15 * time.Second
	// dialTimeout bounds the wait for an address that does not answer.
	dialTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// Error is a call that was refused or whose outcome is unknown.
type Error struct {
	// Status is the HTTP status; 0 means that no answer arrived.
	Status     int
	RetryAfter string
	Body       api.EditRefused
}

// Error returns the verdict, reason and detail as one line.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.Body.Reason, e.Body.Verdict, e.Body.Detail)
	if e.RetryAfter != "" {
		s += fmt.Sprintf(" (retry after %s s)", e.RetryAfter)
	}
	return s
}

// Options configures a Client.
type Options struct {
	Addresses []string
	Token     string
	// Operator is the name for the history.
	Operator string
}

// Client calls daemons.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a Client.
func New(o Options) *Client {
	t := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &Client{options: o, http: &http.Client{Timeout: callTimeout, Transport: t}}
}

// Addresses returns the addresses of the daemons.
func (c *Client) Addresses() []string { return c.options.Addresses }

// Get reads from the first daemon that answers.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	err := failed(errors.New("no address given"), verdict.NotRun)
	for _, a := range c.options.Addresses {
		if err = c.GetFrom(ctx, a, path, out); !unanswered(err) {
			return err
		}
	}
	return err
}

// GetFrom reads from one daemon.
func (c *Client) GetFrom(ctx context.Context, address, path string, out any) error {
	_, err := c.call(ctx, http.MethodGet, address, path, nil, nil, out)
	return err
}

// Edit sends an edit with a version, unless it is nil, to the first daemon
// that can be reached.
func (c *Client) Edit(ctx context.Context, method, path string, expected *unit.Version, body, out any) error {
	h := http.Header{}
	if expected != nil {
		h.Set(api.HeaderIfVersion, strconv.FormatUint(uint64(*expected), 10))
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	err = failed(errors.New("no address given"), verdict.NotRun)
	for _, a := range c.options.Addresses {
		if _, err = c.call(ctx, method, a, path, h, data, out); !unanswered(err) || mayHaveRun(err) {
			return err
		}
	}
	return err
}

// Host returns the id of the entry host at an address.
func (c *Client) Host(ctx context.Context, address string) (unit.HostID, error) {
	var none api.EntryList
	h, err := c.call(ctx, http.MethodGet, address, "/v1/entries?kind=None", nil, nil, &none)
	return unit.HostID(h.Get(api.HeaderHost)), err
}

func (c *Client) call(ctx context.Context, method, address, path string, h http.Header, body []byte, out any) (http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range h {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+c.options.Token)
	if c.options.Operator != "" {
		req.Header.Set(api.HeaderOperator, c.options.Operator)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, failed(err, transportVerdict(method, err))
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil, failed(err, transportVerdict(method, err))
	}
	return res.Header, decode(res, data, out)
}

// transportVerdict says whether a request without an answer may have run.
func transportVerdict(method string, err error) verdict.Verdict {
	var op *net.OpError
	if method == http.MethodGet || (errors.As(err, &op) && op.Op == "dial") {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func failed(err error, v verdict.Verdict) error {
	reason := verdict.NoBackend
	if v == verdict.MayHaveRun {
		reason = verdict.OutcomeUnknown
	}
	return &Error{Body: api.EditRefused{Refusal: api.Refusal{Verdict: v, Reason: reason, Detail: err.Error()}}}
}

func decode(res *http.Response, data []byte, out any) error {
	if res.StatusCode == http.StatusOK {
		return json.Unmarshal(data, out)
	}
	e := &Error{Status: res.StatusCode, RetryAfter: res.Header.Get("Retry-After")}
	if err := json.Unmarshal(data, &e.Body); err != nil || e.Body.Verdict == "" {
		e.Body.Refusal = api.Refusal{
			Verdict: verdict.MayHaveRun, Reason: verdict.Internal, Detail: fmt.Sprintf("status %d: %s", res.StatusCode, data),
		}
	}
	return e
}

// unanswered tells whether no answer arrived.
func unanswered(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Status == 0
}

func mayHaveRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Body.Verdict == verdict.MayHaveRun
}
