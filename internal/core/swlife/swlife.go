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
)

// Outcome is what the caller is told. Every request has exactly one.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered means that the caller was given the whole answer.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that no target ran the request.
	OutcomeNotRun
	// OutcomeUnknown means that a target may have run the request, wholly or in part.
	OutcomeUnknown
)

// Cause says why a request ended without an answer.
type Cause uint8

// Causes.
const (
	CauseNone Cause = iota
	// CauseOverload: too little capacity for the request's tier and organisation.
	CauseOverload
	// CauseDeadline: the answer cannot arrive, or did not arrive, in time.
	CauseDeadline
	// CauseNoTarget: no target may take the request.
	CauseNoTarget
	// CauseSuspect: the request's content crashed targets before.
	CauseSuspect
	// CauseRetryBudget: the cell's budget for retries is used up.
	CauseRetryBudget
	// CauseTargetFailed: the target failed and the request cannot be repeated.
	CauseTargetFailed
	// CausePreempted: the request made room for one of a higher tier.
	CausePreempted
	// CauseCallerGone: the caller closed its connection.
	CauseCallerGone
	// CauseClaimUnavailable: the platform did not record the claim.
	CauseClaimUnavailable
	// CauseClaimHeld: another request with the same idempotency key holds the claim.
	CauseClaimHeld
	// CauseKeyReused: the idempotency key was used for a request of other content.
	CauseKeyReused
	// CauseShutdown: the host is shutting down.
	CauseShutdown
)

var causeNames = [...]string{
	CauseNone:             "none",
	CauseOverload:         "overload",
	CauseDeadline:         "deadline",
	CauseNoTarget:         "noTarget",
	CauseSuspect:          "suspect",
	CauseRetryBudget:      "retryBudget",
	CauseTargetFailed:     "targetFailed",
	CausePreempted:        "preempted",
	CauseCallerGone:       "callerGone",
	CauseClaimUnavailable: "claimUnavailable",
	CauseClaimHeld:        "claimHeld",
	CauseKeyReused:        "keyReused",
	CauseShutdown:         "shutdown",
}

// String returns the cause's name in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

var outcomeNames = [...]string{
	OutcomeAnswered: "answered",
	OutcomeNotRun:   "notRun",
	OutcomeUnknown:  "unknown",
}

// String returns the outcome's name in errors, logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Event is an input of Life.Step.
type Event interface{ event() }

// Claimed reports that the claim was recorded.
type Claimed struct{}

// ClaimFailed reports that the claim was not granted.
type ClaimFailed struct {
	Cause Cause
	// MayHaveRun tells that an earlier request with the same key may have run.
	MayHaveRun bool
	RetryAfter swclock.Millis
}

// Replayed reports that the caller was given the recorded answer of an earlier request with the same key.
type Replayed struct{}

// Granted reports a grant for the current attempt.
type Granted struct {
	Target swid.TargetID
}

// GivenUp reports that the owner gave the request up.
type GivenUp struct {
	Reason     swcell.Reason
	RetryAfter swclock.Millis
}

// Left reports that the wait for a grant ended at the holder.
type Left struct {
	Cause      Cause
	RetryAfter swclock.Millis
}

// AttemptEnded reports the end of a dispatch or of a resumed stream.
type AttemptEnded struct {
	Result swcell.Result
	// Cause is set if the holder itself ended the attempt.
	Cause      Cause
	RetryAfter swclock.Millis
	// Delivered tells that the caller was given part of the answer.
	Delivered bool
	// Resumable tells that the target may continue the stream.
	Resumable bool
}

func (Claimed) event()      {}
func (ClaimFailed) event()  {}
func (Replayed) event()     {}
func (Granted) event()      {}
func (GivenUp) event()      {}
func (Left) event()         {}
func (AttemptEnded) event() {}

// Command is what the holder does next. Each command but End leads to one event.
type Command interface{ command() }

// Claim tells the holder to record a claim.
type Claim struct{}

// Ask tells the holder to ask the cell's owner for a grant.
type Ask struct {
	Attempt swid.Attempt
	// Exclude holds the targets of earlier attempts.
	Exclude []swid.TargetID
}

// Dispatch tells the holder to send the request to a target.
type Dispatch struct {
	Attempt swid.Attempt
	Target  swid.TargetID
}

// Resume tells the holder to continue the broken stream of the current attempt.
type Resume struct {
	Attempt swid.Attempt
	Target  swid.TargetID
}

// End tells the holder to give the caller its outcome.
type End struct {
	Outcome Outcome
	Cause   Cause
	// RetryAfter is when to come back; 0 if it would not help.
	RetryAfter swclock.Millis
}

func (Claim) command()    {}
func (Ask) command()      {}
func (Dispatch) command() {}
func (Resume) command()   {}
func (End) command()      {}

type phase uint8

const (
	phaseClaiming phase = iota + 1
	phaseAsking
	phaseRunning
	phaseEnded
)

// Life is the state of one request. It is not safe for concurrent use.
type Life struct {
	nonIdempotent bool
	phase         phase
	// attempt is that of the present ask or dispatch; it only rises.
	attempt swid.Attempt
	// tried holds every target that the request was dispatched to, each once.
	tried []swid.TargetID
	// mayHaveRun is set once an attempt was dispatched that did not provably fail to start; it is never cleared.
	mayHaveRun bool
	// resumes counts the resumptions of the present attempt.
	resumes int
}

// New returns the life of a request and its first command.
func New(nonIdempotent bool) (*Life, Command) {
	l := &Life{nonIdempotent: nonIdempotent}
	if nonIdempotent {
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
	if slices.Contains(l.tried, target) || (l.nonIdempotent && l.mayHaveRun) {
		return l.end(CauseTargetFailed, 0)
	}
	l.phase = phaseRunning
	l.tried = append(l.tried, target)
	l.resumes = 0
	return Dispatch{Attempt: l.attempt, Target: target}
}

func (l *Life) attemptEnded(e AttemptEnded) Command {
	switch e.Result {
	case swcell.ResultAnswered, swcell.ResultRejected:
		l.phase = phaseEnded
		return End{Outcome: OutcomeAnswered}
	case swcell.ResultNotStarted:
		return l.retry(e)
	case swcell.ResultBroken, swcell.ResultNoAnswer:
		l.mayHaveRun = true
		if e.Resumable && l.resumes < MaxResumes {
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
	repeatable := !e.Delivered && (!l.nonIdempotent || !l.mayHaveRun)
	if repeatable && l.attempt < MaxAttempts {
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
	default:
		return CauseOverload
	}
}
