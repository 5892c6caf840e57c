package swvalue

import (
	"fmt"
	"math"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func TestEqualShare(t *testing.T) {
	tests := []struct {
		name  string
		asked []float64
		total float64
		want  float64
	}{
		{"nobody asks", nil, 0, math.Inf(1)},
		{"enough for all", []float64{1, 2, 3}, 6, 3},
		{"more than enough", []float64{1, 2, 3}, 7, math.Inf(1)},
		{"one asks for much", []float64{1, 6, 1}, 4, 2},
		{"all ask for too much", []float64{5, 5, 5, 5}, 8, 2},
		{"little is left by some", []float64{1, 2, 9, 9}, 11, 4},
		{"nothing to give", []float64{1, 2}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := equalShare(tt.asked, tt.total); got != tt.want {
				t.Errorf("share %v, want %v", got, tt.want)
			}
		})
	}
}

// shareTally counts the requests of an organisation, or of several, by tier.
type shareTally struct {
	answered, requests [3]int
}

func (s *shareTally) count(r *simRequest) {
	s.requests[r.class.tier]++
	if r.done > 0 && !r.timedOut {
		s.answered[r.class.tier]++
	}
}

// share returns the share of the requests of some tiers that are answered.
func (s *shareTally) share(tiers ...int) float64 {
	answered, requests := 0, 0
	for _, i := range tiers {
		answered, requests = answered+s.answered[i], requests+s.requests[i]
	}
	return float64(answered) / float64(requests)
}

// TestSharesHold guards against an organisation that sends six times its usual and takes the room of the others.
func TestSharesHold(t *testing.T) {
	const (
		// The users take a change by maxLoss for noise, and an organisation that is served less than a quarter as often as all for starved.
		maxLoss = 0.03
		starved = 0.25
		seeds   = 10
	)
	hot := swid.OrgID("o0")
	play := func(factor, minFactor float64) (worth float64, hottest, others shareTally) {
		earned, offered := 0.0, 0.0
		for seed := range uint64(seeds) {
			l := simLoad{factor: factor, seconds: 20, orgs: 16, hotOrg: 6, seed: seed}
			c := New(Config{}, Fastest{}, ByWorth{})
			c.shares.minFactor = minFactor
			s := newSim(c, l)
			s.run(l)
			all, _ := s.tallies()
			earned, offered = earned+all.earned, offered+all.offered
			for _, r := range s.requests {
				if r.grantRequest.Org == hot {
					hottest.count(r)
				} else {
					others.count(r)
				}
			}
		}
		return earned / offered, hottest, others
	}
	for _, factor := range []float64{0.7, 1.5, 2, 3} {
		t.Run(fmt.Sprint(factor, " times the capacity"), func(t *testing.T) {
			t.Parallel()
			worth, hottest, others := play(factor, minShareFactor)
			worthBefore, hottestBefore, othersBefore := play(factor, 1)
			for tier := range classes {
				t.Logf("tier %d: others served %.3f, %.3f without shares, the hot one %.3f and %.3f",
					tier, others.share(tier), othersBefore.share(tier), hottest.share(tier), hottestBefore.share(tier))
			}
			t.Logf("worth %.3f, %.3f without shares", worth, worthBefore)
			if worth < worthBefore-maxLoss {
				t.Errorf("the answers are worth %.3f, %.3f without shares", worth, worthBefore)
			}
			if got, before := others.share(0, 1, 2), othersBefore.share(0, 1, 2); got < before {
				t.Errorf("the other organisations are served %.3f, %.3f without shares", got, before)
			}
			if factor > 1 && others.share(0) <= hottest.share(0) {
				t.Errorf("the highest tier of the other organisations is served %.3f, that of the hot one %.3f", others.share(0), hottest.share(0))
			}
			if factor > 1 && others.share(0) <= othersBefore.share(0) {
				t.Errorf("the highest tier of the other organisations is served %.3f, %.3f without shares", others.share(0), othersBefore.share(0))
			}
			if factor < 1 && hottest != hottestBefore {
				t.Errorf("the hot organisation is served %+v, %+v without shares, though there is room for all", hottest, hottestBefore)
			}
			if got, all := hottest.share(0, 1, 2), others.share(0, 1, 2); got < starved*all {
				t.Errorf("the hot organisation is served %.3f, the others %.3f", got, all)
			}
		})
	}
}
