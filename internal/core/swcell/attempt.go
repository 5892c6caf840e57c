package swcell

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// handleGrantRequest handles a grant request. If the attempt runs, the cell returns its
// grant again. A request for an attempt that is not later than the latest one granted
// or waiting is ignored.
func (c *Cell) handleGrantRequest(e GrantRequest) {
	if r := c.running[runKey{e.Key, e.Attempt}]; r != nil {
		// The holder repeats its grant request, for example because the connection broke
		// before the grant arrived.
		c.emit(r.grant())
		return
	}
	p, known := c.history.Get(e.Key)
	if known && e.Attempt <= p.attempt {
		return
	}
	if r := c.waiting[e.Key]; r != nil {
		if e.Attempt <= r.grantRequest.Attempt {
			return
		}
		c.dequeue(r)
	}
	for _, id := range p.targets {
		if !slices.Contains(e.Exclude, id) {
			e.Exclude = append(slices.Clip(e.Exclude), id)
		}
	}
	c.admit(e, p.preempted)
}

// admit queues a grant request, or rejects it at once.
func (c *Cell) admit(e GrantRequest, preempted bool) {
	c.strikes.Report(e.Fingerprint, int(e.Strikes), c.now)
	r := c.enqueue(e)
	verdict, wait := c.strikes.Verdict(e.Fingerprint, c.now)
	switch {
	case verdict == swsuspect.Refused:
		c.rejectWithRetryAfter(r, ReasonSuspect, wait)
	case !c.anyTarget(r):
		c.reject(r, ReasonNoTarget)
	case r.item.LatestStart < c.now:
		c.reject(r, ReasonDeadline)
	case e.Attempt > 1 && !preempted && !c.retryBudget.Take():
		c.reject(r, ReasonRetryBudget)
	default:
		c.reviewOnEnqueue(r)
	}
}

func (c *Cell) enqueue(e GrantRequest) *request {
	r := &request{grantRequest: e, requestedAt: c.now}
	c.setEstimates(r)
	r.item.Value = r
	r.item.Org = e.Org
	r.item.Deadline = e.Deadline
	c.waiting[e.Key] = r
	c.tierOf(&e).queue.Push(&r.item)
	return r
}

func (c *Cell) dequeue(r *request) {
	c.tierOf(&r.grantRequest).queue.Remove(&r.item)
	delete(c.waiting, r.grantRequest.Key)
}

func (c *Cell) handleWithdraw(e Withdraw) {
	if r := c.waiting[e.Key]; r != nil && r.grantRequest.Attempt == e.Attempt {
		c.dequeue(r)
	}
	if r := c.running[runKey{e.Key, e.Attempt}]; r != nil {
		c.endRun(r)
		c.undoGrant(r)
	}
}

// undoGrant removes an unused grant from the request's history, so that the holder may
// request a grant for the same attempt again.
func (c *Cell) undoGrant(r *run) {
	p, known := c.history.Get(r.grantRequest.Key)
	if !known || p.attempt != r.grantRequest.Attempt {
		return
	}
	p.attempt--
	p.targets = slices.DeleteFunc(slices.Clone(p.targets), func(id swid.TargetID) bool { return id == r.target.conf.ID })
	c.history.Add(r.grantRequest.Key, p)
}

func (c *Cell) handleInFlight(e InFlight) {
	k := runKey{e.GrantRequest.Key, e.GrantRequest.Attempt}
	p, known := c.history.Get(e.GrantRequest.Key)
	if c.running[k] != nil || (known && p.attempt >= e.GrantRequest.Attempt) {
		return
	}
	if r := c.waiting[e.GrantRequest.Key]; r != nil && r.grantRequest.Attempt <= e.GrantRequest.Attempt {
		c.dequeue(r)
	}
	c.strikes.Report(e.GrantRequest.Fingerprint, int(e.GrantRequest.Strikes), c.now)
	t := c.byID[e.Target]
	if t == nil {
		// The target takes no new work until a configuration lists it.
		t = c.addTarget(Target{ID: e.Target})
	}
	r := &request{grantRequest: e.GrantRequest, requestedAt: c.now}
	c.setEstimates(r)
	started := c.startRun(r, t)
	started.grantedAt -= e.Elapsed
	started.produced, started.producedAt = e.Produced, c.now
	c.predictEnd(started)
}

func (c *Cell) handleHolderDied(e HolderDied) {
	died := func(k Key) bool { return k.Holder == e.Holder && k.Incarnation <= e.Incarnation }
	for k, r := range c.waiting {
		if died(k) {
			c.dequeue(r)
		}
	}
	for k, r := range c.running {
		if died(k.key) && r.orphanedAt == 0 {
			r.orphanedAt = max(c.now, 1)
		}
	}
}
