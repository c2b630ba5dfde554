package follower

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"oleandercove.example/oleandercove/edge/directory"
	"oleandercove.example/oleandercove/edge/packer"
)

// answersLogInterval is the time between two log lines about the answers to followers.
const answersLogInterval = 2 * time.Second

// answerCounts counts the answers to followers since the last log line.
type answerCounts struct {
	// all counts all answers, full those with all servers, stale those whose list of servers
	// was too old for the follower.
	all, full, stale atomic.Int64
	// bytes is the size of all answers.
	bytes atomic.Int64
}

// add counts one answer.
func (c *answerCounts) add(u directory.Update, size int) {
	c.all.Add(1)
	c.bytes.Add(int64(size))
	if u.Full {
		c.full.Add(1)
	}
	if u.ServersAge > staleAge {
		c.stale.Add(1)
	}
}

// log logs and clears the counts, if there were answers.
func (c *answerCounts) log(l *log.Logger) {
	if n := c.all.Swap(0); n > 0 {
		l.Info("followers answered", "answers", n, "full", c.full.Swap(0), "stale", c.stale.Swap(0), "bytes", c.bytes.Swap(0))
	}
}

// minPackedServers is the number of servers from which an answer is compressed. An entry has some
// 250 bytes.
const minPackedServers = 4

// span identifies a list of servers: all of them, or the changes between two positions.
type span struct {
	full     bool
	from, to uint64
}

// packedServers holds the last compressed list of all servers and of changes.
//
// Load pattern: a watcher is lost, or a fleet starts, and some hundred followers that have no
// cursor at this daemon query it within a second. Or most servers change within some 100 ms, as
// when layers are placed, and followers with the same cursor wait for that.
type packedServers struct {
	mu            sync.Mutex
	all, changed  span
	packedAll     []byte
	packedChanged []byte
}

// pack returns the compressed part of an answer that is the same for all followers with a cursor.
func (p *packedServers) pack(c directory.Cursor, u directory.Update) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, last, packed := span{from: c.Position, to: u.Cursor.Position}, &p.changed, &p.packedChanged
	if u.Full {
		key, last, packed = span{full: true, to: u.Cursor.Position}, &p.all, &p.packedAll
	}
	if *packed != nil && *last == key {
		return *packed, nil
	}
	data, err := proto.Marshal(encode(directory.Update{Full: u.Full, Servers: u.Servers}))
	if err != nil {
		return nil, err
	}
	list, err := packer.Pack(data)
	if err != nil {
		return nil, err
	}
	*last, *packed = key, list
	return list, nil
}

// isPacked reports whether an answer is compressed.
func isPacked(u directory.Update) bool { return u.Full || len(u.Servers) >= minPackedServers }

// encodeAnswer returns the body of an answer to a follower with a cursor, compressed if isPacked
// says so. Concatenated encodings of a message are decoded as one message, and so is compressed
// data.
func (f *Follower) encodeAnswer(c directory.Cursor, u directory.Update) ([]byte, error) {
	if !isPacked(u) {
		return proto.Marshal(encode(u))
	}
	list, err := f.packed.pack(c, u)
	if err != nil {
		return nil, err
	}
	u.Servers = nil
	data, err := proto.Marshal(encode(u))
	if err != nil {
		return nil, err
	}
	rest, err := packer.Wrap(data)
	if err != nil {
		return nil, err
	}
	return append(list[:len(list):len(list)], rest...), nil
}
