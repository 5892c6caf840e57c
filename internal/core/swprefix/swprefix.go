// Package swprefix estimates how much of a prompt a target has in its prefix cache.
package swprefix

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// gapTrust is what remains of the trust when reports were lost.
	gapTrust = 0.5
	// trustGain is the weight of a new observation in the trust.
	trustGain = 0.2
	minTrust  = 0.05
)

// Index holds the prefixes that one target is believed to have cached.
type Index struct {
	hashes *simplelru.LRU[swid.PrefixHash, struct{}]
	// trust is the share of the matched tokens that the target really has, in [minTrust, 1].
	trust float64
}

// New returns an empty index of bounded size, which must be positive.
func New(size int) *Index {
	hashes, err := simplelru.NewLRU[swid.PrefixHash, struct{}](size, nil)
	if err != nil {
		panic(err) // only a size that is not positive fails
	}
	return &Index{hashes: hashes, trust: 1}
}

// Len returns the number of prefixes held.
func (x *Index) Len() int { return x.hashes.Len() }

// Add takes in prefixes, shortest first. The shortest are forgotten last,
// because every longer one is useless without them.
func (x *Index) Add(prefix []swid.PrefixHash) {
	for i := len(prefix) - 1; i >= 0; i-- {
		x.hashes.Add(prefix[i], struct{}{})
	}
}

// Remove forgets prefixes that the target evicted.
func (x *Index) Remove(prefix []swid.PrefixHash) {
	for _, h := range prefix {
		x.hashes.Remove(h)
	}
}

// Clear forgets all prefixes, because the target restarted.
func (x *Index) Clear() { x.hashes.Purge() }

// Gap lowers the trust, because reports were lost.
func (x *Index) Gap() { x.trust = max(x.trust*gapTrust, minTrust) }

// Match returns the share of the prefixes that are believed to be cached, in
// [0, 1]. It searches by halves, since a prefix is cached only with all shorter ones.
func (x *Index) Match(prefix []swid.PrefixHash) float64 {
	if len(prefix) == 0 || x.hashes.Len() == 0 {
		return 0
	}
	low, high := 0, len(prefix)
	for low < high {
		middle := (low + high) / 2
		if x.hashes.Contains(prefix[middle]) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return 0
	}
	return float64(Depth(low-1)) / float64(Depth(len(prefix)-1)) * x.trust
}

// Observe compares the tokens that were expected to be cached with those that were.
func (x *Index) Observe(expected, cached float64) {
	if expected <= 0 {
		return
	}
	// expected contains the trust already; the matched tokens are expected/trust.
	share := min(cached*x.trust/expected, 1)
	x.trust = max(x.trust+trustGain*(share-x.trust), minTrust)
}
