// Package swcall runs calls on plain services. A call has any method and path, and
// an answer of limited size that is forwarded either complete or not at all.
package swcall

import (
	"context"
	"io"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/target/swhttp"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Default limits of a call.
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

// Option changes the default limits.
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

// Start implements swtarget.Adapter. It returns an answer of any status, because
// no status of a plain service proves that the service did not run the call.
func (a *Adapter) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	limits := a.limits
	if r.FirstOutputTimeout > 0 {
		limits.Header = min(limits.Header, r.FirstOutputTimeout)
	}
	response, err := a.sender.Send(ctx, r, limits)
	if err != nil {
		return nil, err
	}
	return &answer{response: response}, nil
}

// answer is the answer to a call. It has one chunk, or none if its body is empty.
type answer struct {
	response *swhttp.Response
	// done is set by the first call to Next. Further calls return err.
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

// Statement implements swtarget.Answer. These targets say nothing of it.
func (*answer) Statement() swlimit.Statement { return swlimit.Statement{} }

// Usage implements swtarget.Answer. Plain services report no usage.
func (a *answer) Usage() swtarget.Usage { return swtarget.Usage{} }

// Close implements swtarget.Answer.
func (a *answer) Close() error { return a.response.Close() }
