// Package swtarget defines how a holder runs a request on a target. One
// implementation a wire format: see the adapters beside it.
package swtarget

import (
	"context"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Request is what a target is given.
type Request struct {
	ID      swid.RequestID
	Attempt swid.Attempt
	// Org is the organisation that the request is accounted to.
	Org swid.OrgID
	// Method and Path are those of the target's own API.
	Method string
	Path   string
	// Host and Header are the caller's, for adapters that pass them on.
	Host   string
	Header http.Header
	// ContentType and Body are passed on byte for byte.
	ContentType string
	Body        []byte
	// Stream tells that the answer is a stream of events.
	Stream bool
	// IdempotencyKey is passed on to the target if it is not empty.
	IdempotencyKey string
	// Patience bounds the silence before the first part of the answer; 0 leaves
	// it to the adapter, whose own bound holds in any case.
	Patience swclock.Millis
	// Remaining is the time until the answer has no value any more; 0 is no bound.
	Remaining swclock.Millis
	// ResumeFrom is the number of events that the holder already has; above 0 the
	// target continues a stream that broke.
	ResumeFrom int
	// ResumeAfter is the id of the last event that the holder has, where events
	// have ids; a target that did not run the request before continues after it.
	ResumeAfter string
}

// Chunk is a piece of an answer. Its bytes are valid until the next call to Next.
type Chunk struct {
	// Data is passed to the caller as it is.
	Data []byte
	// Tokens is the number of output tokens in Data.
	Tokens swid.Tokens
	// Events is the number of a stream's data events in Data, without the
	// terminal marker; their sum is a later Request.ResumeFrom.
	Events int
	// LastEvent is the id of the last event in Data, where events have ids.
	LastEvent string
}

// Usage is a target's own account of a request; zero fields were not reported.
type Usage struct {
	PromptTokens swid.Tokens
	OutputTokens swid.Tokens
	CachedTokens swid.Tokens
}

// Answer is an answer that is being received.
type Answer interface {
	// Status returns the HTTP status.
	Status() int
	// Header returns the fields of the answer's header that the caller is given.
	// They are not changed.
	Header() http.Header
	// Next returns the next chunk. It returns io.EOF only after the answer's
	// terminal marker, and a *Error in every other case that ends the answer.
	Next() (Chunk, error)
	// Usage returns the target's account, complete once Next returned io.EOF.
	Usage() Usage
	// Close releases the connection; it cancels an answer that has not ended.
	Close() error
}

// Adapter runs requests on one target. Start never sends a request twice.
type Adapter interface {
	// Start sends a request and returns once the answer's header arrived. Its error is always a *Error.
	Start(ctx context.Context, r Request) (Answer, error)
}

// Failure says what an error means for the request.
type Failure uint8

// Failures.
const (
	// FailureNotStarted means that the target provably did not run the request.
	FailureNotStarted Failure = iota + 1
	// FailureBroken means that the request may have run, wholly or in part.
	FailureBroken
	// FailureMismatch means that the answer belongs to another request; this request may have run.
	FailureMismatch
	// FailureStalled means that no progress came within the time allowed; the request may have run.
	FailureStalled
)

// MediaType returns the header of an answer of which only the media type is passed on.
func MediaType(contentType string) http.Header {
	h := make(http.Header, 1)
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	return h
}

// Error is the error of an attempt.
type Error struct {
	Failure Failure
	// Unsent tells that nothing of the request reached the target.
	Unsent bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
