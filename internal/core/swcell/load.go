package swcell

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

const (
	// maxRecentEnds is the number of ended runs that a loadTracker keeps.
	maxRecentEnds = 64
	// externalLoadLifetime is how long a load report's external work is counted.
	externalLoadLifetime = 3 * swclock.Second
)

// loadTracker compares a target's load reports, which are old when they arrive,
// with the runs that the cell itself had on the target when they were taken.
// What is left over is load from outside the cell.
type loadTracker struct {
	// ends is a ring buffer of the latest ended runs; nextEnd is the oldest.
	ends    [maxRecentEnds]runSpan
	nextEnd int
	// external is the number of requests on the target that the cell did not grant.
	external   int
	reportedAt swclock.Millis
}

// runSpan is the time for which a run held its slot.
type runSpan struct{ from, to swclock.Millis }

func (l *loadTracker) recordEnd(from, to swclock.Millis) {
	l.ends[l.nextEnd] = runSpan{from, to}
	l.nextEnd = (l.nextEnd + 1) % maxRecentEnds
}

// endedRunsAt counts the ended runs that still held a slot at the given time.
func (l *loadTracker) endedRunsAt(at swclock.Millis) int {
	n := 0
	for _, e := range l.ends {
		if e.from <= at && e.to > at {
			n++
		}
	}
	return n
}

func (c *Cell) handleLoadReport(e LoadReport) {
	t := c.byID[e.Target]
	if t == nil {
		return
	}
	takenAt := c.now - e.Age
	if takenAt < t.load.reportedAt {
		return
	}
	t.load.reportedAt = takenAt
	running := 0
	for _, r := range t.runs {
		if r.grantedAt <= takenAt {
			running++
		}
	}
	reported := e.Running + e.Waiting
	t.load.external = max(0, reported-running-t.load.endedRunsAt(takenAt))
	c.endUnreportedOrphans(t, running-reported, takenAt)
}

// endUnreportedOrphans ends up to count runs of dead holders that the target no
// longer reports, the oldest first.
func (c *Cell) endUnreportedOrphans(t *target, count int, takenAt swclock.Millis) {
	for ; count > 0; count-- {
		var oldest *run
		for _, r := range t.runs {
			if r.orphanedAt > 0 && r.orphanedAt <= takenAt && (oldest == nil || r.grantedAt < oldest.grantedAt) {
				oldest = r
			}
		}
		if oldest == nil {
			return
		}
		c.endRun(oldest)
	}
}

// expireLoad drops the external load of targets without a recent report.
func (c *Cell) expireLoad() {
	for _, t := range c.targets {
		if c.now-t.load.reportedAt > externalLoadLifetime {
			t.load.external = 0
		}
	}
}
