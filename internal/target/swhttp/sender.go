// Package swhttp sends a request to a target over HTTP at most once and enforces
// timeouts on the progress of its answer. The adapters for the wire formats use it.
package swhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/target/swconn"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Header fields that identify a request and its attempt, and that state where a stream resumes.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderResumeFrom     = "X-Resume-From"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 64 << 10

// Causes of a failed attempt.
var (
	// ErrStalled means that the attempt made no progress within the time allowed.
	ErrStalled = errors.New("no progress within the time allowed")
	// ErrWrongRequest means that the answer carries another request's id, or none.
	ErrWrongRequest = errors.New("answer does not carry the request's id")
	// ErrTruncated means that the answer ended early, or that its end cannot be distinguished
	// from a broken connection.
	ErrTruncated = errors.New("answer is incomplete")
	// ErrTooLarge means that the answer or one of its events exceeds its size limit.
	ErrTooLarge = errors.New("answer too large")
)

// Limits holds the timeouts and the size limit of an attempt.
type Limits struct {
	// Dial bounds the time to connect. Send does not read it: NewSender sets the dial timeout.
	Dial swclock.Millis
	// Header bounds the time from the start of the attempt, including the dial, to the answer's header.
	Header swclock.Millis
	// Progress bounds the time between two parts of the answer.
	Progress swclock.Millis
	// AnswerBytes bounds an answer that is read by ReadAll.
	AnswerBytes int64
}

// Sender sends requests to one target. It is safe for concurrent use.
//
// Every attempt dials a new connection. A transport that reuses connections may
// send a request on an idle connection that the target has closed. The transport
// then re-sends some requests by itself. It fails the others, whose outcome is
// unknown although the target works. A new connection avoids both cases, because
// it was never idle.
type Sender struct {
	baseURL   string
	clock     swclock.Clock
	transport *http.Transport
}

// NewSender returns a sender for the target at baseURL.
func NewSender(baseURL string, clock swclock.Clock, dial swclock.Millis) *Sender {
	dialer := &net.Dialer{Timeout: dial.Duration()}
	return &Sender{
		baseURL: strings.TrimRight(baseURL, "/"),
		clock:   clock,
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			TLSHandshakeTimeout:    dial.Duration(),
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			Protocols:              http1Only(),
		},
	}
}

// http1Only excludes HTTP/2, whose transport re-sends requests in further cases.
func http1Only() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	return &p
}

// Send sends r and returns when the answer's header has arrived. ctx and the limits apply until
// the response is closed. The returned error is always a *swtarget.Error.
func (s *Sender) Send(ctx context.Context, r swtarget.Request, l Limits) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := s.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		cancel(nil)
		return nil, newError(swtarget.FailureNotStarted, err)
	}
	w := startWatchdog(s.clock, l.Header, func() { cancel(ErrStalled) })
	// Unlike http.Client, RoundTrip follows no redirect and so sends the request only once.
	answer, err := s.transport.RoundTrip(request)
	if err != nil {
		w.stop()
		failure := classifySendError(ctx, connected.Load())
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		cancel(nil)
		return nil, newError(failure, errors.Wrap(err, "send request"))
	}
	response := &Response{Status: answer.StatusCode, Header: answer.Header, answer: answer, ctx: ctx, cancel: cancel, watchdog: w, limits: l}
	if got := answer.Header.Get(HeaderRequestID); got != string(r.ID) && !isErrorWithoutID(answer, got) {
		_ = response.Close() // the mismatch is returned instead
		return nil, newError(swtarget.FailureWrongRequest, errors.Wrapf(ErrWrongRequest, "want %q, got %q", r.ID, got))
	}
	if err := swconn.CheckHead(answer); err != nil {
		_ = response.Close() // the broken head is returned instead
		return nil, newError(swtarget.FailureBroken, err)
	}
	w.restart(l.Progress)
	return response, nil
}

// isErrorWithoutID reports whether an answer is an error without a request id.
// A target sends such an error before it has examined the request. It cannot
// belong to another request, because the connection carries only one exchange.
func isErrorWithoutID(answer *http.Response, id string) bool {
	return id == "" && answer.StatusCode >= http.StatusBadRequest
}

func (s *Sender) newRequest(ctx context.Context, r swtarget.Request) (*http.Request, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return nil, errors.Errorf("path %q does not start with /", r.Path)
	}
	var body io.Reader
	if len(r.Body) > 0 {
		body = readerOnly{bytes.NewReader(r.Body)}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, s.baseURL+r.Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.ContentLength = int64(len(r.Body))
	request.Header.Set(HeaderRequestID, string(r.ID))
	request.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(r.Attempt), 10))
	setNonEmpty(request.Header, "Content-Type", r.ContentType)
	setNonEmpty(request.Header, HeaderIdempotencyKey, r.IdempotencyKey)
	if r.ReceivedEvents > 0 {
		request.Header.Set(HeaderResumeFrom, strconv.Itoa(r.ReceivedEvents))
	}
	return request, nil
}

func setNonEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// readerOnly hides the type of a body from net/http, which would otherwise set
// GetBody and could then send the body again.
type readerOnly struct{ io.Reader }

// classifySendError classifies a failed send. Without a connection nothing was
// written; only then is it certain that the request did not start.
func classifySendError(ctx context.Context, connected bool) swtarget.Failure {
	switch {
	case !connected:
		return swtarget.FailureNotStarted
	case errors.Is(context.Cause(ctx), ErrStalled):
		return swtarget.FailureStalled
	default:
		return swtarget.FailureBroken
	}
}

func newError(f swtarget.Failure, err error) *swtarget.Error {
	return &swtarget.Error{Failure: f, Err: err}
}
