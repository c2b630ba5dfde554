package follower

import (
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"oleandercove.example/oleandercove/edge/directory"
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
