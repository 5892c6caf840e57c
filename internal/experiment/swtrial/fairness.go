package swtrial

import (
	"cmp"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// shareWindow is the span of arrivals over which shares are compared, since
// what a tier is served changes with the load of the higher ones.
const shareWindow = 10 * swclock.Second

// window holds the work of the requests that arrived in one span.
type window struct {
	offered  []float64
	answered []float64
}

// shares holds the windows of one tier.
type shares []window

// window returns that of an arrival.
func (s *shares) window(arrival swclock.Millis, organisations int) *window {
	n := int(arrival / shareWindow)
	for len(*s) <= n {
		*s = append(*s, window{make([]float64, organisations), make([]float64, organisations)})
	}
	return &(*s)[n]
}

// fair divides a window's answered work equally, no organisation getting more than it offered.
func (w *window) fair() []float64 {
	order := make([]int, len(w.offered))
	left := 0.0
	for i, answered := range w.answered {
		order[i] = i
		left += answered
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(w.offered[a], w.offered[b]) })
	fair := make([]float64, len(w.offered))
	for n, i := range order {
		fair[i] = min(w.offered[i], left/float64(len(order)-n))
		left -= fair[i]
	}
	return fair
}

// QuietShare returns the least part of its fair share of a tier's answered
// work that an organisation of usual rate got, or 1 if there is none.
func (r *Result) QuietShare(tier swid.Tier) float64 {
	least := 1.0
	for org, rate := range r.scenario.Organisations {
		var fair, got float64
		for i := range r.shares[tier] {
			w := &r.shares[tier][i]
			fair += w.fair()[org]
			got += w.answered[org]
		}
		if rate <= 1 && fair > 0 {
			least = min(least, got/fair)
		}
	}
	return least
}
