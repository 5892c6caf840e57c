package swvalue

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Offer is a target that has room for a request, with what is expected there.
// Times are in ms from now.
type Offer struct {
	target *target
	// First and Total are the times to the first output and to the end.
	First float64
	Total float64
	// Left is the time until the first output is late, without bound if there is no objective.
	Left float64
	// Deadline is the time until the answer has no value.
	Deadline float64
	// Running counts the requests on the target, Slots its places.
	Running int
	Slots   int
	// Faults is the share of attempts that lately failed on the target.
	Faults float64
	// Random is a number in [0, 1).
	Random float64

	expected estimate
}

// Placement compares offers for one request.
type Placement interface {
	// Cost ranks an offer; the lowest is taken.
	Cost(o *Offer) float64
}

// Fastest places by the expected time to the first output, with a part of the
// rest, which keeps long outputs off slow targets. A target that fails often
// counts as slower.
type Fastest struct{}

const (
	// restShare is the part that the time after the first output counts.
	restShare = 0.25
	// faultCost is how many times longer a target counts that always fails.
	faultCost = 10.0
	// lateCost is how many times the lateness counts beside the time itself.
	lateCost = 4.0
)

// Cost implements Placement.
func (Fastest) Cost(o *Offer) float64 {
	cost := o.First + restShare*(o.Total-o.First)
	cost += lateCost * max(o.First-o.Left, 0)
	return cost*(1+faultCost*o.Faults*o.Faults) + o.Random
}

// LeastOutstanding places on the target with the fewest requests; it is a baseline.
type LeastOutstanding struct{}

// Cost implements Placement.
func (LeastOutstanding) Cost(o *Offer) float64 { return float64(o.Running) + o.Random }

// Random places on any target; it is a baseline.
type Random struct{}

// Cost implements Placement.
func (Random) Cost(o *Offer) float64 { return o.Random }

// best returns the offer of least cost for a request, and false if no target has room for it.
func (c *Cell[P, O]) best(r *request) (Offer, bool) {
	var found Offer
	least := math.Inf(1)
	for _, t := range c.targets {
		if t.room(c.now) <= 0 || !t.fits(tokens(&r.ask)) || !c.mayRun(r, t) {
			continue
		}
		o := c.offer(r, t)
		if cost := c.placement.Cost(&o); cost < least {
			least, found = cost, o
		}
	}
	return found, found.target != nil
}

// Promise returns the share of its worth that the answer is expected to keep:
// less if it will be late, or may be cut at the deadline because its output is
// longer than expected.
func (o *Offer) Promise(lateShare float64) float64 {
	promise := 1.0
	if o.First > o.Left {
		promise = lateShare
	}
	if rest := o.Total - o.First; rest > 0 {
		promise *= finishChance((o.Deadline - o.First) / rest)
	}
	return promise
}

// finishChance returns the chance that an output ends within a multiple of its
// expected time. Estimates by callers are right at the median, and off by a
// factor of 1.6 for one in six.
func finishChance(multiple float64) float64 {
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

// waitAdvantage is how much more of its worth an answer must be expected to keep
// on a target that is busy for a request to wait for that.
const waitAdvantage = 0.2

// betterBusy reports whether a request should leave a target that has room to
// others, because one that is busy will soon answer it better.
func (c *Cell[P, O]) betterBusy(r *request, offered *Offer) bool {
	least := offered.Promise(c.cfg.LateShare) + waitAdvantage
	if least > 1 {
		return false
	}
	return slices.ContainsFunc(c.targets, func(t *target) bool {
		if t.room(c.now) > 0 || t.distrusted() || len(t.runs) == 0 || !c.mayRun(r, t) {
			return false
		}
		o := c.offer(r, t)
		wait := max(t.soonestEnd(c.now)-o.expected.wait, 0)
		o.First += wait
		o.Total += wait
		return o.Promise(c.cfg.LateShare) >= least
	})
}

// soonestEnd returns the time until the first of the target's runs is expected to end.
func (t *target) soonestEnd(now swclock.Millis) float64 {
	soonest := math.Inf(1)
	for _, r := range t.runs {
		soonest = min(soonest, r.remaining(now))
	}
	return soonest
}

// mayRun reports whether the request may be granted the target at all.
func (c *Cell[P, O]) mayRun(r *request, t *target) bool {
	if !t.active() || slices.Contains(r.ask.Exclude, t.conf.ID) || !t.reachedBy(r.ask.Key.Holder, c.now) {
		return false
	}
	// What may run once only is no trial of a target in doubt, unless all are.
	return !t.distrusted() || !r.ask.NonIdempotent || !c.anyTrusted(r)
}

// anyTrusted reports whether a target that is not in doubt may take the request.
func (c *Cell[P, O]) anyTrusted(r *request) bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool {
		return t.active() && !t.distrusted() && !slices.Contains(r.ask.Exclude, t.conf.ID)
	})
}

func (c *Cell[P, O]) offer(r *request, t *target) Offer {
	e := c.on(t, r)
	return Offer{
		target: t, First: e.first, Total: e.total, Left: c.objectiveLeft(&r.ask),
		Deadline: float64(r.ask.Deadline - c.now),
		Running:  len(t.runs), Slots: t.conf.Slots, Faults: t.faults.Value(),
		Random: c.random.Float64(), expected: e,
	}
}

// objectiveLeft returns the time until the first output is late.
func (c *Cell[P, O]) objectiveLeft(a *swcell.Ask) float64 {
	if a.Objective == 0 {
		return math.Inf(1)
	}
	return float64(a.Objective - c.now)
}
