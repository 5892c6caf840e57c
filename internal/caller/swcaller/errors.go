package swcaller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
)

// Headers of the callers' interface in addition to the standard ones.
const (
	headerTier           = "X-Tier"
	headerDeadline       = "X-Deadline-Millis"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	// headerShouldRetry is "false" on errors that client libraries must not retry automatically.
	headerShouldRetry = "X-Should-Retry"
)

// Error is an error response to a caller.
type Error struct {
	Status int
	// Code is a stable identifier for programs; Message is for people.
	Code    string
	Message string
	Outcome swlife.Outcome
	Request swid.RequestID
	// RetryAfter is the delay before a retry; 0 if retrying would not help.
	RetryAfter swclock.Millis
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

func newNotRunError(status int, code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Outcome: swlife.OutcomeNotRun}
}

// causeErrors has the status, code and message for each cause that ends a request without an answer.
var causeErrors = map[swlife.Cause]Error{
	swlife.CauseOverload:         {Status: http.StatusTooManyRequests, Code: "overloaded", Message: "there is too little capacity for this tier and organisation now"},
	swlife.CauseDeadline:         {Status: http.StatusGatewayTimeout, Code: "deadlineExceeded", Message: "the answer cannot be completed before the deadline"},
	swlife.CauseNoTarget:         {Status: http.StatusServiceUnavailable, Code: "noTarget", Message: "no target can take the request now"},
	swlife.CauseSuspect:          {Status: http.StatusUnprocessableEntity, Code: "contentCrashesTargets", Message: "targets failed while running requests of this content; it is refused for a while"},
	swlife.CauseRetryBudget:      {Status: http.StatusServiceUnavailable, Code: "retryBudgetExhausted", Message: "the target failed, and the service has no retries left now"},
	swlife.CauseTargetFailed:     {Status: http.StatusBadGateway, Code: "targetFailed", Message: "the target failed before the answer was complete"},
	swlife.CausePreempted:        {Status: http.StatusServiceUnavailable, Code: "preempted", Message: "the request was cancelled to make room for a higher tier"},
	swlife.CauseCallerGone:       {Status: http.StatusRequestTimeout, Code: "callerGone", Message: "the caller closed the connection or read too slowly"},
	swlife.CauseClaimUnavailable: {Status: http.StatusServiceUnavailable, Code: "claimUnavailable", Message: "the idempotency key cannot be recorded now"},
	swlife.CauseClaimHeld:        {Status: http.StatusConflict, Code: "idempotencyKeyInUse", Message: "an earlier request with this idempotency key may have run, and its answer is not known"},
	swlife.CauseKeyReused:        {Status: http.StatusUnprocessableEntity, Code: "idempotencyKeyReused", Message: "the idempotency key was used for a request of other content"},
	swlife.CauseQuota:            {Status: http.StatusTooManyRequests, Code: "quotaExhausted", Message: "the organisation's quota is used up for now"},
	swlife.CauseShutdown:         {Status: http.StatusServiceUnavailable, Code: "shuttingDown", Message: "this host is shutting down"},
}

// newEndError returns the error for a request that ended without an answer.
func newEndError(end swlife.End, request swid.RequestID) *Error {
	e := causeErrors[end.Cause]
	e.Outcome = end.Outcome
	e.Request = request
	e.RetryAfter = end.RetryAfter
	return &e
}

type wireError struct {
	Message    string `json:"message"`
	Type       string `json:"type"`
	Code       string `json:"code"`
	Outcome    string `json:"outcome"`
	RequestID  string `json:"requestId"`
	RetryAfter int64  `json:"retryAfterMillis,omitempty"`
}

type wireErrorBody struct {
	Error wireError `json:"error"`
}

// body encodes the error as JSON, in the format that all error responses share.
func (e *Error) body() []byte {
	w := wireErrorBody{Error: wireError{
		Message:    e.Message,
		Type:       errorType(e.Status),
		Code:       e.Code,
		Outcome:    e.Outcome.String(),
		RequestID:  string(e.Request),
		RetryAfter: int64(e.RetryAfter),
	}}
	data, err := json.Marshal(w)
	if err != nil {
		return []byte(`{"error":{"message":"internal error"}}`) // strings and numbers always encode
	}
	return data
}

func errorType(status int) string {
	if status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		return "invalid_request_error"
	}
	return "server_error"
}

// write sends the error as the complete response.
func (e *Error) write(w http.ResponseWriter, retriable bool) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.Request != "" {
		h.Set(headerRequestID, string(e.Request))
	}
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + swclock.Second - 1) / swclock.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(int64(e.RetryAfter), 10))
	}
	if !retriable {
		h.Set(headerShouldRetry, "false")
	}
	body := e.body()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Status)
	_, _ = w.Write(body) // a write error means that the caller has disconnected
}
