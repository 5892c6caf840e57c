package swvalue

import (
	"fmt"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// TestJoinedTargetsAreTried guards against targets that join in calm and get nothing, as one that nobody has seen counts as slower than the
// fast ones.
func TestJoinedTargetsAreTried(t *testing.T) {
	for _, factor := range []float64{0.1, 0.3, 0.5} {
		for _, scale := range []int{1, 7} {
			t.Run(fmt.Sprintf("load %v, %d engines", factor, scale*len(slowdowns)), func(t *testing.T) {
				l := simLoad{factor: factor, seconds: 20, scale: scale, joins: 8 * swclock.Second}
				s := newSim(New(Config{}, Fastest{}, ByWorth{}), l)
				s.run(l)
				all, _ := s.tallies()
				if share := all.earned / all.offered; share < 0.97 {
					t.Errorf("the answers are worth %.3f of what they could be", share)
				}
				total, fast := 0, 0
				for _, e := range s.engineList {
					total += e.granted
					if e.born == 1 {
						continue // it was there from the start
					}
					if e.granted == 0 {
						t.Errorf("engine %s, %v times as slow as a typical one, was granted none of %d requests after it had joined", e.id, e.slowdown, len(s.requests))
					}
					if e.slowdown < 1 {
						fast += e.granted
					}
				}
				t.Logf("%d requests, %d at the fast engines that joined", total, fast)
			})
		}
	}
}
