// Package swtarget defines the interface through which a holder, the host that
// keeps a caller's request and dispatches it, runs the request on a target. There
// is one implementation for each wire format, in the packages beside this one.
package swtarget

import (
	"context"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/core/swbuffer"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
)

// Request holds one attempt of a request, as an adapter sends it to a target.
type Request struct {
	ID      swid.RequestID
	Attempt swid.Attempt
	// Org is the organisation to which the request's usage is charged.
	Org swid.OrgID
	// Method and Path belong to the target's own API.
	Method string
	Path   string
	// Host and Header come from the caller, for adapters that forward them.
	Host   string
	Header http.Header
	// ContentType and Body are forwarded unchanged.
	ContentType string
	Body        []byte
	// Stream means that the answer is expected to be a stream of events.
	Stream bool
	// IdempotencyKey is forwarded to the target if it is not empty.
	IdempotencyKey string
	// FirstOutputTimeout is the maximum wait for the first part of the answer; 0 sets none.
	// If the adapter has its own limit, the shorter of the two applies.
	FirstOutputTimeout swclock.Millis
	// GiveUp, if not nil, reports whether an attempt may be ended after FirstOutputTimeout without output, or because the
	// path to the target is lost, so that the request can be sent to another target or its stream be taken up. It does not block. If another host
	// carries the request, the holder asks after FirstOutputTimeout, and the carrier does not ask where its path is lost.
	GiveUp func() bool
	// ExpectedFirst is the expected time to the first part of the answer; 0 if it is not known.
	ExpectedFirst swclock.Millis
	// Remaining is the time until the answer is worth nothing to its caller; 0 means no limit.
	Remaining swclock.Millis
	// ReceivedEvents is the number of events that the holder already has. If it is
	// above 0, the target resumes an interrupted stream after them.
	ReceivedEvents int
	// LastEventID is the id of the last event that the holder has, if events have
	// ids. With it, a target that did not run the request before can continue the stream.
	LastEventID string
	// Born identifies the start of the target that the request is for; 0 for any. An adapter whose target tells
	// sends the request to no other start of it.
	Born int64
	// Buffer has what is held of the request's answers, with the buffers of the adapter; nil sets no bound. It belongs to
	// whoever starts the request.
	Buffer *swbuffer.Account
}

// Chunk is a piece of an answer. Its bytes are valid until the next call to Next.
type Chunk struct {
	// Data is forwarded to the caller unchanged.
	Data []byte
	// Tokens is the number of output tokens in Data.
	Tokens swid.Tokens
	// Events is the number of a stream's data events in Data, without the
	// terminal marker; their sum is a later Request.ReceivedEvents.
	Events int
	// LastEventID is the id of the last event in Data, if events have ids.
	LastEventID string
}

// Usage is the token usage that a target reports for a request. A field of 0 was not reported.
type Usage struct {
	PromptTokens swid.Tokens
	OutputTokens swid.Tokens
	CachedTokens swid.Tokens
}

// Answer is an answer that a target is sending.
type Answer interface {
	// Status returns the HTTP status.
	Status() int
	// Header returns the fields of the answer's header that are forwarded to the
	// caller. They must not be modified.
	Header() http.Header
	// Statement returns what the answer says of the requests that the target takes.
	Statement() swlimit.Statement
	// Next returns the next chunk. It returns io.EOF only after the answer's
	// terminal marker, and an *Error in every other case that ends the answer.
	Next() (Chunk, error)
	// Usage returns the usage that the target reported. It is complete once Next has returned io.EOF.
	Usage() Usage
	// Close releases the connection and cancels an answer that has not ended.
	Close() error
}

// Adapter runs requests on one target. Start never sends a request twice.
type Adapter interface {
	// Start sends a request and returns once the answer's header has arrived. Its error is always an *Error.
	Start(ctx context.Context, r Request) (Answer, error)
}

// Prober is implemented by adapters that can find out whether their target can be reached.
type Prober interface {
	// Probe returns what the target says of the requests that it takes, and no error if it answers on a new
	// connection.
	Probe(ctx context.Context) (swlimit.Statement, error)
}

// RunReporter is implemented by adapters whose targets report how far their runs are.
type RunReporter interface {
	// ReportedEvents returns how many events the target has made of the stream of a request, as of a moment ago. reported is false if it
	// reports no run of the request.
	ReportedEvents(ctx context.Context, id swid.RequestID) (events int, reported bool, err error)
}

// Failure classifies errors by what they mean for the request.
type Failure uint8

// Failures.
const (
	// FailureNotStarted means that the target provably did not run the request.
	FailureNotStarted Failure = iota + 1
	// FailureBroken means that the request may have run, wholly or in part.
	FailureBroken
	// FailureWrongRequest means that the answer belongs to another request; this request may have run.
	FailureWrongRequest
	// FailureStalled means that the target made no progress within the time allowed, or that the host could not hold its
	// answer; the request may have run.
	FailureStalled
	// FailureNotContinued means that what the target sent does not follow Request.LastEventID; the request may have run.
	FailureNotContinued
)

// MediaType returns the header of an answer of which only the media type is forwarded.
func MediaType(contentType string) http.Header {
	h := make(http.Header, 1)
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	return h
}

// Error is the error of a failed attempt.
type Error struct {
	Failure Failure
	// Unsent means that no part of the request reached the target.
	Unsent bool
	// Statement is what the answer says of the requests that the target takes, if there was an answer.
	Statement swlimit.Statement
	// OtherStart means that the request was not sent because the target has been started anew, see Request.Born.
	OtherStart bool
	// CarrierLost means that the host that was to carry the request could not be reached, was lost, or has no room for it.
	CarrierLost bool
	Err         error
}

// Unheld returns the error of an attempt whose answer the host cannot hold, because of err. It is no sign that the
// request's content broke the target.
func Unheld(err error) *Error { return &Error{Failure: FailureStalled, Err: err} }

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
