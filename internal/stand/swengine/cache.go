package swengine

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// cacheEvent is one change of the prefix cache.
type cacheEvent struct {
	at    swclock.Millis
	hash  swid.PrefixHash
	added bool
}

// prefixCache holds the prompt blocks that were used last, and the log of its
// changes. It is not safe for concurrent use.
type prefixCache struct {
	blocks *simplelru.LRU[swid.PrefixHash, struct{}]
	// events are numbered from first.
	events []cacheEvent
	first  uint64
	limit  int
	loss   int
	now    swclock.Millis
	// clearing suppresses events while a crash empties the cache.
	clearing bool
}

func newPrefixCache(c Config) *prefixCache {
	p := &prefixCache{limit: c.EventLimit, loss: c.EventLoss}
	size := max(1, int(c.CacheTokens/swcell.PrefixBlock))
	p.blocks, _ = simplelru.NewLRU(size, p.evicted) // fails only for a size below 1
	return p
}

// lookup returns the number of the prompt's tokens that are cached.
func (p *prefixCache) lookup(hashes []swid.PrefixHash) swid.Tokens {
	var cached swid.Tokens
	for _, h := range hashes {
		if !p.blocks.Contains(h) {
			break
		}
		cached += swcell.PrefixBlock
	}
	return cached
}

// insert adds a prompt's blocks; the longest prefix is the first to be evicted again.
func (p *prefixCache) insert(now swclock.Millis, hashes []swid.PrefixHash) {
	p.now = now
	for i := len(hashes) - 1; i >= 0; i-- {
		if !p.blocks.Contains(hashes[i]) {
			p.record(cacheEvent{at: now, hash: hashes[i], added: true})
		}
		p.blocks.Add(hashes[i], struct{}{})
	}
}

func (p *prefixCache) evicted(h swid.PrefixHash, _ struct{}) {
	if !p.clearing {
		p.record(cacheEvent{at: p.now, hash: h})
	}
}

func (p *prefixCache) record(e cacheEvent) {
	p.events = append(p.events, e)
	next := p.next()
	if p.loss > 0 && next%uint64(p.loss) == 0 {
		p.drop(len(p.events)) // readers cannot skip one event: all before it are lost with it
		return
	}
	p.drop(len(p.events) - p.limit)
}

func (p *prefixCache) drop(n int) {
	if n > 0 {
		p.events = p.events[n:]
		p.first += uint64(n)
	}
}

func (p *prefixCache) next() uint64 { return p.first + uint64(len(p.events)) }

// clear empties the cache. Readers see a gap, since no event tells of it.
func (p *prefixCache) clear() {
	p.clearing = true
	p.blocks.Purge()
	p.clearing = false
	p.drop(len(p.events))
	p.first++
}

// after returns the events from number n on that were recorded at until or
// before, and the number of the first. A first above n means that events are lost.
func (p *prefixCache) after(n uint64, until swclock.Millis) (uint64, []cacheEvent) {
	first := max(n, p.first)
	if first > p.next() {
		first = p.first // the reader followed another process
	}
	events := p.events[first-p.first:]
	for i, e := range events {
		if e.at > until {
			return first, events[:i]
		}
	}
	return first, events
}
