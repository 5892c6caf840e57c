package swcell

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swqueue"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

type item = swqueue.Item[*request]

// dispatch grants waiting requests by tier and then in queue order, as long as
// a target has a free slot.
func (c *Cell) dispatch() {
	c.pass++
	for _, t := range c.tiers {
		if t.closedUntil > c.now {
			// Closing a tier closes all tiers below it.
			break
		}
		for scanned := 0; scanned < c.cfg.ScanLimit && c.anyFreeSlot(); {
			i, ok := c.nextItem(t)
			if !ok {
				break
			}
			if !c.tryGrant(t, i) {
				scanned++
			}
		}
		t.queue.Release()
	}
}

// nextItem returns the item to be granted next. This is the item with the earliest
// latest start if it must start soon and mayBorrow allows it to start ahead of its
// organisation's turn, or else the head of the queue.
func (c *Cell) nextItem(t *tier) (*item, bool) {
	const soon = swclock.Second
	i, ok := t.queue.MostUrgent()
	if ok && !i.Held() && i.LatestStart < c.now+soon && c.mayBorrow(t, i) {
		return i, true
	}
	return t.queue.Head()
}

// mayBorrow reports whether an item is small enough to start ahead of its
// organisation's turn, and the organisation exceeds its fair share by at most
// BorrowLimit. The organisation is charged as usual, so that its other requests
// start later.
func (c *Cell) mayBorrow(t *tier, i *item) bool {
	const smallWork = float64(swclock.Second)
	if i.Work > smallWork {
		return false
	}
	costPerMilli := i.Cost / i.Work
	limit := float64(c.cfg.BorrowLimit) * float64(c.slots) * costPerMilli
	return t.queue.Debt(i)*c.weight(i.Org) <= limit
}

// tryGrant grants a queued item, rejects it or holds it back for the rest of the
// pass, and reports whether it left the queue.
func (c *Cell) tryGrant(t *tier, i *item) bool {
	r := i.Value
	if verdict, wait := c.strikes.Verdict(r.grantRequest.Fingerprint, c.now); verdict == swsuspect.Refused {
		c.rejectWithRetryAfter(r, ReasonSuspect, wait)
		return true
	}
	result := c.chooseTarget(r)
	switch {
	case result.target != nil:
		c.grant(t, r, result.target)
		return true
	case result.infeasible:
		c.rejectLate(r)
		return true
	}
	if result.reserve != nil {
		result.reserve.reserve(c.pass, result.slots, result.wait)
	}
	t.queue.Hold(i)
	return false
}

func (c *Cell) grant(t *tier, r *request, on *target) {
	c.checkGrant(t, r, on)
	t.queue.Take(&r.item)
	delete(c.waiting, r.grantRequest.Key)
	c.emit(c.startRun(r, on).grant())
}

func (c *Cell) anyFreeSlot() bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool { return t.freeSlots(c.now) > 0 })
}

// reserve keeps slots free, for the rest of a dispatch pass, for a request that
// is expected to start after a wait.
func (t *target) reserve(pass uint64, slots int, wait float64) {
	if t.reserved.pass != pass {
		t.reserved = reservation{pass: pass, wait: wait}
	}
	t.reserved.slots += slots
	t.reserved.wait = min(t.reserved.wait, wait)
}

// reservedForOthers reports whether a request that takes the time total must leave
// all free slots to the requests for which they were reserved earlier in the pass. A
// request that ends before the first of those is expected to start may use a
// reserved slot.
func (t *target) reservedForOthers(pass uint64, now swclock.Millis, total float64) bool {
	return t.reserved.pass == pass && t.freeSlots(now) <= t.reserved.slots && total > t.reserved.wait
}

// prefillWait returns the time that a new prompt waits until the target has
// processed the prompts granted before it.
func (t *target) prefillWait(now swclock.Millis) float64 {
	return max(t.prefillFreeAt-float64(now), 0)
}

// soonestEnd returns the time to the first expected end of a run, or infinity
// if no slot becomes free for new work.
func (t *target) soonestEnd(now swclock.Millis) float64 {
	if len(t.runs) == 0 || t.trust == TrustProbing || t.exclusive != nil {
		return math.Inf(1)
	}
	soonest := math.Inf(1)
	for _, r := range t.runs {
		soonest = min(soonest, r.remaining(now))
	}
	return soonest
}

// nonIdempotentProbeDelay is the time after nextProbeAt during which only an
// idempotent request may be the probe. Afterwards any request may be, since a target
// that runs only non-idempotent requests would otherwise stay in TrustProbing.
const nonIdempotentProbeDelay = swclock.Second

// accepts reports whether the target's level of trust permits a grant for the
// request. A probe may fail, so the request should be one that can be repeated.
func (t *target) accepts(r *request, now swclock.Millis) bool {
	return t.trust != TrustProbing || !r.grantRequest.NonIdempotent || now >= t.nextProbeAt+nonIdempotentProbeDelay
}

func ceilMillis(span float64) swclock.Millis { return swclock.Millis(math.Ceil(span)) }
