package swcell

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// rejectLate rejects a request that can no longer meet its deadline. If even an
// idle target could not have met the deadline from the time of the grant request on,
// the cause is the deadline and not a lack of capacity, and lower tiers are not shed.
func (c *Cell) rejectLate(r *request) {
	if c.neverFeasible(r) {
		c.reject(r, ReasonDeadline)
		return
	}
	c.shed(r)
}

// shed rejects a request for lack of capacity, after it has rejected the waiting
// requests of lower tiers and preempted their cancellable runs on active targets. A
// suspect request is rejected without any effect on lower tiers: it waits for a target
// that runs nothing else, so a lack of capacity is not what delays it.
func (c *Cell) shed(r *request) {
	if c.isSuspect(r) {
		c.reject(r, ReasonSuspect)
		return
	}
	t := c.tierOf(&r.grantRequest)
	after := c.retryAfter(t)
	c.closeTiersBelow(t, min(r.grantRequest.Deadline, c.now+after))
	c.preemptBelow(t.rank)
	for _, lower := range slices.Backward(c.tiers[t.rank+1:]) {
		c.rejectAll(lower)
	}
	c.rejectWithRetryAfter(r, ReasonOverload, after)
	c.checkShed(t, r)
}

// closeTiersBelow closes the tiers below t, so that they are granted nothing before
// the given time. The time is when the caller of the shed request may retry, or that
// request's deadline if it is earlier.
func (c *Cell) closeTiersBelow(t *tier, until swclock.Millis) {
	for _, lower := range c.tiers[t.rank+1:] {
		lower.closedUntil = max(lower.closedUntil, until)
	}
}

// rejectAll rejects all waiting requests of a tier because a request of a higher tier
// is shed.
func (c *Cell) rejectAll(t *tier) {
	for {
		i, ok := t.queue.MostUrgent()
		if !ok {
			return
		}
		after := max(t.closedUntil-c.now, c.retryAfter(t))
		c.closeTiersBelow(t, min(i.Deadline, c.now+after))
		c.rejectWithRetryAfter(i.Value, ReasonOverload, after)
	}
}

// preemptBelow preempts all cancellable runs of the tiers below a rank on active targets.
func (c *Cell) preemptBelow(rank int) {
	for _, t := range c.targets {
		if !t.active() {
			continue
		}
		for _, r := range t.runs {
			if c.tierOf(&r.grantRequest).rank > rank && r.cancellable() {
				c.preempt(r)
			}
		}
	}
}

func (c *Cell) preempt(r *run) {
	r.preempted = true
	if p, ok := c.history.Get(r.grantRequest.Key); ok {
		p.preempted = true
		c.history.Add(r.grantRequest.Key, p)
	}
	t := c.tierOf(&r.grantRequest)
	after := max(t.closedUntil-c.now, c.retryAfter(t))
	c.emit(Preempt{Key: r.grantRequest.Key, Attempt: r.grantRequest.Attempt, Target: r.target.conf.ID, RetryAfter: after})
}

func (c *Cell) reject(r *request, reason RejectReason) {
	after := swclock.Millis(0)
	if reason != ReasonDeadline {
		after = c.retryAfter(c.tierOf(&r.grantRequest))
	}
	c.rejectWithRetryAfter(r, reason, after)
}

func (c *Cell) rejectWithRetryAfter(r *request, reason RejectReason, after swclock.Millis) {
	c.dequeue(r)
	c.emit(Reject{Key: r.grantRequest.Key, Attempt: r.grantRequest.Attempt, Reason: reason, RetryAfter: after})
}

// retryAfter returns the time until the present backlog of a tier and of the tiers
// above it is expected to have started. Without any slot in the forecast it
// returns maxBackoff, after which every target that failed has been probed again.
func (c *Cell) retryAfter(t *tier) swclock.Millis {
	const shortest, longest = swclock.Second, 5 * swclock.Minute
	s := c.supplyOf(t)
	if len(s.slots) == 0 {
		return maxBackoff
	}
	return min(max(ceilMillis(s.startAfter(c.workAbove(t)+t.queue.Work())), shortest), longest)
}

// workAbove returns the work that waits in the tiers above a tier.
func (c *Cell) workAbove(t *tier) float64 {
	var work float64
	for _, higher := range c.tiers[:t.rank] {
		work += higher.queue.Work()
	}
	return work
}

// rejectExpired rejects the requests whose latest start has passed.
func (c *Cell) rejectExpired() {
	for _, t := range c.tiers {
		for {
			i, ok := t.queue.MostUrgent()
			if !ok || i.LatestStart >= c.now {
				break
			}
			c.rejectLate(i.Value)
		}
	}
}

// infeasible reports whether a waiting request is not expected to start in time,
// given the work that is queued ahead of it.
func (c *Cell) infeasible(t *tier, i *item) bool {
	ahead := c.workAbove(t)
	if !c.mayBorrow(t, i) {
		ahead += t.queue.Ahead(i)
	}
	start := c.supplyOf(t).startAfter(ahead)
	start = max(start*c.cfg.ShedWaitFactor, float64(t.closedUntil-c.now))
	return start > float64(i.LatestStart-c.now)
}

// reviewOnEnqueue checks a request that was just queued and the next requests of its
// organisation by deadline, which the new request delays most, and sheds those that
// are infeasible. Nothing is checked while the tier is open and a slot is free.
func (c *Cell) reviewOnEnqueue(r *request) {
	t := c.tierOf(&r.grantRequest)
	if c.anyFreeSlot() && t.closedUntil <= c.now {
		return
	}
	const delayedRequests = 2
	previous := &r.item
	for range delayedRequests {
		next, ok := t.queue.After(previous)
		if !ok {
			break
		}
		if c.infeasible(t, next) {
			c.shed(next.Value)
			continue
		}
		previous = next
	}
	if c.infeasible(t, &r.item) {
		c.shed(r)
	}
}

// reviewWaiting sheds infeasible requests. Each call checks the next ReviewLimit
// requests of each tier by latest start, and starts over at the end of the queue.
func (c *Cell) reviewWaiting() {
	for _, t := range c.tiers {
		for range min(c.cfg.ReviewLimit, t.queue.Len()) {
			i, ok := t.queue.NextUrgent(t.cursor)
			if !ok {
				t.cursor = nil
				break
			}
			t.cursor = i
			if c.infeasible(t, i) {
				c.shed(i.Value)
			}
		}
	}
}

// preemptForUrgent preempts runs of lower tiers for the waiting requests that
// would miss their deadline if they waited for runs to end on their own.
func (c *Cell) preemptForUrgent() {
	var ahead float64
	for _, t := range c.tiers {
		if t.queue.Len() > 0 {
			c.preemptFor(t, ahead)
		}
		ahead += t.queue.Work()
	}
}

// preemptFor preempts runs for the urgent requests of one tier. ahead is the work that
// waits in the tiers above.
func (c *Cell) preemptFor(t *tier, ahead float64) {
	if c.victim(t, nil) == nil {
		return
	}
	forecast := c.unpreemptedSupply()
	visited := 0
	t.queue.Urgent(func(i *item) bool {
		visited++
		start := forecast.startAfter(ahead)
		ahead += i.Work
		if start+preemptMargin > float64(i.Value.safeStart-c.now) && !c.isSuspect(i.Value) {
			if v := c.victim(t, i.Value); v != nil {
				c.preempt(v)
				c.unpreempted.stale = true
				forecast = c.unpreemptedSupply()
			}
		}
		return visited < c.cfg.PreemptScanLimit
	})
}

// unpreemptedSupply returns the forecast in which no further run is preempted.
func (c *Cell) unpreemptedSupply() *supply {
	if c.outdated(&c.unpreempted) {
		c.forecast(&c.unpreempted, len(c.tiers))
	}
	return &c.unpreempted
}

// preemptMargin is the assumed time from a Preempt action until the slot of the
// preempted run is free, in milliseconds.
const preemptMargin = 50.0

// victim returns the run of the tiers below t whose preemption loses the least, or nil
// if none can be preempted. Runs of the lowest tier come first, and among these the run
// with the least lost cost. If r is not nil, the run's target must be able to finish r
// in time, and the lost cost is multiplied by the time that r would take there.
func (c *Cell) victim(t *tier, r *request) *run {
	var best *run
	var bestLoss float64
	for _, on := range c.targets {
		if !on.active() || (r != nil && !c.canMeetDeadlineOn(on, r)) {
			continue
		}
		// A slot that r occupies for a shorter time serves more requests.
		span := 1.0
		if r != nil {
			o := c.estimateIdle(r, on)
			span = o.total
		}
		for _, v := range on.runs {
			rank := c.tierOf(&v.grantRequest).rank
			if rank <= t.rank || !v.cancellable() {
				continue
			}
			loss := c.lostCost(v) * span
			if best == nil || rank > c.tierOf(&best.grantRequest).rank || (rank == c.tierOf(&best.grantRequest).rank && loss < bestLoss) {
				best, bestLoss = v, loss
			}
		}
	}
	return best
}

// canMeetDeadlineOn reports whether the request would meet its deadline in a slot
// of the target that is freed by preemption now.
func (c *Cell) canMeetDeadlineOn(t *target, r *request) bool {
	return c.usable(r, t) && float64(c.now)+preemptMargin+c.estimate(r, t).total <= float64(r.grantRequest.Deadline)
}

// lostCost returns the cost of the tokens that a run has processed so far, which are lost
// if the run is cancelled.
func (c *Cell) lostCost(r *run) float64 {
	prompt := float64(r.grantRequest.PromptTokens) - r.cached
	if perToken := r.target.rates.Prefill.Value(); perToken > 0 {
		prompt = clamp(float64(c.now-r.grantedAt)/perToken-r.queued, 0, prompt)
	}
	return c.cost(prompt, math.Max(float64(r.produced), 0))
}
