package swvalue

import (
	"cmp"
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// quotaReserve is the part of the burst that a tier leaves to each tier above
	// it, so that an organisation's urgent requests are the last to meet its quota.
	quotaReserve = 0.15
	// minReturn and maxReturn bound the time after which a refused request is to come back.
	minReturn = 200 * swclock.Millis(1)
	maxReturn = 5 * swclock.Second
	// returnSpread spreads the returns of requests that are refused together, as a share of the wait.
	returnSpread = 0.5
)

// admit queues a request, or refuses it at once: over its quota, or without a
// prospect of an answer before its deadline.
func (c *Cell[P, O]) admit(r *request) {
	idle, ok := c.bestIdle(r)
	if !ok {
		c.giveUp(r, swcell.ReasonNoTarget, c.spread(minReturn))
		return
	}
	if wait, ok := c.charge(r); !ok {
		c.giveUp(r, swcell.ReasonQuota, c.spread(wait))
		return
	}
	if wait := c.expectedWait(r, idle); float64(c.now)+wait+idle.total > float64(r.ask.Deadline) {
		c.giveUp(r, swcell.ReasonOverload, c.spread(swclock.Millis(wait)))
		return
	}
	c.waiting = append(c.waiting, r)
}

// charge takes a request's first attempt from its organisation's quota.
func (c *Cell[P, O]) charge(r *request) (swclock.Millis, bool) {
	if c.cfg.Ledger == nil || r.ask.Attempt > 1 {
		return 0, true
	}
	amount := float64(tokens(&r.ask))
	if amount == 0 {
		amount = c.cfg.PlainAmount
	}
	reserve := quotaReserve * float64(c.rank(r.ask.Tier))
	wait, ok := c.cfg.Ledger.Take(r.ask.Org, amount, reserve, c.now)
	if ok {
		r.charged = amount
	}
	return wait, ok
}

// expectedWait estimates the time until a request is granted a target: until
// the running work leaves a place, and the waiting work that ranks higher has
// been taken.
func (c *Cell[P, O]) expectedWait(r *request, idle estimate) float64 {
	own := c.claim(r, idle)
	rank := c.order.Rank(&own)
	places := c.typicalSlots()
	ahead := 0.0
	for _, o := range c.waiting {
		e, ok := c.bestIdle(o)
		if !ok {
			continue
		}
		claim := c.claim(o, e)
		if c.order.Rank(&claim) >= rank {
			ahead += c.model.work(e.uncached, o.output, places)
		}
	}
	speed, soonest := c.supply()
	if speed == 0 {
		return math.Inf(1)
	}
	if len(c.waiting) == 0 && soonest == 0 {
		return 0
	}
	return soonest + ahead/speed
}

// supply returns how many typical targets the active ones are worth, and the
// time until the first of them has room.
func (c *Cell[P, O]) supply() (speed, soonest float64) {
	soonest = math.Inf(1)
	for _, t := range c.targets {
		if !t.active() || (t.distrusted() && c.now < t.retryAt) {
			continue
		}
		speed += 1 / t.slow.ofDecode()
		if t.room(c.now) > 0 {
			soonest = 0
			continue
		}
		for _, r := range t.runs {
			soonest = min(soonest, r.remaining(c.now))
		}
	}
	if math.IsInf(soonest, 1) {
		soonest = 0
	}
	return speed, soonest
}

// review gives up what can no longer be answered in time, and ends runs that are
// lost from sight.
func (c *Cell[P, O]) review() {
	c.freeLost()
	kept := c.waiting[:0]
	for _, r := range c.waiting {
		idle, ok := c.bestIdle(r)
		switch {
		case !ok && c.now-r.asked >= noTargetPatience:
			c.giveUp(r, swcell.ReasonNoTarget, c.spread(minReturn))
		case ok && float64(c.now)+idle.total > float64(r.ask.Deadline):
			c.giveUp(r, swcell.ReasonOverload, c.spread(minReturn))
		default:
			kept = append(kept, r)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// noTargetPatience is how long a request waits while no target may take it.
const noTargetPatience = swclock.Second

// spread returns when a refused request is to come back, so that those refused
// together do not return together.
func (c *Cell[P, O]) spread(wait swclock.Millis) swclock.Millis {
	wait = min(max(wait, minReturn), maxReturn)
	return wait + swclock.Millis(c.random.Float64()*returnSpread*float64(wait))
}

// dispatch grants waiting requests, the most worthy first, as long as targets have room.
func (c *Cell[P, O]) dispatch() {
	if len(c.waiting) == 0 || !c.anyRoom() {
		return
	}
	type ranked struct {
		request *request
		rank    float64
	}
	queue := make([]ranked, 0, len(c.waiting))
	for _, r := range c.waiting {
		if idle, ok := c.bestIdle(r); ok {
			claim := c.claim(r, idle)
			queue = append(queue, ranked{r, c.order.Rank(&claim)})
		}
	}
	slices.SortStableFunc(queue, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	for _, q := range queue {
		if !c.anyRoom() {
			return
		}
		if o, ok := c.best(q.request); ok {
			c.grant(q.request, &o)
		}
	}
}

func (c *Cell[P, O]) anyRoom() bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool { return t.room(c.now) > 0 })
}
