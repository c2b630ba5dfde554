package receiver

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
)

// ErrMalformed is returned for a response that RFC 9112 doesn't allow. The server is in
// trouble, and the meaning of its bytes is not certain.
var ErrMalformed = errors.New("response is malformed")

// maxLineStart bounds the start of a line of a head that is checked, in bytes. A field name is
// shorter.
const maxLineStart = 1 << 10

// The parts of a head that a headChecker compares.
var (
	lineFeed, carriageReturn, colon = []byte("\n"), []byte("\r"), []byte(":")
	lengthField, encodingField      = []byte("Content-Length"), []byte("Transfer-Encoding")
)

// headChecker checks the head of one response as its bytes arrive. The decoder of the standard
// library is more lenient than RFC 9112, and keeps nothing by which that could be seen afterwards.
type headChecker struct {
	// line is the start of the line that is being read.
	line []byte
	// status is 0 until the status line is read, with the minor digit of the version.
	status int
	minor  byte
	// length is the value of a Content-Length, if hasLength is set. encoded is set by a
	// Transfer-Encoding.
	length             string
	hasLength, encoded bool
	// complete is set at the end of a proper head.
	complete bool
	// err is set once the head is malformed.
	err error
}

// read reads the part of p that belongs to the head, and returns the rest.
func (h *headChecker) read(p []byte) []byte {
	for !h.complete && h.err == nil {
		part, rest, ended := bytes.Cut(p, lineFeed)
		h.line = append(h.line, part[:min(len(part), maxLineStart-len(h.line))]...)
		if p = rest; !ended {
			break
		}
		h.endLine(bytes.TrimSuffix(h.line, carriageReturn))
		h.line = h.line[:0]
	}
	return p
}

func (h *headChecker) endLine(line []byte) {
	switch {
	case h.status == 0:
		h.minor, h.status, h.err = parseStatusLine(line)
	case len(line) == 0:
		h.err = h.checkFraming()
		h.complete = h.err == nil
	case line[0] != ' ' && line[0] != '\t': // not the continuation of a line
		h.readField(line)
	}
}

// interim reports whether the head is that of an interim response, which another one follows.
func (h *headChecker) interim() bool { return h.complete && h.status < http.StatusOK }

// readField reads the line of a field, which must begin with a proper name and a colon.
func (h *headChecker) readField(line []byte) {
	name, value, ok := bytes.Cut(line, colon)
	switch {
	case !ok || !isName(name):
		h.err = fmt.Errorf("%w: field name %q", ErrMalformed, name)
	case bytes.EqualFold(name, lengthField):
		h.length, h.hasLength = string(bytes.TrimSpace(value)), true
	case bytes.EqualFold(name, encodingField):
		h.encoded = true
	}
}

// checkFraming returns ErrMalformed if the head is not clear about where its body ends. The
// decoder rejects other lengths and encodings that are not proper.
func (h *headChecker) checkFraming() error {
	switch {
	case h.encoded && h.minor == '0':
		return fmt.Errorf("%w: transfer encoding in version 1.0", ErrMalformed)
	case h.encoded && h.hasLength:
		return fmt.Errorf("%w: transfer encoding and length %q", ErrMalformed, h.length)
	case (h.encoded || (h.hasLength && h.length != "0")) && hasNoBody(h.status):
		return fmt.Errorf("%w: status %d with a body", ErrMalformed, h.status)
	}
	return nil
}

// hasNoBody reports whether a response with a status ends with its head and may state no length.
func hasNoBody(status int) bool { return status < http.StatusOK || status == http.StatusNoContent }

// isName reports whether a text is a field name, without blanks and control bytes.
func isName(text []byte) bool {
	for _, c := range text {
		if !isLetterOrDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

func isLetterOrDigit(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// statusLine matches a proper status line with a status that has a meaning.
var statusLine = regexp.MustCompile(`^HTTP/1\.(\d) ([1-5]\d\d)( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// parseStatusLine returns the minor digit of the version and the status. It returns ErrMalformed
// if the line is not proper, or if the server switches to another protocol, which no request
// asks for.
func parseStatusLine(line []byte) (minor byte, status int, err error) {
	m := statusLine.FindSubmatch(line)
	if m == nil {
		return 0, 0, fmt.Errorf("%w: status line %q", ErrMalformed, line)
	}
	status, err = strconv.Atoi(string(m[2]))
	if err != nil || status == http.StatusSwitchingProtocols {
		return 0, 0, fmt.Errorf("%w: status %q", ErrMalformed, m[2])
	}
	return m[1][0], status, nil
}
