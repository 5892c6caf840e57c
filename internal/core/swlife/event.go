package swlife

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
)

// Event is an input of Lifecycle.Step.
type Event interface{ event() }

// Claimed reports that the claim was recorded.
type Claimed struct{}

// ClaimFailed reports that the claim was not recorded.
type ClaimFailed struct {
	Cause Cause
	// MayHaveRun is set if an earlier request with the same key may have run.
	MayHaveRun bool
	RetryAfter swclock.Millis
}

// Replayed reports that the caller received the recorded answer to an earlier request with the same key.
type Replayed struct{}

// Granted reports a grant for the current attempt.
type Granted struct {
	Target swid.TargetID
	// Origin is what the streams have as their origin that the target begins.
	Origin sworigin.Origin
	// Continued is the origin of the stream that the attempt continues, if the owner knows it.
	Continued sworigin.Origin
}

// Rejected reports that the owner rejected the request.
type Rejected struct {
	Reason     swcell.RejectReason
	RetryAfter swclock.Millis
}

// WaitEnded reports that the holder ended the wait for a grant.
type WaitEnded struct {
	Cause      Cause
	RetryAfter swclock.Millis
}

// AttemptEnded reports the end of a dispatch or of a resumed stream.
type AttemptEnded struct {
	Result swcell.Result
	// Cause is set if the holder itself ended the attempt.
	Cause      Cause
	RetryAfter swclock.Millis
	// Unsent is set if no part of the request reached the target.
	Unsent bool
	// Delivered is set if delivery of an answer to the caller began, in this attempt or
	// an earlier one.
	Delivered bool
	// Unplaced is set if no event that was delivered has an id, after which another target could continue the stream.
	Unplaced bool
	// Resumable is set if the target may be able to resume the stream.
	Resumable bool
	// Began is set if this host received the first event of the stream in this attempt, and Origin is its
	// origin if that is certain.
	Began  bool
	Origin sworigin.Origin
}

func (Claimed) event()      {}
func (ClaimFailed) event()  {}
func (Replayed) event()     {}
func (Granted) event()      {}
func (Rejected) event()     {}
func (WaitEnded) event()    {}
func (AttemptEnded) event() {}
