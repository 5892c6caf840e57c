package swcell

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// tooLate ends a request that can no longer meet its deadline. If it could not
// have met it from the start, that is not for lack of capacity.
func (c *Cell) tooLate(r *request) {
	if c.impossible(r) {
		c.giveUp(r, ReasonDeadline)
		return
	}
	c.shed(r)
}

// shed gives a request up for lack of capacity, after all lower tiers made way.
// A suspect waits for a target of its own, whatever the capacity, so no tier
// makes way for it.
func (c *Cell) shed(r *request) {
	if c.isSuspect(r) {
		c.giveUp(r, ReasonSuspect)
		return
	}
	t := c.tierOf(&r.ask)
	after := c.retryAfter(t)
	c.closeBelow(t, min(r.ask.Deadline, c.now+after))
	c.preemptBelow(t.rank)
	for _, lower := range slices.Backward(c.tiers[t.rank+1:]) {
		c.clear(lower)
	}
	c.giveUpAfter(r, ReasonOverload, after)
	c.checkShed(t, r)
}

// closeBelow keeps the tiers below from being granted anything until the
// callers of shed requests were told to come back, or their deadline has passed.
func (c *Cell) closeBelow(t *tier, until swclock.Millis) {
	for _, lower := range c.tiers[t.rank+1:] {
		lower.closedUntil = max(lower.closedUntil, until)
	}
}

// clear gives up everything that waits in a tier because a higher one sheds.
func (c *Cell) clear(t *tier) {
	for {
		i, ok := t.queue.MostUrgent()
		if !ok {
			return
		}
		after := max(t.closedUntil-c.now, c.retryAfter(t))
		c.closeBelow(t, min(i.Deadline, c.now+after))
		c.giveUpAfter(i.Value, ReasonOverload, after)
	}
}

// preemptBelow cancels all runs below a tier that may be cancelled.
func (c *Cell) preemptBelow(rank int) {
	for _, t := range c.targets {
		if !t.active() {
			continue
		}
		for _, r := range t.runs {
			if c.tierOf(&r.ask).rank > rank && r.cancellable() {
				c.preempt(r)
			}
		}
	}
}

func (c *Cell) preempt(r *run) {
	r.preempted = true
	if p, ok := c.history.Get(r.ask.Key); ok {
		p.preempted = true
		c.history.Add(r.ask.Key, p)
	}
	t := c.tierOf(&r.ask)
	after := max(t.closedUntil-c.now, c.retryAfter(t))
	c.emit(Preempt{Key: r.ask.Key, Attempt: r.ask.Attempt, Target: r.target.conf.ID, RetryAfter: after})
}

func (c *Cell) giveUp(r *request, reason Reason) {
	after := swclock.Millis(0)
	if reason != ReasonDeadline {
		after = c.retryAfter(c.tierOf(&r.ask))
	}
	c.giveUpAfter(r, reason, after)
}

func (c *Cell) giveUpAfter(r *request, reason Reason, after swclock.Millis) {
	c.unqueue(r)
	c.emit(GiveUp{Key: r.ask.Key, Attempt: r.ask.Attempt, Reason: reason, RetryAfter: after})
}

// retryAfter returns when the present backlog of a tier and those above has
// started. Without any supply it returns when every target that failed has been
// tried again.
func (c *Cell) retryAfter(t *tier) swclock.Millis {
	const shortest, longest = swclock.Second, 5 * swclock.Minute
	s := c.supplyOf(t)
	if len(s.slots) == 0 {
		return maxBackoff
	}
	return min(max(millis(s.startAfter(c.workAbove(t)+t.queue.Work())), shortest), longest)
}

// workAbove returns the work that waits in the tiers above.
func (c *Cell) workAbove(t *tier) float64 {
	var work float64
	for _, higher := range c.tiers[:t.rank] {
		work += higher.queue.Work()
	}
	return work
}

// expire gives up the requests whose latest start passed.
func (c *Cell) expire() {
	for _, t := range c.tiers {
		for {
			i, ok := t.queue.MostUrgent()
			if !ok || i.LatestStart >= c.now {
				break
			}
			c.tooLate(i.Value)
		}
	}
}

// hopeless reports whether the work ahead of a request in its order shows that
// it cannot start in time.
func (c *Cell) hopeless(t *tier, i *item) bool {
	ahead := c.workAbove(t)
	if !c.mayBorrow(t, i) {
		ahead += t.queue.Ahead(i)
	}
	start := c.supplyOf(t).startAfter(ahead)
	start = max(start*c.cfg.ShedConfidence, float64(t.closedUntil-c.now))
	return start > float64(i.LatestStart-c.now)
}

// reviewAround checks a request that was queued, and those that it delays most.
func (c *Cell) reviewAround(r *request) {
	t := c.tierOf(&r.ask)
	if c.anyRoom() && t.closedUntil <= c.now {
		return
	}
	const delayed = 2
	behind := &r.item
	for range delayed {
		next, ok := t.queue.After(behind)
		if !ok {
			break
		}
		if c.hopeless(t, next) {
			c.shed(next.Value)
			continue
		}
		behind = next
	}
	if c.hopeless(t, &r.item) {
		c.shed(r)
	}
}

// reviewWaiting checks some of the waiting requests, each in its turn.
func (c *Cell) reviewWaiting() {
	for _, t := range c.tiers {
		for range min(c.cfg.ReviewLimit, t.queue.Len()) {
			i, ok := t.queue.NextUrgent(t.cursor)
			if !ok {
				t.cursor = nil
				break
			}
			t.cursor = i
			if c.hopeless(t, i) {
				c.shed(i.Value)
			}
		}
	}
}

// preemptForUrgent cancels lower runs as far as waiting requests would miss
// their deadline by waiting for natural ends.
func (c *Cell) preemptForUrgent() {
	var ahead float64
	for _, t := range c.tiers {
		if t.queue.Len() > 0 {
			c.preemptFor(t, ahead)
		}
		ahead += t.queue.Work()
	}
}

func (c *Cell) preemptFor(t *tier, ahead float64) {
	if c.victim(t, nil) == nil {
		return
	}
	natural := c.naturalSupply()
	visited := 0
	t.queue.Urgent(func(i *item) bool {
		visited++
		start := natural.startAfter(ahead)
		ahead += i.Work
		if start+preemptMargin > float64(i.Value.safeStart-c.now) && !c.isSuspect(i.Value) {
			if v := c.victim(t, i.Value); v != nil {
				c.preempt(v)
				c.natural.stale = true
				natural = c.naturalSupply()
			}
		}
		return visited < c.cfg.UrgentLimit
	})
}

// naturalSupply forecasts the ends without any further cancellation.
func (c *Cell) naturalSupply() *supply {
	if c.outdated(&c.natural) {
		c.forecast(&c.natural, len(c.tiers))
	}
	return &c.natural
}

// preemptMargin is the time that a cancellation takes to free its slot, in milliseconds.
const preemptMargin = 50.0

// victim returns the run below a tier that is cancelled with the least waste:
// of the lowest tier, and there the one that took the least work so far. If r
// is not nil, the run's target must be able to finish r in time.
func (c *Cell) victim(t *tier, r *request) *run {
	var best *run
	var bestWaste float64
	for _, on := range c.targets {
		if !on.active() || (r != nil && !c.helps(on, r)) {
			continue
		}
		// A slot that is held for a shorter time serves more requests.
		span := 1.0
		if r != nil {
			o := c.estimateIdle(r, on)
			span = o.total
		}
		for _, v := range on.runs {
			rank := c.tierOf(&v.ask).rank
			if rank <= t.rank || !v.cancellable() {
				continue
			}
			waste := c.waste(v) * span
			if best == nil || rank > c.tierOf(&best.ask).rank || (rank == c.tierOf(&best.ask).rank && waste < bestWaste) {
				best, bestWaste = v, waste
			}
		}
	}
	return best
}

// helps reports whether a slot of the target would let the request finish in time.
func (c *Cell) helps(t *target, r *request) bool {
	return c.usable(r, t) && float64(c.now)+preemptMargin+c.estimate(r, t).total <= float64(r.ask.Deadline)
}

// waste returns the work that is lost if a run is cancelled.
func (c *Cell) waste(r *run) float64 {
	prompt := float64(r.ask.PromptTokens) - r.cached
	if perToken := r.target.rates.Prefill.Value(); perToken > 0 {
		prompt = bounded(float64(c.now-r.granted)/perToken-r.queued, 0, prompt)
	}
	return c.cost(prompt, math.Max(float64(r.produced), 0))
}
