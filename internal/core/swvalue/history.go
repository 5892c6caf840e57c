package swvalue

import (
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// history holds the latest attempt of each request that was granted or rejected,
// so that a repeated message does not start the same attempt again.
type history struct {
	attempts *lru.LRU[swcell.Key, swid.Attempt]
}

func newHistory(size int) history {
	attempts, err := lru.NewLRU[swcell.Key, swid.Attempt](size, nil)
	if err != nil {
		panic(err) // only a size that is not positive fails
	}
	return history{attempts}
}

func (h history) add(k swcell.Key, a swid.Attempt) {
	if old, known := h.attempts.Get(k); !known || old < a {
		h.attempts.Add(k, a)
	}
}

// covers reports whether the attempt or a later one was granted or rejected.
func (h history) covers(k swcell.Key, a swid.Attempt) bool {
	last, known := h.attempts.Peek(k)
	return known && a <= last
}

// forget removes a request whose grant was not used, so that the holder can
// request a grant for the same attempt again.
func (h history) forget(k swcell.Key) { h.attempts.Remove(k) }

// unchargedRequests holds the latest requests whose first charge was returned because their attempt did not run, so that the next
// attempt is charged.
type unchargedRequests struct {
	keys *lru.LRU[swcell.Key, struct{}]
}

func newUnchargedRequests(size int) unchargedRequests {
	keys, err := lru.NewLRU[swcell.Key, struct{}](size, nil)
	if err != nil {
		panic(err) // only a size that is not positive fails
	}
	return unchargedRequests{keys}
}

func (u unchargedRequests) add(k swcell.Key) { u.keys.Add(k, struct{}{}) }

// take removes a request, and reports whether it was there.
func (u unchargedRequests) take(k swcell.Key) bool { return u.keys.Remove(k) }
