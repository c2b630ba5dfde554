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
	// idleTimeout ends connections that carry no request.
	idleTimeout = 2 * time.Minute
	// writeTimeout bounds each write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// defaultBodyTimeout applies when Options names none.
	defaultBodyTimeout = 10 * time.Second
)

// HTTP returns an HTTP server with limits against slow and oversized requests.
func HTTP(h http.Handler, headerTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
	}
}

// limitBody bounds the time for the body, whether a handler reads it or the
// HTTP server discards it after a refusal.
func (s *Server) limitBody(next http.Handler) http.Handler {
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

// limitWrite bounds the next write.
func limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// readBody reads a body that is bounded in size and time.
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
		// The server watches the connection for the end of the caller from now on;
		// the deadline of the body must not end a long answer.
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
