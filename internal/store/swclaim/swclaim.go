// Package swclaim records a claim on the caller's key before a non-idempotent
// request is dispatched, so that the request runs at most once, whichever hosts
// its caller sends it to.
package swclaim

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Key identifies a non-idempotent request: the idempotency key chosen by the
// caller, within its organisation.
type Key struct {
	Org swid.OrgID
	Key string
}

// Outcome is the recorded outcome of a claimed request.
type Outcome uint8

// Outcomes.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota + 1
	// OutcomeAnswered means that the request ran and was answered.
	OutcomeAnswered
	// OutcomeNotRun means that the request did not run. The key may be claimed again.
	OutcomeNotRun
)

// Entry describes a claim of one request on its key.
type Entry struct {
	Key Key
	// Request is the claimant's own request id, unique across hosts and processes.
	Request swid.RequestID
	// Fingerprint is the fingerprint of the request's content.
	Fingerprint swid.Fingerprint
}

// Decision is the result of a claim, or the outcome that a claimant reports.
type Decision struct {
	// Granted means that this request, and no other, may be dispatched.
	Granted bool
	// Outcome is the recorded outcome of the request that holds the claim, if
	// Granted is false.
	Outcome Outcome
	// Status, ContentType and Body are the recorded answer. Status is 0 if no
	// answer was recorded.
	Status      int
	ContentType string
	Body        []byte
	// Mismatch means that the key was used for a request with different content.
	Mismatch bool
}

// ErrUnavailable means that the claim could not be recorded. The request must end as not run.
var ErrUnavailable = errors.New("claim not recorded")

// FullError means that the claim was not recorded because the key's shard is full. It wraps ErrUnavailable.
type FullError struct {
	// RetryAfter is the longest time until the shard next drops old claims.
	RetryAfter swclock.Millis
}

// Error implements error.
func (e *FullError) Error() string { return "no room to record the claim" }

// Unwrap returns ErrUnavailable.
func (e *FullError) Unwrap() error { return ErrUnavailable }

// Registry grants claims. Implementations are safe for concurrent use.
type Registry interface {
	// Claim records a claim, or returns the recorded outcome of an earlier one.
	// After an error the request must not be dispatched, and the key may be
	// claimed again. Each request id must be claimed only once.
	Claim(ctx context.Context, e Entry) (Decision, error)
	// RecordOutcome records the outcome of a granted claim in the background, with
	// retries. Until the outcome is recorded, other claims of the key get OutcomeUnknown.
	RecordOutcome(e Entry, d Decision)
}
