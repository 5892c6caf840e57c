package swhttpstore

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// circuit refuses calls for a while after a few failures in a row, so that an
// outage of the platform costs its callers no time. One lost answer does not
// open it, as the caller settles that by reading at once. After the pause one call at a time is
// let through, until one succeeds.
type circuit struct {
	clock swclock.Clock

	mu       sync.Mutex
	failures int            // in a row
	pause    swclock.Millis // 0 while the circuit is closed
	until    swclock.Millis
	trialing bool // a trial call is under way
}

const (
	// failuresUntilOpen is how many calls in a row fail before the circuit opens.
	failuresUntilOpen = 3

	firstPause swclock.Millis = 100
	maxPause                  = 2 * swclock.Second
)

// allow reports whether a call may be made; each allowed call ends with done.
func (c *circuit) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pause == 0 {
		return true
	}
	if c.trialing || c.clock.Now() < c.until {
		return false
	}
	c.trialing = true
	return true
}

// done reports the end of a call: whether the platform answered.
func (c *circuit) done(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trialing = false
	if answered {
		c.failures, c.pause = 0, 0
		return
	}
	c.failures++
	if c.failures < failuresUntilOpen {
		return
	}
	c.pause = min(max(firstPause, 2*c.pause), maxPause)
	c.until = c.clock.Now() + c.pause
}

// forget ends an allowed call that told nothing about the platform.
func (c *circuit) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trialing = false
}

// open reports whether calls are refused, but for trials.
func (c *circuit) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pause > 0
}
