package swvalue

import (
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// prefix identifies a prefix of a prompt: one of its parts with all parts before it.
type prefix struct {
	id uint64
	// tokens counts the tokens of the last part only.
	tokens swid.Tokens
}

// prefixesOf returns the prefixes of a prompt, the shortest first.
func prefixesOf(parts []swcell.Part) []prefix {
	prefixes := make([]prefix, len(parts))
	id := uint64(14695981039346656037) // FNV-1a's offset basis
	for i, p := range parts {
		id = (id ^ uint64(p.ID)) * 1099511628211 // FNV's prime
		id = (id ^ uint64(p.Tokens)) * 1099511628211
		prefixes[i] = prefix{id: id, tokens: p.Tokens}
	}
	return prefixes
}

// cache estimates which prefixes a target has in its prefix cache. When its memory
// is full, a target evicts the least recently used prefixes, and so does cache.
type cache struct {
	entries *lru.LRU[uint64, swid.Tokens]
	// capacity is the target's memory in tokens; 0 means no bound.
	capacity swid.Tokens
	used     swid.Tokens
}

// maxPrefixes bounds the prefixes that are recorded for one target.
const maxPrefixes = 4096

func newCache(capacity swid.Tokens) *cache {
	c := &cache{capacity: capacity}
	entries, err := lru.NewLRU(maxPrefixes, func(_ uint64, tokens swid.Tokens) { c.used -= tokens })
	if err != nil {
		panic(err) // only a size that is not positive fails
	}
	c.entries = entries
	return c
}

// cachedTokens returns the number of tokens of a prompt that the target need not process.
func (c *cache) cachedTokens(prefixes []prefix) swid.Tokens {
	var sum swid.Tokens
	for _, p := range prefixes {
		if !c.entries.Contains(p.id) {
			break
		}
		sum += p.tokens
	}
	return sum
}

// add records the prefixes of a prompt that the target processes, the longest first,
// so that the shortest are evicted last: the longer ones are useless without them.
func (c *cache) add(prefixes []prefix) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		p := prefixes[i]
		if _, known := c.entries.Get(p.id); known {
			continue
		}
		c.entries.Add(p.id, p.tokens)
		c.used += p.tokens
	}
	for c.capacity > 0 && c.used > c.capacity && c.entries.Len() > 0 {
		c.entries.RemoveOldest()
	}
}

// clear removes all prefixes, after the target was restarted.
func (c *cache) clear() {
	c.entries.Purge()
	c.used = 0
}
