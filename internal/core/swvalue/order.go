package swvalue

import (
	"math"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Candidate describes a waiting request to an Order.
type Candidate struct {
	// Value is what its answer is worth at the expected time of its first output.
	Value float64
	// Work is the share of a typical target's time that it takes, in ms, and
	// MeanWork the mean work of the requests of its tier.
	Work     float64
	MeanWork float64
	// Precedence is the factor by which the organisation's tier, and that a stream goes on, change the rank.
	Precedence float64
	// Waited is the time since the grant request.
	Waited swclock.Millis
}

// Order ranks waiting requests.
type Order interface {
	// Rank returns the rank of a candidate; the highest is granted first.
	Rank(c *Candidate) float64
}

// ByWorth ranks requests by the worth of their answer divided by the time that it takes.
// That time is a geometric mean of the request's own work and the mean work of its tier, with the weight ownWorkWeight for the former: with
// the request's own work alone the largest requests of each tier would starve, and the less of it counts, the more small ones wait for
// one large one that takes their place.
type ByWorth struct{}

// ownWorkWeight is the weight of a request's own work.
const ownWorkWeight = 0.8

// Rank implements Order.
func (ByWorth) Rank(c *Candidate) float64 {
	return c.Precedence * c.Value / (math.Pow(max(c.Work, 1), ownWorkWeight) * math.Pow(max(c.MeanWork, 1), 1-ownWorkWeight))
}

// precedenceStep is the factor between the ranks of two neighbouring tiers of
// organisations. It equals the default factor between the values of the highest and
// the lowest tier of requests.
const precedenceStep = 16

// ByArrival ranks requests by the time that they have waited; it is a baseline.
type ByArrival struct{}

// Rank implements Order.
func (ByArrival) Rank(c *Candidate) float64 { return float64(c.Waited) }

// rank returns the rank of a request whose first output comes at the instant first.
func (c *Cell[P, O]) rank(r *request, work, first float64) float64 {
	c.candidate = Candidate{
		Value: c.valueAt(r, first), Work: work, MeanWork: c.sizes.forTier(r.grantRequest.Tier).work.value, Waited: c.now - r.requestedAt,
		Precedence: r.precedence() * c.shareFactor(r),
	}
	c.effort.Ranks++
	return c.order.Rank(&c.candidate)
}

// precedence returns the factor by which the rank of a request changes. One that precedes new requests has at least the factor of
// the highest tier of organisations.
func (r *request) precedence() float64 {
	steps := -float64(r.grantRequest.OrgTier)
	if r.precedes {
		steps += swid.MaxTiers
	}
	return math.Pow(precedenceStep, steps)
}

// shareFactor returns the factor by which the rank of a request changes because of what its organisation has been granted. A stream that
// goes on keeps its rank.
func (c *Cell[P, O]) shareFactor(r *request) float64 {
	if r.precedes {
		return 1
	}
	return c.shares.factorOf(r.grantRequest.Org, r.grantRequest.Tier)
}

// maxContinuedLoad is the share of the targets' time up to which streams that go on precede new ones, so that they never take all
// of it.
const maxContinuedLoad = 0.3

// mayPrecede reports whether a request that comes now precedes new ones: if it continues a stream, and the work of those that have
// come lately leaves the rest of the targets' time to new ones.
func (c *Cell[P, O]) mayPrecede(r *request) bool {
	if !r.grantRequest.Continuation.Continues {
		return false
	}
	speed, _ := c.supply()
	return c.continued.rate(c.now) < speed*maxContinuedLoad
}

// continuedShare is what an answer that goes on is worth, as a share of its value: if it is never finished, its caller
// loses half of the value besides.
const continuedShare = 1.5

// valueAt returns what an answer is worth whose first output comes at the instant first. One that goes on is not late: its
// caller has had the first output.
func (c *Cell[P, O]) valueAt(r *request, first float64) float64 {
	if r.grantRequest.Continuation.Continues {
		return r.value * continuedShare
	}
	if r.grantRequest.Objective > 0 && first > float64(r.grantRequest.Objective) {
		return r.value * c.cfg.LateShare
	}
	return r.value
}

// idle returns the result of bestIdle, which may be as old as outlookAge. If no target may run the request, the targets are
// looked at again soon after one has changed.
func (c *Cell[P, O]) idle(r *request) (best estimate, ok bool) {
	changed := !r.idleFound && r.idleListing != c.listing && c.now >= r.idleAgainAt
	if c.now >= r.idleUntil || changed {
		r.idleBest, r.idleFound = c.bestIdle(r)
		r.idleUntil, r.idleListing = c.now+c.outlookAge(), c.listing
		r.idleAgainAt = c.now + swclock.Millis(len(c.waiting))*swclock.Second/looksPerSecond
	}
	return r.idleBest, r.idleFound
}

// looksPerSecond bounds how often the targets are looked at for waiting requests that none may run: more often than for others, as
// a target that may run a request is found at a glance.
const looksPerSecond = 10 * outlooksPerSecond

// outlooksPerSecond bounds how often the targets are compared for waiting requests, whatever
// their number. Each comparison takes time in proportion to the number of targets.
const outlooksPerSecond = 2000

// outlookAge returns the age up to which comparisons of all targets for a waiting request are
// used, and how long a request that declined all targets is offered only those that have changed: reviewInterval, or
// longer if many requests wait.
func (c *Cell[P, O]) outlookAge() swclock.Millis {
	return max(reviewInterval, swclock.Millis(len(c.waiting))*swclock.Second/outlooksPerSecond)
}

// bestIdle returns the estimate with the earliest first output among the targets
// that the request may run on, as if they processed no other prompt, and reports
// whether there is such a target.
func (c *Cell[P, O]) bestIdle(r *request) (best estimate, ok bool) {
	if c.needsCarrier(r) && c.noOtherReaches(r.grantRequest.Key.Holder) {
		return best, false
	}
	for _, t := range c.targets {
		if !c.mayRun(r, t) {
			continue
		}
		e := c.estimateIdle(t, r)
		if !ok || e.first < best.first {
			best, ok = e, true
		}
	}
	return best, ok
}
