package swcell

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

const (
	// maxRecentEnds is the number of ended runs that a loadTracker keeps.
	maxRecentEnds = 64
	// externalLoadLifetime is how long after its measurement external load is counted.
	externalLoadLifetime = 3 * swclock.Second
)

// loadTracker computes a target's external load, which is the load that the cell did
// not grant. A load report is old when it arrives, so the tracker subtracts the runs
// that the cell had on the target when the target measured its load.
type loadTracker struct {
	// ends is a ring buffer of the latest ended runs; nextEnd is the index of the oldest.
	ends    [maxRecentEnds]runSpan
	nextEnd int
	// external is the number of requests on the target that the cell did not grant.
	external int
	// measuredAt is when the target measured the load that it reported last.
	measuredAt swclock.Millis
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
	measuredAt := c.now - e.Age
	if measuredAt < t.load.measuredAt {
		return
	}
	t.load.measuredAt = measuredAt
	running := 0
	for _, r := range t.runs {
		if r.grantedAt <= measuredAt {
			running++
		}
	}
	reported := e.Running + e.Waiting
	t.load.external = max(0, reported-running-t.load.endedRunsAt(measuredAt))
	c.endUnreportedOrphans(t, running-reported, measuredAt)
}

// endUnreportedOrphans ends up to count runs of dead holders that the target no
// longer reports, the oldest first.
func (c *Cell) endUnreportedOrphans(t *target, count int, measuredAt swclock.Millis) {
	for ; count > 0; count-- {
		var oldest *run
		for _, r := range t.runs {
			if r.orphanedAt > 0 && r.orphanedAt <= measuredAt && (oldest == nil || r.grantedAt < oldest.grantedAt) {
				oldest = r
			}
		}
		if oldest == nil {
			return
		}
		c.endRun(oldest)
	}
}

// expireLoad clears the external load of targets without a recent load report.
func (c *Cell) expireLoad() {
	for _, t := range c.targets {
		if c.now-t.load.measuredAt > externalLoadLifetime {
			t.load.external = 0
		}
	}
}
