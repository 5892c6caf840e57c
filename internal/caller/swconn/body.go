package swconn

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Body is the body of a caller's request. It counts what was received of it.
type Body struct {
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	timeout    swclock.Millis
	received   int64
}

// NewBody returns the body of a request, which has to arrive within timeout from when it is read.
func NewBody(w http.ResponseWriter, r *http.Request, timeout swclock.Millis) *Body {
	return &Body{writer: w, request: r, controller: http.NewResponseController(w), timeout: timeout}
}

// Announced returns the length that the caller announced; -1 if it announced none.
func (b *Body) Announced() int64 { return b.request.ContentLength }

// Received returns how many bytes were read. Some more may have arrived.
func (b *Body) Received() int64 { return b.received }

// ReadAll reads the body, which may have up to limit bytes; 0 sets no limit. The error wraps an *http.MaxBytesError
// if there are more.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	if b.empty() {
		return nil, nil
	}
	if err := b.controller.SetReadDeadline(time.Now().Add(b.timeout.Duration())); err != nil {
		return nil, errors.Wrap(err, "set the read deadline of the body")
	}
	body := b.request.Body
	if limit > 0 {
		body = http.MaxBytesReader(b.writer, body, limit)
	}
	data, err := io.ReadAll(body)
	b.received += int64(len(data))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return data, errors.Wrap(b.controller.SetReadDeadline(time.Time{}), "clear the read deadline of the body")
}

// empty reports whether there is no body.
func (b *Body) empty() bool { return b.request.Body == nil || b.request.Body == http.NoBody }
