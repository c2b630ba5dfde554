package runner

import (
	"container/list"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/engine"
	"oleandercove.example/oleanderfake/responder"
)

const (
	// blockPositions is the number of positions in a cached block.
	blockPositions = 16
	// maxCacheEvents is the number of the latest events that are kept for readers.
	maxCacheEvents = 4096
)

// cacher is a prefix cache with limited memory and LRU eviction. A block stands for all
// positions up to its end. The state of the toy model is recomputed for cached positions;
// the cache saves only their execution time.
type cacher struct {
	limit int
	// eventLag delays the events, and lossRate is the share of them that is lost (0 to 1).
	eventLag time.Duration
	lossRate float64

	mu       sync.Mutex
	recent   *list.List
	blocks   map[uint64]*list.Element
	sequence uint64
	events   []engine.CacheEvent
}

func newCacher(limit int, eventLag time.Duration, lossRate float64) *cacher {
	return &cacher{limit: limit, eventLag: eventLag, lossRate: lossRate, recent: list.New(), blocks: map[uint64]*list.Element{}}
}

// blockHashes returns the hash of each full block of a prompt.
func blockHashes(inputs []engine.Activation) []uint64 {
	var out []uint64
	h := uint64(0)
	for i, in := range inputs {
		h = mix(h, uint64(in))
		if (i+1)%blockPositions == 0 {
			out = append(out, h)
		}
	}
	return out
}

// lookupAndStore returns the number of leading positions that are cached, and caches the
// other full blocks.
func (c *cacher) lookupAndStore(inputs []engine.Activation) int {
	if c.limit == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, missed := 0, false
	for _, h := range blockHashes(inputs) {
		e, ok := c.blocks[h]
		missed = missed || !ok
		if !missed {
			cached += blockPositions
		}
		if ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.recent.PushFront(h)
		c.publish(engine.CacheStored, h)
	}
	for c.recent.Len() > c.limit {
		h := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, h)
		c.publish(engine.CacheEvicted, h)
	}
	return cached
}

// publish adds an event. A lost event leaves only a gap in the sequence numbers.
func (c *cacher) publish(kind engine.CacheEventKind, block uint64) {
	c.sequence++
	if rand.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, Kind: kind, Block: block, At: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are at least eventLag old.
func (c *cacher) eventsAfter(sequence uint64, now time.Time) []engine.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && now.Sub(e.At) >= c.eventLag {
			out = append(out, e)
		}
	}
	return out
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	responder.Write(w, http.StatusOK, e.cache.eventsAfter(after, time.Now()))
}
