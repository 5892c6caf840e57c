package swhttpstore

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// circuitBreaker refuses calls for a while after failuresUntilOpen failures in a
// row, so that callers do not wait for timeouts during an outage of the platform. A
// single lost response does not open it: the caller must still be able to read at
// once, to find out whether its write took effect. After the pause it admits one
// trial call at a time until one succeeds. The pause starts at firstPause and doubles
// with each failed trial up to maxPause.
type circuitBreaker struct {
	clock swclock.Clock

	mu                  sync.Mutex
	consecutiveFailures int
	pause               swclock.Millis // 0 while the circuit is closed
	openUntil           swclock.Millis
	trialInFlight       bool
}

const (
	// failuresUntilOpen is how many calls in a row must fail before the circuit opens.
	failuresUntilOpen = 3

	firstPause swclock.Millis = 100
	maxPause                  = 2 * swclock.Second
)

// allow reports whether a call may be made. Each allowed call must end with done
// or discard.
func (c *circuitBreaker) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pause == 0 {
		return true
	}
	if c.trialInFlight || c.clock.Now() < c.openUntil {
		return false
	}
	c.trialInFlight = true
	return true
}

// done ends an allowed call. answered reports whether the platform answered it
// without a server error.
func (c *circuitBreaker) done(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trialInFlight = false
	if answered {
		c.consecutiveFailures, c.pause = 0, 0
		return
	}
	c.consecutiveFailures++
	if c.consecutiveFailures < failuresUntilOpen {
		return
	}
	c.pause = min(max(firstPause, 2*c.pause), maxPause)
	c.openUntil = c.clock.Now() + c.pause
}

// discard ends an allowed call that showed neither success nor failure of the platform.
func (c *circuitBreaker) discard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trialInFlight = false
}

// open reports whether calls other than trials are refused.
func (c *circuitBreaker) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pause > 0
}
