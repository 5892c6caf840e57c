package swtrial

import (
	"cmp"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// shareWindowSpan is the length of the windows in which shares are compared. One
// comparison over a whole run would mislead, because the capacity left to a tier
// changes with the load of the higher tiers.
const shareWindowSpan = 10 * swclock.Second

// window holds, by organisation, the work of the requests that arrived in one window.
type window struct {
	offered  []float64
	answered []float64
}

// shareWindows holds the windows of one tier in order of time.
type shareWindows []window

// window returns the window of an arrival time and adds it if it is missing.
func (s *shareWindows) window(arrival swclock.Millis, organisations int) *window {
	n := int(arrival / shareWindowSpan)
	for len(*s) <= n {
		*s = append(*s, window{make([]float64, organisations), make([]float64, organisations)})
	}
	return &(*s)[n]
}

// fairShares divides a window's answered work into max-min fair shares: equal
// shares, except that no organisation's share exceeds the work it offered.
func (w *window) fairShares() []float64 {
	order := make([]int, len(w.offered))
	remaining := 0.0
	for i, answered := range w.answered {
		order[i] = i
		remaining += answered
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(w.offered[a], w.offered[b]) })
	fair := make([]float64, len(w.offered))
	for n, i := range order {
		fair[i] = min(w.offered[i], remaining/float64(len(order)-n))
		remaining -= fair[i]
	}
	return fair
}

// MinQuietOrgShare returns the lowest ratio, over the quiet organisations, of the
// answered work that one received in a tier to its fair share. An organisation is
// quiet if its relative rate is at most 1. The ratio is capped at 1.
func (r *Result) MinQuietOrgShare(tier swid.Tier) float64 {
	least := 1.0
	for org, rate := range r.scenario.Organisations {
		var fair, got float64
		for i := range r.shareWindows[tier] {
			w := &r.shareWindows[tier][i]
			fair += w.fairShares()[org]
			got += w.answered[org]
		}
		if rate <= 1 && fair > 0 {
			least = min(least, got/fair)
		}
	}
	return least
}
