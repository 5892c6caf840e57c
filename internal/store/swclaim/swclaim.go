// Package swclaim records, before a non-idempotent request is dispatched, that
// it is about to run, so that it runs at most once across all entry hosts.
package swclaim

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Key identifies a non-idempotent request: the caller's key within its organisation.
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
	// OutcomeNotRun means that the request did not run; the key may be claimed again.
	OutcomeNotRun
)

// Entry is one claim.
type Entry struct {
	Key Key
	// Request is the claimant's own request id, unique across hosts and processes.
	Request swid.RequestID
	// Fingerprint is that of the request's content.
	Fingerprint swid.Fingerprint
}

// Decision is the answer to a claim.
type Decision struct {
	// Granted tells that this request, and no other, may be dispatched.
	Granted bool
	// Outcome is the outcome recorded by the request that holds the claim, when Granted is false.
	Outcome Outcome
	// Status and ContentType and Body repeat a recorded answer; Status is 0 where none was kept.
	Status      int
	ContentType string
	Body        []byte
	// Mismatch tells that the key was used for a request of other content.
	Mismatch bool
}

// ErrUnavailable means that no claim could be recorded; the request must end as not run.
var ErrUnavailable = errors.New("claim not recorded")

// FullError means that the key's shard has no room: no claim was recorded. It is an ErrUnavailable.
type FullError struct {
	// RetryAfter is when the shard drops its next claims at the latest.
	RetryAfter swclock.Millis
}

// Error implements error.
func (e *FullError) Error() string { return "no room to record the claim" }

// Unwrap returns ErrUnavailable.
func (e *FullError) Unwrap() error { return ErrUnavailable }

// Registry grants claims. Implementations are safe for concurrent use.
type Registry interface {
	// Claim records a claim, or returns what an earlier one recorded. After an
	// error the request must not be dispatched, and the key may be claimed
	// again. Each request id is claimed once.
	Claim(ctx context.Context, e Entry) (Decision, error)
	// Finish records the outcome of a granted claim. It is retried in the
	// background; until it is recorded, the outcome reads as unknown.
	Finish(e Entry, d Decision)
}
