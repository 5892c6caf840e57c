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
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/target/swhttp"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Default limits of an attempt.
const (
	defaultDialTimeout       = 1 * swclock.Second
	defaultFirstEventTimeout = 30 * swclock.Second
	defaultEventTimeout      = 2 * swclock.Second
	defaultAnswerTimeout     = 120 * swclock.Second
	defaultAnswerBytes       = 8 << 20
	defaultEventBytes        = 1 << 20
	// maxErrorBytes is how much of the body of a 429 or 503 answer is read.
	maxErrorBytes = 64 << 10
)

// ErrNoStream means that the engine can no longer resume the stream.
var ErrNoStream = errors.New("engine can no longer resume the stream")

// Limits holds the timeouts and the size limits of an attempt.
type Limits struct {
	// Dial bounds the time to connect to the engine.
	Dial swclock.Millis
	// FirstEvent bounds the time from the start of a streamed attempt to the answer's header,
	// and again from the header to the first event.
	FirstEvent swclock.Millis
	// Event bounds the time between two events of a stream, and between two parts of another answer.
	Event swclock.Millis
	// Answer bounds the time from the start of an attempt to the header of an answer that is not a stream.
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

// Option changes the default limits.
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

// Start implements swtarget.Adapter. Until the answer is closed, the end of ctx
// cancels it. A status of 200 to 299 or 400 to 499 is returned as the engine's
// answer, except for 429 and, if the request resumes a stream, 409: see checkStatus.
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
		response.RestartTimeout(a.firstEventTimeout(r))
		return newStream(response, a.limits), nil
	}
	return &bufferedAnswer{response: response}, nil
}

// Cancel asks the engine to stop a request. A caller needs Cancel if the request's connection may
// be unresponsive, because the engine then does not notice that the connection was closed. The
// status of the engine's answer is ignored.
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
	if r.FirstOutputTimeout > 0 {
		l.Header = min(l.Header, r.FirstOutputTimeout)
	}
	return l
}

// firstEventTimeout returns the time allowed from the header of a stream to its first event.
func (a *Adapter) firstEventTimeout(r swtarget.Request) swclock.Millis {
	if r.FirstOutputTimeout > 0 {
		return min(r.FirstOutputTimeout, a.limits.FirstEvent)
	}
	return a.limits.FirstEvent
}

// checkStatus returns an error for a status that is not forwarded to the caller as the engine's
// answer. Only refusalError may report that the request did not start.
func checkStatus(response *swhttp.Response, r swtarget.Request) error {
	switch {
	case r.ReceivedEvents > 0 && response.Status == http.StatusConflict:
		return response.AttemptError(ErrNoStream)
	case response.Status == http.StatusTooManyRequests, response.Status == http.StatusServiceUnavailable:
		return refusalError(response, r)
	case response.Status >= http.StatusInternalServerError, response.Status < http.StatusOK, response.Status >= http.StatusMultipleChoices && response.Status < http.StatusBadRequest:
		return response.AttemptError(errors.Errorf("engine answered with status %d", response.Status))
	default:
		return nil
	}
}

// refusalError returns the error for a 429 or 503 answer. It reports that the
// request did not start only if the body has the engine's documented error
// format, because something else on the path to the engine may send these
// statuses too. A resumed request has already run in part, so that its refusal
// never means that it did not start.
func refusalError(response *swhttp.Response, r swtarget.Request) error {
	err := errors.Errorf("engine refused with status %d", response.Status)
	body, readErr := io.ReadAll(io.LimitReader(response, maxErrorBytes))
	if readErr != nil || r.ReceivedEvents > 0 || !isEngineError(body) {
		return response.AttemptError(err)
	}
	return &swtarget.Error{Failure: swtarget.FailureNotStarted, Err: err}
}

// errorBody is the documented format of an engine's error.
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

// bufferedAnswer is an answer that is not a stream. It is read as a whole and has one chunk.
type bufferedAnswer struct {
	response *swhttp.Response
	usage    swtarget.Usage
	// done is set by the first call to Next. Further calls return err.
	done bool
	err  error
}

// Status implements swtarget.Answer.
func (w *bufferedAnswer) Status() int { return w.response.Status }

// Header implements swtarget.Answer.
func (w *bufferedAnswer) Header() http.Header {
	return swtarget.MediaType(w.response.Header.Get("Content-Type"))
}

// Next implements swtarget.Answer.
func (w *bufferedAnswer) Next() (swtarget.Chunk, error) {
	if w.done {
		return swtarget.Chunk{}, w.err
	}
	w.done, w.err = true, io.EOF
	body, err := w.response.ReadAll()
	if err == nil && !json.Valid(body) {
		err = w.response.AttemptError(errors.Wrap(swhttp.ErrTruncated, "answer is not JSON"))
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

// Statement implements swtarget.Answer. These targets say nothing of it.
func (*bufferedAnswer) Statement() swlimit.Statement { return swlimit.Statement{} }

// Usage implements swtarget.Answer.
func (w *bufferedAnswer) Usage() swtarget.Usage { return w.usage }

// Close implements swtarget.Answer.
func (w *bufferedAnswer) Close() error { return w.response.Close() }
