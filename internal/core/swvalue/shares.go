package swvalue

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// sharesInterval is the least time between two computations of the factors, and sharesPerSecond bounds how many are computed.
	sharesInterval  = 100 * swclock.Millis(1)
	sharesPerSecond = 50_000
	// minShareFactor is the lowest factor by which the rank of an organisation's requests changes. With it, and three tiers, the mean request of a
	// tier ranks about as high as that of the next one.
	minShareFactor = 0.4
	// shareTolerance is how far an organisation may be above its share without a lower rank.
	shareTolerance = 1.1
	// maxShareOrgs bounds the organisations that are recorded.
	maxShareOrgs = 32768
)

// shares divides what each tier is granted among the organisations that ask for it. An organisation that is granted more than its share,
// because it asks for more than others, ranks lower within the tier. The share is what the targets would give it if all had equal ones and
// left what they do not ask for to the others. While there is room for all, everybody is granted what it asks for, so that nobody ranks lower.
type shares struct {
	// minFactor is the lowest factor of an organisation.
	minFactor float64
	tiers     [swid.MaxTiers]map[swid.OrgID]*orgShare
	// reviewAt is when the factors are computed next.
	reviewAt swclock.Millis
}

// orgShare is what an organisation asks for and is granted in one tier, in tokens. Requests count once, with their first attempt; one that
// was refused and comes back asks again.
type orgShare struct {
	asked, granted workRate
	// askedAt is when the organisation last asked.
	askedAt swclock.Millis
	factor  float64
}

// factorOf returns the factor of an organisation.
func (s *shares) factorOf(org swid.OrgID, tier swid.Tier) float64 {
	if o := s.tiers[min(int(tier), swid.MaxTiers-1)][org]; o != nil {
		return o.factor
	}
	return 1
}

// askedFor records that an organisation asks for tokens.
func (s *shares) askedFor(org swid.OrgID, tier swid.Tier, tokens float64, now swclock.Millis) {
	o := s.of(org, tier)
	o.asked.add(tokens, now)
	o.askedAt = now
}

// of returns the record of an organisation, which may be new.
func (s *shares) of(org swid.OrgID, tier swid.Tier) *orgShare {
	orgs := &s.tiers[min(int(tier), swid.MaxTiers-1)]
	if *orgs == nil {
		*orgs = make(map[swid.OrgID]*orgShare)
	}
	o := (*orgs)[org]
	if o == nil {
		o = &orgShare{factor: 1}
		if len(*orgs) < maxShareOrgs {
			(*orgs)[org] = o
		}
	}
	return o
}

// review computes the factors anew if that is due.
func (s *shares) review(now swclock.Millis) {
	if now < s.reviewAt {
		return
	}
	count := 0
	for _, orgs := range s.tiers {
		count += len(orgs)
		asked, granted := make([]float64, 0, len(orgs)), make([]float64, 0, len(orgs))
		for id, o := range orgs {
			if now-o.askedAt > shareMemory {
				delete(orgs, id)
				continue
			}
			asked, granted = append(asked, o.asked.rate(now)), append(granted, o.granted.rate(now))
		}
		share := equalShare(asked, sum(granted))
		for _, o := range orgs {
			o.factor = 1
			if above := o.granted.rate(now) / (share * shareTolerance); above > 1 {
				o.factor = max(1/above, s.minFactor)
			}
		}
	}
	s.reviewAt = now + max(sharesInterval, swclock.Millis(count)*swclock.Second/sharesPerSecond)
}

// shareTokens returns what a request counts towards its organisation's share: one of a plain service as one token.
func (r *request) shareTokens() float64 {
	return max(float64(r.grantRequest.PromptTokens)+r.output, 1)
}

// above returns the organisations whose factor is below 1.
func (s *shares) above() swcell.AboveShare {
	above := swcell.AboveShare{Factor: 1}
	for tier, orgs := range s.tiers {
		for id, o := range orgs {
			if o.factor >= 1 {
				continue
			}
			above.Count++
			if o.factor < above.Factor || o.factor == above.Factor && id < above.Lowest {
				above.Lowest, above.Tier, above.Factor = id, swid.Tier(tier), o.factor
			}
		}
	}
	return above
}

// shareMemory is the time after which an organisation that asks for nothing is forgotten: several times inflowWindow.
const shareMemory = 6 * inflowWindow

// equalShare returns the share that all get of a total if those who ask for less leave the rest to the others; infinite if the total
// is enough for all.
func equalShare(asked []float64, total float64) float64 {
	slices.Sort(asked)
	for i, a := range asked {
		share := total / float64(len(asked)-i)
		if a >= share {
			return share
		}
		total -= a
	}
	return math.Inf(1)
}

// sum returns the sum of values, which does not depend on their order.
func sum(values []float64) (total float64) {
	slices.Sort(values)
	for _, v := range values {
		total += v
	}
	return total
}
