// Package swcost estimates how fast targets process prompts and generate output,
// from moving averages of what was observed.
package swcost

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// gain is the weight of a new observation in a moving average.
	gain = 0.2
	// warmupSamples is the number of first observations that have a larger weight.
	warmupSamples = 5
	// maxOutlierRatio bounds the ratio of an observation to the average, either way.
	maxOutlierRatio = 8.0
)

// Average is an exponentially weighted moving average that starts from a prior.
type Average struct {
	value float64
	// samples counts the observations, up to warmupSamples.
	samples int
}

// NewAverage returns an average whose value is the prior until the first observation.
func NewAverage(prior float64) Average { return Average{value: prior} }

// Value returns the average.
func (a *Average) Value() float64 { return a.value }

// Samples returns the number of observations, counted up to warmupSamples.
func (a *Average) Samples() int { return a.samples }

// Add updates the average with an observation. An outlier is limited to
// the average times maxOutlierRatio, or to the average divided by maxOutlierRatio.
func (a *Average) Add(observed float64) {
	weight := gain
	if a.samples < warmupSamples {
		a.samples++
		weight = max(gain, 1/float64(a.samples+1))
	}
	if a.value > 0 {
		observed = min(max(observed, a.value/maxOutlierRatio), a.value*maxOutlierRatio)
	}
	a.value += weight * (observed - a.value)
}

// Rates holds the estimates for one target. Times are in milliseconds.
type Rates struct {
	// Prefill is the time for one prompt token that is not cached.
	Prefill Average
	// Decode is the time for one output token of one stream.
	Decode Average
	// Service is the time of a call to a target that counts no tokens.
	Service Average
	// Overhead is the part of the time to the first token that does not depend on the prompt.
	Overhead Average
}

const (
	// longPromptTokens is the number of uncached prompt tokens from which the overhead is
	// a small part of the time to the first token, so that the prefill time can be
	// observed. With fewer, the overhead is observed.
	longPromptTokens = 512
	// shortOutputTokens is the size of an output up to which the time between tokens
	// is too coarse to be observed.
	shortOutputTokens = 8
)

// NewRates returns rates that start at the given numbers of tokens per second, or
// at a service time for a target that counts no tokens.
func NewRates(prefillRate, decodeRate float64, service swclock.Millis) Rates {
	return Rates{
		Prefill: NewAverage(perToken(prefillRate)),
		Decode:  NewAverage(perToken(decodeRate)),
		Service: NewAverage(float64(service)),
	}
}

// perToken returns the time for one token in milliseconds, or 0 without a rate.
func perToken(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return float64(swclock.Second) / rate
}

// Plain reports whether the target counts no tokens.
func (r *Rates) Plain() bool { return r.Prefill.Value() == 0 && r.Decode.Value() == 0 }

// FirstToken returns the expected time to the first token, for the number of prompt
// tokens that are not cached.
func (r *Rates) FirstToken(uncached float64) float64 {
	return r.Overhead.Value() + uncached*r.Prefill.Value()
}

// ObserveFirst updates the rates with the time to a first token. tokens is the number
// of prompt tokens that the target processed before it, those of other prompts
// included.
func (r *Rates) ObserveFirst(tokens float64, span swclock.Millis) {
	if r.Plain() || span <= 0 {
		return
	}
	if tokens >= longPromptTokens {
		r.Prefill.Add(max(float64(span)-r.Overhead.Value(), 1) / tokens)
		return
	}
	r.Overhead.Add(max(float64(span)-tokens*r.Prefill.Value(), 0))
}

// ObserveRest updates the rates with the time from the first token of an output to
// the last, and returns the time between tokens, or 0 if the output was too short.
func (r *Rates) ObserveRest(output swid.Tokens, span swclock.Millis) float64 {
	if r.Plain() || output <= shortOutputTokens || span <= 0 {
		return 0
	}
	between := float64(span) / float64(output-1)
	r.Decode.Add(between)
	return between
}

// Rest returns the expected time from the first token to the last, or the whole time
// of a call to a plain target.
func (r *Rates) Rest(output float64) float64 {
	if r.Plain() {
		return r.Service.Value()
	}
	return output * r.Decode.Value()
}

// Output estimates which share of their output limit requests generate, by tier and
// size of the limit.
type Output struct {
	classes [swid.MaxTiers][outputClasses]limitUsage
}

// outputClasses is the number of size classes of limits, one for each power of two.
const outputClasses = 24

// limitUsage is the share of the limit that is generated, and its mean deviation.
type limitUsage struct {
	mean      Average
	deviation Average
}

// class returns the estimate for a tier and the size class of a limit.
func (o *Output) class(tier swid.Tier, limit swid.Tokens) *limitUsage {
	size := 0
	for n := limit; n > 1 && size < outputClasses-1; n >>= 1 {
		size++
	}
	return &o.classes[min(int(tier), swid.MaxTiers-1)][size]
}

// Observe updates the estimate with the output of a request.
func (o *Output) Observe(tier swid.Tier, limit, generated swid.Tokens) {
	if limit <= 0 {
		return
	}
	u := o.class(tier, limit)
	share := float64(generated) / float64(limit)
	if u.mean.Samples() > 0 {
		difference := share - u.mean.Value()
		u.deviation.Add(max(difference, -difference))
	}
	u.mean.Add(share)
}

// Expect returns the expected output in tokens and its mean deviation. Before the
// first observation, the expected output is the limit.
func (o *Output) Expect(tier swid.Tier, limit swid.Tokens) (mean, deviation float64) {
	u := o.class(tier, limit)
	if u.mean.Samples() == 0 {
		return float64(limit), 0
	}
	return u.mean.Value() * float64(limit), u.deviation.Value() * float64(limit)
}
