package swholder

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swbuffer"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// ownerReply is an owner's reply to a grant request, or the cause for which the
// holder itself ends the wait. Exactly one of the fields after from is set.
type ownerReply struct {
	from     swid.HostID
	queued   bool
	grant    *swmsg.Grant
	reject   *swmsg.Reject
	redirect *swmsg.Redirect
	// holderCause is set if the holder itself ends the wait.
	holderCause swlife.Cause
}

// heldRequest is the state of one request. The goroutine of Serve advances it; mu
// guards the fields that are shared with the goroutines that receive messages.
type heldRequest struct {
	holder   *Holder
	request  *Request
	sink     Sink
	accepted swclock.Millis
	// estimate is the owner's estimate in the last grant, and carrier the host that is to carry the request; empty if
	// this host sends it itself.
	estimate durationEstimate
	carrier  swid.HostID

	mu sync.Mutex
	// waiting is true while the current attempt waits for the owner's decision.
	waiting bool
	// granted is true if requestedOwner granted the current attempt.
	granted      bool
	grantRequest swlife.RequestGrant
	// requestedOwner is the host that the last grant request was sent to. Replies
	// of other hosts are ignored, so that an owner that was replaced, or paused,
	// cannot decide about the request.
	requestedOwner swid.HostID
	// replies has capacity for one reply. A reply clears waiting unless it is a
	// redirect or an acknowledgement.
	replies chan ownerReply
	// outputAt is when the latest output arrived that is streamed to the caller, or 0.
	outputAt swclock.Millis
	// running is nil unless an attempt is dispatched.
	running *runningAttempt
	// acknowledged is true if requestedOwner replied to the last grant request, even
	// if only that the request is queued.
	acknowledged bool
	// grantRequestSentAt is when the last grant request was sent.
	grantRequestSentAt swclock.Millis
	// redirects counts the redirects of the current attempt.
	redirects int
	// queuedToSend is true if the last grant request could be queued for sending.
	queuedToSend bool
	// strikes counts the attempts that broke, each a suspected crash caused by the
	// request. It saturates at its largest value.
	strikes uint8
	// reachedTarget is true if an attempt reached a target. Only the goroutine of
	// Serve accesses reachedTarget and lastFailure.
	reachedTarget bool
	// retries has the instants at which retries of the budget were taken that no attempt has used yet by reaching a target.
	// retriesClosed is set once they were given back. retryMu is a lock of its own because it is also taken by callers that
	// hold locks which are taken under mu.
	retryMu       sync.Mutex
	retries       []swclock.Millis
	retriesClosed bool
	// lastFailure is the latest server error that a target answered with, or nil.
	// It is set only for a request with RetryFailures.
	lastFailure *failureAnswer
	// buffer has what is held of the answers to the request.
	buffer *swbuffer.Account
}

// failureAnswer is a server error that a target answered with.
type failureAnswer struct {
	status int
	header http.Header
	body   *swbuffer.Body
}

// durationEstimate is an owner's estimate of an attempt's durations since dispatch.
type durationEstimate struct {
	firstToken swclock.Millis
	total      swclock.Millis
}

// runningAttempt is an attempt that was dispatched and has not ended.
type runningAttempt struct {
	attempt  swid.Attempt
	target   swid.TargetID
	carrier  swid.HostID
	started  swclock.Millis
	produced swid.Tokens
	// owners holds the owner that granted the attempt and each host that the running
	// attempt was reported to since. The holder reports its end to each of them.
	owners []swid.HostID
	cancel context.CancelCauseFunc
}

func newHeldRequest(h *Holder, r *Request, sink Sink) *heldRequest {
	return &heldRequest{
		holder:   h,
		request:  r,
		sink:     sink,
		accepted: h.config.Clock.Now(),
		replies:  make(chan ownerReply, 1),
		buffer:   h.config.Answers.Open(),
	}
}

// deliverReply delivers a reply to a grant request for the given attempt. It returns
// false, and drops the reply, if the request does not wait for a reply of that host
// to that attempt.
func (e *heldRequest) deliverReply(attempt swid.Attempt, a ownerReply) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waiting || attempt != e.grantRequest.Attempt || a.from != e.requestedOwner {
		return false
	}
	e.acknowledged = true
	select {
	case e.replies <- a:
	default:
		if a.queued {
			return true
		}
		// The decision replaces an acknowledgement that was not read yet.
		select {
		case <-e.replies:
		default:
		}
		e.replies <- a
	}
	if a.redirect == nil && !a.queued {
		e.waiting = false
		e.granted = a.grant != nil
	}
	return true
}

// interruptWait ends the wait for a grant, if the request waits for one.
func (e *heldRequest) interruptWait(cause swlife.Cause) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waiting {
		return
	}
	e.waiting = false
	select {
	case <-e.replies:
	default:
	}
	e.replies <- ownerReply{holderCause: cause}
}

// cancelIfEnding cancels the running attempt, if there is one and the holder ends all requests.
func (e *heldRequest) cancelIfEnding() {
	if !e.holder.isEnding() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running != nil {
		e.running.cancel(&holderCancelError{cause: swlife.CauseShutdown, retryAfter: retryAfterShutdown})
	}
}

// usesGrant reports whether m is a duplicate of the grant that the current attempt uses.
func (e *heldRequest) usesGrant(owner swid.HostID, m swmsg.Grant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Attempt != e.grantRequest.Attempt || owner != e.requestedOwner || e.waiting {
		return false
	}
	return e.granted && (e.running == nil || e.running.target == m.Target)
}

// preempt cancels the running attempt if m names that attempt and the sender is one
// of its owners. A non-idempotent request is not preempted.
func (e *heldRequest) preempt(owner swid.HostID, m swmsg.Preempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.running
	if r == nil || r.attempt != m.Attempt || r.target != m.Target || e.request.NonIdempotent {
		return
	}
	if slices.Contains(r.owners, owner) {
		r.cancel(&holderCancelError{cause: swlife.CausePreempted, retryAfter: m.RetryAfter})
	}
}

// lastOwner returns the host that the last grant request was sent to.
func (e *heldRequest) lastOwner() swid.HostID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestedOwner
}

// runningOn returns the target of the running attempt, or "".
func (e *heldRequest) runningOn() swid.TargetID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		return ""
	}
	return e.running.target
}

// reportTo reports this request to a host that may own its cell. It sends a grant
// request for a waiting request if the Router selects that host, and an in-flight
// report for a running request unless the host granted the attempt or was already
// sent a report.
func (e *heldRequest) reportTo(owner swid.HostID) {
	r := e.findRoute()
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.waiting && r.owner == owner:
		e.sendGrantRequest(r)
	case e.running != nil && !slices.Contains(e.running.owners, owner):
		if e.holder.config.Sender.Send(owner, e.inFlightMessage()) {
			e.running.owners = append(e.running.owners, owner)
		}
	}
}

// reportAgain reports this request to a host that sent a Recover message, because the
// host took the cell over or messages may have been lost. The holder repeats an earlier
// report, because the process that sent Recover may not have received that report.
func (e *heldRequest) reportAgain(owner swid.HostID) {
	e.mu.Lock()
	if e.running != nil {
		e.running.owners = slices.DeleteFunc(e.running.owners, func(o swid.HostID) bool { return o == owner })
	}
	e.mu.Unlock()
	e.reportTo(owner)
}

// repeatGrantRequest repeats the grant request after a lost link.
func (e *heldRequest) repeatGrantRequest() {
	r := e.findRoute()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiting {
		e.sendGrantRequest(r)
	}
}

// route is where a grant request goes.
type route struct {
	owner      swid.HostID
	noRedirect bool
	// carry is set if the request has to be carried: its owner then knows the hosts.
	carry bool
}

// findRoute returns the route of the next grant request. Whether this host is cut off decides on the owner as well, and may change
// meanwhile: a request that has to be carried does not go to an owner that was chosen for one that does not.
func (e *heldRequest) findRoute() route {
	cut := e.isCut()
	owner, noRedirect := e.holder.config.Router.Owner(e.request.Cell)
	return route{owner, noRedirect, cut && e.isCut()}
}

// sendGrantRequest sends a grant request and reports whether the message was
// queued for sending. If the last grant request went to another host, that request
// is cancelled there first. The caller holds e.mu.
func (e *heldRequest) sendGrantRequest(r route) bool {
	if e.requestedOwner != "" && e.requestedOwner != r.owner {
		e.holder.config.Sender.Send(e.requestedOwner, e.withdrawMessage())
	}
	e.requestedOwner, e.acknowledged, e.grantRequestSentAt = r.owner, false, e.holder.config.Clock.Now()
	m := e.grantRequestMessage()
	m.NoRedirect, m.Carry = r.noRedirect, r.carry
	e.queuedToSend = e.holder.config.Sender.Send(r.owner, m)
	return e.queuedToSend
}

// withdrawMessage returns the message that cancels the current grant request or grant. The caller holds e.mu.
func (e *heldRequest) withdrawMessage() swmsg.Withdraw {
	return swmsg.Withdraw{Cell: e.request.Cell, Seq: e.request.Seq, Attempt: e.grantRequest.Attempt}
}

// grantRequestMessage returns the grant request of the current attempt without its route. The caller holds e.mu.
func (e *heldRequest) grantRequestMessage() swmsg.GrantRequest {
	r := e.request
	return swmsg.GrantRequest{
		Cell:           r.Cell,
		Seq:            r.Seq,
		Attempt:        e.grantRequest.Attempt,
		Tier:           r.Tier,
		Org:            r.Org,
		Remaining:      e.remaining(),
		PromptTokens:   r.PromptTokens,
		OutputTokens:   r.OutputTokens,
		Prefix:         r.Prefix,
		Fingerprint:    r.Fingerprint,
		Exclude:        e.grantRequest.Exclude,
		NonIdempotent:  r.NonIdempotent,
		Strikes:        e.strikes,
		Abandon:        e.timeUntilAbandoned(),
		Objective:      e.timeUntilObjective(),
		Parts:          r.Parts,
		ExpectedTokens: r.ExpectedTokens,
		OrgTier:        r.OrgTier,
		Scope:          r.Scope,
		Charge:         r.Charge,
		Resumable:      r.ResumeElsewhere,
		Continuation:   e.grantRequest.Continuation,
	}
}

// isCut reports whether this host reaches no target of the request's service.
func (e *heldRequest) isCut() bool {
	return e.holder.config.Cut != nil && e.holder.config.Cut(e.request.Service)
}

// timeUntilAbandoned returns the time after which the caller abandons the request if there is no output until
// then, or 0 if it waits until the deadline. The caller holds e.mu.
func (e *heldRequest) timeUntilAbandoned() swclock.Millis {
	if e.request.AbandonAfter == 0 {
		return 0
	}
	return e.timeUntil(max(e.accepted, e.outputAt) + e.request.AbandonAfter)
}

// timeUntilObjective returns the time until the first part of the answer is late, or 0 if there is no objective
// or the caller has the first part. The caller holds e.mu.
func (e *heldRequest) timeUntilObjective() swclock.Millis {
	if e.outputAt > 0 {
		return 0
	}
	return e.timeUntil(e.request.Objective)
}

// timeUntil returns the remaining time until an instant, at least 1 ms, or 0 if the instant is not set.
func (e *heldRequest) timeUntil(instant swclock.Millis) swclock.Millis {
	if instant == 0 {
		return 0
	}
	return max(1, instant-e.holder.config.Clock.Now())
}

// addStrike counts a broken attempt as a strike.
func (e *heldRequest) addStrike() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.strikes < math.MaxUint8 {
		e.strikes++
	}
}

// inFlightMessage returns the report of the running attempt, which must exist. The caller holds e.mu.
func (e *heldRequest) inFlightMessage() swmsg.InFlight {
	request := e.grantRequestMessage()
	request.Carry = e.isCut()
	return swmsg.InFlight{
		GrantRequest: request,
		Target:       e.running.target,
		Elapsed:      e.holder.config.Clock.Now() - e.running.started,
		Produced:     e.running.produced,
		Carrier:      e.running.carrier,
	}
}
