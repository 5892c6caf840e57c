package swvalue

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"sort"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// quotaReserve is the share of a quota that a tier leaves to each tier above it,
	// so that an organisation's most urgent requests are the last to exceed the quota.
	quotaReserve = 0.1
	// minRetryAfter and maxRetryAfter bound the time after which the caller of a rejected
	// request may retry.
	minRetryAfter = 200 * swclock.Millis(1)
	maxRetryAfter = 5 * swclock.Second
	// retryJitter is the largest random addition to that time, as a share of it, so
	// that requests which are rejected together do not return together.
	retryJitter = 0.5
)

// admit queues a request, or rejects it at once: if no target may run it, also in a moment, if it
// exceeds its organisation's quota, or if it is infeasible.
func (c *Cell[P, O]) admit(r *request) {
	idle, ok := c.idle(r)
	if !ok && !r.awaitsOrigin() && !c.awaitsVersion(r) && !c.awaitsAdmission(r) && !c.mayAwaitHost(r) {
		c.reject(r, swcell.ReasonNoTarget, c.retryAfter(minRetryAfter))
		return
	}
	if wait, ok := c.charge(r); !ok {
		c.reject(r, swcell.ReasonQuota, c.retryAfter(wait))
		return
	}
	r.precedes = c.mayPrecede(r)
	c.shares.review(c.now)
	if r.grantRequest.Attempt <= 1 {
		c.shares.askedFor(r.grantRequest.Org, r.grantRequest.Tier, r.shareTokens(), c.now)
	}
	if !ok {
		c.add(r)
		return
	}
	work := c.work(r, idle.uncached)
	c.sizes.forTier(r.grantRequest.Tier).work.add(work)
	rank := c.rank(r, work, float64(c.now)+idle.first)
	c.inflow.add(rank, work, c.now)
	c.queue()
	if wait, infeasible := c.infeasible(r, idle, c.workAhead); infeasible {
		c.reject(r, swcell.ReasonOverload, c.retryAfter(swclock.Millis(wait)))
		return
	}
	c.add(r)
	c.queued.insert(ranked{r, idle, work, rank})
}

// charge charges a request to its organisation's quota: the first attempt, and each one after an attempt that did not
// run. If the part of the quota that the request's tier may use is
// used up, charge returns false and the time after which to retry. A stream that goes on may
// use all of it: its caller has had the first output.
func (c *Cell[P, O]) charge(r *request) (swclock.Millis, bool) {
	if uncharged := c.uncharged.take(r.grantRequest.Key); c.cfg.Ledger == nil || r.grantRequest.Attempt > 1 && !uncharged {
		return 0, true
	}
	amount := float64(r.grantRequest.Charge)
	reserve := quotaReserve * float64(c.tierIndex(r.grantRequest.Tier))
	if r.grantRequest.Continuation.Continues {
		reserve = 0
	}
	wait, ok := c.cfg.Ledger.Take(processOf(&r.grantRequest), r.grantRequest.Org, amount, reserve, c.now)
	if ok {
		r.charged = amount
	}
	return wait, ok
}

// ranked is a waiting request with its rank and the values from which it was computed.
type ranked struct {
	request *request
	idle    estimate
	work    float64
	rank    float64
}

// queued is the order of the waiting requests as of an instant. Requests that have come since are inserted.
type queued struct {
	// entries has the requests that at least one target may run, the highest rank first.
	entries []ranked
	// until is when the order is computed anew.
	until swclock.Millis
}

// ranksPerSecond bounds how often the ranks of waiting requests are computed, whatever their number.
const ranksPerSecond = 50_000

// queue returns the waiting requests that at least one target may run, the highest rank first. If many requests
// wait, the ranks may be some milliseconds old.
func (c *Cell[P, O]) queue() []ranked {
	q := &c.queued
	if c.now < q.until {
		return q.entries
	}
	q.entries = q.entries[:0]
	for _, r := range c.waiting {
		if idle, ok := c.idle(r); ok {
			work := c.work(r, idle.uncached)
			r.rank = c.rank(r, work, float64(c.now)+idle.first)
			q.entries = append(q.entries, ranked{r, idle, work, r.rank})
		}
	}
	slices.SortStableFunc(q.entries, compareRanks)
	q.until = c.now + swclock.Millis(len(c.waiting))*swclock.Second/ranksPerSecond
	return q.entries
}

// compareRanks orders requests by rank, the highest first.
func compareRanks(a, b ranked) int { return cmp.Compare(b.rank, a.rank) }

// insert adds a request, which came after all others, behind those of its rank.
func (q *queued) insert(r ranked) {
	r.request.rank = r.rank
	q.entries = slices.Insert(q.entries, q.end(r.rank), r)
}

// end returns the number of requests of at least a rank.
func (q *queued) end(rank float64) int {
	return sort.Search(len(q.entries), func(i int) bool { return q.entries[i].rank < rank })
}

// remove removes a request that no longer waits. Those of the same rank are in order of arrival.
func (q *queued) remove(r *request) {
	i := sort.Search(len(q.entries), func(i int) bool {
		e := &q.entries[i]
		return e.rank < r.rank || e.rank == r.rank && e.request.arrival >= r.arrival
	})
	if i < len(q.entries) && q.entries[i].request == r {
		q.entries = slices.Delete(q.entries, i, i+1)
	}
}

// infeasible reports whether a request is to be rejected because it has waited for
// more than maxWaitShare of the time that it had on arrival, because its answer cannot
// be expected before its deadline, or because its first output cannot be expected before
// its caller abandons it. infeasible also returns the expected time until the request is
// granted a target. ahead returns the work of the other waiting requests of at least a rank.
func (c *Cell[P, O]) infeasible(r *request, idle estimate, ahead func(rank float64) float64) (wait float64, infeasible bool) {
	work := c.work(r, idle.uncached)
	rank := c.rank(r, work, float64(c.now)+idle.first)
	wait = c.expectedWait(rank, ahead(rank))
	first := float64(c.now) + wait + idle.first
	if r.grantRequest.Objective > 0 && first > float64(r.grantRequest.Objective) {
		// The answer will be late and worth less, so the request ranks lower.
		rank = c.rank(r, work, first)
		wait = c.expectedWait(rank, ahead(rank))
	}
	if r.hasWaitedTooLong(c.now) {
		return wait, true
	}
	start := float64(c.now) + wait
	return wait, start+c.minTotal(idle) > float64(r.grantRequest.Deadline) || start+idle.first > float64(r.latestFirst())
}

// latestFirst returns the instant by which the first output has to come.
func (r *request) latestFirst() swclock.Millis {
	if r.grantRequest.Abandon > 0 {
		return min(r.grantRequest.Deadline, r.grantRequest.Abandon)
	}
	return r.grantRequest.Deadline
}

// hasWaitedTooLong reports whether the request has waited for more than maxWaitShare of the time that it had on arrival.
func (r *request) hasWaitedTooLong(now swclock.Millis) bool {
	return float64(now-r.requestedAt) > maxWaitShare*float64(r.latestFirst()-r.requestedAt)
}

// maxWaitShare is the share of the time from a request's arrival to its deadline, or to
// the instant at which its caller abandons it if that is earlier, after which the request
// is rejected if it has no grant: the amount of higher-ranked work that has kept it
// waiting until then is not expected to decrease.
const maxWaitShare = 0.3

// workAhead returns the work of the waiting requests of at least a rank.
func (c *Cell[P, O]) workAhead(rank float64) (work float64) {
	entries := c.queued.entries[:c.queued.end(rank)]
	c.effort.Visits += uint64(len(entries))
	for i := range entries {
		work += entries[i].work
	}
	return work
}

// expectedWait estimates the time until a request of a rank is granted a target:
// until a slot is free, and the targets have processed the waiting work of at least
// this rank, which is ahead, and the work of higher rank that arrives meanwhile.
func (c *Cell[P, O]) expectedWait(rank, ahead float64) float64 {
	speed, soonest := c.supply()
	if soonest == 0 && ahead == 0 {
		return 0
	}
	freeSpeed := speed - c.inflow.rateAbove(rank, c.now)
	if freeSpeed <= speed*minFreeShare {
		freeSpeed = speed * minFreeShare
	}
	if freeSpeed == 0 {
		return math.Inf(1)
	}
	return soonest + ahead/freeSpeed
}

// minFreeShare is the least share of the targets' time that is expected to be left
// to a request, whatever its rank: the load varies, and so do the estimates from
// which the arriving work is computed.
const minFreeShare = 0.05

// supply returns the speed of the targets that take work now, as a number of typical
// targets, and the time until the first of them has a free slot, or 0 if there is none.
func (c *Cell[P, O]) supply() (speed, soonest float64) {
	if s := &c.lastSupply; s.at != c.now || s.changes != c.changes || s.running != len(c.running) {
		speed, soonest = c.computeSupply()
		*s = cachedSupply{at: c.now, changes: c.changes, running: len(c.running), speed: speed, soonest: soonest}
	}
	return c.lastSupply.speed, c.lastSupply.soonest
}

// cachedSupply is the result of Cell.supply at an instant, after a number of changes and with a number
// of running requests.
type cachedSupply struct {
	at             swclock.Millis
	changes        uint64
	running        int
	speed, soonest float64
}

// speed returns the speed of a target, as a number of typical targets. One with a rate limit is no
// faster than the mean work of as many requests.
func (c *Cell[P, O]) speed(t *target) float64 {
	speed := 1 / t.rates.slowdown(&c.typical)
	if limit, limited := t.limits.PerSecond(t.conf.ID); limited && c.meanWork.Samples() > 0 {
		speed = min(speed, float64(limit)*c.meanWork.Value()/float64(swclock.Second))
	}
	return speed
}

func (c *Cell[P, O]) computeSupply() (speed, soonest float64) {
	soonest = math.Inf(1)
	for _, t := range c.targets {
		if !t.active() || !c.isSupply(t) || (t.probing() && c.now < t.nextProbeAt) {
			continue
		}
		speed += c.speed(t)
		if c.freeSlots(t) > 0 {
			soonest = 0
			continue
		}
		soonest = min(soonest, t.soonestSlot(c.now))
	}
	if math.IsInf(soonest, 1) {
		soonest = 0
	}
	return speed, soonest
}

// tick recomputes the typical rates, ends the runs whose end was not reported, and
// reviews the waiting requests.
func (c *Cell[P, O]) tick() {
	c.updateTypical()
	c.endLostRuns()
	c.reviewOrigins()
	c.review()
	c.reportLoad()
}

// review rejects the waiting requests that are infeasible, and those that no target may run at present: if no host reaches the
// service, once they are not to wait for that any more, otherwise if they were requested noTargetTimeout ago or earlier.
func (c *Cell[P, O]) review() {
	c.queued.until = 0 // the typical rates may have changed
	c.queue()
	b := newBacklog(&c.queued)
	for i := range c.queued.entries {
		q := &c.queued.entries[i]
		ahead := func(rank float64) float64 {
			c.effort.Visits += uint64(bits.Len(uint(len(c.queued.entries))))
			return b.ahead(i, rank)
		}
		wait, infeasible := c.infeasible(q.request, q.idle, ahead)
		b.reviewed(q.work, infeasible)
		if infeasible {
			q.request.rejected = true
			c.reject(q.request, swcell.ReasonOverload, c.retryAfter(swclock.Millis(wait)))
		}
	}
	c.queued.entries = slices.DeleteFunc(c.queued.entries, func(q ranked) bool { return q.request.rejected })
	c.removeAll(func(r *request) bool { return r.rejected })
	if len(c.queued.entries) == len(c.waiting) {
		return
	}
	for _, r := range c.waiting {
		if _, ok := c.idle(r); ok {
			continue
		}
		unreached, waits := c.awaitsHost(r)
		if unreached && !waits || !unreached && c.now-r.requestedAt >= noTargetTimeout {
			r.rejected = true
			c.reject(r, swcell.ReasonNoTarget, c.retryAfter(minRetryAfter))
		}
	}
	c.removeAll(func(r *request) bool { return r.rejected })
}

// backlog is the work of the waiting requests during a review, which goes from the highest rank to the lowest.
type backlog struct {
	queued *queued
	// sums[i] is the work of the first i requests, and kept[i] that of those among them that were not rejected.
	sums, kept []float64
}

func newBacklog(q *queued) *backlog {
	b := &backlog{queued: q, sums: make([]float64, 1, len(q.entries)+1), kept: make([]float64, 1, len(q.entries)+1)}
	for i := range q.entries {
		b.sums = append(b.sums, b.sums[i]+q.entries[i].work)
	}
	return b
}

// ahead returns the work of the requests of at least a rank without those that were rejected and the one with an index, which is
// the next to be reviewed: a rejected request does not delay the ones behind it.
func (b *backlog) ahead(index int, rank float64) float64 {
	end := b.queued.end(rank)
	if end <= index {
		return b.kept[end]
	}
	return b.kept[index] + (b.sums[end] - b.sums[index+1])
}

// reviewed records the result for the next request.
func (b *backlog) reviewed(work float64, rejected bool) {
	kept := b.kept[len(b.kept)-1]
	if !rejected {
		kept += work
	}
	b.kept = append(b.kept, kept)
}

// shortOutputShare is the share of its expected output after which a request may
// already end. A request that would meet its deadline with so short an output is
// not rejected.
const shortOutputShare = 0.4

// minTotal returns the shortest time in which a request may end on the target of an estimate.
func (c *Cell[P, O]) minTotal(idle estimate) float64 {
	return idle.first + shortOutputShare*(idle.total-idle.first)
}

// noTargetTimeout is the age from which a waiting request is rejected if no target may
// run it.
const noTargetTimeout = swclock.Second

// retryAfter returns the time after which the caller of a rejected request may
// retry: the expected wait within its bounds, with a random addition.
func (c *Cell[P, O]) retryAfter(wait swclock.Millis) swclock.Millis {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + swclock.Millis(c.random.Float64()*retryJitter*float64(wait))
}

// dispatch grants waiting requests, the highest rank first, as long as targets have
// free slots. A request keeps waiting if a target that is busy now is expected to answer
// it better. It is offered the targets that have changed since it last declined, and all
// targets again after outlookAge. A request whose content was refused since it arrived is
// rejected.
func (c *Cell[P, O]) dispatch() {
	if len(c.waiting) == 0 {
		return
	}
	open, latest := c.openTargets()
	if len(open) == 0 {
		return
	}
	c.queue()
	for i := 0; i < len(c.queued.entries) && len(open) > 0; {
		r := c.queued.entries[i].request
		if !r.dueAfter(latest, c.now) {
			i++
			continue
		}
		if wait, refused := c.refused(r); refused {
			c.remove(r)
			c.reject(r, swcell.ReasonSuspect, wait)
			continue
		}
		if o, ok := c.bestOffer(r, open); ok && !c.shouldWait(r, &o) && c.grant(r, &o) {
			open, latest = c.openTargets()
			continue
		}
		if c.now >= r.offerAllAt {
			r.offerAllAt = c.now + c.outlookAge()
		}
		r.declinedAt = c.changes
		i++
	}
}

// openTargets returns the targets with free slots, and the value of Cell.changes when one of them last changed.
func (c *Cell[P, O]) openTargets() (open []*target, latest uint64) {
	open = c.open[:0]
	for _, t := range c.targets {
		if c.freeSlots(t) > 0 {
			open, latest = append(open, t), max(latest, t.changedAt)
		}
	}
	c.open = open
	return open, latest
}

// dueAfter reports whether a request has not declined all targets as they are now, of which one last changed
// at a value of Cell.changes.
func (r *request) dueAfter(latest uint64, now swclock.Millis) bool {
	return r.declinedAt < latest || now >= r.offerAllAt
}
