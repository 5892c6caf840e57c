// Package swcost learns how fast targets process prompts and generate output.
package swcost

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// gain is the weight of a new observation in a moving average.
	gain = 0.2
	// fewSamples is the number of observations before which the gain is larger.
	fewSamples = 5
	// outlier bounds how far one observation may lie from the average.
	outlier = 8.0
)

// Average is an exponentially weighted moving average that starts from a prior.
type Average struct {
	value float64
	// samples counts the observations, up to fewSamples.
	samples int
}

// NewAverage returns an average whose value is the prior until the first observation.
func NewAverage(prior float64) Average { return Average{value: prior} }

// Value returns the average.
func (a *Average) Value() float64 { return a.value }

// Samples returns the number of observations, of which only the first few are counted.
func (a *Average) Samples() int { return a.samples }

// Add takes an observation in. One that is far off counts as outlier times the average.
func (a *Average) Add(observed float64) {
	g := gain
	if a.samples < fewSamples {
		a.samples++
		g = max(gain, 1/float64(a.samples+1))
	}
	if a.value > 0 {
		observed = min(max(observed, a.value/outlier), a.value*outlier)
	}
	a.value += g * (observed - a.value)
}

// Rates holds what was learned of one target. Times are in milliseconds.
type Rates struct {
	// Prefill is the time for one prompt token that is not cached.
	Prefill Average
	// Decode is the time for one output token of one stream.
	Decode Average
	// Service is the time of a call without tokens.
	Service Average
	// Overhead is the part of the time to the first token that does not depend on the prompt.
	Overhead Average
}

const (
	// longPrompt is the uncached prompt from which the overhead is negligible.
	longPrompt = 512
	// shortOutput is the output up to which the time between tokens is too coarse to learn from.
	shortOutput = 8
)

// NewRates returns rates that start at the given tokens a second, or at a
// service time for a target that counts no tokens.
func NewRates(prefillRate, decodeRate float64, service swclock.Millis) Rates {
	return Rates{
		Prefill: NewAverage(perToken(prefillRate)),
		Decode:  NewAverage(perToken(decodeRate)),
		Service: NewAverage(float64(service)),
	}
}

func perToken(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return float64(swclock.Second) / rate
}

// Plain reports whether the target counts no tokens.
func (r *Rates) Plain() bool { return r.Prefill.Value() == 0 && r.Decode.Value() == 0 }

// FirstToken returns the time to process the uncached part of a prompt.
func (r *Rates) FirstToken(uncached float64) float64 {
	return r.Overhead.Value() + uncached*r.Prefill.Value()
}

// ObserveFirst takes in the time to a first token before which the target
// processed the given tokens, other prompts' included.
func (r *Rates) ObserveFirst(tokens float64, span swclock.Millis) {
	if r.Plain() || span <= 0 {
		return
	}
	if tokens >= longPrompt {
		r.Prefill.Add(max(float64(span)-r.Overhead.Value(), 1) / tokens)
		return
	}
	r.Overhead.Add(max(float64(span)-tokens*r.Prefill.Value(), 0))
}

// ObserveRest takes in the time from the first token to the last of an output,
// and returns the time between tokens, or 0 if the output was too short to tell.
func (r *Rates) ObserveRest(output swid.Tokens, span swclock.Millis) float64 {
	if r.Plain() || output <= shortOutput || span <= 0 {
		return 0
	}
	between := float64(span) / float64(output-1)
	r.Decode.Add(between)
	return between
}

// Rest returns the time from the first token to the last, or the whole time of a plain call.
func (r *Rates) Rest(output float64) float64 {
	if r.Plain() {
		return r.Service.Value()
	}
	return output * r.Decode.Value()
}

// Output learns how much of their limit requests generate, by tier and size of the limit.
type Output struct {
	classes [swid.MaxTiers][outputClasses]usage
}

const outputClasses = 24

// usage is the share of the limit that is generated.
type usage struct {
	mean      Average
	deviation Average
}

func (o *Output) class(tier swid.Tier, limit swid.Tokens) *usage {
	size := 0
	for n := limit; n > 1 && size < outputClasses-1; n >>= 1 {
		size++
	}
	return &o.classes[min(int(tier), swid.MaxTiers-1)][size]
}

// Observe takes in what a request generated.
func (o *Output) Observe(tier swid.Tier, limit, generated swid.Tokens) {
	if limit <= 0 {
		return
	}
	u := o.class(tier, limit)
	share := float64(generated) / float64(limit)
	if u.mean.Samples() > 0 {
		off := share - u.mean.Value()
		u.deviation.Add(max(off, -off))
	}
	u.mean.Add(share)
}

// Expect returns the expected output, which is the limit until something was
// observed, and its mean deviation.
func (o *Output) Expect(tier swid.Tier, limit swid.Tokens) (mean, deviation float64) {
	u := o.class(tier, limit)
	if u.mean.Samples() == 0 {
		return float64(limit), 0
	}
	return u.mean.Value() * float64(limit), u.deviation.Value() * float64(limit)
}
