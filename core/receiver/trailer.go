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

// checkTrailer makes the body of a response in chunks check its trailer.
func checkTrailer(resp *http.Response) {
	if resp.Body != http.NoBody && len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerBody{ReadCloser: resp.Body, resp: resp}
	}
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
