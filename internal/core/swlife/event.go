package swlife

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

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
	// Unsent tells that nothing of the request reached the target.
	Unsent bool
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
