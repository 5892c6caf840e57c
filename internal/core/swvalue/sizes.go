package swvalue

import (
	"math"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// outputWeight is the size of an output token relative to a prompt token, as the
	// users weight them.
	outputWeight = 10
	// baseWeight is the share of an answer's worth that does not grow with its size.
	baseWeight = 0.3
	// maxWeight bounds the worth of a large answer, relative to one of mean size.
	maxWeight = 4
	// hintSlope is the slope of the logarithm of the output over that of the caller's
	// estimate (the hint): outputs lie nearer to their mean than estimates to theirs.
	hintSlope = 0.83
	// meanToMedian is the mean of the outputs for one estimate divided by their median.
	meanToMedian = 1.1
)

// slowMeanGain is the weight of a new observation in a slowMean. Sizes differ by
// factors of a hundred, so that their mean needs about a hundred observations.
const slowMeanGain = 0.01

// slowMean is a moving average that starts as the plain mean of its first observations.
type slowMean struct {
	value float64
	count int
}

func (m *slowMean) add(v float64) {
	m.count++
	m.value += max(slowMeanGain, 1/float64(m.count)) * (v - m.value)
}

// sizes estimates the sizes and outputs of the requests of each tier.
type sizes struct {
	tiers [swid.MaxTiers]tierSizes
}

// tierSizes holds the statistics of the requests of one tier.
type tierSizes struct {
	// size is the mean of the prompt tokens plus the weighted output tokens.
	size slowMean
	// work is the mean of the share of a typical target's time that they take, in ms.
	work slowMean
	// hint and output are the means of the logarithms of callers' estimates and of outputs.
	hint   slowMean
	output slowMean
	// limitShare is the mean share of its output limit that a request generates; it is
	// used for requests without an estimate.
	limitShare slowMean
}

func (s *sizes) forTier(t swid.Tier) *tierSizes { return &s.tiers[min(int(t), swid.MaxTiers-1)] }

// expectedOutput returns the number of tokens that a request is expected to generate.
func (s *sizes) expectedOutput(a *swcell.GrantRequest) float64 {
	t := s.forTier(a.Tier)
	limit := float64(a.OutputTokens)
	if a.ExpectedTokens <= 0 {
		if t.limitShare.count == 0 {
			return limit * initialOutputShare
		}
		return limit * t.limitShare.value
	}
	hint := math.Log(float64(a.ExpectedTokens))
	if t.output.count == 0 {
		return boundOutput(float64(a.ExpectedTokens), limit)
	}
	return boundOutput(meanToMedian*math.Exp(t.output.value+hintSlope*(hint-t.hint.value)), limit)
}

// initialOutputShare is the share of its limit that a request without an estimate is
// expected to generate before any has ended: limits are many times the usual output.
const initialOutputShare = 0.1

// boundOutput bounds an output by its limit, if there is one, and to at least one token.
func boundOutput(output, limit float64) float64 {
	if limit > 0 {
		output = min(output, limit)
	}
	return max(output, 1)
}

// observe adds the number of tokens that a request generated to the statistics.
func (s *sizes) observe(a *swcell.GrantRequest, generated swid.Tokens) {
	if generated <= 0 {
		return
	}
	t := s.forTier(a.Tier)
	if a.ExpectedTokens > 0 {
		t.hint.add(math.Log(float64(a.ExpectedTokens)))
		t.output.add(math.Log(float64(generated)))
	}
	if a.OutputTokens > 0 {
		t.limitShare.add(float64(generated) / float64(a.OutputTokens))
	}
}

// weight adds the size of a request to the mean of its tier, and returns the worth of
// its answer relative to one of mean size.
func (s *sizes) weight(a *swcell.GrantRequest, output float64) float64 {
	size := float64(a.PromptTokens) + outputWeight*output
	if a.PromptTokens == 0 {
		return 1
	}
	t := s.forTier(a.Tier)
	t.size.add(size)
	return min(baseWeight+(1-baseWeight)*size/t.size.value, maxWeight)
}
