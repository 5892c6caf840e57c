package swvalue

import (
	"math"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// outputWeight is what an output token counts beside a prompt token in a
	// request's size, as the users weigh them.
	outputWeight = 10
	// baseWeight is the part of an answer's worth that does not grow with its size.
	baseWeight = 0.3
	// maxWeight bounds the worth of a large answer, relative to one of mean size.
	maxWeight = 4
	// hintSlope is how the logarithm of the output follows that of the caller's
	// estimate: what is estimated far from the mean lies nearer to it.
	hintSlope = 0.83
	// hintSpread is the factor between the mean and the median of the outputs for one estimate.
	hintSpread = 1.1
)

// slowGain is the weight of a new observation in a slowMean. Sizes differ by
// factors of a hundred, so that it takes a hundred to know their mean.
const slowGain = 0.01

// slowMean is the mean of many observations, of which old ones fade out.
type slowMean struct {
	value float64
	count int
}

func (m *slowMean) add(v float64) {
	m.count++
	m.value += max(slowGain, 1/float64(m.count)) * (v - m.value)
}

// sizes learns how large the requests of each tier are.
type sizes struct {
	tiers [swid.MaxTiers]tierSizes
}

// tierSizes is what is known of the requests of one tier.
type tierSizes struct {
	// size is the mean of prompts and weighted outputs.
	size slowMean
	// work is the mean share of a target's time that they take.
	work slowMean
	// hint and output are the means of the logarithms of estimates and outputs.
	hint   slowMean
	output slowMean
	// share is the part of its limit that a request without an estimate generates.
	share slowMean
}

func (s *sizes) of(t swid.Tier) *tierSizes { return &s.tiers[min(int(t), swid.MaxTiers-1)] }

// expect returns the number of tokens that a request is expected to generate.
func (s *sizes) expect(a *swcell.Ask) float64 {
	t := s.of(a.Tier)
	limit := float64(a.OutputTokens)
	if a.ExpectedTokens <= 0 {
		if t.share.count == 0 {
			return limit * firstShare
		}
		return limit * t.share.value
	}
	hint := math.Log(float64(a.ExpectedTokens))
	if t.output.count == 0 {
		return bounded(float64(a.ExpectedTokens), limit)
	}
	return bounded(hintSpread*math.Exp(t.output.value+hintSlope*(hint-t.hint.value)), limit)
}

// firstShare is the part of its limit that a request is expected to generate
// before any has ended: limits are many times the usual output.
const firstShare = 0.1

// bounded bounds an output by its limit, if there is one.
func bounded(output, limit float64) float64 {
	if limit > 0 {
		output = min(output, limit)
	}
	return max(output, 1)
}

// observe takes in what a request generated.
func (s *sizes) observe(a *swcell.Ask, generated swid.Tokens) {
	if generated <= 0 {
		return
	}
	t := s.of(a.Tier)
	if a.ExpectedTokens > 0 {
		t.hint.add(math.Log(float64(a.ExpectedTokens)))
		t.output.add(math.Log(float64(generated)))
	}
	if a.OutputTokens > 0 {
		t.share.add(float64(generated) / float64(a.OutputTokens))
	}
}

// weight returns the worth of an answer relative to one of mean size in its
// tier, and takes the request into the mean.
func (s *sizes) weight(a *swcell.Ask, output float64) float64 {
	size := float64(a.PromptTokens) + outputWeight*output
	if a.PromptTokens == 0 {
		return 1
	}
	t := s.of(a.Tier)
	t.size.add(size)
	return min(baseWeight+(1-baseWeight)*size/t.size.value, maxWeight)
}
