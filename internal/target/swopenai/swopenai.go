// Package swopenai runs requests on engines with an OpenAI-compatible API.
package swopenai

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/target/swhttp"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Default limits.
const (
	defaultDialTimeout       = 1 * swclock.Second
	defaultFirstEventTimeout = 30 * swclock.Second
	defaultEventTimeout      = 2 * swclock.Second
	defaultAnswerTimeout     = 120 * swclock.Second
	defaultAnswerBytes       = 8 << 20
	defaultEventBytes        = 1 << 20
	// errorBytes bounds the body of an error answer.
	errorBytes = 64 << 10
)

// ErrNoStream means that the engine cannot resume the stream any more.
var ErrNoStream = errors.New("engine does not have the stream any more")

// Limits bound an attempt.
type Limits struct {
	// Dial bounds the time to connect.
	Dial swclock.Millis
	// FirstEvent bounds the time from the send to a stream's first event.
	FirstEvent swclock.Millis
	// Event bounds the time between two events of a stream, and between two parts of another answer.
	Event swclock.Millis
	// Answer bounds the time to the header of an answer that is not a stream.
	Answer swclock.Millis
	// AnswerBytes bounds an answer that is not a stream.
	AnswerBytes int64
	// EventBytes bounds one event of a stream.
	EventBytes int
}

// Adapter runs requests on one engine. It implements swtarget.Adapter.
type Adapter struct {
	sender *swhttp.Sender
	limits Limits
}

// Option changes a default.
type Option func(*Limits)

// WithLimits replaces the limits of an attempt.
func WithLimits(l Limits) Option { return func(limits *Limits) { *limits = l } }

// New returns an adapter for the engine at baseURL.
func New(baseURL string, clock swclock.Clock, options ...Option) *Adapter {
	limits := Limits{
		Dial:        defaultDialTimeout,
		FirstEvent:  defaultFirstEventTimeout,
		Event:       defaultEventTimeout,
		Answer:      defaultAnswerTimeout,
		AnswerBytes: defaultAnswerBytes,
		EventBytes:  defaultEventBytes,
	}
	for _, o := range options {
		o(&limits)
	}
	return &Adapter{sender: swhttp.NewSender(baseURL, clock, limits.Dial), limits: limits}
}

// Start implements swtarget.Adapter. ctx holds until the answer is closed. An
// answer below 500 that is not a refusal is the engine's own, and is returned.
func (a *Adapter) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	response, err := a.sender.Send(ctx, r, a.sendLimits(r))
	if err != nil {
		return nil, err
	}
	if err := checkStatus(response, r); err != nil {
		_ = response.Close()
		return nil, err
	}
	if r.Stream && response.Status == http.StatusOK {
		response.Progressed(a.firstEvent(r))
		return newStream(response, a.limits), nil
	}
	return &whole{response: response}, nil
}

// Cancel tells the engine to stop a request whose connection may have gone
// silent, so that its closing does not reach the engine.
func (a *Adapter) Cancel(ctx context.Context, id swid.RequestID) error {
	r := swtarget.Request{ID: id, Method: http.MethodDelete, Path: "/requests/" + url.PathEscape(string(id))}
	response, err := a.sender.Send(ctx, r, a.sendLimits(r))
	if err != nil {
		return err
	}
	return response.Close()
}

func (a *Adapter) sendLimits(r swtarget.Request) swhttp.Limits {
	l := swhttp.Limits{Dial: a.limits.Dial, Header: a.limits.Answer, Progress: a.limits.Event, AnswerBytes: a.limits.AnswerBytes}
	if r.Stream {
		l.Header = a.limits.FirstEvent
	}
	if r.Patience > 0 {
		l.Header = min(l.Header, r.Patience)
	}
	return l
}

// firstEvent is the time allowed until a stream's first event.
func (a *Adapter) firstEvent(r swtarget.Request) swclock.Millis {
	if r.Patience > 0 {
		return min(r.Patience, a.limits.FirstEvent)
	}
	return a.limits.FirstEvent
}

// checkStatus returns an error for an answer that is not the request's own.
func checkStatus(response *swhttp.Response, r swtarget.Request) error {
	switch {
	case r.ResumeFrom > 0 && response.Status == http.StatusConflict:
		return response.Fail(ErrNoStream)
	case response.Status == http.StatusTooManyRequests, response.Status == http.StatusServiceUnavailable:
		return refusal(response, r)
	case response.Status >= http.StatusInternalServerError, response.Status < http.StatusOK, response.Status >= http.StatusMultipleChoices && response.Status < http.StatusBadRequest:
		return response.Fail(errors.Errorf("engine answered with status %d", response.Status))
	default:
		return nil
	}
}

// refusal returns the error of a 429 or 503. Only the engine's own documented
// form proves that the request did not run; a resumed request ran before.
func refusal(response *swhttp.Response, r swtarget.Request) error {
	err := errors.Errorf("engine refused with status %d", response.Status)
	body, readErr := io.ReadAll(io.LimitReader(response, errorBytes))
	if readErr != nil || r.ResumeFrom > 0 || !isEngineError(body) {
		return response.Fail(err)
	}
	return &swtarget.Error{Failure: swtarget.FailureNotStarted, Err: err}
}

// errorBody is the documented form of an engine's error.
type errorBody struct {
	Error *struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

func isEngineError(body []byte) bool {
	var e errorBody
	if err := json.Unmarshal(body, &e); err != nil {
		return false
	}
	return e.Error != nil && e.Error.Type != ""
}

// whole is an answer that is not a stream; it has one chunk.
type whole struct {
	response *swhttp.Response
	usage    swtarget.Usage
	// done is set once the whole body was returned, or reading it failed with err.
	done bool
	err  error
}

// Status implements swtarget.Answer.
func (w *whole) Status() int { return w.response.Status }

// Header implements swtarget.Answer.
func (w *whole) Header() http.Header {
	return swtarget.MediaType(w.response.Header.Get("Content-Type"))
}

// Next implements swtarget.Answer.
func (w *whole) Next() (swtarget.Chunk, error) {
	if w.done {
		return swtarget.Chunk{}, w.err
	}
	w.done, w.err = true, io.EOF
	body, err := w.response.ReadAll()
	if err == nil && !json.Valid(body) {
		err = w.response.Fail(errors.Wrap(swhttp.ErrTruncated, "answer is not JSON"))
	}
	if err != nil {
		w.err = err
		return swtarget.Chunk{}, err
	}
	var e event
	if err := json.Unmarshal(bytes.TrimSpace(body), &e); err == nil && e.Usage != nil {
		w.usage = e.Usage.usage()
	}
	return swtarget.Chunk{Data: body, Tokens: w.usage.OutputTokens}, nil
}

// Usage implements swtarget.Answer.
func (w *whole) Usage() swtarget.Usage { return w.usage }

// Close implements swtarget.Answer.
func (w *whole) Close() error { return w.response.Close() }
