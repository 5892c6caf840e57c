// Package swlife is the life of one request at its holder: a pure state machine
// that decides what happens next and which outcome the caller is told.
//
// Its promises: a request is dispatched to a target at most once; a
// non-idempotent request is never dispatched again once it may have run;
// OutcomeNotRun is given only if no attempt can have run.
package swlife

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts swid.Attempt = 4
	// MaxResumes bounds how often one broken stream is continued.
	MaxResumes = 2
	// maxAsks bounds the asks of a request whose dispatches reach no target.
	maxAsks swid.Attempt = 6
)

type phase uint8

const (
	phaseClaiming phase = iota + 1
	phaseAsking
	phaseRunning
	phaseEnded
)

// Rules say what may be repeated of a request. The zero Rules are those of an
// idempotent request.
type Rules struct {
	// NonIdempotent requests are never dispatched again once they may have run.
	NonIdempotent bool
	// Unclaimed non-idempotent requests are asked for without a claim, because
	// their callers name no key under which one could be recorded.
	Unclaimed bool
	// Attempts bounds the targets that the request is sent to; 0 stands for MaxAttempts.
	Attempts swid.Attempt
	// ResumeElsewhere tells that a broken stream is continued at another target.
	// Such a stream may be dispatched again although part of it was delivered.
	ResumeElsewhere bool
}

// Life is the state of one request. It is not safe for concurrent use.
type Life struct {
	rules Rules
	phase phase
	// attempt is that of the present ask or dispatch; it only rises.
	attempt swid.Attempt
	// sent counts the dispatches that reached a target, as far as is known.
	sent swid.Attempt
	// tried holds every target that the request was dispatched to, each once.
	tried []swid.TargetID
	// mayHaveRun is set once an attempt was dispatched that did not provably fail to start; it is never cleared.
	mayHaveRun bool
	// resumes counts the resumptions of the present attempt.
	resumes int
}

// New returns the life of a request and its first command.
func New(rules Rules) (*Life, Command) {
	if rules.Attempts == 0 {
		rules.Attempts = MaxAttempts
	}
	l := &Life{rules: rules}
	if rules.NonIdempotent && !rules.Unclaimed {
		l.phase = phaseClaiming
		return l, Claim{}
	}
	return l, l.ask()
}

// Step takes the event that the last command led to and returns the next
// command. An event that does not fit the state ends the request with the
// outcome that is safe.
func (l *Life) Step(e Event) Command {
	switch e := e.(type) {
	case Claimed:
		if l.phase == phaseClaiming {
			return l.ask()
		}
	case ClaimFailed:
		if l.phase == phaseClaiming {
			l.mayHaveRun = e.MayHaveRun
			return l.end(e.Cause, e.RetryAfter)
		}
	case Replayed:
		if l.phase == phaseClaiming {
			l.phase = phaseEnded
			return End{Outcome: OutcomeAnswered}
		}
	case Granted:
		if l.phase == phaseAsking {
			return l.dispatch(e.Target)
		}
	case GivenUp:
		if l.phase == phaseAsking {
			return l.end(causeOf(e.Reason), e.RetryAfter)
		}
	case Left:
		if l.phase == phaseAsking {
			return l.end(e.Cause, e.RetryAfter)
		}
	case AttemptEnded:
		if l.phase == phaseRunning {
			return l.attemptEnded(e)
		}
	}
	return l.end(CauseTargetFailed, 0)
}

// MayHaveRun reports whether a target may have run the request.
func (l *Life) MayHaveRun() bool { return l.mayHaveRun }

func (l *Life) ask() Command {
	l.phase = phaseAsking
	l.attempt++
	return Ask{Attempt: l.attempt, Exclude: slices.Clone(l.tried)}
}

// dispatch refuses a target that was tried before, whatever the owner granted.
func (l *Life) dispatch(target swid.TargetID) Command {
	if slices.Contains(l.tried, target) || (l.rules.NonIdempotent && l.mayHaveRun) {
		return l.end(CauseTargetFailed, 0)
	}
	l.phase = phaseRunning
	l.tried = append(l.tried, target)
	l.resumes = 0
	return Dispatch{Attempt: l.attempt, Target: target}
}

func (l *Life) attemptEnded(e AttemptEnded) Command {
	if !e.Unsent {
		l.sent++
	}
	switch e.Result {
	case swcell.ResultAnswered, swcell.ResultRejected:
		l.phase = phaseEnded
		return End{Outcome: OutcomeAnswered}
	case swcell.ResultFailed:
		l.mayHaveRun = true
		return l.retry(e)
	case swcell.ResultNotStarted:
		return l.retry(e)
	case swcell.ResultBroken, swcell.ResultNoAnswer:
		l.mayHaveRun = true
		if e.Resumable && !l.rules.ResumeElsewhere && l.resumes < MaxResumes {
			l.resumes++
			return Resume{Attempt: l.attempt, Target: l.tried[len(l.tried)-1]}
		}
		return l.retry(e)
	default:
		l.mayHaveRun = true
		if e.Cause == CausePreempted {
			return l.retry(e)
		}
		return l.end(e.Cause, e.RetryAfter)
	}
}

// retry asks for another target if repeating is safe and cannot show the caller two answers.
func (l *Life) retry(e AttemptEnded) Command {
	repeatable := (!e.Delivered || l.rules.ResumeElsewhere) && (!l.rules.NonIdempotent || !l.mayHaveRun)
	if repeatable && l.sent < l.rules.Attempts && l.attempt < maxAsks {
		return l.ask()
	}
	cause := e.Cause
	if cause == CauseNone {
		cause = CauseTargetFailed
	}
	return l.end(cause, e.RetryAfter)
}

func (l *Life) end(cause Cause, retryAfter swclock.Millis) Command {
	l.phase = phaseEnded
	outcome := OutcomeNotRun
	if l.mayHaveRun {
		outcome = OutcomeUnknown
	}
	return End{Outcome: outcome, Cause: cause, RetryAfter: retryAfter}
}

func causeOf(reason swcell.Reason) Cause {
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
	default:
		return CauseOverload
	}
}
