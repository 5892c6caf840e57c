package swhttpstore

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// circuit refuses calls for a while after a failure, so that an outage of the
// platform costs its callers no time. After the pause one call at a time is
// let through, until one succeeds.
type circuit struct {
	clock swclock.Clock

	mu       sync.Mutex
	pause    swclock.Millis // 0 while the last call succeeded
	until    swclock.Millis
	trialing bool // a trial call is under way
}

const (
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
		c.pause = 0
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

// open reports whether the last call that told something failed.
func (c *circuit) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pause > 0
}
