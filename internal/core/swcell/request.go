package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swqueue"
)

// request is an attempt that waits for a grant.
type request struct {
	ask  Ask
	item swqueue.Item[*request]
}

// runKey identifies one attempt.
type runKey struct {
	key     Key
	attempt swid.Attempt
}

// run is an attempt that was granted and holds a slot.
type run struct {
	ask     Ask
	target  *target
	granted swclock.Millis
	// expectedEnd is the estimate made at the grant.
	expectedEnd swclock.Millis
	// orphanedAt is when the holder died, or 0 while it lives.
	orphanedAt swclock.Millis
}

func (r *run) tokens() swid.Tokens { return r.ask.PromptTokens + r.ask.OutputTokens }

// past is what is remembered of a request whose attempts ended.
type past struct {
	// attempt is the latest that was granted.
	attempt swid.Attempt
	// targets holds every target that was granted.
	targets []swid.TargetID
	// preempted tells that the latest attempt was cancelled by the cell.
	preempted bool
}
