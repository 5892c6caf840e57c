package swvalue

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// occupancyTime is how long it is uncertain what a target runs, after there was a sign that it may run more than
	// this cell knows of: about as long as callers wait, and so as a target may go on with a request whose holder died.
	occupancyTime = 15 * swclock.Second
	// acceptTime is how long after its grant a request may be rejected for lack of room.
	acceptTime = 200 * swclock.Millis(1)
	// rejectionSpan is the span over which rejections are counted: a second, and the time by which they may be
	// reported late.
	rejectionSpan = 1250 * swclock.Millis(1)
	// minAcceptable is the number of requests that may be granted a target at a time even if it must not reject
	// any: without, nothing would show that it has room.
	minAcceptable = 1
)

// occupancy is what is known of the room of a target that may run more than this cell knows of.
type occupancy struct {
	// doubtedAt is when there was last a sign that the target may do so; 0 for never.
	doubtedAt swclock.Millis
	// accepted is the largest number of requests of this cell that the target had at once since, when one of them ended.
	// As what else it runs only ends, it has room for as many.
	accepted int
	// rejections has the instants of the latest rejections for lack of room.
	rejections []swclock.Millis
}

// doubt records a sign that the target may run more than is known.
func (o *occupancy) doubt(now swclock.Millis) { o.doubtedAt, o.accepted = max(now, 1), 0 }

// doubted reports whether the target may run more than is known.
func (o *occupancy) doubted(now swclock.Millis) bool {
	return o.doubtedAt > 0 && now-o.doubtedAt < occupancyTime
}

// recordRejection records that the target rejected a request for lack of room.
func (o *occupancy) recordRejection(now swclock.Millis) {
	o.doubt(now)
	o.rejections = slices.DeleteFunc(o.rejections, func(at swclock.Millis) bool { return now-at >= rejectionSpan })
	o.rejections = append(o.rejections, now)
}

// recordHandover records that a holder comes from another owner, or goes to one: either owner may not know what the
// other has granted.
func (c *Cell[P, O]) recordHandover() {
	c.handoverAt = max(c.now, 1)
	for _, t := range c.targets {
		t.occupancy.doubt(c.now)
	}
}

// handleHolderLeft records that another owner schedules the requests of a holder.
func (c *Cell[P, O]) handleHolderLeft(e swcell.HolderLeft) {
	c.recordHandover()
	for _, r := range c.running {
		r.elsewhere = r.elsewhere || r.grantRequest.Key.Holder == e.Holder
	}
}

// acceptable returns how many more requests a target may be granted now, if it is brittle and other owners may grant it
// too, or it is not certain what it runs. In the former case it is what is left of the slots that are this owner's. In
// the latter it is as many as the target has had before, and beyond them as many as it may reject in a second, half of
// them while another owner may grant it too.
func (c *Cell[P, O]) acceptable(t *target) (n int, restricted bool) {
	maxRejections, brittle := c.cfg.Brittle.MaxRejections(t.conf.ID)
	if !brittle {
		return 0, false
	}
	granted, accepted := t.ownRuns(c.now)
	n = c.cfg.Grantable(t.conf.ID, t.conf.Slots) - granted
	if !t.occupancy.doubted(c.now) {
		return max(n, 0), true
	}
	return max(min(n, max(t.occupancy.accepted, accepted)+c.rejectable(t, maxRejections)-granted), 0), true
}

// recordAccepted records how many requests of this cell a target has at once, before one of them ends.
func (c *Cell[P, O]) recordAccepted(t *target) {
	if _, brittle := c.cfg.Brittle.MaxRejections(t.conf.ID); !brittle || !t.occupancy.doubted(c.now) {
		return
	}
	_, accepted := t.ownRuns(c.now)
	t.occupancy.accepted = max(t.occupancy.accepted, accepted)
}

// ownRuns returns the number of runs that this owner schedules, and of those among them that the target has accepted.
func (t *target) ownRuns(now swclock.Millis) (granted, accepted int) {
	for _, r := range t.runs {
		if r.elsewhere {
			continue
		}
		granted++
		if r.firstOutputAt > 0 || now-r.grantedAt >= acceptTime {
			accepted++
		}
	}
	return granted, accepted
}

// rejectable returns how many requests a brittle target may have to reject now.
func (c *Cell[P, O]) rejectable(t *target, maxRejections int) int {
	n := maxRejections
	if c.handoverAt > 0 && c.now-c.handoverAt < occupancyTime {
		n /= 2
	}
	n = max(n, minAcceptable)
	for _, at := range t.occupancy.rejections {
		if c.now-at < rejectionSpan {
			n--
		}
	}
	return max(n, 0)
}
