package receiver

import (
	"fmt"
	"io"
	"net/http"
)

// trailerBody is a body whose end is an error if a malformed trailer follows it.
type trailerBody struct {
	io.ReadCloser
	resp *http.Response
}

// bodyOf returns the body of a response, which checks its trailer if it is sent in chunks.
func bodyOf(resp *http.Response) io.ReadCloser {
	if resp.Body == http.NoBody || len(resp.TransferEncoding) == 0 {
		return resp.Body
	}
	return &trailerBody{ReadCloser: resp.Body, resp: resp}
}

// Read reads into p. It returns ErrMalformed in place of io.EOF.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name := range b.resp.Trailer {
		if !isName([]byte(name)) {
			return n, fmt.Errorf("%w: name %q in the trailer", ErrMalformed, name)
		}
	}
	return n, err
}
