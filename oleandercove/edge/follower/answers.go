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

// fullAnswer holds the compressed list of all servers at a position of the history.
//
// Load pattern: a watcher is lost, or a fleet starts. Some hundred followers that have no cursor
// at this daemon query it within a second.
type fullAnswer struct {
	mu       sync.Mutex
	position uint64
	packed   []byte
}

// pack returns the compressed part of an answer that is the same for all followers without a
// cursor.
func (f *fullAnswer) pack(u directory.Update) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.packed != nil && f.position == u.Cursor.Position {
		return f.packed, nil
	}
	data, err := proto.Marshal(encode(directory.Update{Full: true, Servers: u.Servers}))
	if err != nil {
		return nil, err
	}
	packed, err := packer.Pack(data)
	if err != nil {
		return nil, err
	}
	f.position, f.packed = u.Cursor.Position, packed
	return packed, nil
}

// encodeAnswer returns the body of an answer, compressed if it has all servers. Concatenated
// encodings of a message are decoded as one message, and so is compressed data.
func (f *Follower) encodeAnswer(u directory.Update) ([]byte, error) {
	if !u.Full {
		return proto.Marshal(encode(u))
	}
	list, err := f.full.pack(u)
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
