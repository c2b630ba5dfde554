package connector

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

const (
	// maxMessageBytes bounds one message: a catalogue value may have 1 MB, and
	// a reply contains several.
	maxMessageBytes = 4 << 20
	// readerBytes is the read buffer of a control stream.
	readerBytes = 2 << 10
	// yamuxHeaderBytes is the size of a yamux frame header.
	yamuxHeaderBytes = 12
)

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, readerBytes) }

// encode returns a message with its length as a prefix.
func encode(m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	if size > maxMessageBytes {
		return nil, fmt.Errorf("message has %d bytes, limit is %d", size, maxMessageBytes)
	}
	out := binary.AppendUvarint(make([]byte, 0, size+binary.MaxVarintLen32), uint64(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(out, m)
}

func writeMessage(w io.Writer, m proto.Message) error {
	b, err := encode(m)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// readMessage reads one message; it rejects a length over the limit.
func readMessage(r *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > maxMessageBytes {
		return nil, fmt.Errorf("message has %d bytes, limit is %d", size, maxMessageBytes)
	}
	body := make([]byte, size)
	_, err = io.ReadFull(r, body)
	return body, err
}

// frameJoiner writes the header and the body of a yamux frame as one TLS record,
// which saves 22 bytes and a system call for each heartbeat.
type frameJoiner struct {
	net.Conn
	header []byte
}

// Write keeps the header of a data frame until its body follows. Yamux writes from
// one goroutine only.
func (j *frameJoiner) Write(b []byte) (int, error) {
	if j.header == nil && len(b) == yamuxHeaderBytes && b[1] == 0 && binary.BigEndian.Uint32(b[8:]) > 0 {
		j.header = append([]byte(nil), b...)
		return len(b), nil
	}
	if j.header == nil {
		return j.Conn.Write(b)
	}
	_, err := j.Conn.Write(append(j.header, b...))
	j.header = nil
	return len(b), err
}

// Traffic counts bytes below TLS, messages above it, and dials.
type Traffic struct {
	BytesSent, BytesReceived       uint64
	MessagesSent, MessagesReceived uint64
	Dials                          uint64
}

type counters struct{ bytesSent, bytesReceived, messagesSent, messagesReceived, dials atomic.Uint64 }

func (c *counters) snapshot() Traffic {
	return Traffic{
		BytesSent: c.bytesSent.Load(), BytesReceived: c.bytesReceived.Load(),
		MessagesSent: c.messagesSent.Load(), MessagesReceived: c.messagesReceived.Load(), Dials: c.dials.Load(),
	}
}

// countingConn counts the bytes of a TCP connection.
type countingConn struct {
	net.Conn
	counters *counters
}

// Read reads from the connection and counts the bytes.
func (m *countingConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.counters.bytesReceived.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (m *countingConn) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	m.counters.bytesSent.Add(uint64(n))
	return n, err
}
