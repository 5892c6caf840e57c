package swcell

import "slices"

func (c *Cell) ask(e Ask) {
	if r := c.running[runKey{e.Key, e.Attempt}]; r != nil {
		// The holder asks again because a grant was lost with a link.
		c.emit(Grant{Key: e.Key, Attempt: e.Attempt, Target: r.target.conf.ID})
		return
	}
	p, known := c.history.Get(e.Key)
	if known && e.Attempt <= p.attempt {
		return
	}
	if r := c.waiting[e.Key]; r != nil {
		if e.Attempt <= r.ask.Attempt {
			return
		}
		c.unqueue(r)
	}
	for _, id := range p.targets {
		if !slices.Contains(e.Exclude, id) {
			e.Exclude = append(slices.Clip(e.Exclude), id)
		}
	}
	c.enqueue(e)
}

func (c *Cell) enqueue(e Ask) {
	r := &request{ask: e}
	r.item.Value = r
	r.item.Org = e.Org
	r.item.Deadline = e.Deadline
	r.item.LatestStart = e.Deadline
	r.item.Work = 1
	r.item.Cost = c.cost(&e)
	c.waiting[e.Key] = r
	c.tiers[c.tierOf(&e)].Push(&r.item)
	if !c.anyTarget(r) {
		c.giveUp(r, ReasonNoTarget)
	} else if e.Deadline <= c.now {
		c.giveUp(r, ReasonDeadline)
	}
}

func (c *Cell) cost(e *Ask) float64 {
	return float64(e.PromptTokens) + c.cfg.OutputTokenCost*float64(e.OutputTokens) + 1
}

func (c *Cell) unqueue(r *request) {
	c.tiers[c.tierOf(&r.ask)].Remove(&r.item)
	delete(c.waiting, r.ask.Key)
}

func (c *Cell) giveUp(r *request, reason Reason) {
	c.unqueue(r)
	c.emit(GiveUp{Key: r.ask.Key, Attempt: r.ask.Attempt, Reason: reason, RetryAfter: 1000})
}

func (c *Cell) withdraw(e Withdraw) {
	if r := c.waiting[e.Key]; r != nil && r.ask.Attempt == e.Attempt {
		c.unqueue(r)
	}
	k := runKey{e.Key, e.Attempt}
	if r := c.running[k]; r != nil {
		c.endRun(k, r)
	}
}

func (c *Cell) inFlight(e InFlight) {
	k := runKey{e.Ask.Key, e.Ask.Attempt}
	p, known := c.history.Get(e.Ask.Key)
	if c.running[k] != nil || (known && p.attempt >= e.Ask.Attempt) {
		return
	}
	if r := c.waiting[e.Ask.Key]; r != nil && r.ask.Attempt <= e.Ask.Attempt {
		c.unqueue(r)
	}
	t := c.byID[e.Target]
	if t == nil {
		// The target is not configured yet; it takes no new work until it is.
		t = newTarget(Target{ID: e.Target, State: TargetDraining})
		c.byID[e.Target] = t
		c.targets = append(c.targets, t)
	}
	c.startRun(e.Ask, t)
	c.running[k].granted -= e.Elapsed
}

func (c *Cell) done(e Done) {
	k := runKey{e.Key, e.Attempt}
	if r := c.running[k]; r != nil {
		c.endRun(k, r)
	}
}

// startRun counts an attempt on a target and remembers it.
func (c *Cell) startRun(a Ask, t *target) {
	k := runKey{a.Key, a.Attempt}
	r := &run{ask: a, target: t, granted: c.now, expectedEnd: a.Deadline}
	c.running[k] = r
	t.add(k, r)
	p, _ := c.history.Get(a.Key)
	p.attempt = a.Attempt
	p.targets = append(slices.Clip(p.targets), t.conf.ID)
	p.preempted = false
	c.history.Add(a.Key, p)
}

func (c *Cell) endRun(k runKey, r *run) {
	delete(c.running, k)
	r.target.remove(k, r)
}
