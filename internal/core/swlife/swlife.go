// Package swlife implements the lifecycle of one request at its holder, the host
// that accepted it, as a pure state machine. It decides what the holder does next
// and which outcome is reported to the caller.
//
// It guarantees that a request is dispatched to each target at most once, that a
// non-idempotent request is never dispatched again once it may have run, that a stream is continued only at
// the software version that began it, and that
// OutcomeNotRun is reported only if no attempt can have run. An event that is invalid in the current
// phase ends the request; an attempt that has not ended by then may have run.
package swlife

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
)

const (
	// MaxAttempts bounds the dispatches of one request that may reach a target.
	MaxAttempts swid.Attempt = 4
	// MaxResumes bounds how often the stream of one attempt is resumed.
	MaxResumes = 2
	// maxGrantRequests bounds the grant requests of a request whose dispatches reach no target.
	maxGrantRequests swid.Attempt = 6
)

type phase uint8

const (
	phaseClaiming phase = iota + 1
	phaseAwaitingGrant
	phaseRunning
	phaseEnded
)

// Rules define whether and where a request may be repeated. The zero value is that
// of an idempotent request.
type Rules struct {
	// NonIdempotent requests are never dispatched again once they may have run.
	NonIdempotent bool
	// Unclaimed non-idempotent requests are granted and dispatched without a claim,
	// because their callers provide no key under which a claim could be recorded.
	Unclaimed bool
	// Attempts bounds the number of targets that the request is sent to; 0 means
	// MaxAttempts. Each resumption of a stream counts as another target.
	Attempts swid.Attempt
	// ResumeElsewhere is set if a broken stream is continued at another target.
	// Such a stream may be dispatched again although part of it was delivered.
	ResumeElsewhere bool
	// Continuation is the stream that the caller takes up, if it takes one up.
	Continuation sworigin.Continuation
}

// Lifecycle is the state of one request. It is not safe for concurrent use.
type Lifecycle struct {
	rules Rules
	phase phase
	// attempt is the number of the current grant request or dispatch; it never decreases.
	attempt swid.Attempt
	// sent counts the ended dispatches and resumptions of which something may have
	// reached the target.
	sent swid.Attempt
	// tried holds every target that the request was dispatched to, each once.
	tried []swid.TargetID
	// mayHaveRun is set when an attempt ends with any result that does not prove that
	// the target did not start the request, if the request ends while one is running, or if an earlier
	// request with the same key may have run. It is never cleared.
	mayHaveRun bool
	// resumes counts the resumptions of the current attempt.
	resumes int
	// continuation is the stream that the next attempt continues. Once it has an origin, that does not change.
	continuation sworigin.Continuation
}

// New returns the lifecycle of a request and its first command.
func New(rules Rules) (*Lifecycle, Command) {
	if rules.Attempts == 0 {
		rules.Attempts = MaxAttempts
	}
	l := &Lifecycle{rules: rules, continuation: rules.Continuation}
	if rules.NonIdempotent && !rules.Unclaimed {
		l.phase = phaseClaiming
		return l, Claim{}
	}
	return l, l.requestGrant()
}

// Step processes the event that answers the last command and returns the next
// command. An event that is invalid in the current phase ends the request, with
// OutcomeUnknown if mayHaveRun is set, and with OutcomeNotRun otherwise.
func (l *Lifecycle) Step(e Event) Command {
	switch e := e.(type) {
	case Claimed:
		if l.phase == phaseClaiming {
			return l.requestGrant()
		}
	case ClaimFailed:
		if l.phase == phaseClaiming {
			l.mayHaveRun = e.MayHaveRun
			return l.end(e.Cause, e.RetryAfter)
		}
	case Replayed:
		if l.phase == phaseClaiming {
			l.phase, l.mayHaveRun = phaseEnded, true
			return End{Outcome: OutcomeAnswered}
		}
	case Granted:
		if l.phase == phaseAwaitingGrant {
			return l.dispatch(e)
		}
	case Rejected:
		if l.phase == phaseAwaitingGrant {
			return l.end(causeOf(e.Reason), e.RetryAfter)
		}
	case WaitEnded:
		if l.phase == phaseAwaitingGrant {
			return l.end(e.Cause, e.RetryAfter)
		}
	case AttemptEnded:
		if l.phase == phaseRunning {
			return l.attemptEnded(e)
		}
	}
	l.mayHaveRun = l.mayHaveRun || l.phase == phaseRunning
	return l.end(CauseTargetFailed, 0)
}

// MayHaveRun reports whether a target may have run the request.
func (l *Lifecycle) MayHaveRun() bool { return l.mayHaveRun }

// Continued returns the origin of the stream that the request continues, as far as it is known.
func (l *Lifecycle) Continued() sworigin.Origin { return l.continuation.Origin }

// requestGrant starts the next attempt with a grant request.
func (l *Lifecycle) requestGrant() Command {
	l.phase = phaseAwaitingGrant
	l.attempt++
	return RequestGrant{Attempt: l.attempt, Exclude: slices.Clone(l.tried), Continuation: l.continuation}
}

// dispatch dispatches the request to the granted target. If the target was tried
// before, or a non-idempotent request may have run, it ends the request instead,
// although the owner sent a grant. It asks for another target if the granted one cannot continue the
// request's stream.
func (l *Lifecycle) dispatch(e Granted) Command {
	if slices.Contains(l.tried, e.Target) || (l.rules.NonIdempotent && l.mayHaveRun) {
		return l.end(CauseTargetFailed, 0)
	}
	c := &l.continuation
	if c.Continues && !c.Origin.Known() {
		c.Origin = e.Continued
	}
	switch {
	case c.Continues && !c.Origin.Known():
		return l.end(CauseVersionUnknown, 0)
	case c.Continues && c.Origin != e.Origin:
		l.tried = append(l.tried, e.Target)
		if l.attempt < maxGrantRequests {
			return l.requestGrant()
		}
		return l.end(CauseVersionGone, 0)
	}
	l.phase = phaseRunning
	l.tried = append(l.tried, e.Target)
	l.resumes = 0
	return Dispatch{Attempt: l.attempt, Target: e.Target, Last: !l.allowsAnother(l.sent + 1)}
}

// attemptEnded resumes, retries or ends the request after an attempt.
func (l *Lifecycle) attemptEnded(e AttemptEnded) Command {
	if !e.Unsent {
		l.sent++
	}
	if e.Began && !l.continuation.Continues {
		l.continuation = sworigin.Continuation{Continues: true, Origin: e.Origin}
	}
	switch e.Result {
	case swcell.ResultAnswered, swcell.ResultRejected:
		l.phase, l.mayHaveRun = phaseEnded, true
		return End{Outcome: OutcomeAnswered}
	case swcell.ResultFailed:
		l.mayHaveRun = true
		return l.retry(e)
	case swcell.ResultNotStarted:
		return l.retry(e)
	case swcell.ResultBroken, swcell.ResultNoAnswer:
		l.mayHaveRun = true
		if e.Cause == CauseDeadline {
			return l.end(e.Cause, e.RetryAfter)
		}
		if e.Resumable && !l.rules.ResumeElsewhere && l.resumes < MaxResumes {
			l.resumes++
			return Resume{Attempt: l.attempt, Target: l.tried[len(l.tried)-1]}
		}
		return l.retry(e)
	default:
		l.mayHaveRun = l.mayHaveRun || !e.Unsent
		if e.Cause == CausePreempted {
			return l.retry(e)
		}
		return l.end(e.Cause, e.RetryAfter)
	}
}

// retry requests a grant for another target if the request can safely be repeated
// and the caller cannot receive parts of two answers.
func (l *Lifecycle) retry(e AttemptEnded) Command {
	repeatable := (!e.Delivered || l.rules.ResumeElsewhere && !e.Unplaced) && (!l.rules.NonIdempotent || !l.mayHaveRun)
	if repeatable && l.allowsAnother(l.sent) {
		return l.requestGrant()
	}
	cause := e.Cause
	if cause == CauseNone {
		cause = CauseTargetFailed
	}
	return l.end(cause, e.RetryAfter)
}

// allowsAnother reports whether the limits allow another attempt after the current one, if sent attempts have reached a target.
func (l *Lifecycle) allowsAnother(sent swid.Attempt) bool {
	return sent < l.rules.Attempts && l.attempt < maxGrantRequests
}

// end ends the request with the outcome that follows from mayHaveRun.
func (l *Lifecycle) end(cause Cause, retryAfter swclock.Millis) Command {
	l.phase = phaseEnded
	outcome := OutcomeNotRun
	if l.mayHaveRun {
		outcome = OutcomeUnknown
	}
	return End{Outcome: outcome, Cause: cause, RetryAfter: retryAfter}
}

// causeOf returns the cause that is reported to the caller for a rejection.
func causeOf(reason swcell.RejectReason) Cause {
	switch reason {
	case swcell.ReasonDeadline:
		return CauseDeadline
	case swcell.ReasonNoTarget:
		return CauseNoTarget
	case swcell.ReasonSuspect:
		return CauseSuspect
	case swcell.ReasonRetryBudget:
		return CauseRetryBudget
	case swcell.ReasonQuota:
		return CauseQuota
	case swcell.ReasonVersionUnknown:
		return CauseVersionUnknown
	case swcell.ReasonVersionGone:
		return CauseVersionGone
	default:
		return CauseOverload
	}
}
