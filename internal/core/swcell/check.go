package swcell

import "slices"

// checkGrant reports a grant that breaks an invariant.
func (c *Cell) checkGrant(t *tier, r *request, on *target) {
	p, known := c.history.Peek(r.grantRequest.Key)
	switch {
	case c.running[runKey{r.grantRequest.Key, r.grantRequest.Attempt}] != nil || (known && p.attempt >= r.grantRequest.Attempt):
		c.reportViolation("an attempt is granted at most once", r.grantRequest.Key, on)
	case slices.Contains(p.targets, on.conf.ID) || slices.Contains(r.grantRequest.Exclude, on.conf.ID):
		c.reportViolation("a request is granted a target at most once", r.grantRequest.Key, on)
	case !on.active():
		c.reportViolation("only active targets are granted", r.grantRequest.Key, on)
	case len(on.runs) >= on.conf.Slots:
		c.reportViolation("a target runs at most as many requests as it has slots", r.grantRequest.Key, on)
	case t.closedUntil > c.now:
		c.reportViolation("a lower tier is not granted after a higher one was shed", r.grantRequest.Key, on)
	}
}

// checkShed reports lower tiers that wait or run after a request was shed.
func (c *Cell) checkShed(t *tier, r *request) {
	for _, lower := range c.tiers[t.rank+1:] {
		if lower.queue.Len() > 0 {
			c.reportViolation("no lower tier waits when a request is shed", r.grantRequest.Key, nil)
		}
	}
	if v := c.victim(t, nil); v != nil {
		c.reportViolation("no lower tier runs cancellably when a request is shed", r.grantRequest.Key, v.target)
	}
}

func (c *Cell) reportViolation(invariant string, k Key, on *target) {
	c.violations++
	if c.onViolation == nil {
		return
	}
	v := Violation{Invariant: invariant, Key: k}
	if on != nil {
		v.Target = on.conf.ID
	}
	c.onViolation(v)
}
