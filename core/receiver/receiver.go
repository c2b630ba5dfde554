// Package receiver reads HTTP responses from one connection, within bounds on
// what is not body.
//
// A server in trouble may send bytes without end that are no response. The
// decoder of the standard library keeps a head whole in memory, however long it
// grows, so that one such server could take all the memory of a host. A Receiver
// therefore bounds the bytes of a head, and all that precedes the response: interim
// responses and late responses to earlier requests. Chunk sizes, chunk extensions
// and trailers are bounded by the library. The body that follows is the reader's
// own to bound.
//
// Usage:
//
//	r := receiver.New(conn, 4<<10)
//	resp, err := r.Next(http.MethodGet)
//	if errors.Is(err, receiver.ErrHeadTooLarge) {
//		conn.Close()
//	}
package receiver

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

// MaxHead bounds the head of one response, in bytes. Servers of the web accept 8 to
// 64 KiB of request headers, and responses have less. Clients of the standard
// library take it as MaxResponseHeaderBytes; without it they take ten megabytes.
const MaxHead = 32 << 10

const (
	// maxInterim bounds the interim responses before a response.
	maxInterim = 8
	// maxDiscard bounds the body of a response that is discarded, in bytes. A longer
	// one costs more than a new connection.
	maxDiscard = 256 << 10
)

var (
	// ErrHeadTooLarge is returned for a head that is longer than its bound.
	ErrHeadTooLarge = errors.New("head of the response is too large")
	// ErrInterim is returned for too many interim responses.
	ErrInterim = errors.New("too many interim responses")
	// ErrDiscard is returned for a body that is too long to be discarded.
	ErrDiscard = errors.New("body of an unwanted response is too large")
)

// Receiver reads the responses that arrive on one connection. It is not safe for
// concurrent use.
type Receiver struct {
	br  *bufio.Reader
	src *source
}

// New returns a Receiver that reads from r with a buffer of size bytes.
func New(r io.Reader, size int) *Receiver {
	src := &source{Reader: r}
	return &Receiver{br: bufio.NewReaderSize(src, size), src: src}
}

// Wait returns once bytes have arrived.
func (r *Receiver) Wait() error {
	_, err := r.br.Peek(1)
	return err
}

// Pending tells whether bytes have arrived that no response has taken.
func (r *Receiver) Pending() bool { return r.br.Buffered() > 0 }

// Next reads the head of the next response that is not an interim one. The
// connection is of no further use after an error.
func (r *Receiver) Next(method string) (*http.Response, error) {
	for range maxInterim {
		r.src.bound(MaxHead)
		resp, err := http.ReadResponse(r.br, &http.Request{Method: method})
		if r.src.exceeded {
			return nil, ErrHeadTooLarge
		}
		r.src.release()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, ErrInterim
}

// Discard reads a body that nobody wants, so that the response after it can be
// read.
func Discard(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscard+1))
	if err == nil && n > maxDiscard {
		err = ErrDiscard
	}
	return err
}

// source is a reader with a bound on the bytes that may be read for now.
type source struct {
	io.Reader
	bounded, exceeded bool
	left              int
}

func (s *source) bound(n int) { s.bounded, s.left = true, n }

func (s *source) release() { s.bounded = false }

// Read reads what the bound allows.
func (s *source) Read(p []byte) (int, error) {
	if !s.bounded {
		return s.Reader.Read(p)
	}
	if s.left <= 0 {
		s.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := s.Reader.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}
