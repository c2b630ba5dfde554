// Package receiver reads HTTP responses from one connection and bounds everything but
// the body.
//
// A faulty server may send endless bytes that form no response. The decoder of the
// standard library buffers a complete head in memory, whatever its length, so that one
// such server could exhaust the memory of a host. This package therefore bounds
//   - the bytes of a head,
//   - the number of interim responses before a response,
//   - the body of a late response to an earlier request that Discard skips, and
//   - a body that ReadBody reads as a whole.
//
// A faulty server may also break off in the head of one response and continue with another
// one. The joined head decodes without an error, with the status of the first response and
// headers of both, and is rejected.
//
// The decoder accepts more than RFC 9112 allows. A response is also rejected if
//   - its version is not 1.x, its status not from 100 to 599, or 101, which no request asks for,
//   - a field name in its head or trailer holds a blank, or
//   - its head is not clear about where the body ends: with a length beside an encoding, an
//     encoding in version 1.0, or either of them with a status that has no body.
//
// A response without a length ends with its connection; a Conn tells that end from a reset.
//
// The standard library bounds chunk sizes, chunk extensions and trailers. The caller
// bounds a body that it passes on as it arrives.
//
// Clients of the standard library get the same bounds and checks by NewTransport.
//
// Usage:
//
//	r := receiver.New(conn, 4<<10)
//	resp, err := r.Next(http.MethodGet)
//	if errors.Is(err, receiver.ErrHeadTooLarge) {
//		conn.Close()
//	}
//
//	client := &http.Client{Transport: receiver.NewTransport(&http.Transport{})}
package receiver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
)

// MaxHeadBytes bounds the head of one response, in bytes. Web servers accept 8 to 64 KiB
// of request headers, and responses have less. HTTP clients of the standard library use
// it too, see NewTransport; their default is ten megabytes.
const MaxHeadBytes = 32 << 10

const (
	// maxInterimResponses bounds the number of responses that Next reads; it fails if
	// all of them are interim ones.
	maxInterimResponses = 8
	// maxDiscardBytes bounds a body that is discarded. Reading a longer one costs more
	// than a new connection.
	maxDiscardBytes = 256 << 10
)

var (
	// ErrHeadTooLarge is returned by Next if a head is longer than MaxHeadBytes.
	ErrHeadTooLarge = errors.New("head of the response is too large")
	// ErrTooManyInterim is returned by Next if there are too many interim responses.
	ErrTooManyInterim = errors.New("too many interim responses")
	// ErrBodyTooLarge is returned by Discard and ReadBody if the body is too long.
	ErrBodyTooLarge = errors.New("body of the response is too large")
	// ErrJoinedHead is returned by Next if a head contains the status line of another one.
	ErrJoinedHead = errors.New("head contains the status line of another response")
)

// Receiver reads the responses that arrive on one connection. It is not safe for
// concurrent use.
type Receiver struct {
	br  *bufio.Reader
	src *limitedReader
}

// New returns a Receiver that reads from r through a buffer of size bytes.
func New(r io.Reader, size int) *Receiver {
	src := &limitedReader{Reader: r}
	return &Receiver{br: bufio.NewReaderSize(src, size), src: src}
}

// Wait blocks until bytes have arrived. It returns the error of a failed read.
func (r *Receiver) Wait() error {
	_, err := r.br.Peek(1)
	return err
}

// Pending reports whether bytes are buffered that belong to no response read so far.
func (r *Receiver) Pending() bool { return r.br.Buffered() > 0 }

// Next blocks until the head of the next response that is not an interim one has
// arrived, and returns that response. It returns ErrHeadTooLarge, ErrTooManyInterim,
// ErrJoinedHead, ErrMalformed or the error of a failed read or of the decoder; the connection
// is unusable then.
func (r *Receiver) Next(method string) (*http.Response, error) {
	for range maxInterimResponses {
		resp, err := r.nextHead(method)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, ErrTooManyInterim
}

// nextHead returns the next response, which may be an interim one.
func (r *Receiver) nextHead(method string) (*http.Response, error) {
	buffered, err := r.br.Peek(r.br.Buffered())
	if err != nil {
		return nil, err
	}
	r.src.beginHead(buffered)
	resp, err := http.ReadResponse(r.br, &http.Request{Method: method})
	if r.src.exceeded {
		return nil, ErrHeadTooLarge
	}
	head := r.src.endHead()
	switch {
	case err != nil:
		return nil, err
	case head.err != nil:
		return nil, head.err
	case !head.complete:
		return nil, fmt.Errorf("%w: head without an end", ErrMalformed)
	case isJoined(resp):
		return nil, ErrJoinedHead
	}
	resp.Body = bodyOf(resp)
	return resp, nil
}

// statusPrefix matches the beginning of a status line.
var statusPrefix = regexp.MustCompile(`HTTP/1\.[01] \d{3}`)

// isJoined reports whether the head of a response continues with another status line.
func isJoined(resp *http.Response) bool {
	if statusPrefix.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusPrefix.MatchString) {
			return true
		}
	}
	return false
}

// Discard reads the rest of an unwanted body, so that the next response can be read. It
// returns ErrBodyTooLarge if the body is longer than maxDiscardBytes, or the error of a
// failed read.
func Discard(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes+1))
	if err == nil && n > maxDiscardBytes {
		err = ErrBodyTooLarge
	}
	return err
}

// ReadBody reads a whole body of at most limit bytes. It returns ErrBodyTooLarge if the body is
// longer, or the error of a failed read.
func ReadBody(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, ErrBodyTooLarge
	}
	return data, err
}

// limitedReader is a reader that bounds and checks heads.
type limitedReader struct {
	io.Reader
	// inHead is set while a head is read, with its remaining bytes.
	inHead, exceeded bool
	remaining        int
	head             headChecker
}

// beginHead bounds and checks the bytes that follow. The buffered ones come before them.
func (s *limitedReader) beginHead(buffered []byte) {
	s.inHead, s.remaining = true, MaxHeadBytes
	s.head = headChecker{line: s.head.line[:0]}
	s.head.read(buffered)
}

// endHead ends the bound, and returns the head with what was found.
func (s *limitedReader) endHead() *headChecker {
	s.inHead = false
	return &s.head
}

// Read reads as much of a head as the bound allows. It returns ErrHeadTooLarge once the bound is
// used up.
func (s *limitedReader) Read(p []byte) (int, error) {
	if !s.inHead {
		return s.Reader.Read(p)
	}
	if s.remaining <= 0 {
		s.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := s.Reader.Read(p[:min(len(p), s.remaining)])
	s.remaining -= n
	s.head.read(p[:n])
	return n, err
}
