package swhttp

import (
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Response is an answer whose header arrived and names the right request.
type Response struct {
	Status int
	Header http.Header

	answer   *http.Response
	ctx      context.Context // ends with Close, or by the watchdog
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	limits   Limits
}

// Read reads the body. Its errors are not yet classified: see Fail.
func (r *Response) Read(p []byte) (int, error) { return r.answer.Body.Read(p) }

// Progressed restarts the time allowed until the next part of the answer.
func (r *Response) Progressed(limit swclock.Millis) { r.watchdog.progress(limit) }

// Fail returns the error of an attempt whose answer failed with err after the
// target may have run it.
func (r *Response) Fail(err error) *swtarget.Error {
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, ErrStalled):
		return fail(swtarget.FailureStalled, cause)
	case cause != nil:
		return fail(swtarget.FailureBroken, cause)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fail(swtarget.FailureBroken, ErrTruncated)
	default:
		return fail(swtarget.FailureBroken, err)
	}
}

// ReadAll reads a body whose length or end the target has marked, and fails
// unless it is whole. Its error is always a *swtarget.Error.
func (r *Response) ReadAll() ([]byte, error) {
	if r.answer.Request.Method == http.MethodHead {
		return nil, nil
	}
	if r.answer.ContentLength > r.limits.AnswerBytes {
		return nil, r.Fail(ErrTooLarge)
	}
	if r.answer.ContentLength < 0 && !slices.Contains(r.answer.TransferEncoding, "chunked") {
		// The end of such a body is that of the connection, which a crash looks like too.
		return nil, r.Fail(errors.Wrap(ErrTruncated, "neither a length nor chunks"))
	}
	body, err := io.ReadAll(io.LimitReader(progressReader{r}, r.limits.AnswerBytes+1))
	if err != nil {
		return nil, r.Fail(err)
	}
	if int64(len(body)) > r.limits.AnswerBytes {
		return nil, r.Fail(ErrTooLarge)
	}
	return body, nil
}

// Close releases the connection, which cancels an answer that has not ended.
func (r *Response) Close() error {
	r.watchdog.stop()
	r.cancel(nil)
	return r.answer.Body.Close()
}

// progressReader counts each part of the body as progress.
type progressReader struct{ response *Response }

func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.response.Read(b)
	if n > 0 {
		p.response.Progressed(p.response.limits.Progress)
	}
	return n, err
}
