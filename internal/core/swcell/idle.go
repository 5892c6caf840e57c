package swcell

// Idle reports whether nothing waits or runs, so that time passing changes nothing.
func (c *Cell) Idle() bool { return len(c.running) == 0 && c.waitingCount() == 0 }

func (c *Cell) waitingCount() int {
	count := 0
	for _, t := range c.tiers {
		count += t.queue.Len()
	}
	return count
}
