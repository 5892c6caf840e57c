package swvalue

import (
	"math"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Claim is what a waiting request has to say for itself.
type Claim struct {
	// Value is what its answer is worth if it starts now.
	Value float64
	// Work is the share of a typical target's time that it takes, in ms, and
	// UsualWork that of the requests of its tier.
	Work      float64
	UsualWork float64
	// Precedence is the factor by which the organisation's tier raises the claim.
	Precedence float64
	// Waited is the time since the ask.
	Waited swclock.Millis
}

// Order compares waiting requests.
type Order interface {
	// Rank orders claims; the highest goes first.
	Rank(c *Claim) float64
}

// ByWorth puts first the tiers whose answers are worth most for the time that
// they usually take, and within a tier what is worth most, with half regard to
// the time that the single request takes: with full regard to it the largest
// requests of each tier would starve.
type ByWorth struct{}

// Rank implements Order.
func (ByWorth) Rank(c *Claim) float64 {
	return c.Precedence * c.Value / math.Sqrt(max(c.Work, 1)*max(c.UsualWork, 1))
}

// precedenceStep is the factor between the claims of two tiers of organisations:
// the one between the highest and the lowest tier of requests by default.
const precedenceStep = 16

// ByArrival puts first what has waited longest; it is a baseline.
type ByArrival struct{}

// Rank implements Order.
func (ByArrival) Rank(c *Claim) float64 { return float64(c.Waited) }

// rank returns the place of a request among those that wait, if its first
// output comes at an instant.
func (c *Cell[P, O]) rank(r *request, work, first float64) float64 {
	claim := Claim{
		Value: c.valueAt(r, first), Work: work, UsualWork: c.sizes.of(r.ask.Tier).work.value, Waited: c.now - r.asked,
		Precedence: math.Pow(precedenceStep, -float64(r.ask.OrgTier)),
	}
	return c.order.Rank(&claim)
}

// valueAt returns what an answer is worth whose first output comes at an instant.
func (c *Cell[P, O]) valueAt(r *request, first float64) float64 {
	if r.ask.Objective > 0 && first > float64(r.ask.Objective) {
		return r.value * c.cfg.LateShare
	}
	return r.value
}

// bestIdle estimates a request on the best target that it may run on, as if that
// processed no other prompt, and reports whether there is one.
func (c *Cell[P, O]) bestIdle(r *request) (best estimate, ok bool) {
	for _, t := range c.targets {
		if !c.mayRun(r, t) {
			continue
		}
		e := c.idle(t, r)
		if !ok || e.first < best.first {
			best, ok = e, true
		}
	}
	return best, ok
}
