package swcell

import "slices"

// dispatch grants waiting requests in their order as long as targets have room.
func (c *Cell) dispatch() {
	for _, tier := range c.tiers {
		for scanned := 0; scanned < c.cfg.ScanLimit; {
			i, ok := tier.Head()
			if !ok || !c.anyRoom() {
				break
			}
			r := i.Value
			if t := c.choose(r); t != nil {
				tier.Take(i)
				delete(c.waiting, r.ask.Key)
				c.startRun(r.ask, t)
				c.emit(Grant{Key: r.ask.Key, Attempt: r.ask.Attempt, Target: t.conf.ID})
				continue
			}
			tier.Hold(i)
			scanned++
		}
		tier.Release()
	}
}

func (c *Cell) anyRoom() bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool { return t.active() && t.free() > 0 })
}

// usable reports whether the target may be granted to the request at all.
func (c *Cell) usable(r *request, t *target) bool {
	return t.active() && !slices.Contains(r.ask.Exclude, t.conf.ID)
}

func (c *Cell) anyTarget(r *request) bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool { return c.usable(r, t) })
}

func (c *Cell) choose(r *request) *target {
	var best *target
	for _, t := range c.targets {
		if !c.usable(r, t) || !t.fits(r.ask.PromptTokens+r.ask.OutputTokens) {
			continue
		}
		if best == nil || len(t.runs)*best.conf.Slots < len(best.runs)*t.conf.Slots {
			best = t
		}
	}
	return best
}

// expire gives up the requests that can no longer start in time.
func (c *Cell) expire() {
	for _, tier := range c.tiers {
		for {
			i, ok := tier.MostUrgent()
			if !ok || i.LatestStart >= c.now {
				break
			}
			c.giveUp(i.Value, ReasonOverload)
		}
	}
}
