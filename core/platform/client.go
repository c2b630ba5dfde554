package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"oleandercove.example/core/unit"
)

const (
	// callTimeout bounds a call; the platform answers in milliseconds.
	callTimeout = 2 * time.Second
	// maxValueBytes is the platform's limit on a value.
	maxValueBytes = 1 << 20
	// maxAnswerBytes bounds a list or watch answer that a client accepts.
	maxAnswerBytes = 64 << 20

	headerIfVersion = "If-Version"
	headerWriteID   = "Write-Id"
)

// Client calls the platform's object API.
type Client interface {
	// Get reads one object.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List reads all objects of a kind.
	List(ctx context.Context, kind Kind) (List, error)
	// Put writes an object if its version is still expected; 0 creates it.
	Put(ctx context.Context, kind Kind, name string, expected unit.Version, value json.RawMessage) (Object, error)
	// Watch waits for changes after a revision.
	Watch(ctx context.Context, kind Kind, after unit.Revision, wait time.Duration) (List, error)
	// Hosts reads the list of live and leaving hosts, which lags.
	Hosts(ctx context.Context) ([]Host, error)
}

// Options configures a Client.
type Options struct {
	// Address is the host and port of the object API.
	Address string
	// HTTP is the client to use; nil means one with connection reuse.
	HTTP *http.Client
}

type client struct {
	base string
	http *http.Client
}

// NewClient returns a Client for the object API.
func NewClient(o Options) Client {
	h := o.HTTP
	if h == nil {
		h = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	}
	return &client{base: "http://" + o.Address, http: h}
}

func (c *client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, nil, &o)
	return o, err
}

func (c *client) List(ctx context.Context, kind Kind) (List, error) {
	var l List
	err := c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(string(kind)), nil, nil, &l)
	return l, err
}

func (c *client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, nil, &hosts)
	return hosts, err
}

func (c *client) Watch(ctx context.Context, kind Kind, after unit.Revision, wait time.Duration) (List, error) {
	var l List
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait=%d", url.PathEscape(string(kind)), after, wait.Milliseconds())
	err := c.do(ctx, http.MethodGet, path, nil, nil, &l)
	return l, err
}

func (c *client) Put(ctx context.Context, kind Kind, name string, expected unit.Version, value json.RawMessage) (Object, error) {
	var o Object
	if len(value) > maxValueBytes {
		return o, fmt.Errorf("value of %s/%s has %d bytes, limit is %d", kind, name, len(value), maxValueBytes)
	}
	id := uuid.NewString()
	h := http.Header{}
	h.Set(headerIfVersion, strconv.FormatUint(uint64(expected), 10))
	h.Set(headerWriteID, id)
	err := c.call(ctx, http.MethodPut, objectPath(kind, name), h, value, &o)
	if errors.Is(err, ErrUnknown) {
		return c.readBack(ctx, kind, name, expected, id)
	}
	return o, err
}

// readBack resolves a write whose answer was lost. If the object carries the
// write id, the write took effect. If its version is still the expected one,
// the write may yet arrive, so the outcome stays unknown.
func (c *client) readBack(ctx context.Context, kind Kind, name string, expected unit.Version, id string) (Object, error) {
	o, err := c.Get(ctx, kind, name)
	switch {
	case err == nil && o.WriteID == id:
		return o, nil
	case err == nil && o.Version > expected:
		return o, ErrConflict
	default:
		return Object{}, ErrUnknown
	}
}

func objectPath(kind Kind, name string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func (c *client) call(ctx context.Context, method, path string, h http.Header, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.do(ctx, method, path, h, body, out)
}

func (c *client) do(ctx context.Context, method, path string, h http.Header, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for k, v := range h {
		req.Header[k] = v
	}
	res, err := c.http.Do(req)
	if err != nil {
		return lost(method, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return lost(method, err)
	}
	return decode(method, res.StatusCode, data, out)
}

// lost maps a transport error: a read failed, a write's outcome is unknown.
func lost(method string, err error) error {
	if method == http.MethodGet {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}

func decode(method string, status int, data []byte, out any) error {
	switch {
	case status == http.StatusOK:
		if err := json.Unmarshal(data, out); err != nil {
			return lost(method, err)
		}
		return nil
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return lost(method, fmt.Errorf("status %d: %s", status, data))
	}
}
