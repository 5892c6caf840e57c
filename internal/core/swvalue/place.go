package swvalue

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Offer is a target for a request, with the times that are expected there, in ms
// from now.
type Offer struct {
	target *target
	// First and Total are the times to the first output and to the end.
	First float64
	Total float64
	// ObjectiveLeft is the time until the first output is late, infinite if there is no objective.
	ObjectiveLeft float64
	// Deadline is the time until the answer has no value.
	Deadline float64
	// Running counts the requests on the target, Slots the requests that it can run at once.
	Running int
	Slots   int
	// Untried is set if nothing is known of the speed of a target that has joined lately, and it runs nothing.
	Untried bool
	// FaultRate is the share of recent attempts that failed on the target.
	FaultRate float64
	// Random is a number in [0, 1).
	Random float64

	expected estimate
	// preference is how much the request is to be granted the target before others.
	preference int
}

// Placement compares offers for one request.
type Placement interface {
	// Cost returns the cost of an offer; the request gets the offer of the lowest cost.
	Cost(o *Offer) float64
}

// Fastest prefers the target with the shortest expected time to the first output,
// to which a share of the time after it is added, so that long outputs are kept off
// slow targets. A target that fails often counts as slower.
type Fastest struct{}

const (
	// restShare is the weight of the time after the first output.
	restShare = 0.25
	// faultWeight is the added cost of a target that always fails, as a multiple of its cost.
	faultWeight = 10.0
	// lateWeight is the weight of the time by which the first output misses its
	// objective, in addition to that time itself.
	lateWeight = 4.0
	// speedRange is by how much targets differ in speed.
	speedRange = 5.0
)

// tries reports whether the request is to show the speed of a target that is not known: if it is in time there even if the target is the
// slowest one. Otherwise a target that is taken for typical would stay unknown, also if it is the fastest.
func (o *Offer) tries() bool {
	return o.Untried && o.First*speedRange <= o.ObjectiveLeft && o.Total*speedRange <= o.Deadline
}

// Cost implements Placement.
func (Fastest) Cost(o *Offer) float64 {
	cost := o.First + restShare*(o.Total-o.First)
	cost += lateWeight * max(o.First-o.ObjectiveLeft, 0)
	if o.tries() {
		cost /= speedRange
	}
	return cost*(1+faultWeight*o.FaultRate*o.FaultRate) + o.Random
}

// LeastOutstanding prefers the target that runs the fewest requests; it is a baseline.
type LeastOutstanding struct{}

// Cost implements Placement.
func (LeastOutstanding) Cost(o *Offer) float64 { return float64(o.Running) + o.Random }

// Random chooses a target at random; it is a baseline.
type Random struct{}

// Cost implements Placement.
func (Random) Cost(o *Offer) float64 { return o.Random }

// bestOffer returns the offer of least cost for a request among the targets with free slots, and false if none that
// may run it has the memory for it. Until offerAllAt it considers only the
// targets that have changed since the request declined the others.
func (c *Cell[P, O]) bestOffer(r *request, open []*target) (Offer, bool) {
	var found Offer
	if c.runsElsewhere(r) {
		return found, false
	}
	lowest := math.Inf(1)
	for _, t := range open {
		if c.now < r.offerAllAt && t.changedAt <= r.declinedAt {
			continue
		}
		if !t.fitsMemory(tokens(&r.grantRequest)) || !c.mayRun(r, t) || !c.mayShare(r, t) {
			continue
		}
		c.compared = c.offer(r, t)
		c.compared.preference = c.preference(r, t)
		if c.compared.preference < found.preference {
			continue
		}
		cost := c.placement.Cost(&c.compared)
		if r.grantRequest.Resumable && t.unlisted {
			cost = math.MaxFloat64 // nobody could continue the stream
		}
		if cost < lowest || c.compared.preference > found.preference {
			lowest, found = cost, c.compared
		}
	}
	return found, found.target != nil
}

// ExpectedShare returns the share of its worth that the answer is expected to keep:
// less than 1 if it will be late, or may be cut off at the deadline because its
// output is longer than expected.
func (o *Offer) ExpectedShare(lateShare float64) float64 {
	share := 1.0
	if o.First > o.ObjectiveLeft {
		share = lateShare
	}
	if rest := o.Total - o.First; rest > 0 {
		share *= finishProbability((o.Deadline - o.First) / rest)
	}
	return share
}

// finishProbability returns the probability that an output ends within a multiple of
// its expected time. Callers' estimates are right at the median, and off by a factor
// of 1.6 for one in six.
func finishProbability(multiple float64) float64 {
	switch {
	case multiple < 0.6:
		return 0.05
	case multiple < 1:
		return 0.35
	case multiple < 1.6:
		return 0.7
	default:
		return 1
	}
}

// minWaitGain is how much more of its worth an answer must be expected to keep on a
// busy target, so that a request waits for that target.
const minWaitGain = 0.2

// shouldWait reports whether a request should leave the offered target to others,
// because a target that is busy now is expected to preserve more of the answer's worth
// (by minWaitGain), even after the wait for a free slot.
func (c *Cell[P, O]) shouldWait(r *request, offered *Offer) bool {
	if offered.preference > 0 {
		return false
	}
	minShare := offered.ExpectedShare(c.cfg.LateShare) + minWaitGain
	return minShare <= 1 && c.busyShare(r) >= minShare
}

// busyShare returns the largest share of its worth that the answer to a request is expected to
// keep on a target that is busy now, after the wait for a free slot. The result may be as old as
// outlookAge.
func (c *Cell[P, O]) busyShare(r *request) float64 {
	if c.now < r.busyShareUntil {
		return r.busyShare
	}
	r.busyShare, r.busyShareUntil = 0, c.now+c.outlookAge()
	for _, t := range c.targets {
		if c.freeSlots(t) > 0 || t.probing() || len(t.runs) == 0 && !t.limited() || !c.mayRun(r, t) {
			continue
		}
		o := c.offer(r, t)
		wait := max(t.soonestSlot(c.now)-o.expected.wait, 0)
		o.First += wait
		o.Total += wait
		r.busyShare = max(r.busyShare, o.ExpectedShare(c.cfg.LateShare))
	}
	return r.busyShare
}

// soonestSlot returns the time until a busy target may be granted a request: until one of its runs is
// expected to end, and its rate limit allows another.
func (t *target) soonestSlot(now swclock.Millis) float64 {
	wait := t.limits.Wait(t.conf.ID, now)
	if t.unlimitedSlots(now) > 0 {
		return wait
	}
	return max(wait, t.soonestEnd(now))
}

// soonestEnd returns the time until the first of the target's runs is expected to end,
// infinite if it runs nothing.
func (t *target) soonestEnd(now swclock.Millis) float64 {
	soonest := math.Inf(1)
	for _, r := range t.runs {
		soonest = min(soonest, r.remaining(now))
	}
	return soonest
}

// mayRun reports whether the request may be granted the target, now or once it has a free slot.
func (c *Cell[P, O]) mayRun(r *request, t *target) bool {
	c.effort.Comparisons++
	if !c.isEligible(r, t) {
		return false
	}
	if !c.hasSender(r, t) {
		return false
	}
	// A non-idempotent request is not used as a probe unless all active targets that it
	// does not exclude are being probed.
	return !t.probing() || !r.grantRequest.NonIdempotent || !c.anyHealthyTarget(r)
}

// anyHealthyTarget reports whether there is an active target that is not being probed
// and that the request does not exclude. It does not check whether the holder can reach
// that target.
func (c *Cell[P, O]) anyHealthyTarget(r *request) bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool {
		return t.active() && !t.probing() && !slices.Contains(r.grantRequest.Exclude, t.conf.ID)
	})
}

func (c *Cell[P, O]) offer(r *request, t *target) Offer {
	e := c.estimateNow(t, r)
	return Offer{
		target: t, First: e.first, Total: e.total, ObjectiveLeft: c.objectiveLeft(&r.grantRequest),
		Deadline: float64(r.grantRequest.Deadline - c.now),
		Running:  len(t.runs), Slots: t.conf.Slots, Untried: t.untried(), FaultRate: t.faultRate.Value(),
		Random: c.random.Float64(), expected: e,
	}
}

// objectiveLeft returns the time until the first output is late, infinite without an objective.
func (c *Cell[P, O]) objectiveLeft(a *swcell.GrantRequest) float64 {
	if a.Objective == 0 {
		return math.Inf(1)
	}
	return float64(a.Objective - c.now)
}
