package swvalue

import (
	"cmp"
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// quotaReserve is the part of a quota that a tier leaves to each tier above
	// it, so that an organisation's urgent requests are the last to meet it.
	quotaReserve = 0.1
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
	work := c.work(r, idle.uncached)
	c.sizes.of(r.ask.Tier).work.add(work)
	rank := c.rank(r, work, float64(c.now)+idle.first)
	c.inflow.add(rank, work, c.now)
	queue := c.queue()
	if wait, hopeless := c.hopeless(r, idle, queue); hopeless {
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
	amount := float64(r.ask.Charge)
	reserve := quotaReserve * float64(c.tier(r.ask.Tier))
	wait, ok := c.cfg.Ledger.Take(processOf(&r.ask), r.ask.Org, amount, reserve, c.now)
	if ok {
		r.charged = amount
	}
	return wait, ok
}

// ranked is a waiting request with what its place in the queue depends on.
type ranked struct {
	request *request
	idle    estimate
	work    float64
	rank    float64
}

// queue returns the waiting requests that a target may take, the highest rank first.
func (c *Cell[P, O]) queue() []ranked {
	queue := make([]ranked, 0, len(c.waiting))
	for _, r := range c.waiting {
		if idle, ok := c.bestIdle(r); ok {
			work := c.work(r, idle.uncached)
			queue = append(queue, ranked{r, idle, work, c.rank(r, work, float64(c.now)+idle.first)})
		}
	}
	slices.SortStableFunc(queue, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	return queue
}

// hopeless reports whether a request cannot be expected to be answered before
// its deadline, and the time until it would be granted a target.
func (c *Cell[P, O]) hopeless(r *request, idle estimate, queue []ranked) (wait float64, hopeless bool) {
	work := c.work(r, idle.uncached)
	wait = c.expectedWait(c.rank(r, work, float64(c.now)+idle.first), r, queue)
	first := float64(c.now) + wait + idle.first
	if r.ask.Objective > 0 && first > float64(r.ask.Objective) {
		// It will be late, and ranks lower by then.
		wait = c.expectedWait(c.rank(r, work, first), r, queue)
	}
	leaves := r.ask.Deadline
	if r.ask.Abandon > 0 {
		leaves = min(leaves, r.ask.Abandon)
	}
	if float64(c.now-r.asked) > maxWaited*float64(leaves-r.asked) {
		return wait, true
	}
	start := float64(c.now) + wait
	return wait, start+c.least(idle) > float64(r.ask.Deadline) || start+idle.first > float64(leaves)
}

// maxWaited is the share of its time after which a request is given up that was
// granted nothing: what ranked higher until then has not become less.
const maxWaited = 0.3

// expectedWait estimates the time until a request of a rank is granted a target:
// until a place is free, and the work of higher rank that waits, and that
// arrives meanwhile, has been taken.
func (c *Cell[P, O]) expectedWait(rank float64, r *request, queue []ranked) float64 {
	ahead := 0.0
	for _, q := range queue {
		if q.rank < rank {
			break
		}
		if q.request != r {
			ahead += q.work
		}
	}
	speed, soonest := c.supply()
	if soonest == 0 && ahead == 0 {
		return 0
	}
	left := speed - c.inflow.above(rank, c.now)
	if left <= speed*leastLeft {
		left = speed * leastLeft
	}
	if left == 0 {
		return math.Inf(1)
	}
	return soonest + ahead/left
}

// leastLeft is the share of the targets' time that is expected to be left to
// any request: the load varies, and so does what its estimate is made of.
const leastLeft = 0.05

// supply returns how many typical targets the active ones are worth, and the
// time until the first of them has room.
func (c *Cell[P, O]) supply() (speed, soonest float64) {
	soonest = math.Inf(1)
	for _, t := range c.targets {
		if !t.active() || (t.distrusted() && c.now < t.retryAt) {
			continue
		}
		speed += 1 / t.rates.pace(&c.typical)
		if t.room(c.now) > 0 {
			soonest = 0
			continue
		}
		soonest = min(soonest, t.soonestEnd(c.now))
	}
	if math.IsInf(soonest, 1) {
		soonest = 0
	}
	return speed, soonest
}

// tick learns from the time that passed, and reviews what waits.
func (c *Cell[P, O]) tick() {
	c.updateTypical()
	c.freeLost()
	c.review()
}

// review gives up what can no longer be expected to be answered in time.
func (c *Cell[P, O]) review() {
	queue := c.queue()
	for i := 0; i < len(queue); {
		q := queue[i]
		wait, hopeless := c.hopeless(q.request, q.idle, queue)
		if !hopeless {
			i++
			continue
		}
		// Nothing waits behind what is given up.
		queue = slices.Delete(queue, i, i+1)
		c.remove(slices.Index(c.waiting, q.request))
		c.giveUp(q.request, swcell.ReasonOverload, c.spread(swclock.Millis(wait)))
	}
	if len(queue) == len(c.waiting) {
		return
	}
	for _, r := range slices.Clone(c.waiting) {
		if _, ok := c.bestIdle(r); !ok && c.now-r.asked >= noTargetPatience {
			c.remove(slices.Index(c.waiting, r))
			c.giveUp(r, swcell.ReasonNoTarget, c.spread(minReturn))
		}
	}
}

// shortOutput is the part of its expected output that a request may turn out
// to generate. One that could still be answered then is not given up.
const shortOutput = 0.4

// least returns the shortest time in which a request may end on the best target.
func (c *Cell[P, O]) least(idle estimate) float64 {
	return idle.first + shortOutput*(idle.total-idle.first)
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
	queue := c.queue()
	for _, q := range queue {
		if !c.anyRoom() {
			return
		}
		if o, ok := c.best(q.request); ok && !c.betterBusy(q.request, &o) {
			c.grant(q.request, &o)
		}
	}
}

func (c *Cell[P, O]) anyRoom() bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool { return t.room(c.now) > 0 })
}
