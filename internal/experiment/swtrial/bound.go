package swtrial

import (
	"cmp"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// boundStep is the width of the bound's time steps. Arrivals are rounded down
// and deadlines up to whole steps.
const boundStep = 500 * swclock.Millis(1)

// Bound is what a scheduler with full knowledge of arrivals, sizes and faults
// reaches under the same rules, if it may divide work at will and knows every
// prefix to be cached. The rules are that the higher tiers are served first,
// and within a tier no request of an organisation that asks for less is given
// up for one that asks for more.
type Bound struct {
	Tiers [swid.MaxTiers]TierResult
}

// Answered returns the number of requests of all tiers.
func (b *Bound) Answered() int {
	n := 0
	for i := range b.Tiers {
		n += b.Tiers[i].Answered
	}
	return n
}

// FullKnowledge computes the bound of a scenario. An organisation's requests
// with the least work come first. Each is served if it fits beside all that
// were accepted before it.
func FullKnowledge(s Scenario) Bound {
	var b Bound
	free := s.slotTime()
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
		s.serve(free, accepted)
	}
	return b
}

// serve takes the work of requests out of the slot time, each as early as possible.
func (s *Scenario) serve(free []float64, requests []*request) {
	slices.SortStableFunc(requests, func(x, y *request) int { return cmp.Compare(x.deadline, y.deadline) })
	for _, r := range requests {
		work := s.work(r)
		for i := int(r.arrival / boundStep); work > 0 && i < len(free); i++ {
			taken := min(work, free[i])
			free[i] -= taken
			work -= taken
		}
	}
}

// slotTime returns the slot time of each step, with the faults' effect.
func (s *Scenario) slotTime() []float64 {
	free := make([]float64, (s.Span+s.longestDeadline())/boundStep+1)
	for i := range free {
		at := swclock.Millis(i) * boundStep
		for j := range s.Engines {
			e := &s.Engines[j]
			free[i] += float64(boundStep) * float64(e.Slots) * e.speed(&s.Engines[0]) * s.health(e, at)
		}
	}
	return free
}

// health returns the part of an engine's speed that the faults leave at an instant.
func (s *Scenario) health(e *Engine, at swclock.Millis) float64 {
	health := 1.0
	for _, f := range s.Faults {
		if f.Target != e.ID || at < f.At || (f.Span > 0 && at >= f.At+f.Span) {
			continue
		}
		if f.Kind == FaultSlow {
			health /= f.Factor
		} else {
			health = 0
		}
	}
	return health
}

// slack holds, for every span of steps, the slot time that is left beside the
// accepted requests that must be served within it. All of them can be served
// as long as none is negative, since work may be divided at will.
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

// accept takes a request in if all accepted ones can still be served.
func (s slack) accept(r *request, work float64) bool {
	first, last := int(r.arrival/boundStep), min(int((r.deadline+boundStep-1)/boundStep), len(s))
	for from := range first + 1 {
		for _, left := range s[from][last:] {
			if left < work {
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
