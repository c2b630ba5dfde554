package server

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"oleandercove.example/core/verdict"
)

const (
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 32 << 10
	// idleTimeout closes connections that carry no request.
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds each write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// defaultBodyTimeout applies when Options sets none.
	defaultBodyTimeout = 10 * time.Second
)

// NewHTTPServer returns an HTTP server with limits against slow and oversized
// requests.
func NewHTTPServer(h http.Handler, headerTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
	}
}

// limitBodyTime bounds the time for reading the body, by a handler or by the HTTP
// server, which discards it after a refusal.
func (s *Server) limitBodyTime(next http.Handler) http.Handler {
	timeout := s.options.BodyTimeout
	if timeout <= 0 {
		timeout = defaultBodyTimeout
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		// net/http keeps the deadline of the previous request on the connection.
		_ = c.SetWriteDeadline(time.Time{})
		if r.ContentLength != 0 {
			_ = c.SetReadDeadline(time.Now().Add(timeout))
		}
		next.ServeHTTP(w, r)
	})
}

// setWriteDeadline bounds writes from now on by writeTimeout.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// readBody reads a body of at most maxBodyBytes within the read deadline of the
// connection. The error is a *verdict.Error with NotRun.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength > maxBodyBytes {
		w.Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, verdict.TooLarge, "body is limited to %d bytes", maxBodyBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
		// From now on the server reads from the connection to detect that the caller
		// disconnects; the deadline of the body must not cut off a long response.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, verdict.New(verdict.NotRun, verdict.TooLarge, "body is limited to %d bytes", maxBodyBytes)
	case errors.As(err, &timeout) && timeout.Timeout():
		w.Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, verdict.SlowBody, "body did not arrive in time")
	default:
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "read body: %v", err)
	}
}
