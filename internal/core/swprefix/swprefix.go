// Package swprefix estimates how much of a prompt a target has in its prefix cache.
package swprefix

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// gapFactor multiplies the accuracy when reports of the target were lost.
	gapFactor = 0.5
	// accuracyGain is the weight of a new observation in the accuracy.
	accuracyGain = 0.2
	minAccuracy  = 0.05
)

// Index holds the prefixes that one target is assumed to have cached.
type Index struct {
	hashes *simplelru.LRU[swid.PrefixHash, struct{}]
	// accuracy is the share of the matched tokens that the target has actually
	// cached, in [minAccuracy, 1].
	accuracy float64
}

// New returns an empty index of at most size prefixes, which must be positive.
func New(size int) *Index {
	hashes, err := simplelru.NewLRU[swid.PrefixHash, struct{}](size, nil)
	if err != nil {
		panic(err) // fails only if size is not positive
	}
	return &Index{hashes: hashes, accuracy: 1}
}

// Len returns the number of prefixes held.
func (x *Index) Len() int { return x.hashes.Len() }

// Add adds the prefixes of a prompt, given shortest first. The shortest are evicted
// last, because a longer one is useless without them.
func (x *Index) Add(prefix []swid.PrefixHash) {
	for i := len(prefix) - 1; i >= 0; i-- {
		x.hashes.Add(prefix[i], struct{}{})
	}
}

// Remove removes prefixes that the target evicted.
func (x *Index) Remove(prefix []swid.PrefixHash) {
	for _, h := range prefix {
		x.hashes.Remove(h)
	}
}

// Clear removes all prefixes, after the target restarted.
func (x *Index) Clear() { x.hashes.Purge() }

// Gap lowers the accuracy, after reports of the target were lost.
func (x *Index) Gap() { x.accuracy = max(x.accuracy*gapFactor, minAccuracy) }

// Match returns the share of a prompt's prefix blocks that are assumed to be cached,
// in [0, 1]. It uses binary search, since a prefix is cached only with all shorter ones.
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
	return float64(Depth(low-1)) / float64(Depth(len(prefix)-1)) * x.accuracy
}

// Observe updates the accuracy with the number of tokens that were expected to be
// cached and the number that were.
func (x *Index) Observe(expected, cached float64) {
	if expected <= 0 {
		return
	}
	// expected already includes the accuracy; the matched tokens are expected/accuracy.
	share := min(cached*x.accuracy/expected, 1)
	x.accuracy = max(x.accuracy+accuracyGain*(share-x.accuracy), minAccuracy)
}
