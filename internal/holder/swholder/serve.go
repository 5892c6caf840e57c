package swholder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
)

const (
	// claimTimeout bounds the wait for a claim.
	claimTimeout = 2 * swclock.Second
	// askRefresh is the interval at which an unanswered ask is repeated, in case a message was lost.
	askRefresh = 2 * swclock.Second
	// askBackoff is the wait before an ask is repeated that could not be queued.
	askBackoff swclock.Millis = 50
)

// serve carries out the commands of the request's life until its end.
func (e *held) serve(ctx context.Context) Report {
	claims := e.request.NonIdempotent && e.request.IdempotencyKey != ""
	life, command := swlife.New(e.request.NonIdempotent)
	if !claims && e.request.NonIdempotent {
		command = life.Step(swlife.Claimed{})
	}
	var last attempt
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
			last = attempt{held: e, number: c.Attempt, target: c.Target, begun: last.begun}
			event = last.run(ctx)
		case swlife.Resume:
			event = last.run(ctx)
		case swlife.End:
			report.End = c
			e.finish(&report, &last, claimed)
			return report
		}
		command = life.Step(event)
		if _, resumes := command.(swlife.Resume); !resumes {
			last.reportDone()
		}
	}
}

// finish completes the report and records the outcome of a claim.
func (e *held) finish(report *Report, last *attempt, claimed bool) {
	report.Begun = last.begun
	report.Timing.FirstToken = last.firstDelivery
	report.Timing.Total = e.sinceAccepted()
	report.PromptTokens = last.usage.PromptTokens
	report.OutputTokens = last.usage.OutputTokens
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
			ContentType: last.contentType,
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
	err := e.sink.Begin(d.Status, d.ContentType)
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
	resend := time.NewTimer(e.startAsk(c).Duration())
	defer resend.Stop()
	deadline := time.NewTimer(e.remaining().Duration())
	defer deadline.Stop()
	for {
		select {
		case a := <-e.answers:
			if a.redirect != nil {
				e.redirected(a.redirect)
				continue
			}
			return e.take(a)
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
	return askInterval(e.sendAsk(owner, insist))
}

func (e *held) resendAsk() swclock.Millis {
	owner, insist := e.holder.config.Router.Owner(e.request.Cell)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waiting {
		return askRefresh
	}
	return askInterval(e.sendAsk(owner, insist))
}

func askInterval(queued bool) swclock.Millis {
	if queued {
		return askRefresh
	}
	return askBackoff
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
func (e *held) leave(cause swlife.Cause) swlife.Event {
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
