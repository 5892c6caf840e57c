// Package swhttp sends a request to a target over HTTP exactly once, and
// watches the progress of its answer. The adapters for the wire formats build on it.
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
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Headers of an attempt.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderResumeFrom     = "X-Resume-From"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 64 << 10

// Errors that tell why an attempt failed.
var (
	// ErrStalled means that no progress came within the time allowed.
	ErrStalled = errors.New("no progress within the time allowed")
	// ErrWrongRequest means that the answer carries another request's id, or none.
	ErrWrongRequest = errors.New("answer does not carry the request's id")
	// ErrTruncated means that the answer ended before its end marker.
	ErrTruncated = errors.New("answer is not whole")
	// ErrTooLarge means that the answer or one of its events passes its bound.
	ErrTooLarge = errors.New("answer too large")
)

// Limits bound an attempt.
type Limits struct {
	// Dial bounds the time to connect.
	Dial swclock.Millis
	// Header bounds the time from the send to the answer's header.
	Header swclock.Millis
	// Progress bounds the time between two parts of the answer.
	Progress swclock.Millis
	// AnswerBytes bounds an answer that is read as a whole.
	AnswerBytes int64
}

// Sender sends requests to one target. It is safe for concurrent use.
//
// Every attempt has a connection of its own. A transport that reuses
// connections re-sends some requests by itself when an idle connection turns
// out to be closed, and where it does not, the request's outcome is unknown
// although nothing is wrong with the target. An own connection also cannot be
// one that went silent while it was idle.
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

// http1Only excludes HTTP/2, whose transport has further reasons to re-send.
func http1Only() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	return &p
}

// Send sends r and returns once the answer's header arrived. ctx and the limits hold until the
// response is closed. Its error is always a *swtarget.Error.
func (s *Sender) Send(ctx context.Context, r swtarget.Request, l Limits) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := s.newRequest(httptrace.WithClientTrace(ctx, trace), r)
	if err != nil {
		cancel(nil)
		return nil, fail(swtarget.FailureNotStarted, err)
	}
	w := startWatchdog(s.clock, l.Header, func() { cancel(ErrStalled) })
	// RoundTrip, unlike a client, follows no redirect and so sends nothing twice.
	answer, err := s.transport.RoundTrip(request)
	if err != nil {
		w.stop()
		failure := sendFailure(ctx, connected.Load())
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		cancel(nil)
		return nil, fail(failure, errors.Wrap(err, "send request"))
	}
	response := &Response{Status: answer.StatusCode, Header: answer.Header, answer: answer, ctx: ctx, cancel: cancel, watchdog: w, limits: l}
	if got := answer.Header.Get(HeaderRequestID); got != string(r.ID) && !isBareError(answer, got) {
		_ = response.Close() // the mismatch is the error
		return nil, fail(swtarget.FailureMismatch, errors.Wrapf(ErrWrongRequest, "want %q, got %q", r.ID, got))
	}
	w.progress(l.Progress)
	return response, nil
}

// isBareError reports whether an answer is an error without a request id.
// Targets answer so before they have looked at a request. It cannot be the error
// of another request, as the connection carries one exchange.
func isBareError(answer *http.Response, id string) bool {
	return id == "" && answer.StatusCode >= http.StatusBadRequest
}

func (s *Sender) newRequest(ctx context.Context, r swtarget.Request) (*http.Request, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return nil, errors.Errorf("path %q does not start with /", r.Path)
	}
	var body io.Reader
	if len(r.Body) > 0 {
		body = onceReader{bytes.NewReader(r.Body)}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, s.baseURL+r.Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.ContentLength = int64(len(r.Body))
	request.Header.Set(HeaderRequestID, string(r.ID))
	request.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(r.Attempt), 10))
	setIf(request.Header, "Content-Type", r.ContentType)
	setIf(request.Header, HeaderIdempotencyKey, r.IdempotencyKey)
	if r.ResumeFrom > 0 {
		request.Header.Set(HeaderResumeFrom, strconv.Itoa(r.ResumeFrom))
	}
	return request, nil
}

func setIf(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// onceReader hides the type of a body from net/http, which would otherwise set
// GetBody and so become able to send the body again.
type onceReader struct{ io.Reader }

// sendFailure judges a failed send. Nothing is written before there is a
// connection, so that only then the request provably did not start.
func sendFailure(ctx context.Context, connected bool) swtarget.Failure {
	switch {
	case !connected:
		return swtarget.FailureNotStarted
	case errors.Is(context.Cause(ctx), ErrStalled):
		return swtarget.FailureStalled
	default:
		return swtarget.FailureBroken
	}
}

func fail(f swtarget.Failure, err error) *swtarget.Error {
	return &swtarget.Error{Failure: f, Err: err}
}
