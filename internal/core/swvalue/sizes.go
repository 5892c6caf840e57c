package swvalue

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swcost"
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
)

// sizes learns how large the requests of each tier are and how much of their
// limit they generate.
type sizes struct {
	means   [swid.MaxTiers]swcost.Average
	outputs swcost.Output
}

func newSizes() sizes { return sizes{} }

// weight returns the worth of an answer relative to one of mean size in its
// tier, and takes the request into the mean.
func (s *sizes) weight(a *swcell.Ask) float64 {
	size := float64(a.PromptTokens) + outputWeight*float64(a.OutputTokens)
	if size == 0 {
		return 1
	}
	mean := &s.means[min(int(a.Tier), swid.MaxTiers-1)]
	mean.Add(size)
	return min(baseWeight+(1-baseWeight)*size/mean.Value(), maxWeight)
}

// output returns the number of tokens that a request is expected to generate.
func (s *sizes) output(tier swid.Tier, limit swid.Tokens) float64 {
	mean, _ := s.outputs.Expect(tier, limit)
	return mean
}
