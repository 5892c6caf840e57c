package swvalue

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
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
		Running: len(t.runs), Slots: t.conf.Slots, Faults: t.faults.Value(),
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
