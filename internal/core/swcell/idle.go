package swcell

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

// idleTickInterval is the time between two ticks of a cell without work.
const idleTickInterval = swclock.Second

// TickInterval returns the time after which the cell needs a Tick.
func (c *Cell) TickInterval() swclock.Millis {
	if c.Idle() {
		return idleTickInterval
	}
	return TickInterval
}

// Idle reports whether no request waits or runs, so that the cell needs only
// infrequent ticks.
func (c *Cell) Idle() bool { return len(c.running) == 0 && c.waitingCount() == 0 }

func (c *Cell) waitingCount() int {
	count := 0
	for _, t := range c.tiers {
		count += t.queue.Len()
	}
	return count
}
