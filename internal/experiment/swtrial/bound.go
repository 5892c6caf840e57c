package swtrial

import (
	"cmp"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// boundStep is the length of the time steps in which the bound is computed.
// Arrivals are rounded down and deadlines up to whole steps, so that rounding never
// shortens the time in which a request can be served.
const boundStep = 500 * swclock.Millis(1)

// Bound is the result of a scheduler that has all arrivals, sizes and faults in
// advance, may split work arbitrarily and finds every shared prefix cached. It
// follows the same rules as the cell: higher tiers are served first, and within
// a tier no request of an organisation that offers less work is rejected in
// favour of one of an organisation that offers more.
type Bound struct {
	Tiers [swid.MaxTiers]TierResult
}

// Answered returns the number of answered requests of all tiers.
func (b *Bound) Answered() int {
	n := 0
	for i := range b.Tiers {
		n += b.Tiers[i].Answered
	}
	return n
}

// ComputeBound computes the bound of a scenario. Within a tier, it takes the
// organisations in order of their offered work and the requests of each in order
// of their work, least first. It accepts a request if all requests accepted
// before can still be served.
func ComputeBound(s Scenario) Bound {
	var b Bound
	free := s.slotTimePerStep()
	requests := s.workload()
	offered := make([][swid.MaxTiers]float64, len(s.Organisations))
	for _, r := range requests {
		offered[r.org][r.class.Tier] += s.work(r)
	}
	slices.SortStableFunc(requests, func(x, y *request) int {
		tier := x.class.Tier
		return cmp.Or(cmp.Compare(tier, y.class.Tier), cmp.Compare(offered[x.org][tier], offered[y.org][tier]),
			cmp.Compare(s.work(x), s.work(y)))
	})
	for tier := range b.Tiers {
		slack := newSlack(free)
		var accepted []*request
		for _, r := range requests {
			if !r.counted() || int(r.class.Tier) != tier {
				continue
			}
			b.Tiers[tier].Offered++
			if slack.accept(r, s.work(r)) {
				b.Tiers[tier].count(outcomeAnswered, s.work(r))
				accepted = append(accepted, r)
			}
		}
		s.allocate(free, accepted)
	}
	return b
}

// allocate subtracts the work of requests from the free slot time of the steps.
// It takes the requests in order of deadline and places each as early as possible.
func (s *Scenario) allocate(free []float64, requests []*request) {
	slices.SortStableFunc(requests, func(x, y *request) int { return cmp.Compare(x.deadline, y.deadline) })
	for _, r := range requests {
		work := s.work(r)
		for i := int(r.arrival / boundStep); work > 0 && i < len(free); i++ {
			used := min(work, free[i])
			free[i] -= used
			work -= used
		}
	}
}

// slotTimePerStep returns the slot time that all engines provide in each step, reduced by faults.
func (s *Scenario) slotTimePerStep() []float64 {
	free := make([]float64, (s.Span+s.longestDeadline())/boundStep+1)
	for i := range free {
		at := swclock.Millis(i) * boundStep
		for j := range s.Engines {
			e := &s.Engines[j]
			free[i] += float64(boundStep) * float64(e.Slots) * e.relativeSpeed(&s.Engines[0]) * s.speedFactor(e, at)
		}
	}
	return free
}

// speedFactor returns the fraction of its normal speed at which an engine runs at a time, given the faults.
func (s *Scenario) speedFactor(e *Engine, at swclock.Millis) float64 {
	factor := 1.0
	for _, f := range s.Faults {
		if f.Target != e.ID || at < f.At || (f.Span > 0 && at >= f.At+f.Span) {
			continue
		}
		if f.Kind == FaultSlow {
			factor /= f.Factor
		} else {
			factor = 0
		}
	}
	return factor
}

// slack holds, for every range of steps, the slot time that remains after the
// accepted requests that must be served within the range. All of them can be
// served as long as no entry is negative, since work may be split arbitrarily.
// The entry of the steps from i up to but not including j is at [i][j].
type slack [][]float64

func newSlack(capacity []float64) slack {
	s := make(slack, len(capacity))
	for from := range s {
		s[from] = make([]float64, len(capacity)+1)
		var sum float64
		for to := from; to < len(capacity); to++ {
			sum += capacity[to]
			s[from][to+1] = sum
		}
	}
	return s
}

// accept subtracts the work of a request if it and all accepted ones can be
// served, and reports whether it did.
func (s slack) accept(r *request, work float64) bool {
	first, last := int(r.arrival/boundStep), min(int((r.deadline+boundStep-1)/boundStep), len(s))
	for from := range first + 1 {
		for _, remaining := range s[from][last:] {
			if remaining < work {
				return false
			}
		}
	}
	for from := range first + 1 {
		row := s[from][last:]
		for i := range row {
			row[i] -= work
		}
	}
	return true
}
