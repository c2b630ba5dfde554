package imitator

import (
	"io"
	"net"
	"net/http"
	"strings"
)

// IDMark in the text of a Raw response stands for the id of its request.
const IDMark = "{id}"

// Raw is a response in raw bytes. It is written before the body of its request is read, and its
// connection is closed after it: in order, once the caller has sent the body, or by a reset.
type Raw struct {
	Text  string
	Reset bool
}

// send writes the response to the connection of a request and closes it.
func (a *Raw) send(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	// A write error means that the caller has closed the connection.
	_, _ = io.WriteString(c, strings.ReplaceAll(a.Text, IDMark, r.Header.Get(headerAttempt)))
	conn := c.(*net.TCPConn)
	if a.Reset {
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// sendRaw writes the response that is set for requests to this server, and reports whether there
// is one. The request counts as run.
func (p *Server) sendRaw(w http.ResponseWriter, r *http.Request) bool {
	a := p.Raw.Load()
	if a == nil || r.URL.Path == healthPath || r.Header.Get(headerExpect) != p.ID {
		return false
	}
	p.recordRun(r, "")
	a.send(w, r)
	return true
}
