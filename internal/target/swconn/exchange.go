package swconn

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Response is an answer whose header arrived and belongs to the request.
type Response struct {
	Status int
	Header http.Header
	// Framed tells that the answer marks its end. The end of one without is that
	// of its connection.
	Framed bool

	pool    *Pool
	conn    *conn
	answer  *http.Response
	written *pendingWrite
	stop    func() bool
	ctx     context.Context
	// whole tells that the body was read to its end.
	whole bool
}

// pendingWrite is a request that is being written.
type pendingWrite struct {
	done chan struct{}
	err  error
}

// finished reports whether the whole request was written.
func (w *pendingWrite) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// Do sends a request once and returns when the header of its answer arrived.
// The end of ctx cuts the connection until the response is closed. Its error is
// always an *Error.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, &Error{Err: orCause(ctx, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // fails only on a closed connection
	w := c.send(r)
	answer, err := c.receive(r)
	if err != nil {
		stop()
		c.discard()
		return nil, &Error{Sent: true, Err: orCause(ctx, err)}
	}
	return &Response{
		Status: answer.StatusCode, Header: answer.Header, Framed: isFramed(answer, r.Method),
		pool: p, conn: c, answer: answer, written: w, stop: stop, ctx: ctx,
	}, nil
}

// orCause names the end of the context as the error that it led to.
func orCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// send writes a request. A long one is written beside the wait for its answer,
// because the peer may answer before it has read it all.
func (c *conn) send(r Request) *pendingWrite {
	w := &pendingWrite{done: make(chan struct{})}
	data := r.encode()
	write := func() {
		_, w.err = c.Write(data)
		close(w.done)
	}
	if len(data) <= inlineBytes {
		write()
	} else {
		go write() // ends with the write, at the latest when the connection is closed
	}
	return w
}

// encode returns the bytes of a request.
func (r *Request) encode() []byte {
	size := len(r.Method) + len(r.Target) + len(r.Host) + len(r.Body) + 64
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	b := make([]byte, 0, size)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, "\r\n"...)
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}

// receive reads the header of the request's answer. Informational answers and
// answers to earlier requests are passed over.
func (c *conn) receive(r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	foreign := false
	for range maxForeign {
		answer, err := http.ReadResponse(c.reader, request)
		if err != nil && foreign {
			return nil, errors.Wrap(ErrForeign, err.Error())
		}
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if r.Answers == nil || r.Answers(answer.Header) {
			return answer, nil
		}
		foreign = true
		if !isFramed(answer, r.Method) {
			break
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, foreignBytes)); err != nil || n == foreignBytes {
			break
		}
	}
	return nil, ErrForeign
}

// isFramed reports whether an answer marks its end.
func isFramed(answer *http.Response, method string) bool {
	return answer.ContentLength >= 0 || slices.Contains(answer.TransferEncoding, "chunked") || method == http.MethodHead
}

// Read reads the body. It returns io.EOF at the answer's marked end, or at the
// end of the connection if the answer is not framed.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.answer.Body.Read(b)
	switch {
	case err == io.EOF:
		r.whole = true
	case err != nil:
		err = orCause(r.ctx, err)
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the exchange ended in
// order, and closed otherwise, which cancels what the peer still does.
func (r *Response) Close() {
	unharmed := r.stop()
	c := r.conn
	reusable := unharmed && r.whole && r.Framed && !r.answer.Close && r.written.finished() && c.reader.Buffered() == 0
	if !reusable {
		c.discard()
		return
	}
	c.keep = min(keptFor(r.Header), r.pool.config.Keep)
	r.pool.put(c)
}

// keptFor returns how long a connection may be kept by what its peer stated.
func keptFor(h http.Header) swclock.Millis {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(0, swclock.Millis(seconds)*swclock.Second-keepMargin)
		}
	}
	return defaultKeep
}
