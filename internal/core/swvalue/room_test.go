package swvalue

import (
	"fmt"
	"math"
	"testing"
)

// rootOfWork ranks by the plain geometric mean of a request's own work and that of its tier; it is a baseline.
type rootOfWork struct{}

func (rootOfWork) Rank(c *Candidate) float64 {
	return c.Precedence * c.Value / math.Sqrt(max(c.Work, 1)*max(c.MeanWork, 1))
}

// roomTally sums what callers get over several plays.
type roomTally struct {
	earned, offered    float64
	answered, requests int
	kinds              map[string]*tally
}

func (r *roomTally) served() float64 { return float64(r.answered) / float64(r.requests) }
func (r *roomTally) worth() float64  { return r.earned / r.offered }

func playRoom(order func() core, l simLoad, seeds uint64) roomTally {
	sum := roomTally{kinds: make(map[string]*tally)}
	for l.seed = range seeds {
		all, kinds := runLoad(order(), l)
		sum.earned, sum.offered = sum.earned+all.earned, sum.offered+all.offered
		sum.answered, sum.requests = sum.answered+all.inTime+all.late, sum.requests+all.requests
		for name, k := range kinds {
			total := sum.kinds[name]
			if total == nil {
				total = &tally{}
				sum.kinds[name] = total
			}
			total.requests, total.inTime, total.late = total.requests+k.requests, total.inTime+k.inTime, total.late+k.late
			total.largestRequests, total.largestAnswered = total.largestRequests+k.largestRequests, total.largestAnswered+k.largestAnswered
		}
	}
	return sum
}

// TestRoomForSmallRequests guards against an order in which large requests take the room of many small ones for hardly more worth, and
// one in which the most urgent or the largest ones pay for that.
func TestRoomForSmallRequests(t *testing.T) {
	const (
		// The users' rules allow a more urgent kind to be served less often by allowed, and ask for half of its kind's share for the largest
		// tenth. maxLoss is a change that the users take for noise.
		allowed = 0.05
		largest = 0.5
		maxLoss = 0.03
		seeds   = 10
	)
	for _, factor := range []float64{2, 3, 4} {
		for _, seconds := range []int{2, 6, 15} {
			t.Run(fmt.Sprintf("%v times the capacity for %d s", factor, seconds), func(t *testing.T) {
				t.Parallel()
				const calm = 0.7
				l := simLoad{factor: calm, seconds: 3 * seconds, burst: factor / calm}
				now := playRoom(func() core { return New(Config{}, Fastest{}, ByWorth{}) }, l, seeds)
				before := playRoom(func() core { return New(Config{}, Fastest{}, rootOfWork{}) }, l, seeds)
				t.Logf("served %.3f, worth %.3f; by the root of the work %.3f, %.3f", now.served(), now.worth(), before.served(), before.worth())
				if now.served() < before.served() {
					t.Errorf("%.3f are served, %.3f by the root of the work", now.served(), before.served())
				}
				if now.worth() < before.worth()-maxLoss {
					t.Errorf("the answers are worth %.3f, %.3f by the root of the work", now.worth(), before.worth())
				}
				previous := 1.0
				for _, c := range classes {
					k := now.kinds[c.name]
					tenth := float64(k.largestAnswered) / float64(k.largestRequests)
					t.Logf("%s: served %.3f, %.3f before, of the largest tenth %.3f", c.name, k.answered(), before.kinds[c.name].answered(), tenth)
					if k.answered() > previous+allowed {
						t.Errorf("%s: served %.3f, a more urgent kind %.3f", c.name, k.answered(), previous)
					}
					if tenth < largest*k.answered() {
						t.Errorf("%s: served %.3f, of the largest tenth %.3f", c.name, k.answered(), tenth)
					}
					previous = min(previous, k.answered())
				}
			})
		}
	}
}
