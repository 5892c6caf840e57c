package swcell

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swqueue"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

type item = swqueue.Item[*request]

// dispatch grants waiting requests in their order as long as targets have room.
func (c *Cell) dispatch() {
	c.pass++
	for _, t := range c.tiers {
		if t.closedUntil > c.now {
			// The tiers below are closed as well.
			break
		}
		for scanned := 0; scanned < c.cfg.ScanLimit && c.anyRoom(); {
			i, ok := c.next(t)
			if !ok {
				break
			}
			if !c.place(t, i) {
				scanned++
			}
		}
		t.queue.Release()
	}
}

// next returns the item to be placed next: the head, or one that cannot wait
// for its organisation's turn and takes so little that the others lose nothing by it.
func (c *Cell) next(t *tier) (*item, bool) {
	const soon = swclock.Second
	i, ok := t.queue.MostUrgent()
	if ok && !i.Held() && i.LatestStart < c.now+soon && c.mayBorrow(t, i) {
		return i, true
	}
	return t.queue.Head()
}

// mayBorrow reports whether an item may start ahead of its organisation's
// turn. The organisation is charged, so that its other work starts later.
func (c *Cell) mayBorrow(t *tier, i *item) bool {
	const smallWork = float64(swclock.Second)
	if i.Work > smallWork {
		return false
	}
	perMilli := i.Cost / i.Work
	limit := float64(c.cfg.BorrowSpan) * float64(c.slots) * perMilli
	return t.queue.Debt(i)*c.weight(i.Org) <= limit
}

// place grants the head of a tier, gives it up or passes it over, and reports
// whether it left the queue.
func (c *Cell) place(t *tier, i *item) bool {
	r := i.Value
	if verdict, wait := c.strikes.Verdict(r.ask.Fingerprint, c.now); verdict == swsuspect.Refused {
		c.giveUpAfter(r, ReasonSuspect, wait)
		return true
	}
	result := c.choose(r)
	switch {
	case result.target != nil:
		c.grant(t, r, result.target)
		return true
	case result.late:
		c.tooLate(r)
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
	delete(c.waiting, r.ask.Key)
	c.emit(c.startRun(r, on).grant())
}

func (c *Cell) anyRoom() bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool { return t.room(c.now) > 0 })
}

// reserve keeps slots free, in one pass, for a request that starts after a wait.
func (t *target) reserve(pass uint64, slots int, wait float64) {
	if t.reserved.pass != pass {
		t.reserved = reservation{pass: pass, wait: wait}
	}
	t.reserved.slots += slots
	t.reserved.wait = min(t.reserved.wait, wait)
}

// held reports whether the free slots are kept for requests that come first.
// One that ends before the first of them starts may use a slot meanwhile.
func (t *target) held(pass uint64, now swclock.Millis, total float64) bool {
	return t.reserved.pass == pass && t.room(now) <= t.reserved.slots && total > t.reserved.wait
}

// prefillWait returns the time that a new prompt waits for others.
func (t *target) prefillWait(now swclock.Millis) float64 {
	return max(t.prefillFree-float64(now), 0)
}

// soonestEnd returns the time to the first expected end, without bound if no slot gets free for new work.
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

// nonIdempotentProbeDelay is how long a probe waits for idempotent work. After
// it any work will do, or a target that runs nothing else would stay distrusted.
const nonIdempotentProbeDelay = swclock.Second

// accepts reports whether the target's trust suffices for the request.
func (t *target) accepts(r *request, now swclock.Millis) bool {
	return t.trust != TrustProbing || !r.ask.NonIdempotent || now >= t.retryAt+nonIdempotentProbeDelay
}

func millis(span float64) swclock.Millis { return swclock.Millis(math.Ceil(span)) }
