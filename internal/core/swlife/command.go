package swlife

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

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
