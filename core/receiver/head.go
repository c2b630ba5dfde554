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
const maxLineStart = 256

// headChecker checks the head of one response as its bytes arrive. The decoder of the standard
// library is more lenient than RFC 9112, and keeps nothing by which that could be seen afterwards.
type headChecker struct {
	// line is the start of the line that is being read.
	line []byte
	// status is 0 until the status line is read.
	status int
	// complete is set at the end of the head.
	complete bool
	// err is set once the head is malformed.
	err error
}

// read reads the part of p that belongs to the head, and returns the rest.
func (h *headChecker) read(p []byte) []byte {
	for !h.complete && h.err == nil {
		part, rest, ended := bytes.Cut(p, []byte{'\n'})
		h.line = append(h.line, part[:min(len(part), maxLineStart-len(h.line))]...)
		if p = rest; !ended {
			break
		}
		h.endLine(bytes.TrimSuffix(h.line, []byte{'\r'}))
		h.line = h.line[:0]
	}
	return p
}

func (h *headChecker) endLine(line []byte) {
	switch {
	case h.status == 0:
		h.status, h.err = parseStatusLine(line)
	case len(line) == 0:
		h.complete = true
	case line[0] != ' ' && line[0] != '\t': // not the continuation of a line
		h.err = checkField(line)
	}
}

// interim reports whether the head is that of an interim response, which another one follows.
func (h *headChecker) interim() bool { return h.complete && h.status < http.StatusOK }

// checkField returns ErrMalformed unless the line of a field begins with a proper name and a
// colon.
func checkField(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isName(string(name)) {
		return fmt.Errorf("%w: field name %q", ErrMalformed, name)
	}
	return nil
}

// isName reports whether a text is a field name, without blanks and control bytes.
func isName(text string) bool {
	for _, c := range []byte(text) {
		if !isLetterOrDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}

func isLetterOrDigit(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// statusLine matches a proper status line with a status that has a meaning.
var statusLine = regexp.MustCompile(`^HTTP/1\.\d ([1-5]\d\d)( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// parseStatusLine returns the status of a status line. It returns ErrMalformed if that is not
// proper, or if the server switches to another protocol, which no request asks for.
func parseStatusLine(line []byte) (int, error) {
	m := statusLine.FindSubmatch(line)
	if m == nil {
		return 0, fmt.Errorf("%w: status line %q", ErrMalformed, line)
	}
	status, err := strconv.Atoi(string(m[1]))
	if err != nil || status == http.StatusSwitchingProtocols {
		return 0, fmt.Errorf("%w: status %q", ErrMalformed, m[1])
	}
	return status, nil
}
