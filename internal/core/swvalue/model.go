package swvalue

import "github.com/sassafraswing/sassafraswing/internal/core/swcost"

// First estimates, until requests have ended: those of an engine of middling
// speed in the users' tables.
const (
	priorPrefill  = 0.02 // ms for a prompt token
	priorDecode   = 4.6  // ms for an output token of one stream
	priorOverhead = 25.0 // ms to the first output beside the prompt
	priorService  = 30.0 // ms for a call of a plain service
)

const (
	// minPrompt is the prompt from which its processing outweighs the overhead.
	minPrompt = 1500.0
	// minOutput is the output from which the time between tokens can be told.
	minOutput = 20.0
)

// rates are what was learned of one target, in ms.
type rates struct {
	// prefill and decode are for one token of a prompt and of one stream's output.
	prefill swcost.Average
	decode  swcost.Average
	// overhead is the time to the first output beside the prompt.
	overhead swcost.Average
	// service is that of a call without tokens.
	service swcost.Average
}

// typical are the mean rates of the active targets, by which one that is not
// known yet is judged.
type typical struct{ prefill, decode, overhead, service float64 }

var priors = typical{prefill: priorPrefill, decode: priorDecode, overhead: priorOverhead, service: priorService}

// orTypical returns an average, or the typical value until there is an observation.
func orTypical(a *swcost.Average, value float64) float64 {
	if a.Samples() == 0 {
		return value
	}
	return a.Value()
}

// pace returns how much slower the target is than a typical one, by its output.
func (r *rates) pace(y *typical) float64 { return orTypical(&r.decode, y.decode) / y.decode }

// at returns the rates to plan with. What is not known of a target is that of a
// typical one, slower by as much as its output is.
func (r *rates) at(y *typical) typical {
	pace := r.pace(y)
	return typical{
		prefill:  orTypical(&r.prefill, y.prefill*pace),
		decode:   orTypical(&r.decode, y.decode),
		overhead: orTypical(&r.overhead, y.overhead*pace),
		service:  orTypical(&r.service, y.service),
	}
}

// maxStall bounds the share of a stream's time that is put down to the prompts of others.
const maxStall = 0.7

// estimate is the expected course of a request on a target, in ms from now.
type estimate struct {
	// wait is the time until its prompt is begun.
	wait float64
	// uncached is the number of prompt tokens to process.
	uncached float64
	// prefill is the time that its prompt takes.
	prefill float64
	// first and total are the times to the first output and to the end.
	first float64
	total float64
}

// idle estimates a request on a target that processes no other prompt.
func (c *Cell[P, O]) idle(t *target, r *request) estimate {
	y := t.rates.at(&c.typical)
	if t.plain() {
		return estimate{first: y.service, total: y.service}
	}
	e := estimate{uncached: max(float64(r.ask.PromptTokens-t.cache.cached(r.chain)), 0)}
	e.prefill = e.uncached * y.prefill
	e.first = y.overhead + e.prefill
	e.total = e.first + r.output*y.decode/(1-min(t.stall.Value(), maxStall))
	return e
}

// on estimates a request that is granted a target now.
func (c *Cell[P, O]) on(t *target, r *request) estimate {
	e := c.idle(t, r)
	if t.plain() {
		return e
	}
	e.wait = max(t.prefillFree-float64(c.now), 0)
	e.first += e.wait
	e.total += e.wait
	return e
}

// work returns the share of a typical target's time that a request takes: its
// prompt keeps the whole target busy, its output one place.
func (c *Cell[P, O]) work(r *request, uncached float64) float64 {
	places := float64(c.typicalSlots)
	if r.ask.PromptTokens == 0 && r.output == 0 {
		return c.typical.service / places
	}
	return uncached*c.typical.prefill + (c.typical.overhead+r.output*c.typical.decode)/places
}

// updateTypical recomputes the mean rates of the active targets.
func (c *Cell[P, O]) updateTypical() {
	var prefill, decode, overhead, service, slots mean
	for _, t := range c.targets {
		if !t.active() {
			continue
		}
		slots.add(float64(t.conf.Slots))
		prefill.addKnown(&t.rates.prefill)
		decode.addKnown(&t.rates.decode)
		overhead.addKnown(&t.rates.overhead)
		service.addKnown(&t.rates.service)
	}
	c.typical = typical{
		prefill: prefill.or(priors.prefill), decode: decode.or(priors.decode),
		overhead: overhead.or(priors.overhead), service: service.or(priors.service),
	}
	c.typicalSlots = max(int(slots.or(1)), 1)
}

// mean sums values up.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(v float64) { m.sum, m.count = m.sum+v, m.count+1 }

// addKnown adds an average that has an observation.
func (m *mean) addKnown(a *swcost.Average) {
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
