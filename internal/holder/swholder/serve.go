package swholder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

const (
	// claimTimeout is the maximum wait for the claim registry.
	claimTimeout = 2 * swclock.Second
	// defaultGrantRequestInterval is the interval at which an unanswered grant request
	// is repeated, in case a message was lost.
	defaultGrantRequestInterval = 2 * swclock.Second
	// sendRetryInterval is the wait before a grant request that could not be queued for sending is repeated.
	sendRetryInterval swclock.Millis = 50
)

// serve executes the commands of the request's state machine until its end.
func (e *heldRequest) serve(ctx context.Context) Report {
	defer e.buffer.Close()
	defer e.giveBackRetries()
	rules := e.request.rules()
	rules.Continuation.Origin = e.knownOrigin()
	life, command := swlife.New(rules)
	last := attempt{lastEventID: e.request.Call.LastEventID}
	var report Report
	claimed := false
	for {
		var event swlife.Event
		switch c := command.(type) {
		case swlife.Claim:
			event = e.claim(ctx)
			_, claimed = event.(swlife.Claimed)
		case swlife.RequestGrant:
			event = e.waitForGrant(ctx, c)
			report.Timing.Queue = e.sinceAccepted()
		case swlife.Dispatch:
			report.Attempts, report.Target = c.Attempt, c.Target
			last = attempt{
				held: e, number: c.Attempt, target: c.Target, last: c.Last, retry: e.reachedTarget, carrier: e.carrier,
				tried: e.grantRequest.Exclude, continues: e.grantRequest.Continuation.Continues,
				begun: last.begun, delivered: last.delivered, firstDelivery: last.firstDelivery, lastEventID: last.lastEventID,
			}
			event = last.run(ctx)
		case swlife.Resume:
			event = last.run(ctx)
		case swlife.End:
			report.End = e.deliverLastFailure(c, &last)
			e.finish(&report, &last, claimed)
			return report
		}
		command = life.Step(event)
		if granted, isGranted := event.(swlife.Granted); isGranted {
			e.declineUnlessDispatched(granted, command)
		}
		report.Continued = life.Continued()
		if _, resumes := command.(swlife.Resume); !resumes {
			last.reportDone()
		}
		e.logStep(event, &last)
	}
}

// knownOrigin returns the origin of the stream that the caller takes up, if this host knows it.
func (e *heldRequest) knownOrigin() sworigin.Origin {
	if e.holder.config.Origins == nil || !e.request.Continuation.Continues {
		return sworigin.Origin{}
	}
	origin, known := e.holder.config.Origins.Find(e.request.Continuation.Stream, e.holder.config.Clock.Now())
	if !known {
		return sworigin.Origin{}
	}
	return origin
}

// declineUnlessDispatched cancels a grant at its owner if the next command does not use it.
func (e *heldRequest) declineUnlessDispatched(granted swlife.Granted, next swlife.Command) {
	if _, dispatched := next.(swlife.Dispatch); dispatched {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.granted = false
	m := e.withdrawMessage()
	e.holder.config.Sender.Send(e.requestedOwner, m)
	e.holder.config.Log.Info().
		Str("requestId", string(e.request.ID)).Uint64("seq", uint64(e.request.Seq)).Uint32("attempt", uint32(m.Attempt)).
		Str("target", string(granted.Target)).Str("targetVersion", string(granted.Origin.Version)).Str("owner", string(e.requestedOwner)).
		Str("continuedVersion", string(granted.Continued.Version)).Msg("grant declined")
}

// logStep logs the rejection of a request, by its owner or by the retry budget, and an
// attempt with a result other than ResultAnswered.
func (e *heldRequest) logStep(event swlife.Event, last *attempt) {
	switch v := event.(type) {
	case swlife.Rejected:
		e.holder.config.Log.Info().
			Str("requestId", string(e.request.ID)).Uint64("seq", uint64(e.request.Seq)).Str("cell", string(e.request.Cell)).
			Str("content", e.request.Fingerprint.String()).Uint32("attempt", uint32(e.grantRequest.Attempt)).Str("owner", string(e.lastOwner())).Str("reason", v.Reason.String()).
			Int64("retryAfterMillis", int64(v.RetryAfter)).Int64("sinceAcceptedMillis", int64(e.sinceAccepted())).
			Msg("request rejected")
	case swlife.AttemptEnded:
		if v.Result == swcell.ResultAnswered {
			return
		}
		e.holder.config.Log.Info().
			Str("requestId", string(e.request.ID)).Uint64("seq", uint64(e.request.Seq)).
			Str("content", e.request.Fingerprint.String()).Uint32("attempt", uint32(last.number)).
			Str("target", string(last.target)).Str("targetVersion", string(last.origin.Version)).Str("carrier", string(last.carrier)).Str("owner", string(e.lastOwner())).Str("result", v.Result.String()).
			Int("status", last.status).Str("cause", v.Cause.String()).Bool("unsent", v.Unsent).Bool("delivered", v.Delivered).
			Str("endedBy", last.ender.String()).Int64("silentMillis", int64(last.silence())).AnErr("error", last.err).
			Array("parts", loggedParts(e.request.Parts)).Int64("firstMillis", int64(last.firstToken)).Int64("producedTokens", int64(last.produced)).
			Int64("attemptMillis", int64(last.ended-last.dispatched)).Int64("sinceAcceptedMillis", int64(e.sinceAccepted())).
			Msg("attempt failed")
	}
}

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 8

// loggedParts returns the parts of a prompt that other requests may have, for a log line.
func loggedParts(parts []swcell.Part) *zerolog.Array {
	logged := zerolog.Arr()
	for i, p := range swcell.SharedParts(parts) {
		if i == maxLoggedParts {
			break
		}
		logged.Str(p.ID.String())
	}
	return logged
}

// deliverLastFailure sends lastFailure to the caller, if no other answer was
// delivered. It returns the resulting end of the request.
func (e *heldRequest) deliverLastFailure(end swlife.End, last *attempt) swlife.End {
	if e.lastFailure == nil || last.begun || end.Outcome == swlife.OutcomeAnswered || end.Cause == swlife.CauseCallerGone {
		return end
	}
	last.begun = true
	if err := e.sink.Begin(e.lastFailure.status, withLength(e.lastFailure.header, e.lastFailure.body.Len())); err != nil {
		return swlife.End{Outcome: swlife.OutcomeUnknown, Cause: swlife.CauseCallerGone}
	}
	for _, segment := range e.lastFailure.body.Segments() {
		if err := e.sink.Write(segment); err != nil {
			return swlife.End{Outcome: swlife.OutcomeUnknown, Cause: swlife.CauseCallerGone}
		}
	}
	return swlife.End{Outcome: swlife.OutcomeAnswered}
}

// finish completes the report and, if the request was claimed, records the outcome of the claim.
func (e *heldRequest) finish(report *Report, last *attempt, claimed bool) {
	report.Begun, report.TargetVersion, report.Carrier = last.begun, last.origin.Version, last.carrier
	report.EndedBy, report.Silence = last.ender, last.silence()
	report.Timing.FirstToken = last.firstDelivery
	report.Timing.Total = e.sinceAccepted()
	report.Timing.ExpectedFirstToken = e.estimate.firstToken
	report.PromptTokens = last.usage.PromptTokens
	report.OutputTokens = max(last.usage.OutputTokens, last.produced)
	report.CachedTokens = last.usage.CachedTokens
	report.InTime = report.End.Outcome == swlife.OutcomeAnswered && e.holder.config.Clock.Now() <= e.request.Deadline
	if claimed {
		e.holder.config.Claims.RecordOutcome(e.claimEntry(), claimDecision(report.End.Outcome, last))
	}
}

func claimDecision(outcome swlife.Outcome, last *attempt) swclaim.Decision {
	switch {
	case last.complete:
		return swclaim.Decision{
			Outcome:     swclaim.OutcomeAnswered,
			Status:      last.status,
			ContentType: last.header.Get("Content-Type"),
			Body:        last.body.Bytes(),
		}
	case outcome == swlife.OutcomeNotRun:
		return swclaim.Decision{Outcome: swclaim.OutcomeNotRun}
	default:
		return swclaim.Decision{Outcome: swclaim.OutcomeUnknown}
	}
}

func (e *heldRequest) claimEntry() swclaim.Entry {
	return swclaim.Entry{
		Key:         swclaim.Key{Org: e.request.Org, Key: e.request.IdempotencyKey},
		Request:     e.request.ID,
		Fingerprint: e.request.Fingerprint,
	}
}

// claim records the request's claim, or replays the answer that an earlier request with the same key recorded.
func (e *heldRequest) claim(ctx context.Context) swlife.Event {
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, e.remaining()).Duration())
	defer cancel()
	d, err := e.holder.config.Claims.Claim(ctx, e.claimEntry())
	if err != nil {
		return swlife.ClaimFailed{Cause: swlife.CauseClaimUnavailable, RetryAfter: claimRetryAfter(err)}
	}
	switch {
	case d.Granted:
		return swlife.Claimed{}
	case d.Mismatch:
		return swlife.ClaimFailed{Cause: swlife.CauseKeyReused}
	case d.Outcome == swclaim.OutcomeAnswered && d.Status != 0:
		return e.replay(d)
	default:
		return swlife.ClaimFailed{Cause: swlife.CauseClaimHeld, MayHaveRun: true}
	}
}

// claimRetryAfter returns the wait before a claim that was not recorded may be retried.
func claimRetryAfter(err error) swclock.Millis {
	var full *swclaim.FullError
	if errors.As(err, &full) {
		return full.RetryAfter
	}
	return claimTimeout
}

// replay sends the caller the answer that was recorded for its idempotency key.
func (e *heldRequest) replay(d swclaim.Decision) swlife.Event {
	err := e.sink.Begin(d.Status, withLength(swtarget.MediaType(d.ContentType), len(d.Body)))
	if err == nil {
		err = e.sink.Write(d.Body)
	}
	if err != nil {
		return swlife.ClaimFailed{Cause: swlife.CauseCallerGone, MayHaveRun: true}
	}
	return swlife.Replayed{}
}

// waitForGrant sends a grant request to the cell's owner and waits for its decision.
// If the retry budget does not allow another attempt, it returns a rejection instead.
func (e *heldRequest) waitForGrant(ctx context.Context, c swlife.RequestGrant) swlife.Event {
	if e.reachedTarget && !e.keepRetries(1) {
		return swlife.Rejected{Reason: swcell.ReasonRetryBudget}
	}
	resend := time.NewTimer(e.startGrantRequest(c).Duration())
	defer resend.Stop()
	deadline := time.NewTimer(e.remaining().Duration())
	defer deadline.Stop()
	if e.holder.isEnding() {
		return e.endWait(swlife.CauseShutdown)
	}
	for {
		select {
		case a := <-e.replies:
			switch {
			case a.redirect != nil:
				e.followRedirect(a.redirect)
			case a.holderCause != swlife.CauseNone:
				return e.endWait(a.holderCause)
			case a.queued:
				resend.Reset(e.holder.config.GrantRequestInterval.Duration())
			case a.grant != nil && e.outlastsHost(a.grant):
				return e.endWait(swlife.CauseShutdown)
			default:
				return e.acceptDecision(a)
			}
		case <-resend.C:
			resend.Reset(e.resendGrantRequest().Duration())
		case <-deadline.C:
			return e.cancelGrantRequest(swlife.CauseDeadline)
		case <-ctx.Done():
			return e.cancelGrantRequest(swlife.CauseCallerGone)
		}
	}
}

// outlastsHost reports whether the host is leaving and the answer to the request, which came after the host began to
// leave and may not be repeated, is expected after the host has ended.
func (e *heldRequest) outlastsHost(m *swmsg.Grant) bool {
	l := e.holder.leavingState()
	if l == nil || !e.request.NonIdempotent || e.accepted < l.since {
		return false
	}
	remaining := l.endsAt - e.holder.config.Clock.Now()
	if m.Total <= remaining {
		return false
	}
	e.holder.config.Log.Info().
		Str("requestId", string(e.request.ID)).Uint64("seq", uint64(e.request.Seq)).Uint32("attempt", uint32(m.Attempt)).
		Str("target", string(m.Target)).Int64("expectedMillis", int64(m.Total)).Int64("remainingMillis", int64(remaining)).
		Msg("request would outlast the host")
	return true
}

// acceptDecision stores the estimate of a grant and returns the event for the owner's decision.
func (e *heldRequest) acceptDecision(a ownerReply) swlife.Event {
	if a.grant != nil {
		e.estimate = durationEstimate{firstToken: a.grant.FirstToken, total: a.grant.Total}
		e.carrier = a.grant.Carrier
		if e.holder.config.OnGranted != nil && !e.reachedTarget {
			e.holder.config.OnGranted(e.request)
		}
		target, _ := e.holder.config.Targets.Target(a.grant.Target) // one that is not listed has no origin
		return swlife.Granted{Target: a.grant.Target, Origin: target.Origin, Continued: a.grant.Origin}
	}
	return swlife.Rejected{Reason: a.reject.Reason, RetryAfter: a.reject.RetryAfter}
}

// startGrantRequest sends the first grant request of an attempt and returns the wait before it is repeated.
func (e *heldRequest) startGrantRequest(c swlife.RequestGrant) swclock.Millis {
	r := e.findRoute()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grantRequest = c
	e.waiting, e.granted, e.redirects = true, false, 0
	return e.resendInterval(e.sendGrantRequest(r))
}

// resendGrantRequest repeats the grant request when that is due, or if the Router selects
// another host. It returns the wait before the next look. It first reports an owner that did
// not acknowledge the previous grant request in time to the Router.
func (e *heldRequest) resendGrantRequest() swclock.Millis {
	if late := e.lateOwner(); late != "" {
		e.holder.config.Router.Doubt(late)
	}
	r := e.findRoute()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waiting {
		return e.holder.config.GrantRequestInterval
	}
	// An owner that is busy is not made busier.
	wait := e.grantRequestSentAt + e.holder.config.GrantRequestInterval - e.holder.config.Clock.Now()
	if r.owner == e.requestedOwner && e.queuedToSend && !e.acknowledged && wait > 0 && e.holder.config.AckTimeout > 0 {
		return min(wait, e.holder.config.AckTimeout)
	}
	return e.resendInterval(e.sendGrantRequest(r))
}

// lateOwner returns the host that the last grant request was sent to, if that
// is another host that has not replied and the request still waits. It returns "" otherwise,
// and always if AckTimeout is 0.
func (e *heldRequest) lateOwner() swid.HostID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder.config.AckTimeout == 0 || !e.waiting || e.acknowledged || !e.queuedToSend || e.requestedOwner == e.holder.config.Host {
		return ""
	}
	return e.requestedOwner
}

// resendInterval returns the wait before a grant request that the owner has not
// acknowledged is repeated. queued is true if the message was queued for sending.
func (e *heldRequest) resendInterval(queued bool) swclock.Millis {
	switch {
	case !queued:
		return sendRetryInterval
	case e.holder.config.AckTimeout > 0:
		return e.holder.config.AckTimeout
	default:
		return e.holder.config.GrantRequestInterval
	}
}

// keepRetries keeps retries of the budget for n attempts that have not reached a target yet, and reports whether the budget allows them.
func (e *heldRequest) keepRetries(n int) bool {
	budget := e.holder.config.Retries
	if budget == nil {
		return true
	}
	e.retryMu.Lock()
	defer e.retryMu.Unlock()
	for len(e.retries) < n {
		takenAt := e.holder.config.Clock.Now()
		if e.retriesClosed || !budget.Take(e.request.Service) {
			return false
		}
		e.retries = append(e.retries, takenAt)
	}
	return true
}

// useRetry records that an attempt that is a retry has reached a target.
func (e *heldRequest) useRetry() {
	e.retryMu.Lock()
	defer e.retryMu.Unlock()
	if len(e.retries) > 0 { // without a budget, none is kept
		e.retries = e.retries[1:]
	}
}

// giveBackRetries returns the retries that no attempt has used. None is kept any more.
func (e *heldRequest) giveBackRetries() {
	e.retryMu.Lock()
	defer e.retryMu.Unlock()
	for _, takenAt := range e.retries {
		e.holder.config.Retries.GiveBack(e.request.Service, takenAt)
	}
	e.retries, e.retriesClosed = nil, true
}

// maxRedirects bounds the redirects that the holder follows for one grant request. Hosts that
// disagree about the owner cannot send it back and forth for ever.
const maxRedirects = 3

// followRedirect sends the grant request to the named owner if it is reachable.
// Otherwise it repeats the request at the same host with redirects forbidden.
func (e *heldRequest) followRedirect(m *swmsg.Redirect) {
	if m.Owner != e.holder.config.Host {
		e.holder.config.Router.Vouch(m.Owner)
	}
	reachable := m.Owner == e.holder.config.Host || e.holder.config.Sender.Connected(m.Owner)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waiting {
		return
	}
	e.redirects++
	if reachable && e.redirects <= maxRedirects {
		e.sendGrantRequest(route{m.Owner, false, e.isCut()})
		return
	}
	e.sendGrantRequest(route{e.requestedOwner, true, e.isCut()})
}

// cancelGrantRequest ends the wait for a grant. It cancels the grant request, or
// a grant that arrived in the meantime, at the owner.
func (e *heldRequest) cancelGrantRequest(cause swlife.Cause) swlife.WaitEnded {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting, e.granted = false, false
	e.holder.config.Sender.Send(e.requestedOwner, e.withdrawMessage())
	select {
	case <-e.replies:
	default:
	}
	return swlife.WaitEnded{Cause: cause}
}

// endWait is like cancelGrantRequest, for a host that stops: the caller may retry at another one at once.
func (e *heldRequest) endWait(cause swlife.Cause) swlife.WaitEnded {
	ended := e.cancelGrantRequest(cause)
	ended.RetryAfter = retryAfterShutdown
	return ended
}

func (e *heldRequest) remaining() swclock.Millis {
	return max(0, e.request.Deadline-e.holder.config.Clock.Now())
}

func (e *heldRequest) sinceAccepted() swclock.Millis {
	return e.holder.config.Clock.Now() - e.accepted
}
