package swvalue

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

// Claim is what a waiting request has to say for itself.
type Claim struct {
	// Value is what its answer is worth if it starts now.
	Value float64
	// Work is the share of a typical target's time that it takes, in ms.
	Work float64
	// Waited is the time since the ask.
	Waited swclock.Millis
}

// Order compares waiting requests.
type Order interface {
	// Rank orders claims; the highest goes first.
	Rank(c *Claim) float64
}

// ByWorth puts first what earns most for the time that it takes.
type ByWorth struct{}

// Rank implements Order.
func (ByWorth) Rank(c *Claim) float64 { return c.Value / max(c.Work, 1) }

// ByArrival puts first what has waited longest; it is a baseline.
type ByArrival struct{}

// Rank implements Order.
func (ByArrival) Rank(c *Claim) float64 { return float64(c.Waited) }

// claim returns a request's claim. idle is the time to its first output on the
// best target if that processed no other prompt.
func (c *Cell[P, O]) claim(r *request, idle estimate) Claim {
	return Claim{
		Value:  c.valueAt(r, float64(c.now)+idle.first, float64(c.now)+idle.total),
		Work:   c.model.work(idle.uncached, r.output, c.typicalSlots()),
		Waited: c.now - r.asked,
	}
}

// valueAt returns what an answer is worth whose first output and end come at the given instants.
func (c *Cell[P, O]) valueAt(r *request, first, end float64) float64 {
	switch {
	case end > float64(r.ask.Deadline):
		return 0
	case r.ask.Objective > 0 && first > float64(r.ask.Objective):
		return r.value * c.cfg.LateShare
	default:
		return r.value
	}
}

// bestIdle estimates a request on the best target that it may run on, as if that
// processed no other prompt, and reports whether there is one.
func (c *Cell[P, O]) bestIdle(r *request) (best estimate, ok bool) {
	for _, t := range c.targets {
		if !c.mayRun(r, t) {
			continue
		}
		uncached := float64(r.ask.PromptTokens - t.cache.cached(r.chain))
		e := c.model.idle(t, max(uncached, 0), r.output)
		if !ok || e.first < best.first {
			best, ok = e, true
		}
	}
	return best, ok
}

// typicalSlots returns the mean number of places of the active targets.
func (c *Cell[P, O]) typicalSlots() int {
	sum, count := 0, 0
	for _, t := range c.targets {
		if t.active() {
			sum += t.conf.Slots
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return max(sum/count, 1)
}
