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

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"oleandercove.example/core/receiver"
	"oleandercove.example/core/unit"
)

const (
	// callTimeout bounds a call with all its attempts; the platform answers in
	// milliseconds.
	callTimeout = 2 * time.Second
	// attemptTimeout bounds one attempt. If an attempt takes longer, its connection is
	// considered dead and the next attempt uses a new one.
	attemptTimeout = 600 * time.Millisecond
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 3
	// maxValueBytes is the platform's limit on a value.
	maxValueBytes = 1 << 20
	// maxResponseBytes bounds a response body, which is large for a list or watch.
	maxResponseBytes = 64 << 20

	headerIfVersion = "If-Version"
	headerWriteID   = "Write-Id"
)

// Client calls the platform's object API.
type Client interface {
	// Get reads one object. It returns ErrNotFound if the object does not exist.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List reads all objects of a kind. An object that can't be read has no value, and no
	// name if that can't be read either.
	List(ctx context.Context, kind Kind) (List, error)
	// Put writes an object if it has the expected version; 0 creates the object. It
	// returns ErrConflict if the write was refused and ErrOutcomeUnknown if it may have
	// taken effect.
	Put(ctx context.Context, kind Kind, name string, expected unit.Version, value json.RawMessage) (Object, error)
	// Watch blocks until there are changes after the revision, wait has passed or ctx is
	// done.
	Watch(ctx context.Context, kind Kind, after unit.Revision, wait time.Duration) (List, error)
	// Hosts reads the list of live and leaving hosts, which lags. Rows that describe no
	// host are left out.
	Hosts(ctx context.Context) ([]Host, error)
}

// Options configures a Client.
type Options struct {
	// Address is the host and port of the object API.
	Address string
	// HTTP is the HTTP client to use; nil means one that reuses connections.
	HTTP *http.Client
	// ReadsPerSecond, WritesPerSecond and WatchesPerSecond are the call budget; 0 means
	// no limit. A blocking watch counts as one call.
	ReadsPerSecond   float64
	WritesPerSecond  float64
	WatchesPerSecond float64
	// Log gets a line for each odd row of the host list; nil means none.
	Log *log.Logger
}

type client struct {
	base    string
	http    *http.Client
	budget  budget
	breaker *breaker
	counts  counts
	// oddHosts remembers the odd rows of the last host list.
	oddHosts oddHosts
}

// NewClient returns a Client for the object API. It retries all calls but Watch, within
// callTimeout and maxAttempts, and each attempt counts against the call budget.
func NewClient(o Options) Client {
	h := o.HTTP
	if h == nil {
		d := net.Dialer{Timeout: attemptTimeout}
		h = &http.Client{Transport: receiver.NewTransport(&http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 8})}
	}
	return &client{base: "http://" + o.Address, http: h, budget: newBudget(o), breaker: newBreaker(), oddHosts: oddHosts{log: o.Log}}
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
	var rows hostRows
	if err := c.read(ctx, CallHosts, "/v1/hosts", &rows); err != nil {
		return nil, err
	}
	return c.oddHosts.sound(rows), nil
}

func (c *client) Watch(ctx context.Context, kind Kind, after unit.Revision, wait time.Duration) (List, error) {
	var l List
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait=%d", url.PathEscape(string(kind)), after.Number, wait.Milliseconds())
	err := c.do(ctx, attempt{call: CallWatch, method: http.MethodGet, path: path, timeout: wait + callTimeout}, &l)
	return l, err
}

// read retries an unavailable read with backoff, unless the circuit breaker is open.
func (c *client) read(ctx context.Context, call Call, path string, out decoder) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	delay := newRetryDelay()
	for n := 1; ; n++ {
		err := c.do(ctx, attempt{call: call, method: http.MethodGet, path: path, timeout: attemptTimeout}, out)
		if !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrBreakerOpen) || n == maxAttempts || !delay.wait(ctx) {
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

// write is one conditional write with all its attempts.
type write struct {
	*client
	kind     Kind
	name     string
	expected unit.Version
	value    json.RawMessage
	// unknownIDs are the write ids of the attempts whose outcome is unknown.
	unknownIDs []string
}

// run retries the write until its outcome is known. At most one attempt can take
// effect, because all are conditional on the same version.
func (w *write) run(ctx context.Context) (Object, error) {
	delay := newRetryDelay()
	for n := 1; ; n++ {
		id := uuid.NewString()
		o, err := w.put(ctx, id)
		switch {
		case err == nil:
			return o, nil
		case errors.Is(err, ErrConflict) && len(w.unknownIDs) > 0:
			return w.readBack(ctx)
		case errors.Is(err, ErrOutcomeUnknown):
			w.unknownIDs = append(w.unknownIDs, id)
		case !errors.Is(err, ErrUnavailable):
			return o, w.finalError(err)
		}
		if errors.Is(err, ErrBreakerOpen) || n == maxAttempts || !delay.wait(ctx) {
			return w.giveUp(ctx, err)
		}
	}
}

// giveUp ends a write after its last attempt. It reads the object back if the outcome
// of an attempt is unknown.
func (w *write) giveUp(ctx context.Context, err error) (Object, error) {
	if len(w.unknownIDs) > 0 && ctx.Err() == nil {
		return w.readBack(ctx)
	}
	return Object{}, w.finalError(err)
}

// finalError returns the error of the whole write: once the outcome of one attempt is
// unknown, the refusal of a later one does not settle it.
func (w *write) finalError(err error) error {
	if len(w.unknownIDs) > 0 && !errors.Is(err, ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	return err
}

func (w *write) put(ctx context.Context, id string) (Object, error) {
	var o Object
	h := http.Header{}
	h.Set(headerIfVersion, strconv.FormatUint(uint64(w.expected), 10))
	h.Set(headerWriteID, id)
	err := w.do(ctx, attempt{
		call: CallPut, method: http.MethodPut, path: objectPath(w.kind, w.name),
		header: h, body: w.value, timeout: attemptTimeout,
	}, &o)
	return o, err
}

// readBack resolves attempts with an unknown outcome. Exactly one write creates the
// version after the expected one, so the write id of that version decides. The outcome
// stays unknown in two cases: the object has a later version, so that this write id is
// lost, or it still has the expected version, so that an attempt may yet arrive.
func (w *write) readBack(ctx context.Context) (Object, error) {
	o, err := w.Get(ctx, w.kind, w.name)
	switch {
	case err == nil && slices.Contains(w.unknownIDs, o.WriteID):
		return o, nil
	case err == nil && o.Version == w.expected+1:
		return Object{}, ErrConflict
	case err == nil:
		return Object{}, fmt.Errorf("%w: %s/%s has version %d, expected %d", ErrOutcomeUnknown, w.kind, w.name, o.Version, w.expected)
	default:
		return Object{}, fmt.Errorf("%w: read back: %v", ErrOutcomeUnknown, err)
	}
}

func objectPath(kind Kind, name string) string {
	return "/v1/objects/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}
