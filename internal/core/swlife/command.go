package swlife

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
)

// Command is what the holder does next. The holder answers every command except End with one event.
type Command interface{ command() }

// Claim instructs the holder to record a claim of the request's idempotency key.
type Claim struct{}

// RequestGrant instructs the holder to send a grant request to the cell's owner.
type RequestGrant struct {
	Attempt swid.Attempt
	// Exclude holds the targets of earlier attempts.
	Exclude []swid.TargetID
	// Continuation is the stream that the attempt continues, if it continues one.
	Continuation sworigin.Continuation
}

// Dispatch instructs the holder to send the request to a target.
type Dispatch struct {
	Attempt swid.Attempt
	Target  swid.TargetID
	// Last is set if the request is sent to no other target after one that it reaches in this attempt.
	Last bool
}

// Resume instructs the holder to resume the broken stream of the current attempt.
type Resume struct {
	Attempt swid.Attempt
	Target  swid.TargetID
}

// End instructs the holder to report the outcome to the caller.
type End struct {
	Outcome Outcome
	Cause   Cause
	// RetryAfter is the time after which the caller may retry; 0 if a retry would not help.
	RetryAfter swclock.Millis
}

func (Claim) command()        {}
func (RequestGrant) command() {}
func (Dispatch) command()     {}
func (Resume) command()       {}
func (End) command()          {}
