package swengine

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swanswer"
	"github.com/sassafraswing/sassafraswing/internal/stand/swversion"
)

// runState is the stage of a run.
type runState uint8

const (
	runActive runState = iota
	// runEnded means that every token was generated.
	runEnded
	// runCancelled means that the run was cancelled or lost in a crash.
	runCancelled
)

// run is one execution of a request. The engine's mutex guards its mutable fields.
type run struct {
	call     call
	id       swid.RequestID
	attempt  swid.Attempt
	sequence *sequence
	record   *record

	// effect is what the engine's software version does to the answer.
	effect swversion.Effect

	state runState
	// changed is closed and replaced whenever tokens were generated or the state changed. A
	// crash ends the contexts of the responses instead.
	changed chan struct{}
	// responseNumber is the number of the latest response that sends the run's answer; only
	// that response may cancel the run.
	responseNumber int
	// detachedAt is when the latest response ended. It is valid while isDetached is set, that
	// is, while no response sends the answer and the retention runs.
	detachedAt swclock.Millis
	isDetached bool
	delivered  bool
	// wasted is this run's part of record.wasted.
	wasted float64
}

// available returns the number of data events that may be sent now.
func (r *run) available() int {
	if r.state == runEnded {
		return r.call.eventCount()
	}
	return r.sequence.outputTokens()
}

func (r *run) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// countWaste counts the prefill so far as wasted, unless the answer was delivered.
func (r *run) countWaste() {
	if !r.delivered {
		r.record.wasted += r.sequence.prefilled - r.wasted
		r.wasted = r.sequence.prefilled
	}
}

// markDelivered records that the whole answer was sent.
func (r *run) markDelivered() {
	if r.delivered {
		return
	}
	r.delivered = true
	r.record.wasted -= r.wasted
	r.wasted = 0
	r.record.completed++
}

// call is a parsed request. It is immutable.
type call struct {
	chat   bool
	stream bool
	// usage is set if the client requested the usage event at the end of the stream.
	usage  bool
	model  string
	prompt string
	// output is the length of the answer in tokens.
	output int
}

// eventCount returns the number of data events of the answer's stream: the tokens,
// the finish reason and, if requested, the usage.
func (c call) eventCount() int {
	if c.usage {
		return c.output + 2
	}
	return c.output + 1
}

func (c call) hash() string { return swanswer.Hash(c.prompt) }
