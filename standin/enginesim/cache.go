package enginesim

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// maxEvents bounds the stored cache events. Older ones are dropped and leave
// gaps in the sequence.
const maxEvents = 1 << 16

// block is one block of KV memory in the prefix cache. While refs is positive
// its memory is counted with the streams that use it.
type block struct {
	prefix  uint64
	tokens  int // length of the prefix that ends with this block
	refs    int
	element *list.Element // position in the LRU list; nil while refs > 0
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	CacheEvent
	at time.Time
}

// prefixCache holds blocks by prefix hash. Blocks that no stream uses are in
// lru, the least recently used first. Engine.mu guards it.
type prefixCache struct {
	blocks          map[uint64]*block
	lru             *list.List
	events          []timedEvent
	sequence        uint64
	lossProbability float64
	random          *rand.Rand
}

func newPrefixCache(lossProbability float64, seed uint64) *prefixCache {
	return &prefixCache{
		blocks:          map[uint64]*block{},
		lru:             list.New(),
		lossProbability: lossProbability,
		random:          rand.New(rand.NewPCG(seed, 0)),
	}
}

// cachedTokens returns the memory that only the cache holds, in tokens.
func (c *prefixCache) cachedTokens() int { return c.lru.Len() * BlockTokens }

// acquire references the longest cached run of prefixes for a stream.
func (c *prefixCache) acquire(prefixes []uint64) []*block {
	var taken []*block
	for _, p := range prefixes {
		b, ok := c.blocks[p]
		if !ok {
			break
		}
		c.ref(b)
		taken = append(taken, b)
	}
	return taken
}

func (c *prefixCache) ref(b *block) {
	b.refs++
	if b.element != nil {
		c.lru.Remove(b.element)
		b.element = nil
	}
}

// store adds the block with number index of a prompt and references it for the
// stream that computed it.
func (c *prefixCache) store(prefix uint64, index int, now time.Time) *block {
	b, ok := c.blocks[prefix]
	if !ok {
		b = &block{prefix: prefix, tokens: (index + 1) * BlockTokens}
		c.blocks[prefix] = b
		c.recordEvent(b, true, now)
	}
	c.ref(b)
	return b
}

// release drops a stream's references to its blocks. It starts with the longest
// prefix, so that this is evicted before the shorter ones that it depends on.
func (c *prefixCache) release(blocks []*block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if b.refs--; b.refs == 0 {
			b.element = c.lru.PushBack(b)
		}
	}
}

// evictUntil evicts unused blocks until they take at most free tokens.
func (c *prefixCache) evictUntil(free int, now time.Time) {
	for c.cachedTokens() > free && c.lru.Len() > 0 {
		b := c.lru.Remove(c.lru.Front()).(*block)
		delete(c.blocks, b.prefix)
		c.recordEvent(b, false, now)
	}
}

// recordEvent appends an event, or drops it at random, which leaves a gap in the
// sequence.
func (c *prefixCache) recordEvent(b *block, stored bool, now time.Time) {
	c.sequence++
	if c.lossProbability > 0 && c.random.Float64() < c.lossProbability {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append([]timedEvent(nil), c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, timedEvent{CacheEvent{c.sequence, stored, b.prefix, b.tokens}, now})
}

// after returns the events later than a sequence number that happened up to
// the time visible.
func (c *prefixCache) after(sequence uint64, visible time.Time) []CacheEvent {
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && !e.at.After(visible) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}
