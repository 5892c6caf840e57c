package swcell

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

const (
	// recentEnds bounds the ends that a target's account remembers.
	recentEnds = 64
	// loadSpan is how long the work of others that a report showed is counted.
	loadSpan = 3 * swclock.Second
)

// loadAccount compares a target's reports, which are old when they arrive,
// with what the cell itself had granted when they were taken.
type loadAccount struct {
	// ends holds the latest ends, oldest first from next on.
	ends [recentEnds]runSpan
	next int
	// external is the work on the target that the cell did not grant.
	external   int
	reportedAt swclock.Millis
}

// runSpan is the time that a run held its slot.
type runSpan struct{ from, to swclock.Millis }

func (l *loadAccount) ended(from, to swclock.Millis) {
	l.ends[l.next] = runSpan{from, to}
	l.next = (l.next + 1) % recentEnds
}

// endedSince counts the ended runs that held a slot at an instant.
func (l *loadAccount) endedSince(at swclock.Millis) int {
	n := 0
	for _, e := range l.ends {
		if e.from <= at && e.to > at {
			n++
		}
	}
	return n
}

func (c *Cell) loadReport(e LoadReport) {
	t := c.byID[e.Target]
	if t == nil {
		return
	}
	taken := c.now - e.Age
	if taken < t.load.reportedAt {
		return
	}
	t.load.reportedAt = taken
	running := 0
	for _, r := range t.runs {
		if r.granted <= taken {
			running++
		}
	}
	reported := e.Running + e.Waiting
	t.load.external = max(0, reported-running-t.load.endedSince(taken))
	c.freeReported(t, running-reported, taken)
}

// freeReported ends up to count runs of dead holders that a report no longer shows.
func (c *Cell) freeReported(t *target, count int, taken swclock.Millis) {
	for ; count > 0; count-- {
		var oldest *run
		for _, r := range t.runs {
			if r.orphanedAt > 0 && r.orphanedAt <= taken && (oldest == nil || r.granted < oldest.granted) {
				oldest = r
			}
		}
		if oldest == nil {
			return
		}
		c.endRun(oldest)
	}
}

// expireLoad forgets the work of others that no recent report confirms.
func (c *Cell) expireLoad() {
	for _, t := range c.targets {
		if c.now-t.load.reportedAt > loadSpan {
			t.load.external = 0
		}
	}
}
