package swvalue

import "github.com/sassafraswing/sassafraswing/internal/core/swcost"

// First estimates of a typical engine, until requests have ended: those of the
// slower of the engines in the users' tables.
const (
	priorPrefill  = 1.0 / 48 // ms for a prompt token
	priorDecode   = 5.0      // ms for an output token of one stream
	priorOverhead = 30.0     // ms to the first output beside the prompt
	priorService  = 30.0     // ms for a call of a plain service
)

const (
	// minSpeed and maxSpeed bound the learned speeds relative to a typical target.
	minSlowness = 0.1
	maxSlowness = 20.0
	// minPrompt is the prompt from which its processing outweighs the overhead.
	minPrompt = 800.0
	// minOutput is the output from which the time between tokens can be told.
	minOutput = 10.0
)

// model is what is known of a typical target of the cell. Single targets are
// known by their slowness relative to it, so that few requests suffice to tell
// them apart.
type model struct {
	// prefill and decode are ms for a token, overhead and service ms.
	prefill  swcost.Average
	decode   swcost.Average
	overhead swcost.Average
	service  swcost.Average
}

func newModel() model {
	return model{
		prefill:  swcost.NewAverage(priorPrefill),
		decode:   swcost.NewAverage(priorDecode),
		overhead: swcost.NewAverage(priorOverhead),
		service:  swcost.NewAverage(priorService),
	}
}

// slowness is how much longer a target takes than a typical one.
type slowness struct {
	prefill swcost.Average
	decode  swcost.Average
}

func newSlowness() slowness {
	return slowness{prefill: swcost.NewAverage(1), decode: swcost.NewAverage(1)}
}

// ofPrefill and ofDecode fall back to each other until they have been observed.
func (s *slowness) ofPrefill() float64 {
	if s.prefill.Samples() == 0 {
		return s.decode.Value()
	}
	return s.prefill.Value()
}

func (s *slowness) ofDecode() float64 {
	if s.decode.Samples() == 0 {
		return s.prefill.Value()
	}
	return s.decode.Value()
}

func (s *slowness) observePrefill(ratio float64) {
	s.prefill.Add(min(max(ratio, minSlowness), maxSlowness))
}

func (s *slowness) observeDecode(ratio float64) {
	s.decode.Add(min(max(ratio, minSlowness), maxSlowness))
}

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
func (m *model) idle(t *target, uncached, output float64) estimate {
	if t.plain() {
		total := m.service.Value() * t.slow.ofDecode()
		return estimate{first: total, total: total}
	}
	e := estimate{uncached: uncached}
	e.prefill = uncached * m.prefill.Value() * t.slow.ofPrefill()
	e.first = m.overhead.Value()*t.slow.ofDecode() + e.prefill
	e.total = e.first + output*m.decode.Value()*t.slow.ofDecode()
	return e
}

// on estimates a request that is granted a target now.
func (m *model) on(t *target, uncached, output, now float64) estimate {
	e := m.idle(t, uncached, output)
	if t.plain() {
		return e
	}
	e.wait = max(t.prefillFree-now, 0)
	e.first += e.wait
	e.total += e.wait
	return e
}

// work returns the share of a typical target's time that a request takes: its
// prompt keeps the whole target busy, its output one place.
func (m *model) work(prompt, output float64, places int) float64 {
	if prompt == 0 && output == 0 {
		return m.service.Value() / float64(max(places, 1))
	}
	return prompt*m.prefill.Value() + (m.overhead.Value()+output*m.decode.Value())/float64(max(places, 1))
}
