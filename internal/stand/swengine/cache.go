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

// prefixCache is an LRU cache of prompt blocks with a log of its changes. It is
// not safe for concurrent use.
type prefixCache struct {
	blocks *simplelru.LRU[swid.PrefixHash, struct{}]
	// events is the log; its first entry has the number firstEvent.
	events     []cacheEvent
	firstEvent uint64
	eventLimit int
	eventLoss  int
	// now is the time of the latest insertion; evictions that it causes are recorded at that time.
	now swclock.Millis
	// clearing suppresses events while a crash empties the cache.
	clearing bool
}

func newPrefixCache(c Config) *prefixCache {
	p := &prefixCache{eventLimit: c.EventLimit, eventLoss: c.EventLoss}
	size := max(1, int(c.CacheTokens/swcell.PrefixBlock))
	p.blocks, _ = simplelru.NewLRU(size, p.recordEviction) // fails only for a size below 1
	return p
}

// lookup returns the number of tokens in the prompt's leading blocks that are cached.
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

// insert adds a prompt's blocks, the last block first, so that longer prefixes
// are evicted before shorter ones.
func (p *prefixCache) insert(now swclock.Millis, hashes []swid.PrefixHash) {
	p.now = now
	for i := len(hashes) - 1; i >= 0; i-- {
		if !p.blocks.Contains(hashes[i]) {
			p.record(cacheEvent{at: now, hash: hashes[i], added: true})
		}
		p.blocks.Add(hashes[i], struct{}{})
	}
}

func (p *prefixCache) recordEviction(h swid.PrefixHash, _ struct{}) {
	if !p.clearing {
		p.record(cacheEvent{at: p.now, hash: h})
	}
}

func (p *prefixCache) record(e cacheEvent) {
	p.events = append(p.events, e)
	next := p.nextEvent()
	if p.eventLoss > 0 && next%uint64(p.eventLoss) == 0 {
		p.dropEvents(len(p.events)) // readers detect a gap only before firstEvent, so the loss of one event drops all up to it
		return
	}
	p.dropEvents(len(p.events) - p.eventLimit)
}

func (p *prefixCache) dropEvents(n int) {
	if n > 0 {
		p.events = p.events[n:]
		p.firstEvent += uint64(n)
	}
}

func (p *prefixCache) nextEvent() uint64 { return p.firstEvent + uint64(len(p.events)) }

// clear empties the cache. It records no events; readers see a gap in the numbers instead.
func (p *prefixCache) clear() {
	p.clearing = true
	p.blocks.Purge()
	p.clearing = false
	p.dropEvents(len(p.events))
	p.firstEvent++
}

// eventsAfter returns the events from number n on that were recorded no later than
// until, and the number of the first. A number above n means that events were lost.
func (p *prefixCache) eventsAfter(n uint64, until swclock.Millis) (uint64, []cacheEvent) {
	first := max(n, p.firstEvent)
	if first > p.nextEvent() {
		first = p.firstEvent // n comes from the log of an earlier process
	}
	events := p.events[first-p.firstEvent:]
	for i, e := range events {
		if e.at > until {
			return first, events[:i]
		}
	}
	return first, events
}
