// Package client calls the operator API of the daemons.
//
// The addresses are tried in order:
//   - a read is sent to the next address if no complete response arrived;
//   - an edit is sent to the next address only if the connection could not be opened,
//     because a request that was sent may have run.
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
	// callTimeout limits one call; a daemon spends up to 8 s on an edit.
	callTimeout = 15 * time.Second
	// dialTimeout limits the time to open a connection.
	dialTimeout = 2 * time.Second
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 64 << 20
)

// Error reports a call that was refused or got no complete response. Body.Verdict states
// whether the request may have run; a read without a response counts as not run.
type Error struct {
	// Status is the HTTP status; 0 means that no complete response arrived.
	Status int
	// RetryAfter is the Retry-After header in seconds, if the response has one.
	RetryAfter string
	Body       api.EditRefused
}

// Error returns the reason, verdict, detail and retry delay as one line.
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
	// Operator is the name that the history of an entry shows for edits.
	Operator string
}

// Client calls the operator API of the daemons at its addresses.
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

// Get sends a GET request to the daemons in turn until one answers, and decodes the
// response into out. It returns an *Error if the request was refused or none answered.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	err := newTransportError(errors.New("no address given"), verdict.NotRun)
	for _, a := range c.options.Addresses {
		if err = c.GetFrom(ctx, a, path, out); !hasNoResponse(err) {
			return err
		}
	}
	return err
}

// GetFrom sends a GET request to the daemon at address and decodes the response into out.
func (c *Client) GetFrom(ctx context.Context, address, path string, out any) error {
	_, err := c.call(ctx, http.MethodGet, address, path, nil, nil, out)
	return err
}

// Edit sends an edit to the first daemon that can be reached and decodes the response into
// out. Unless it is nil, expected is the version of the entry that the edit is based on.
// An *Error with the verdict MayHaveRun means that the edit may still take effect.
func (c *Client) Edit(ctx context.Context, method, path string, expected *unit.Version, body, out any) error {
	h := http.Header{}
	if expected != nil {
		h.Set(api.HeaderIfVersion, strconv.FormatUint(uint64(*expected), 10))
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	err = newTransportError(errors.New("no address given"), verdict.NotRun)
	for _, a := range c.options.Addresses {
		if _, err = c.call(ctx, method, a, path, h, data, out); !hasNoResponse(err) || mayHaveRun(err) {
			return err
		}
	}
	return err
}

// Host returns the id of the entry host at an address. It reads the id from the header of
// an empty list of entries.
func (c *Client) Host(ctx context.Context, address string) (unit.HostID, error) {
	var empty api.EntryList
	h, err := c.call(ctx, http.MethodGet, address, "/v1/entries?kind=None", nil, nil, &empty)
	return unit.HostID(h.Get(api.HeaderHost)), err
}

// call sends one request. It returns the header of the response, and an *Error if the
// request was refused or no complete response arrived.
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
		return nil, newTransportError(err, transportVerdict(method, err))
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil, newTransportError(err, transportVerdict(method, err))
	}
	return res.Header, decodeResponse(res, data, out)
}

// transportVerdict returns the verdict on a request without a response: MayHaveRun unless
// it only reads or the connection could not be opened.
func transportVerdict(method string, err error) verdict.Verdict {
	var op *net.OpError
	if method == http.MethodGet || (errors.As(err, &op) && op.Op == "dial") {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func newTransportError(err error, v verdict.Verdict) error {
	reason := verdict.NoBackend
	if v == verdict.MayHaveRun {
		reason = verdict.OutcomeUnknown
	}
	return &Error{Body: api.EditRefused{Refusal: api.Refusal{Verdict: v, Reason: reason, Detail: err.Error()}}}
}

func decodeResponse(res *http.Response, data []byte, out any) error {
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

// hasNoResponse reports whether err means that no complete response arrived.
func hasNoResponse(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Status == 0
}

// mayHaveRun reports whether err means that the request may have run.
func mayHaveRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Body.Verdict == verdict.MayHaveRun
}
