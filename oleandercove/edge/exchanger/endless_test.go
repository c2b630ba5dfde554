package exchanger

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/receiver"
)

const (
	// endlessDeadline is the deadline of the requests. A response that never ends must
	// be given up long before it.
	endlessDeadline = 20 * time.Second
	// heapLimit is the growth of the heap that all endlessServers may cause together,
	// in bytes.
	heapLimit      = 8 << 20
	endlessServers = 64
)

// endlessServer starts a server that sends beginning once and then piece repeatedly
// until the client closes the connection.
func endlessServer(t *testing.T, beginning, piece string) backend.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	block := []byte(piece)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, err := c.Write([]byte(beginning))
				for err == nil {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return backend.Address(l.Addr().String())
}

// Guards against a server that sends bytes without end and so fills the memory of the
// host or holds its request until the deadline.
func TestEndlessResponse(t *testing.T) {
	const block = 8 << 10
	tests := []struct {
		name             string
		beginning, piece string
	}{
		{"a status line without end", "HTTP/1.1 200 ", strings.Repeat("x", block)},
		{"a header line without end", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", block)},
		{"header fields without end", "HTTP/1.1 200 OK\r\n", strings.Repeat("X: 1\r\n", block/6)},
		{"bytes that are no response", "", strings.Repeat("\x00", block)},
		{"interim responses without end", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", block/27)},
		{"a late answer whose body has no end", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", strings.Repeat("x", block)},
		{"a late answer whose chunks have no end", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", 2)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := endlessServer(t, tt.beginning, tt.piece)
			ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
			defer cancel()
			err := sendConnected(ctx, newExchanger(), a)
			var x *Error
			is.True(errors.As(err, &x))
			is.True(x.Sent)         // the request may have run
			is.NoErr(ctx.Err())     // it was given up before its deadline
			is.True(!x.Unreachable) // the server answers, with an invalid response
		})
	}
}

// Guards against a host that runs out of memory, which happens when many of its servers
// send heads without end at the same time.
func TestEndlessHeap(t *testing.T) {
	is := is.New(t)
	x := newExchanger()
	ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
	defer cancel()
	var before, after runtime.MemStats
	addresses := make([]backend.Address, endlessServers)
	for i := range addresses {
		addresses[i] = endlessServer(t, "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 32<<10))
	}
	runtime.GC()
	runtime.ReadMemStats(&before)
	errs := make(chan error, endlessServers)
	for _, a := range addresses {
		go func() {
			errs <- sendConnected(ctx, x, a)
		}()
	}
	peak := before.HeapInuse
	for range endlessServers {
		err := <-errs
		is.True(errors.Is(err, receiver.ErrHeadTooLarge))
		// What has not been collected yet depends on the load of the machine.
		runtime.GC()
		runtime.ReadMemStats(&after)
		peak = max(peak, after.HeapInuse)
	}
	is.True(peak-before.HeapInuse < heapLimit)                // growth of the heap
	is.True(after.TotalAlloc-before.TotalAlloc < 2*heapLimit) // memory that is allocated at all
}

// sendConnected sends a request, and retries while no connection can be made. On a busy
// machine, connecting can take longer than the exchanger waits while 64 servers send as
// fast as they can.
func sendConnected(ctx context.Context, x *Exchanger, a backend.Address) error {
	for {
		_, err := x.Send(ctx, a, get("1"))
		var failure *Error
		if !errors.As(err, &failure) || !failure.Unreachable || ctx.Err() != nil {
			return err
		}
	}
}
