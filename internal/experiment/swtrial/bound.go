package swtrial

import (
	"cmp"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// boundStep is the width of the bound's time steps.
const boundStep = 50 * swclock.Millis(1)

// Bound is what a scheduler with full knowledge of arrivals, sizes and faults
// reaches if it may divide work at will, knows every prefix to be cached and
// serves the higher tiers first.
type Bound struct {
	Tiers [swid.MaxTiers]TierResult
	// Organisations holds each organisation's fair share of the work by tier,
	// which is at most what it offered.
	Organisations [][swid.MaxTiers]float64
}

// Answered returns the number of requests of all tiers.
func (b *Bound) Answered() int {
	n := 0
	for i := range b.Tiers {
		n += b.Tiers[i].Answered
	}
	return n
}

// FullKnowledge computes the bound of a scenario. The requests of a tier with
// the least work are placed first, each as early as possible in what the
// higher tiers left.
func FullKnowledge(s Scenario) Bound {
	b := Bound{Organisations: make([][swid.MaxTiers]float64, len(s.Organisations))}
	free := s.slotTime()
	requests := s.workload()
	slices.SortStableFunc(requests, func(x, y *request) int {
		return cmp.Or(cmp.Compare(x.class.Tier, y.class.Tier), cmp.Compare(s.work(x), s.work(y)))
	})
	offered := make([][swid.MaxTiers]float64, len(s.Organisations))
	for _, r := range requests {
		if !r.counted() {
			continue
		}
		t := &b.Tiers[r.class.Tier]
		t.Offered++
		offered[r.org][r.class.Tier] += s.work(r)
		if place(free, r, s.work(r)) {
			t.Answered++
			t.Work += s.work(r)
		}
	}
	for tier := range b.Tiers {
		share(offered, b.Organisations, tier, b.Tiers[tier].Work)
	}
	return b
}

// slotTime returns the slot time of each step, with the faults' effect.
func (s *Scenario) slotTime() []float64 {
	var latest swclock.Millis
	for i := range s.Classes {
		latest = max(latest, s.Classes[i].Deadline)
	}
	free := make([]float64, (s.Span+latest)/boundStep+1)
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

// place takes work out of the free slot time between arrival and deadline, if there is enough.
func place(free []float64, r *request, work float64) bool {
	from, to := int(r.arrival/boundStep), min(int((r.deadline+boundStep-1)/boundStep), len(free))
	var sum float64
	for i := from; i < to && sum < work; i++ {
		sum += free[i]
	}
	if sum < work {
		return false
	}
	for i := from; work > 0; i++ {
		taken := min(work, free[i])
		free[i] -= taken
		work -= taken
	}
	return true
}

// share divides a tier's work equally, none getting more than it offered.
func share(offered, shares [][swid.MaxTiers]float64, tier int, work float64) {
	order := make([]int, len(offered))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(offered[a][tier], offered[b][tier]) })
	for n, i := range order {
		shares[i][tier] = min(offered[i][tier], work/float64(len(order)-n))
		work -= shares[i][tier]
	}
}
