package swvalue

import "github.com/sassafraswing/sassafraswing/internal/core/swcost"

// Rates that are assumed until one has been observed: those of an engine of average
// speed in the users' tables.
const (
	priorPrefill  = 0.02 // ms for a prompt token
	priorDecode   = 4.6  // ms for an output token of one stream
	priorOverhead = 25.0 // ms to the first output without the prompt
	priorService  = 30.0 // ms for a call of a plain service
)

const (
	// minPrefillTokens is the number of uncached prompt tokens from which processing
	// them outweighs the overhead, so that the time to the first output shows the
	// prefill rate; with fewer it shows the overhead.
	minPrefillTokens = 1500.0
	// minDecodeTokens is the number of output tokens from which the time between tokens can be measured.
	minDecodeTokens = 20.0
)

// rates holds the observed rates of one target. A rate is given as the time in ms that
// one token or one call takes.
type rates struct {
	// prefill and decode are the times for one token of a prompt and of one stream's output.
	prefill swcost.Average
	decode  swcost.Average
	// overhead is the time to the first output without the processing of the prompt.
	overhead swcost.Average
	// service is the time of a call without tokens.
	service swcost.Average
}

// typicalRates holds the mean rates of the active targets, which stand in for those
// of a target that has not been observed yet.
type typicalRates struct{ prefill, decode, overhead, service float64 }

var priors = typicalRates{prefill: priorPrefill, decode: priorDecode, overhead: priorOverhead, service: priorService}

// orTypical returns an average, or the typical value until there is an observation.
func orTypical(a *swcost.Average, value float64) float64 {
	if a.Samples() == 0 {
		return value
	}
	return a.Value()
}

// slowdown returns the target's decode time in relation to that of a typical target.
func (r *rates) slowdown(typical *typicalRates) float64 {
	return orTypical(&r.decode, typical.decode) / typical.decode
}

// estimated returns the rates to plan with. Until they are observed, the prefill and
// overhead times are those of a typical target times the slowdown, and the decode and
// service times are those of a typical target.
func (r *rates) estimated(typical *typicalRates) typicalRates {
	slowdown := r.slowdown(typical)
	return typicalRates{
		prefill:  orTypical(&r.prefill, typical.prefill*slowdown),
		decode:   orTypical(&r.decode, typical.decode),
		overhead: orTypical(&r.overhead, typical.overhead*slowdown),
		service:  orTypical(&r.service, typical.service),
	}
}

// maxStallShare bounds the share of a stream's time in which its output is assumed to
// stall because the target processes the prompts of other requests.
const maxStallShare = 0.7

// estimate holds the expected times of a request on a target, in ms from now.
type estimate struct {
	// wait is the time until the target begins to process the request's prompt.
	wait float64
	// uncached is the number of prompt tokens to process.
	uncached float64
	// prefill is the time that processing the uncached part of the prompt takes.
	prefill float64
	// first and total are the times to the first output and to the end.
	first float64
	total float64
}

// estimateIdle estimates the times of a request on a target that processes no other prompt.
func (c *Cell[P, O]) estimateIdle(t *target, r *request) estimate {
	estimated := t.rates.estimated(&c.typical)
	if t.plain() {
		return estimate{first: estimated.service, total: estimated.service}
	}
	e := estimate{uncached: max(float64(r.grantRequest.PromptTokens-t.cache.cachedTokens(r.prefixes)), 0)}
	e.prefill = e.uncached * estimated.prefill
	e.first = estimated.overhead + e.prefill
	e.total = e.first + r.remainingOutput()*estimated.decode/(1-min(t.stallShare.Value(), maxStallShare))
	return e
}

// estimateNow estimates the times of a request that is granted a target now, behind the
// prompts that the target still has to process.
func (c *Cell[P, O]) estimateNow(t *target, r *request) estimate {
	e := c.estimateIdle(t, r)
	if t.plain() {
		return e
	}
	e.wait = max(t.prefillFreeAt-float64(c.now), 0)
	e.first += e.wait
	e.total += e.wait
	return e
}

// work returns the share of a typical target's time that a request takes with its whole output. That of a stream which goes on counts
// too: otherwise such streams would rank above new ones for their size alone.
func (c *Cell[P, O]) work(r *request, uncached float64) float64 {
	return c.workFor(r, uncached, r.output)
}

// workFor returns the share of a typical target's time that a request takes with a number of output tokens: its
// prompt occupies the whole target, its output one slot.
func (c *Cell[P, O]) workFor(r *request, uncached, output float64) float64 {
	slots := float64(c.typicalSlots)
	if r.grantRequest.PromptTokens == 0 && output == 0 {
		return c.typical.service / slots
	}
	return uncached*c.typical.prefill + (c.typical.overhead+output*c.typical.decode)/slots
}

// updateTypical recomputes the mean rates of the active targets.
func (c *Cell[P, O]) updateTypical() {
	var prefill, decode, overhead, service, slots mean
	for _, t := range c.targets {
		if !t.active() {
			continue
		}
		slots.add(float64(t.conf.Slots))
		prefill.addObserved(&t.rates.prefill)
		decode.addObserved(&t.rates.decode)
		overhead.addObserved(&t.rates.overhead)
		service.addObserved(&t.rates.service)
	}
	c.typical = typicalRates{
		prefill: prefill.or(priors.prefill), decode: decode.or(priors.decode),
		overhead: overhead.or(priors.overhead), service: service.or(priors.service),
	}
	c.typicalSlots = max(int(slots.or(1)), 1)
}

// mean accumulates values for their mean.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(v float64) { m.sum, m.count = m.sum+v, m.count+1 }

// addObserved adds an average unless it has no observation.
func (m *mean) addObserved(a *swcost.Average) {
	if a.Samples() > 0 {
		m.add(a.Value())
	}
}

// or returns the mean, or another value if there is none.
func (m *mean) or(value float64) float64 {
	if m.count == 0 {
		return value
	}
	return m.sum / float64(m.count)
}
