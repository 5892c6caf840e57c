package swvalue

import (
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// link identifies a prefix of a prompt's parts: a part with all before it.
type link struct {
	id     uint64
	tokens swid.Tokens
}

// chainOf returns the prefixes of a prompt, the shortest first.
func chainOf(parts []swcell.Part) []link {
	chain := make([]link, len(parts))
	id := uint64(14695981039346656037) // FNV-1a's offset basis
	for i, p := range parts {
		id = (id ^ uint64(p.ID)) * 1099511628211 // FNV's prime
		id = (id ^ uint64(p.Tokens)) * 1099511628211
		chain[i] = link{id: id, tokens: p.Tokens}
	}
	return chain
}

// cache estimates which prefixes a target keeps. A target drops those that were
// used least recently when its memory is full, and so does the cache.
type cache struct {
	held *lru.LRU[uint64, swid.Tokens]
	// room is the target's memory; 0 is no bound.
	room swid.Tokens
	used swid.Tokens
}

// maxLinks bounds the prefixes that are remembered of one target.
const maxLinks = 4096

func newCache(room swid.Tokens) *cache {
	c := &cache{room: room}
	held, err := lru.NewLRU(maxLinks, func(_ uint64, tokens swid.Tokens) { c.used -= tokens })
	if err != nil {
		panic(err) // only a size that is not positive fails
	}
	c.held = held
	return c
}

// cached returns the number of tokens of a prompt that need not be processed.
func (c *cache) cached(chain []link) swid.Tokens {
	var sum swid.Tokens
	for _, l := range chain {
		if !c.held.Contains(l.id) {
			break
		}
		sum += l.tokens
	}
	return sum
}

// add takes in a prompt that is processed. Its first parts are forgotten last,
// because the others are useless without them.
func (c *cache) add(chain []link) {
	for i := len(chain) - 1; i >= 0; i-- {
		l := chain[i]
		if _, known := c.held.Get(l.id); known {
			continue
		}
		c.held.Add(l.id, l.tokens)
		c.used += l.tokens
	}
	for c.room > 0 && c.used > c.room && c.held.Len() > 0 {
		c.held.RemoveOldest()
	}
}

// clear forgets everything, because the target started anew.
func (c *cache) clear() {
	c.held.Purge()
	c.used = 0
}
