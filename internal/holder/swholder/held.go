package swholder

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// answer is an owner's answer to an ask; exactly one of its messages is set.
type answer struct {
	from     swid.HostID
	queued   bool
	grant    *swmsg.Grant
	giveUp   *swmsg.GiveUp
	redirect *swmsg.Redirect
	// left ends the wait for a cause of the holder's own.
	left swlife.Cause
}

// held is the state of one request. The goroutine of Serve drives it; the
// fields behind mu are shared with the goroutines that receive messages.
type held struct {
	holder   *Holder
	request  *Request
	sink     Sink
	accepted swclock.Millis
	// expected is what the owner expects of the present attempt.
	expected expectation

	mu sync.Mutex
	// waiting tells that an answer of the present attempt is wanted.
	waiting bool
	// granted tells that the present attempt was granted by asked.
	granted bool
	ask     swlife.Ask
	// asked is the host that was asked last. No other host's answer is used, so
	// that an owner that was replaced, or paused, decides nothing.
	asked swid.HostID
	// answers has room for one answer, which clears waiting unless it is a redirect.
	answers chan answer
	// running is nil unless an attempt is dispatched.
	running *running
	// acknowledged tells that asked has answered the ask, be it only that it waits.
	acknowledged bool
	// queuedToSend tells that the last ask could be queued for its host.
	queuedToSend bool
	// strikes counts the attempts that broke, up to its largest value.
	strikes uint8
	// arrived tells that an attempt reached a target. It and failure belong to the goroutine of Serve.
	arrived bool
	// failure is the latest failure that a target answered with, or nil.
	failure *failure
}

// failure is a target's own failed answer.
type failure struct {
	status int
	header http.Header
	body   []byte
}

// expectation has the spans from dispatch that an owner expects.
type expectation struct {
	firstToken swclock.Millis
	total      swclock.Millis
}

// running is an attempt that was dispatched.
type running struct {
	attempt  swid.Attempt
	target   swid.TargetID
	started  swclock.Millis
	produced swid.Tokens
	// owners holds the hosts that count the attempt; each is told of its end.
	owners []swid.HostID
	cancel context.CancelCauseFunc
}

func newHeld(h *Holder, r *Request, sink Sink) *held {
	return &held{
		holder:   h,
		request:  r,
		sink:     sink,
		accepted: h.config.Clock.Now(),
		answers:  make(chan answer, 1),
	}
}

// notify hands an answer to the waiting request and reports whether it was wanted.
func (e *held) notify(attempt swid.Attempt, a answer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waiting || attempt != e.ask.Attempt || a.from != e.asked {
		return false
	}
	e.acknowledged = true
	select {
	case e.answers <- a:
	default:
		if a.queued {
			return true
		}
		// An acknowledgement that was not taken yet makes room for the decision.
		select {
		case <-e.answers:
		default:
		}
		e.answers <- a
	}
	if a.redirect == nil && !a.queued {
		e.waiting = false
		e.granted = a.grant != nil
	}
	return true
}

// leaveFor ends the wait for a grant, if there is one.
func (e *held) leaveFor(cause swlife.Cause) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waiting {
		return
	}
	e.waiting = false
	select {
	case <-e.answers:
	default:
	}
	e.answers <- answer{left: cause}
}

// uses reports whether a repeated grant is the one in use.
func (e *held) uses(owner swid.HostID, m swmsg.Grant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Attempt != e.ask.Attempt || owner != e.asked || e.waiting {
		return false
	}
	return e.granted && (e.running == nil || e.running.target == m.Target)
}

// preempt cancels the attempt if it is the one that its owner means.
func (e *held) preempt(owner swid.HostID, m swmsg.Preempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.running
	if r == nil || r.attempt != m.Attempt || r.target != m.Target || e.request.NonIdempotent {
		return
	}
	if slices.Contains(r.owners, owner) {
		r.cancel(&endedByHolder{cause: swlife.CausePreempted, retryAfter: m.RetryAfter})
	}
}

func (e *held) askedHost() swid.HostID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asked
}

// runningOn returns the target of a dispatched attempt, or "".
func (e *held) runningOn() swid.TargetID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		return ""
	}
	return e.running.target
}

// reportTo tells a host that took the cell over of this request: of work that
// runs in any case, of work that waits if it is the host to ask.
func (e *held) reportTo(owner swid.HostID) {
	best, insist := e.holder.config.Router.Owner(e.request.Cell)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.waiting && best == owner:
		e.sendAsk(owner, insist)
	case e.running != nil && !slices.Contains(e.running.owners, owner):
		if e.holder.config.Sender.Send(owner, e.inFlight()) {
			e.running.owners = append(e.running.owners, owner)
		}
	}
}

// recoverTo answers a host that asks for this request, because it took the cell
// over or lost the link. What it was told before may not have reached the
// process that asks.
func (e *held) recoverTo(owner swid.HostID) {
	e.mu.Lock()
	if e.running != nil {
		e.running.owners = slices.DeleteFunc(e.running.owners, func(o swid.HostID) bool { return o == owner })
	}
	e.mu.Unlock()
	e.reportTo(owner)
}

// askAgain repeats the ask after a lost link.
func (e *held) askAgain() {
	owner, insist := e.holder.config.Router.Owner(e.request.Cell)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting {
		e.sendAsk(owner, insist)
	}
}

// sendAsk needs e.mu. It withdraws the ask from another host that was asked
// before, and reports whether the message was queued.
func (e *held) sendAsk(owner swid.HostID, insist bool) bool {
	if e.asked != "" && e.asked != owner {
		e.holder.config.Sender.Send(e.asked, e.withdrawMessage())
	}
	e.asked, e.acknowledged = owner, false
	m := e.askMessage()
	m.Insist = insist
	e.queuedToSend = e.holder.config.Sender.Send(owner, m)
	return e.queuedToSend
}

// withdrawMessage needs e.mu.
func (e *held) withdrawMessage() swmsg.Withdraw {
	return swmsg.Withdraw{Cell: e.request.Cell, Seq: e.request.Seq, Attempt: e.ask.Attempt}
}

// askMessage needs e.mu.
func (e *held) askMessage() swmsg.Ask {
	r := e.request
	return swmsg.Ask{
		Cell:           r.Cell,
		Seq:            r.Seq,
		Attempt:        e.ask.Attempt,
		Tier:           r.Tier,
		Org:            r.Org,
		Remaining:      e.remaining(),
		PromptTokens:   r.PromptTokens,
		OutputTokens:   r.OutputTokens,
		Prefix:         r.Prefix,
		Fingerprint:    r.Fingerprint,
		Exclude:        e.ask.Exclude,
		NonIdempotent:  r.NonIdempotent,
		Strikes:        e.strikes,
		Abandon:        e.until(r.Abandon),
		Objective:      e.until(r.Objective),
		Parts:          r.Parts,
		ExpectedTokens: r.ExpectedTokens,
		OrgTier:        r.OrgTier,
		Charge:         r.Charge,
	}
}

// until returns the time that remains until an instant, at least 1, or 0 if the instant is not set.
func (e *held) until(instant swclock.Millis) swclock.Millis {
	if instant == 0 {
		return 0
	}
	return max(1, instant-e.holder.config.Clock.Now())
}

// strike counts a broken attempt.
func (e *held) strike() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.strikes < math.MaxUint8 {
		e.strikes++
	}
}

// inFlight needs e.mu and a running attempt.
func (e *held) inFlight() swmsg.InFlight {
	return swmsg.InFlight{
		Ask:      e.askMessage(),
		Target:   e.running.target,
		Elapsed:  e.holder.config.Clock.Now() - e.running.started,
		Produced: e.running.produced,
	}
}
