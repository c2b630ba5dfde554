package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"oleandercove.example/core/routing"
	"oleandercove.example/core/verdict"
)

const (
	// defaultBodyLimit bounds bodies while the configuration sets no limit, in bytes.
	defaultBodyLimit = 4 << 20
	// firstBodyBuffer is the size of the buffer for a body of unknown length, in bytes. It is
	// doubled when it is full.
	firstBodyBuffer = 4 << 10
)

// errNoMemory is returned if the bodies of other requests take the memory for this one.
var errNoMemory = errors.New("no memory for the body")

// readBody reads the whole body, so that the request can be sent again and a slow
// caller occupies no backend server. A body for which there is no memory is refused before it
// is read.
func (j *job) readBody(l routing.Limits) *verdict.Error {
	limit := l.BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if j.r.ContentLength > limit {
		return verdict.New(verdict.NotRun, verdict.TooLarge, "body has %d bytes, limit is %d", j.r.ContentLength, limit)
	}
	if j.r.Body == nil || j.r.Body == http.NoBody {
		return nil
	}
	rc := http.NewResponseController(j.w)
	if err := rc.SetReadDeadline(j.deadline); err != nil {
		return verdict.New(verdict.NotRun, verdict.Internal, "deadline of the body: %v", err)
	}
	data, err := j.readBuffer(limit)
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		j.Log.Debug("read deadline of the body not cleared", "id", j.call.Request, "err", err)
	}
	var timeout net.Error
	switch {
	case errors.Is(err, errNoMemory):
		return verdict.New(verdict.NotRun, verdict.Overloaded, "bodies of other requests take %d bytes", j.Bodies.Used()).WithRetryAfter(memoryRetryAfter)
	case errors.As(err, &timeout) && timeout.Timeout():
		return verdict.New(verdict.NotRun, verdict.SlowBody, "body did not arrive in time")
	case err != nil:
		return verdict.New(verdict.NotRun, verdict.BadRequest, "body can't be read: %v", err)
	case int64(len(data)) > limit:
		return verdict.New(verdict.NotRun, verdict.TooLarge, "body is larger than %d bytes", limit)
	}
	j.body = data
	return nil
}

// readBuffer reads the body, or the first bytes of one that is longer than limit.
func (j *job) readBuffer(limit int64) ([]byte, error) {
	size := j.r.ContentLength
	if size < 0 {
		size = firstBodyBuffer
	}
	if !j.reserveBody(size) {
		return nil, errNoMemory
	}
	buf := make([]byte, 0, size)
	for int64(len(buf)) <= limit {
		if len(buf) == cap(buf) && j.r.ContentLength < 0 {
			if size *= 2; !j.reserveBody(size) {
				return nil, errNoMemory
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		if len(buf) == cap(buf) {
			return buf, nil
		}
		n, err := j.r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// reserveBody extends the memory that is reserved for the body and reports whether there is
// enough.
func (j *job) reserveBody(size int64) bool {
	if j.Bodies == nil {
		return true
	}
	if !j.Bodies.Reserve(j.reserved, size) {
		return false
	}
	j.reserved = size
	return true
}

// releaseBody returns the memory of the body.
func (j *job) releaseBody() {
	if j.Bodies != nil {
		j.Bodies.Release(j.reserved)
	}
}
