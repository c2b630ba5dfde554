package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/engine"
	objects "oleandercove.example/core/platform"
	"oleandercove.example/core/timer"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/commander"
	"oleandercove.example/oleandercove/dispatcher"
	"oleandercove.example/oleandercove/edge/exchanger"
	"oleandercove.example/oleandercove/edge/fetcher"
	"oleandercove.example/oleandercove/leaser"
	"oleandercove.example/oleandercove/quarantiner"
	"oleandercove.example/oleandercove/watcher"
	"oleandercove.example/platform"
)

var errUnhealthy = errors.New("engine is unhealthy")

func newEngines() *platform.Engines {
	return platform.NewEngines(func(backend.Address, backend.Incarnation) {})
}

// readers are the parts of both daemons that read answers. Each returns an error if it got no
// proper answer.
var readers = []struct {
	name string
	read func(ctx context.Context, address string) error
}{
	{"requests to servers, route", func(ctx context.Context, a string) error {
		identify := func(int, http.Header) unit.RequestID { return "" }
		_, err := exchanger.New(exchanger.Options{Identify: identify}).Send(ctx, backend.Address(a), &exchanger.Request{Method: http.MethodGet, Target: "/"})
		return err
	}},
	{"streams of engines, run", func(ctx context.Context, a string) error {
		_, err := dispatcher.New(dispatcher.Options{}).Open(ctx, engine.StreamRequest{Chain: []engine.Stage{{Address: a}}})
		return err
	}},
	{"status of engines, run", func(ctx context.Context, a string) error {
		b := commander.NewReader(timer.NewReal()).Read(ctx, []watcher.Backend{{Address: a, Role: objects.RoleEngine}})
		if !b[0].Healthy {
			return errUnhealthy
		}
		return nil
	}},
	{"crash check of engines, run", func(ctx context.Context, a string) error {
		if !quarantiner.NewProber().Crashed(ctx, engine.Stage{Address: a}, "earlier") {
			return errUnhealthy
		}
		return nil
	}},
	{"orders to engines, run", func(ctx context.Context, a string) error {
		return commander.NewSender(time.Second).Send(ctx, a, engine.Order{}, func() (leaser.Grant, error) { return leaser.Grant{}, nil })
	}},
	{"orders to engines, route", func(ctx context.Context, a string) error {
		_, err := newEngines().Place(ctx, backend.Address(a), backend.Placement{})
		return err
	}},
	{"reports of engines, route", func(ctx context.Context, a string) error {
		_, err := newEngines().Report(ctx, backend.Address(a))
		return err
	}},
	{"links to engines, route", func(ctx context.Context, a string) error {
		l, err := newEngines().OpenLink(ctx, backend.Address(a), func() {})
		if err != nil {
			return err
		}
		defer l.Close()
		_, err = l.Report(ctx)
		return err
	}},
	{"peers, route", func(ctx context.Context, a string) error {
		o := fetcher.Options{Dial: time.Second, FirstByte: time.Second, Stall: time.Second, Total: time.Second, MaxBytes: 1 << 10}
		_, err := fetcher.New(o).Get(ctx, "http://"+a)
		return err
	}},
	{"store, run", func(ctx context.Context, a string) error {
		_, err := objects.NewClient(objects.Options{Address: a}).Put(ctx, "k", "n", 1, json.RawMessage("{}"))
		return err
	}},
	{"store, route", func(ctx context.Context, a string) error {
		_, err := platform.NewStore(platform.StoreOptions{Address: a}).Put(ctx, "k", "n", 1, json.RawMessage("{}"))
		return err
	}},
}

// Guards against a part of a daemon that takes an answer which is no proper one, as servers in
// trouble send, and so passes it on or believes it: a write that is taken as done, for example.
func TestReadersOfAnswers(t *testing.T) {
	const end = "Content-Length: 2\r\n\r\n{}"
	answers := []struct {
		name, text string
		proper     bool
	}{
		{"proper", "HTTP/1.1 200 OK\r\n" + end, true},
		{"status 000", "HTTP/1.1 000 None\r\n" + end, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nSome Name: 1\r\n" + end, false},
		{"length and chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\n{}\r\n0\r\n\r\n", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nSome\x01Name: 1\r\n" + end, false},
	}
	for _, reader := range readers {
		for _, answer := range answers {
			t.Run(reader.name+", "+answer.name, func(t *testing.T) {
				is := is.New(t)
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					c, _, err := http.NewResponseController(w).Hijack()
					is.NoErr(err)
					_, _ = io.WriteString(c, answer.text)
					_ = c.Close()
				}))
				defer s.Close()
				err := reader.read(t.Context(), s.Listener.Addr().String())
				t.Log(err)
				is.Equal(err == nil, answer.proper)
			})
		}
	}
}
