package swlimit

import (
	"sync"
	"sync/atomic"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// MaxPause bounds the time for which a target may have a host send it no requests.
const MaxPause = 10 * swclock.Minute

// Closed holds the targets that have said in an answer to one host that they take no new requests from it,
// for a while or because they are leaving. It is safe for concurrent use.
type Closed struct {
	// count is the number of targets.
	count atomic.Int64

	mu      sync.Mutex
	targets map[swid.TargetID]closing
}

type closing struct {
	// born identifies the start of the target that said so.
	born int64
	// statedAt is when the latest answer that said so arrived.
	statedAt swclock.Millis
	leaving  bool
	// pausedUntil is when the pause ends, if there is one.
	pausedUntil swclock.Millis
}

// NewClosed returns a Closed without targets.
func NewClosed() *Closed { return &Closed{targets: make(map[swid.TargetID]closing)} }

// Observe records what an answer says that arrived at an instant, and reports whether the target took
// requests before and takes none now. born identifies its start. No later answer takes it back.
func (c *Closed) Observe(target swid.TargetID, born int64, s Statement, arrived swclock.Millis) bool {
	if !s.Leaving && s.Pause <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.targets[target]
	open := !known.closed(arrived)
	c.targets[target] = closing{
		born: born, statedAt: arrived, leaving: known.leaving || s.Leaving,
		pausedUntil: max(known.pausedUntil, arrived+min(s.Pause, MaxPause)),
	}
	c.count.Store(int64(len(c.targets)))
	return open
}

// closed reports whether the target takes no requests at an instant.
func (c *closing) closed(now swclock.Millis) bool { return c.leaving || now < c.pausedUntil }

// Statement returns what keeps this host from sending requests to a target, and whether anything does.
func (c *Closed) Statement(target swid.TargetID, now swclock.Millis) (Statement, bool) {
	if c.count.Load() == 0 {
		return Statement{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.targets[target]
	if !known.closed(now) {
		return Statement{}, false
	}
	return Statement{Heard: true, Leaving: known.leaving, Pause: max(known.pausedUntil-now, 0)}, true
}

// Retain drops the targets that were started anew, those whose pause is over, and those that are not listed
// and have said nothing for a while. bornOf returns what identifies the start of a target, and whether it
// is listed.
func (c *Closed) Retain(bornOf func(swid.TargetID) (born int64, listed bool), now swclock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, closing := range c.targets {
		born, listed := bornOf(target)
		if listed && born != closing.born || !listed && now-closing.statedAt > forgetTime || !closing.closed(now) {
			delete(c.targets, target)
		}
	}
	c.count.Store(int64(len(c.targets)))
}
