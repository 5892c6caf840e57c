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

// Response is an answer whose header has arrived and belongs to the request.
type Response struct {
	Status int
	Header http.Header

	answer   *http.Response
	ctx      context.Context // ended by Close, by the watchdog, or by the end of the context given to Send
	cancel   context.CancelCauseFunc
	watchdog *watchdog
	limits   Limits
}

// Read reads the body. It returns unclassified errors, which AttemptError classifies.
func (r *Response) Read(p []byte) (int, error) { return r.answer.Body.Read(p) }

// RestartTimeout records progress and allows limit until the next part of the answer.
func (r *Response) RestartTimeout(limit swclock.Millis) { r.watchdog.restart(limit) }

// AttemptError classifies err, the error that ended the answer. The target may have
// run the request, so that the result is never FailureNotStarted. If the context has
// ended, its cause is classified instead of err.
func (r *Response) AttemptError(err error) *swtarget.Error {
	switch cause := context.Cause(r.ctx); {
	case errors.Is(cause, ErrStalled):
		return newError(swtarget.FailureStalled, cause)
	case cause != nil:
		return newError(swtarget.FailureBroken, cause)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return newError(swtarget.FailureBroken, ErrTruncated)
	default:
		return newError(swtarget.FailureBroken, err)
	}
}

// ReadAll reads the body. It fails unless the body is complete, has at most
// Limits.AnswerBytes, and has a length or chunked encoding. The returned error is always a
// *swtarget.Error.
func (r *Response) ReadAll() ([]byte, error) {
	if r.answer.Request.Method == http.MethodHead {
		return nil, nil
	}
	if r.answer.ContentLength > r.limits.AnswerBytes {
		return nil, r.AttemptError(ErrTooLarge)
	}
	if r.answer.ContentLength < 0 && !slices.Contains(r.answer.TransferEncoding, "chunked") {
		// Such a body ends when the connection is closed, which also happens if the target crashes.
		return nil, r.AttemptError(errors.Wrap(ErrTruncated, "neither a content length nor chunked encoding"))
	}
	body, err := io.ReadAll(io.LimitReader(progressReader{r}, r.limits.AnswerBytes+1))
	if err != nil {
		return nil, r.AttemptError(err)
	}
	if int64(len(body)) > r.limits.AnswerBytes {
		return nil, r.AttemptError(ErrTooLarge)
	}
	return body, nil
}

// Close closes the connection, which cancels an answer that has not ended.
func (r *Response) Close() error {
	r.watchdog.stop()
	r.cancel(nil)
	return r.answer.Body.Close()
}

// progressReader reads the body and records progress for each part that it reads.
type progressReader struct{ response *Response }

func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.response.Read(b)
	if n > 0 {
		p.response.RestartTimeout(p.response.limits.Progress)
	}
	return n, err
}
