package swholder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

const (
	// claimTimeout bounds the wait for a claim.
	claimTimeout = 2 * swclock.Second
	// defaultAskRefresh is the interval at which an unanswered ask is repeated, in case a message was lost.
	defaultAskRefresh = 2 * swclock.Second
	// askBackoff is the wait before an ask is repeated that could not be queued.
	askBackoff swclock.Millis = 50
)

// serve carries out the commands of the request's life until its end.
func (e *held) serve(ctx context.Context) Report {
	life, command := swlife.New(e.request.rules())
	last := attempt{lastEvent: e.request.Call.ResumeAfter}
	var report Report
	claimed := false
	for {
		var event swlife.Event
		switch c := command.(type) {
		case swlife.Claim:
			event = e.claim(ctx)
			_, claimed = event.(swlife.Claimed)
		case swlife.Ask:
			event = e.waitForGrant(ctx, c)
			report.Timing.Queue = e.sinceAccepted()
		case swlife.Dispatch:
			report.Attempts, report.Target = c.Attempt, c.Target
			last = attempt{
				held: e, number: c.Attempt, target: c.Target,
				begun: last.begun, firstDelivery: last.firstDelivery, lastEvent: last.lastEvent,
			}
			event = last.run(ctx)
		case swlife.Resume:
			event = last.run(ctx)
		case swlife.End:
			report.End = e.orFailure(c, &last)
			e.finish(&report, &last, claimed)
			return report
		}
		command = life.Step(event)
		if _, resumes := command.(swlife.Resume); !resumes {
			last.reportDone()
		}
		e.logStep(event, &last)
	}
}

// logStep logs an owner's refusal, and an attempt that did not end well.
func (e *held) logStep(event swlife.Event, last *attempt) {
	switch v := event.(type) {
	case swlife.GivenUp:
		e.holder.config.Log.Info().
			Str("requestId", string(e.request.ID)).Uint64("seq", uint64(e.request.Seq)).Str("cell", string(e.request.Cell)).
			Uint32("attempt", uint32(e.ask.Attempt)).Str("owner", string(e.askedHost())).Str("reason", v.Reason.String()).
			Int64("retryAfterMillis", int64(v.RetryAfter)).Int64("sinceAcceptedMillis", int64(e.sinceAccepted())).
			Msg("request given up")
	case swlife.AttemptEnded:
		if v.Result == swcell.ResultAnswered {
			return
		}
		e.holder.config.Log.Info().
			Str("requestId", string(e.request.ID)).Uint64("seq", uint64(e.request.Seq)).Uint32("attempt", uint32(last.number)).
			Str("target", string(last.target)).Str("owner", string(e.askedHost())).Str("result", v.Result.String()).
			Int("status", last.status).Str("cause", v.Cause.String()).Bool("unsent", v.Unsent).Bool("delivered", v.Delivered).AnErr("error", last.err).
			Int64("attemptMillis", int64(last.ended-last.dispatched)).Int64("sinceAcceptedMillis", int64(e.sinceAccepted())).
			Msg("attempt failed")
	}
}

// orFailure gives the caller the failure that a target answered with, if no
// other target gave it an answer. It returns the request's end.
func (e *held) orFailure(end swlife.End, last *attempt) swlife.End {
	if e.failure == nil || last.begun || end.Outcome == swlife.OutcomeAnswered || end.Cause == swlife.CauseCallerGone {
		return end
	}
	last.begun = true
	if err := e.sink.Begin(e.failure.status, e.failure.header); err != nil {
		return swlife.End{Outcome: swlife.OutcomeUnknown, Cause: swlife.CauseCallerGone}
	}
	if err := e.sink.Write(e.failure.body); err != nil {
		return swlife.End{Outcome: swlife.OutcomeUnknown, Cause: swlife.CauseCallerGone}
	}
	return swlife.End{Outcome: swlife.OutcomeAnswered}
}

// finish completes the report and records the outcome of a claim.
func (e *held) finish(report *Report, last *attempt, claimed bool) {
	report.Begun = last.begun
	report.Timing.FirstToken = last.firstDelivery
	report.Timing.Total = e.sinceAccepted()
	report.Timing.ExpectedFirst = e.expected.firstToken
	report.PromptTokens = last.usage.PromptTokens
	report.OutputTokens = max(last.usage.OutputTokens, last.produced)
	report.CachedTokens = last.usage.CachedTokens
	report.InTime = report.End.Outcome == swlife.OutcomeAnswered && e.holder.config.Clock.Now() <= e.request.Deadline
	if claimed {
		e.holder.config.Claims.Finish(e.claimEntry(), claimDecision(report.End.Outcome, last))
	}
}

func claimDecision(outcome swlife.Outcome, last *attempt) swclaim.Decision {
	switch {
	case last.complete:
		return swclaim.Decision{
			Outcome:     swclaim.OutcomeAnswered,
			Status:      last.status,
			ContentType: last.header.Get("Content-Type"),
			Body:        last.body,
		}
	case outcome == swlife.OutcomeNotRun:
		return swclaim.Decision{Outcome: swclaim.OutcomeNotRun}
	default:
		return swclaim.Decision{Outcome: swclaim.OutcomeUnknown}
	}
}

func (e *held) claimEntry() swclaim.Entry {
	return swclaim.Entry{
		Key:         swclaim.Key{Org: e.request.Org, Key: e.request.IdempotencyKey},
		Request:     e.request.ID,
		Fingerprint: e.request.Fingerprint,
	}
}

// claim records the request's claim, or answers with what an earlier one recorded.
func (e *held) claim(ctx context.Context) swlife.Event {
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, e.remaining()).Duration())
	defer cancel()
	d, err := e.holder.config.Claims.Claim(ctx, e.claimEntry())
	if err != nil {
		return swlife.ClaimFailed{Cause: swlife.CauseClaimUnavailable, RetryAfter: claimRetry(err)}
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

// claimRetry returns when a claim that was not recorded may be tried again.
func claimRetry(err error) swclock.Millis {
	var full *swclaim.FullError
	if errors.As(err, &full) {
		return full.RetryAfter
	}
	return claimTimeout
}

// replay gives the caller the answer that was recorded for its key.
func (e *held) replay(d swclaim.Decision) swlife.Event {
	err := e.sink.Begin(d.Status, swtarget.MediaType(d.ContentType))
	if err == nil {
		err = e.sink.Write(d.Body)
	}
	if err != nil {
		return swlife.ClaimFailed{Cause: swlife.CauseCallerGone, MayHaveRun: true}
	}
	return swlife.Replayed{}
}

// waitForGrant asks the cell's owner and waits for its answer.
func (e *held) waitForGrant(ctx context.Context, c swlife.Ask) swlife.Event {
	if !e.mayRetry() {
		return swlife.GivenUp{Reason: swcell.ReasonRetryBudget}
	}
	resend := time.NewTimer(e.startAsk(c).Duration())
	defer resend.Stop()
	deadline := time.NewTimer(e.remaining().Duration())
	defer deadline.Stop()
	for {
		select {
		case a := <-e.answers:
			switch {
			case a.redirect != nil:
				e.redirected(a.redirect)
			case a.left != swlife.CauseNone:
				left := e.leave(a.left)
				left.RetryAfter = retryAfterShutdown
				return left
			case a.queued:
				resend.Reset(e.holder.config.AskRefresh.Duration())
			default:
				return e.take(a)
			}
		case <-resend.C:
			resend.Reset(e.resendAsk().Duration())
		case <-deadline.C:
			return e.leave(swlife.CauseDeadline)
		case <-ctx.Done():
			return e.leave(swlife.CauseCallerGone)
		}
	}
}

// take notes what a grant expects and returns the answer's event.
func (e *held) take(a answer) swlife.Event {
	if a.grant != nil {
		e.expected = expectation{firstToken: a.grant.FirstToken, total: a.grant.Total}
		if e.holder.config.Used != nil && !e.arrived {
			e.holder.config.Used(e.request)
		}
		return swlife.Granted{Target: a.grant.Target}
	}
	return swlife.GivenUp{Reason: a.giveUp.Reason, RetryAfter: a.giveUp.RetryAfter}
}

// startAsk sends the first ask of an attempt and returns when to repeat it.
func (e *held) startAsk(c swlife.Ask) swclock.Millis {
	owner, insist := e.holder.config.Router.Owner(e.request.Cell)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ask = c
	e.waiting, e.granted = true, false
	return e.askInterval(e.sendAsk(owner, insist))
}

// resendAsk repeats the ask. An owner that did not acknowledge the one before
// in time is passed over.
func (e *held) resendAsk() swclock.Millis {
	if silent := e.silentOwner(); silent != "" {
		e.holder.config.Router.Silent(silent)
	}
	owner, insist := e.holder.config.Router.Owner(e.request.Cell)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waiting {
		return e.holder.config.AskRefresh
	}
	return e.askInterval(e.sendAsk(owner, insist))
}

// silentOwner returns the host that was asked and did not acknowledge, if any.
func (e *held) silentOwner() swid.HostID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder.config.AskTimeout == 0 || !e.waiting || e.acknowledged || !e.queuedToSend || e.asked == e.holder.config.Host {
		return ""
	}
	return e.asked
}

// askInterval returns when to repeat an ask.
func (e *held) askInterval(queued bool) swclock.Millis {
	switch {
	case !queued:
		return askBackoff
	case e.holder.config.AskTimeout > 0:
		return e.holder.config.AskTimeout
	default:
		return e.holder.config.AskRefresh
	}
}

// mayRetry reports whether the budget allows the ask, if an earlier attempt reached a target.
func (e *held) mayRetry() bool {
	retries := e.holder.config.Retries
	return retries == nil || !e.arrived || retries.Take(e.request.Service)
}

// redirected follows a redirect if the named owner is reachable, and insists otherwise.
func (e *held) redirected(m *swmsg.Redirect) {
	reachable := m.Owner == e.holder.config.Host || e.holder.config.Sender.Connected(m.Owner)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waiting {
		return
	}
	if reachable {
		e.sendAsk(m.Owner, false)
		return
	}
	e.sendAsk(e.asked, true)
}

// leave ends the wait at the holder, and withdraws the ask or a grant that arrived meanwhile.
func (e *held) leave(cause swlife.Cause) swlife.Left {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting, e.granted = false, false
	e.holder.config.Sender.Send(e.asked, e.withdrawMessage())
	select {
	case <-e.answers:
	default:
	}
	return swlife.Left{Cause: cause}
}

func (e *held) remaining() swclock.Millis {
	return max(0, e.request.Deadline-e.holder.config.Clock.Now())
}

func (e *held) sinceAccepted() swclock.Millis {
	return e.holder.config.Clock.Now() - e.accepted
}
