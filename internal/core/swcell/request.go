package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swqueue"
)

// request is a request of which one attempt waits for a grant.
type request struct {
	grantRequest GrantRequest
	item         swqueue.Item[*request]
	requestedAt  swclock.Millis
	// output is the number of output tokens that estimates assume; it is at most grantRequest.OutputTokens.
	output float64
	// safeStart is the latest start at which every target with TrustFull is expected
	// to meet the deadline, even after a prefill wait of PrefillBacklog.
	safeStart swclock.Millis
}

// tokens returns the most tokens that the request may occupy in a target's memory.
func (r *request) tokens() swid.Tokens {
	return r.grantRequest.PromptTokens + r.grantRequest.OutputTokens
}

// runKey identifies one attempt.
type runKey struct {
	key     Key
	attempt swid.Attempt
}

// run is an attempt that was granted and holds a slot.
type run struct {
	grantRequest GrantRequest
	target       *target
	grantedAt    swclock.Millis
	// index is the run's index in target.runs.
	index int
	// expectedEnd is the present estimate of the run's end.
	expectedEnd float64
	// firstToken and expectedTotal are the times from the grant to the first token and to
	// the end, as they were estimated at the grant.
	firstToken    float64
	expectedTotal float64
	// output is the number of output tokens that estimates assume.
	output float64
	// cost is what the organisation was charged at the grant.
	cost float64
	// queued is the number of other requests' prompt tokens that the target
	// processes before this prompt.
	queued float64
	// prefillEnd is when the prompt's processing is expected to end, and prefillSpan how long it takes.
	prefillEnd  float64
	prefillSpan float64
	// cached is the number of prompt tokens expected in the target's cache.
	cached float64
	// produced is the number of output tokens at producedAt. This is the time of the
	// latest recorded progress, or until there is one, when the run was added.
	produced   swid.Tokens
	producedAt swclock.Millis
	// alone says that the target had no other run since this one was granted.
	alone     bool
	suspect   bool
	preempted bool
	// orphanedAt is when the holder was reported dead, or 0 while it lives.
	orphanedAt swclock.Millis
}

func (r *run) id() runKey { return runKey{r.grantRequest.Key, r.grantRequest.Attempt} }

// tokens returns the most tokens that the run may occupy in the target's memory.
func (r *run) tokens() swid.Tokens { return r.grantRequest.PromptTokens + r.grantRequest.OutputTokens }

// cancellable reports whether the run may be preempted.
func (r *run) cancellable() bool {
	return !r.grantRequest.NonIdempotent && !r.preempted && r.orphanedAt == 0
}

// remaining returns the time to the expected end, and at least a tenth of the time
// that the run took so far, so that an overdue run is not expected to end at once.
func (r *run) remaining(now swclock.Millis) float64 {
	const overdueShare = 0.1
	elapsed := float64(now - r.grantedAt)
	return max(r.expectedEnd-float64(now), elapsed*overdueShare)
}

// historyEntry records the granted attempts of a request.
type historyEntry struct {
	// attempt is the latest granted attempt.
	attempt swid.Attempt
	// targets holds every target that was granted to the request.
	targets []swid.TargetID
	// preempted says that the cell cancelled the latest attempt.
	preempted bool
}
