package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"oleandercove.example/core/receiver"
	"oleandercove.example/core/unit"
)

const (
	// callTimeout bounds a call with all its tries; the platform answers in
	// milliseconds.
	callTimeout = 2 * time.Second
	// tryTimeout bounds one try. A try that takes longer counts as a silent
	// connection, and the next try uses a new one.
	tryTimeout = 600 * time.Millisecond
	// maxTries bounds the tries of one call.
	maxTries = 3
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
	// ReadsPerSecond, WritesPerSecond and WatchesPerSecond are the call budget;
	// 0 means no limit. A waiting watch counts as one call.
	ReadsPerSecond   float64
	WritesPerSecond  float64
	WatchesPerSecond float64
}

type client struct {
	base    string
	http    *http.Client
	budget  budget
	breaker *breaker
	counts  counts
}

// NewClient returns a Client for the object API.
func NewClient(o Options) Client {
	h := o.HTTP
	if h == nil {
		d := net.Dialer{Timeout: tryTimeout}
		h = &http.Client{Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: receiver.MaxHead}}
	}
	return &client{base: "http://" + o.Address, http: h, budget: newBudget(o), breaker: newBreaker()}
}

func (c *client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var o Object
	err := c.read(ctx, CallGet, objectPath(kind, name), &o)
	return o, err
}

func (c *client) List(ctx context.Context, kind Kind) (List, error) {
	var l List
	err := c.read(ctx, CallList, "/v1/objects/"+url.PathEscape(string(kind)), &l)
	return l, err
}

func (c *client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host
	err := c.read(ctx, CallHosts, "/v1/hosts", &hosts)
	return hosts, err
}

func (c *client) Watch(ctx context.Context, kind Kind, after unit.Revision, wait time.Duration) (List, error) {
	var l List
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait=%d", url.PathEscape(string(kind)), after, wait.Milliseconds())
	err := c.try(ctx, attempt{call: CallWatch, method: http.MethodGet, path: path, limit: wait + callTimeout}, &l)
	return l, err
}

// read repeats a failed read with backoff.
func (c *client) read(ctx context.Context, call Call, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pause := newPause()
	for n := 1; ; n++ {
		err := c.try(ctx, attempt{call: call, method: http.MethodGet, path: path, limit: tryTimeout}, out)
		if !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOpen) || n == maxTries || !pause.wait(ctx) {
			return err
		}
	}
}

func (c *client) Put(ctx context.Context, kind Kind, name string, expected unit.Version, value json.RawMessage) (Object, error) {
	if len(value) > maxValueBytes {
		return Object{}, fmt.Errorf("value of %s/%s has %d bytes, limit is %d", kind, name, len(value), maxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	w := &write{client: c, kind: kind, name: name, expected: expected, value: value}
	return w.run(ctx)
}

// write is one conditional write with all its tries.
type write struct {
	*client
	kind     Kind
	name     string
	expected unit.Version
	value    json.RawMessage
	// ids are the write ids of the tries whose outcome is unknown.
	ids []string
}

// run repeats the write until its outcome is known. At most one try can take
// effect, because each one is conditional on the same version.
func (w *write) run(ctx context.Context) (Object, error) {
	pause := newPause()
	for n := 1; ; n++ {
		id := uuid.NewString()
		o, err := w.put(ctx, id)
		switch {
		case err == nil:
			return o, nil
		case errors.Is(err, ErrConflict) && len(w.ids) > 0:
			return w.readBack(ctx)
		case errors.Is(err, ErrUnknown):
			w.ids = append(w.ids, id)
		case !errors.Is(err, ErrUnavailable):
			return o, w.final(err)
		}
		if errors.Is(err, ErrOpen) || n == maxTries || !pause.wait(ctx) {
			return w.givenUp(ctx, err)
		}
	}
}

// givenUp ends a write after its last try.
func (w *write) givenUp(ctx context.Context, err error) (Object, error) {
	if len(w.ids) > 0 && ctx.Err() == nil {
		return w.readBack(ctx)
	}
	return Object{}, w.final(err)
}

// final returns the error of the whole write: once the outcome of one try is
// unknown, a later refusal says nothing about it.
func (w *write) final(err error) error {
	if len(w.ids) > 0 && !errors.Is(err, ErrUnknown) {
		return fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	return err
}

func (w *write) put(ctx context.Context, id string) (Object, error) {
	var o Object
	h := http.Header{}
	h.Set(headerIfVersion, strconv.FormatUint(uint64(w.expected), 10))
	h.Set(headerWriteID, id)
	err := w.try(ctx, attempt{
		call: CallPut, method: http.MethodPut, path: objectPath(w.kind, w.name),
		header: h, body: w.value, limit: tryTimeout,
	}, &o)
	return o, err
}

// readBack resolves unknown tries. Exactly one write creates the version after
// the expected one, so its id decides. If the object has moved on since, the
// id of that write is gone, and if it has the expected version, a try may yet
// arrive: in both cases the outcome stays unknown.
func (w *write) readBack(ctx context.Context) (Object, error) {
	o, err := w.Get(ctx, w.kind, w.name)
	switch {
	case err == nil && slices.Contains(w.ids, o.WriteID):
		return o, nil
	case err == nil && o.Version == w.expected+1:
		return Object{}, ErrConflict
	case err == nil:
		return Object{}, fmt.Errorf("%w: %s/%s has version %d, expected %d", ErrUnknown, w.kind, w.name, o.Version, w.expected)
	default:
		return Object{}, fmt.Errorf("%w: read back: %v", ErrUnknown, err)
	}
}

func objectPath(kind Kind, name string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}
