package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swqueue"
)

// request is an attempt that waits for a grant.
type request struct {
	ask   Ask
	item  swqueue.Item[*request]
	asked swclock.Millis
	// output is what the request is planned to generate; it is at most ask.OutputTokens.
	output float64
	// safeStart is the last start by which any fully trusted target is expected to meet the deadline.
	safeStart swclock.Millis
}

// tokens is what the request takes of a target's memory at most.
func (r *request) tokens() swid.Tokens { return r.ask.PromptTokens + r.ask.OutputTokens }

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
	// index is the run's place in target.runs.
	index int
	// expectedEnd is the present estimate.
	expectedEnd float64
	// firstToken and expectedTotal are the spans that were expected at the grant.
	firstToken    float64
	expectedTotal float64
	// output is what the request is planned to generate.
	output float64
	// cost is what the organisation was charged.
	cost float64
	// queued is the number of prompt tokens that the target processes first.
	queued float64
	// prefillEnd is when the prompt is expected to be processed, and prefillSpan how long that takes.
	prefillEnd  float64
	prefillSpan float64
	// cached is the number of prompt tokens expected in the target's cache.
	cached float64
	// produced and producedAt are of the latest progress.
	produced   swid.Tokens
	producedAt swclock.Millis
	// alone tells that nothing else was granted the target since this run was.
	alone     bool
	suspect   bool
	preempted bool
	// orphanedAt is when the holder died, or 0 while it lives.
	orphanedAt swclock.Millis
}

func (r *run) id() runKey { return runKey{r.ask.Key, r.ask.Attempt} }

// tokens is what the run takes of the target's memory at most.
func (r *run) tokens() swid.Tokens { return r.ask.PromptTokens + r.ask.OutputTokens }

// cancellable reports whether the run may be preempted.
func (r *run) cancellable() bool {
	return !r.ask.NonIdempotent && !r.preempted && r.orphanedAt == 0
}

// remaining returns the time to the expected end. A run that is overdue is
// expected to take some more of the time that it took already.
func (r *run) remaining(now swclock.Millis) float64 {
	const overdueShare = 0.1
	elapsed := float64(now - r.granted)
	return max(r.expectedEnd-float64(now), elapsed*overdueShare)
}

// past is what is remembered of a request whose attempts were granted.
type past struct {
	// attempt is the latest that was granted.
	attempt swid.Attempt
	// targets holds every target that was granted.
	targets []swid.TargetID
	// preempted tells that the cell cancelled the latest attempt.
	preempted bool
}
