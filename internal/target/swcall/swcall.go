// Package swcall runs calls on plain services: any method and path, with a
// bounded answer that is passed on as a whole or not at all.
package swcall

import (
	"context"
	"io"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/target/swhttp"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Default limits.
const (
	defaultDialTimeout     = 1 * swclock.Second
	defaultAnswerTimeout   = 60 * swclock.Second
	defaultProgressTimeout = 10 * swclock.Second
	defaultAnswerBytes     = 4 << 20
)

// Adapter runs calls on one plain service. It implements swtarget.Adapter.
type Adapter struct {
	sender *swhttp.Sender
	limits swhttp.Limits
}

// Option changes a default.
type Option func(*swhttp.Limits)

// WithLimits replaces the limits of a call.
func WithLimits(l swhttp.Limits) Option { return func(limits *swhttp.Limits) { *limits = l } }

// New returns an adapter for the service at baseURL.
func New(baseURL string, clock swclock.Clock, options ...Option) *Adapter {
	limits := swhttp.Limits{
		Dial:        defaultDialTimeout,
		Header:      defaultAnswerTimeout,
		Progress:    defaultProgressTimeout,
		AnswerBytes: defaultAnswerBytes,
	}
	for _, o := range options {
		o(&limits)
	}
	return &Adapter{sender: swhttp.NewSender(baseURL, clock, limits.Dial), limits: limits}
}

// Start implements swtarget.Adapter. Every status is the service's own answer:
// a plain service gives no answer that proves that it did not run a call.
func (a *Adapter) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	limits := a.limits
	if r.Patience > 0 {
		limits.Header = min(limits.Header, r.Patience)
	}
	response, err := a.sender.Send(ctx, r, limits)
	if err != nil {
		return nil, err
	}
	return &answer{response: response}, nil
}

// answer is the answer to one call; it has at most one chunk.
type answer struct {
	response *swhttp.Response
	// done is set once the whole body was returned, or reading it failed with err.
	done bool
	err  error
}

// Status implements swtarget.Answer.
func (a *answer) Status() int { return a.response.Status }

// Header implements swtarget.Answer.
func (a *answer) Header() http.Header {
	return swtarget.MediaType(a.response.Header.Get("Content-Type"))
}

// Next implements swtarget.Answer.
func (a *answer) Next() (swtarget.Chunk, error) {
	if a.done {
		return swtarget.Chunk{}, a.err
	}
	a.done, a.err = true, io.EOF
	body, err := a.response.ReadAll()
	if err != nil {
		a.err = err
		return swtarget.Chunk{}, err
	}
	if len(body) == 0 {
		return swtarget.Chunk{}, io.EOF
	}
	return swtarget.Chunk{Data: body}, nil
}

// Usage implements swtarget.Answer; plain services report none.
func (a *answer) Usage() swtarget.Usage { return swtarget.Usage{} }

// Close implements swtarget.Answer.
func (a *answer) Close() error { return a.response.Close() }
