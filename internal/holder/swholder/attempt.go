package swholder

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

const (
	// maxAnswerBytes bounds an answer that is not streamed.
	maxAnswerBytes = 16 << 20
	// nonIdempotentGrace is how long a non-idempotent call may overrun its
	// deadline: cutting it would not undo it, but would hide its outcome.
	nonIdempotentGrace = 30 * swclock.Second
	// patienceFactor and patienceMargin bound a target's silence before the
	// first part of its answer, from what the owner expects.
	patienceFactor = 5
	patienceMargin = 2 * swclock.Second
	// minPatience is the least such bound.
	minPatience = swclock.Second
	// progressTokens is the number of output tokens between two progress reports.
	progressTokens swid.Tokens = 256
	// earlyTokens is the number of output tokens of the second report where
	// owners are told early: enough to tell a target's pace by.
	earlyTokens swid.Tokens = 32
)

// endedByHolder is the cause of an attempt's cancellation by the holder itself.
type endedByHolder struct {
	cause      swlife.Cause
	retryAfter swclock.Millis
}

// Error implements error.
func (e *endedByHolder) Error() string { return "attempt cancelled by its holder" }

// errAnswerTooLarge ends an answer above maxAnswerBytes.
var errAnswerTooLarge = errors.New("the target's answer is too large")

// attempt is one dispatch to one target, with the resumptions of its stream.
type attempt struct {
	held   *held
	number swid.Attempt
	target swid.TargetID
	// owners holds the hosts that count the attempt.
	owners []swid.HostID

	// dispatched and ended are instants; ended is set by each run.
	dispatched swclock.Millis
	ended      swclock.Millis
	// events counts the stream's data events received, over all runs.
	events int
	// begun tells that the caller was given part of the answer.
	begun bool
	// firstToken is the span from dispatch to the first chunk; firstDelivery
	// that from accepting the request. Each is 0 until then.
	firstToken    swclock.Millis
	firstDelivery swclock.Millis
	status        int
	header        http.Header
	// lastEvent is the id of the last event that the caller was given, over all attempts.
	lastEvent string
	// body collects an answer that is not streamed; complete tells that it is whole.
	body     []byte
	complete bool
	usage    swtarget.Usage
	produced swid.Tokens
	reported swid.Tokens
	result   swcell.Result
	// err is what the adapter said of a failure.
	err error
	// done tells that the owner was told of the end.
	done bool
}

// run dispatches the request, or resumes its stream, and passes the answer on.
func (a *attempt) run(ctx context.Context) swlife.AttemptEnded {
	e := a.held
	now := e.holder.config.Clock.Now()
	if a.events == 0 {
		a.dispatched = now
	}
	ctx, cancel := a.context(ctx)
	defer cancel(nil)
	e.mu.Lock()
	if a.owners == nil {
		a.owners = []swid.HostID{e.asked}
	}
	e.running = &running{
		attempt: a.number, target: a.target, started: a.dispatched,
		produced: a.produced, owners: a.owners, cancel: cancel,
	}
	e.mu.Unlock()
	ended := a.exchange(ctx)
	e.mu.Lock()
	a.owners = e.running.owners
	e.running = nil
	e.mu.Unlock()
	a.ended = e.holder.config.Clock.Now()
	a.result = ended.Result
	ended.Delivered = a.begun
	a.held.arrived = a.held.arrived || !ended.Unsent
	return ended
}

// context bounds the attempt by the deadline and, unless its outcome must be
// learned, by the caller's connection.
func (a *attempt) context(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	remaining := a.held.remaining()
	if a.held.request.NonIdempotent && !a.held.request.EndsAtDeadline {
		ctx = context.WithoutCancel(ctx)
		remaining += nonIdempotentGrace
	}
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, stop := context.WithTimeoutCause(ctx, remaining.Duration(), &endedByHolder{cause: swlife.CauseDeadline})
	return ctx, func(cause error) {
		cancel(cause)
		stop()
	}
}

func (a *attempt) exchange(ctx context.Context) swlife.AttemptEnded {
	adapter, takesWork, known := a.held.holder.config.Targets.Adapter(a.target)
	if !known || (!takesWork && a.events == 0) {
		return swlife.AttemptEnded{Result: swcell.ResultNotStarted, Unsent: true}
	}
	call := a.held.request.Call
	call.Org = a.held.request.Org
	call.Remaining = a.held.remaining()
	call.ResumeAfter = a.lastEvent
	call.ID = a.held.request.ID
	call.Attempt = a.number
	call.IdempotencyKey = a.held.request.IdempotencyKey
	call.Patience = a.patience()
	call.ResumeFrom = a.events
	response, err := adapter.Start(ctx, call)
	if err != nil {
		return a.failed(ctx, err)
	}
	defer func() { _ = response.Close() }() // the outcome is known by then
	return a.receive(ctx, response)
}

// patience returns how long the target may stay silent. It leaves half of the
// remaining time to another target. What is not idempotent could not be sent to
// another one, so that its outcome is waited for.
func (a *attempt) patience() swclock.Millis {
	r := a.held.request
	if r.NonIdempotent {
		return 0
	}
	if r.Patience > 0 {
		return r.Patience
	}
	expected := a.held.expected.total
	if r.Call.Stream {
		expected = a.held.expected.firstToken
	}
	return max(minPatience, min(expected*patienceFactor+patienceMargin, a.held.remaining()/2))
}

// receive reads the answer to its end.
func (a *attempt) receive(ctx context.Context, response swtarget.Answer) swlife.AttemptEnded {
	a.status, a.header = response.Status(), response.Header()
	streamed := a.held.request.Call.Stream && a.status < 300
	for {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) {
			return a.whole(response, streamed)
		}
		if err != nil {
			return a.failed(ctx, err)
		}
		a.count(chunk)
		if streamed {
			err = a.deliver(chunk.Data)
		} else {
			err = a.collect(chunk.Data)
		}
		if err != nil {
			return a.undeliverable(err)
		}
	}
}

// whole ends an answer that arrived whole, and gives it to the caller unless it was streamed.
func (a *attempt) whole(response swtarget.Answer, streamed bool) swlife.AttemptEnded {
	a.complete = true
	a.usage = response.Usage()
	if a.status >= http.StatusInternalServerError && a.held.request.RetryFailures {
		a.held.failure = &failure{status: a.status, header: a.header, body: a.body}
		return swlife.AttemptEnded{Result: swcell.ResultFailed}
	}
	if !streamed || !a.begun {
		if err := a.deliver(a.body); err != nil {
			return a.undeliverable(err)
		}
	}
	if a.status >= 400 {
		return swlife.AttemptEnded{Result: swcell.ResultRejected}
	}
	return swlife.AttemptEnded{Result: swcell.ResultAnswered}
}

func (a *attempt) count(chunk swtarget.Chunk) {
	a.events += chunk.Events
	if chunk.LastEvent != "" {
		a.lastEvent = chunk.LastEvent
	}
	if a.firstToken == 0 {
		a.firstToken = max(1, a.held.holder.config.Clock.Now()-a.dispatched)
	}
	a.produced += chunk.Tokens
	e := a.held
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running.produced = a.produced
	early := e.holder.config.ReportEarly && (a.reported == 0 || a.reported < earlyTokens && a.produced >= earlyTokens)
	if early || a.produced-a.reported >= progressTokens {
		a.reported = a.produced
		m := swmsg.Progress{Cell: e.request.Cell, Seq: e.request.Seq, Attempt: a.number, Produced: a.produced}
		for _, owner := range e.running.owners {
			e.holder.config.Sender.Send(owner, m)
		}
	}
}

func (a *attempt) deliver(data []byte) error {
	if !a.begun {
		a.begun = true
		a.firstDelivery = max(1, a.held.sinceAccepted())
		if err := a.held.sink.Begin(a.status, a.header); err != nil {
			return err
		}
	}
	return a.held.sink.Write(data)
}

func (a *attempt) collect(data []byte) error {
	if len(a.body)+len(data) > maxAnswerBytes {
		return errAnswerTooLarge
	}
	a.body = append(a.body, data...)
	return nil
}

// undeliverable ends an attempt whose answer cannot be passed on.
func (a *attempt) undeliverable(err error) swlife.AttemptEnded {
	if errors.Is(err, errAnswerTooLarge) {
		return swlife.AttemptEnded{Result: swcell.ResultCancelled, Cause: swlife.CauseTargetFailed}
	}
	return swlife.AttemptEnded{Result: swcell.ResultCancelled, Cause: swlife.CauseCallerGone}
}

// failed translates the end of an attempt without a whole answer.
func (a *attempt) failed(ctx context.Context, err error) swlife.AttemptEnded {
	a.err = err
	if ctx.Err() != nil {
		return cancelled(ctx)
	}
	var failure *swtarget.Error
	if !errors.As(err, &failure) {
		return swlife.AttemptEnded{Result: swcell.ResultBroken}
	}
	switch failure.Failure {
	case swtarget.FailureNotStarted:
		if a.events > 0 {
			return swlife.AttemptEnded{Result: swcell.ResultBroken}
		}
		return swlife.AttemptEnded{Result: swcell.ResultNotStarted, Unsent: failure.Unsent}
	case swtarget.FailureMismatch:
		return swlife.AttemptEnded{Result: swcell.ResultNoAnswer}
	case swtarget.FailureStalled:
		return swlife.AttemptEnded{Result: swcell.ResultNoAnswer, Resumable: a.resumable()}
	default:
		return swlife.AttemptEnded{Result: swcell.ResultBroken, Resumable: a.resumable()}
	}
}

// resumable reports whether the target may have the rest of a stream.
func (a *attempt) resumable() bool {
	return a.held.request.Call.Stream && a.events > 0 && !a.held.request.KeepsNothing
}

// cancelled names who ended the attempt's context.
func cancelled(ctx context.Context) swlife.AttemptEnded {
	var by *endedByHolder
	if errors.As(context.Cause(ctx), &by) {
		return swlife.AttemptEnded{Result: swcell.ResultCancelled, Cause: by.cause, RetryAfter: by.retryAfter}
	}
	return swlife.AttemptEnded{Result: swcell.ResultCancelled, Cause: swlife.CauseCallerGone}
}

// reportDone tells the owner, once, that the attempt no longer uses its slot.
func (a *attempt) reportDone() {
	if a.held == nil || a.done || a.result == 0 {
		return
	}
	a.done = true
	e := a.held
	if a.result == swcell.ResultBroken {
		e.strike()
	}
	output := a.usage.OutputTokens
	if output == 0 {
		output = a.produced
	}
	m := swmsg.Done{
		Cell:         e.request.Cell,
		Seq:          e.request.Seq,
		Attempt:      a.number,
		Target:       a.target,
		Result:       a.result,
		PromptTokens: a.usage.PromptTokens,
		OutputTokens: output,
		CachedTokens: a.usage.CachedTokens,
		FirstToken:   a.firstToken,
		Total:        a.ended - a.dispatched,
	}
	for _, owner := range a.owners {
		e.holder.config.Sender.Send(owner, m)
	}
}
