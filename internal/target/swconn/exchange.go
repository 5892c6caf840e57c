package swconn

import (
	"context"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Response is an answer whose header has arrived and belongs to the request.
type Response struct {
	Status int
	Header http.Header
	// Framed reports whether the answer marks its own end, by a length or by chunked
	// encoding. An answer to a HEAD request counts as framed, because it has no body.
	// An answer that is not framed ends when its connection is closed.
	Framed bool

	pool    *Pool
	conn    *conn
	answer  *http.Response
	written *pendingWrite
	// stop detaches the connection from ctx. It returns false if ctx had ended before.
	stop func() bool
	ctx  context.Context
	// bodyComplete is set once the body was read to its end.
	bodyComplete bool
	// cut is the error of an answer that is not framed and was broken off at the end of its connection.
	cut error
}

// pendingWrite is the write of a request. err is valid once done is closed.
type pendingWrite struct {
	done chan struct{}
	err  error
}

// peerEnd is what is known of a connection that its peer has ended.
type peerEnd struct {
	// reset is set if the peer has not closed the connection but reset it, and taken if it had taken the whole request before.
	reset, taken bool
}

// peerEnd returns how the peer has ended the connection while w was written. A reset shows only once: a pending write may have
// consumed the error, and a read then sees the end of the connection.
func (c *conn) peerEnd(w *pendingWrite) peerEnd {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // ends a write that waits for room; fails only on a closed connection
	<-w.done
	unacknowledged, failed, err := c.socketState()
	return peerEnd{
		reset: failed != 0 || w.err != nil && !errors.Is(w.err, os.ErrDeadlineExceeded),
		taken: err == nil && failed == 0 && w.err == nil && unacknowledged == 0,
	}
}

// finished reports whether the whole request was written without an error.
func (w *pendingWrite) finished() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// Do sends a request once and returns when the header of its answer has arrived. It
// sends nothing if ctx has ended. Until the response is closed, the end of ctx aborts reads and writes on the
// connection. The returned error is always an *Error.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.acquire(ctx, r.Key, r.Check)
	if err != nil {
		if c != nil {
			c.discard()
		}
		return nil, &Error{Err: contextCauseOr(ctx, err)}
	}
	if cause := context.Cause(ctx); cause != nil {
		p.release(c)
		return nil, &Error{Err: cause}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // fails only on a closed connection
	if r.Key != 0 {
		c.keys = append(c.keys, r.Key)
	}
	w := c.send(r)
	answer, err := c.receive(r)
	if err != nil {
		stop()
		c.discard()
		return nil, &Error{Sent: true, Err: contextCauseOr(ctx, err)}
	}
	return &Response{
		Status: answer.StatusCode, Header: answer.Header, Framed: isFramed(answer, r.Method),
		pool: p, conn: c, answer: answer, written: w, stop: stop, ctx: ctx,
	}, nil
}

// Probe sends a request on a new connection, which it closes. It returns the header of the answer, if there is one. If
// the request has no Target, it only opens the connection.
func (p *Pool) Probe(ctx context.Context, r Request) (http.Header, error) {
	c, err := p.dial(ctx)
	if err != nil {
		return nil, contextCauseOr(ctx, err)
	}
	defer c.discard()
	if r.Target == "" {
		return nil, nil
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // fails only on a closed connection
	defer stop()
	c.send(r)
	response, err := c.receive(r)
	if err != nil {
		return nil, contextCauseOr(ctx, err)
	}
	return response.Header, nil
}

// verify returns an error unless the process that the check is for is at the end of the connection, or the peer does
// not say which one is. No check is always passed.
func (c *conn) verify(ctx context.Context, check *Check) error {
	if check == nil {
		return nil
	}
	if !c.asked {
		if err := c.ask(ctx, check); err != nil {
			return err
		}
	}
	if c.process != 0 && c.process != check.Process {
		return ErrOtherProcess
	}
	return nil
}

// ask asks the peer for its process. After an error, the connection must not be used again.
func (c *conn) ask(ctx context.Context, check *Check) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) }) // fails only on a closed connection
	defer stop()
	w := c.send(check.Ask)
	answer, err := c.receive(check.Ask)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxProcessBytes+1))
	switch {
	case err != nil:
		return errors.Wrap(err, "read process of the peer")
	case len(body) > maxProcessBytes || answer.Close || !isFramed(answer, check.Ask.Method) || !w.finished():
		return errNotReusable
	}
	c.process, c.asked = check.Decode(answer.StatusCode, body), true
	return nil
}

// contextCauseOr returns the cause of the end of ctx, or err if ctx has not ended.
func contextCauseOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// send writes a request. A request longer than maxInlineBytes is written in a
// goroutine, because the peer may answer before it has read the whole request.
func (c *conn) send(r Request) *pendingWrite {
	w := &pendingWrite{done: make(chan struct{})}
	data := r.encode()
	write := func() {
		_, w.err = c.Write(data)
		close(w.done)
	}
	if len(data) <= maxInlineBytes {
		write()
	} else {
		go write() // ends with the write, at the latest when the connection is closed
	}
	return w
}

// encode returns a request as it is sent.
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

// receive reads the header of the request's answer. It skips informational
// answers and answers to earlier requests.
func (c *conn) receive(r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	skipped := false
	for range maxAnswersRead {
		c.head.start()
		answer, err := http.ReadResponse(c.reader, request)
		c.head.limited = false
		if c.head.exceeded {
			err = ErrHead // the parser may report the line that was cut
		}
		if err == nil {
			err = CheckHead(answer)
		}
		if err != nil && skipped {
			return nil, errors.Wrap(ErrWrongRequest, err.Error())
		}
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if r.AcceptsHeader == nil || r.AcceptsHeader(answer.Header) {
			return answer, nil
		}
		skipped = true
		if !isFramed(answer, r.Method) {
			break
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxWrongAnswerBytes)); err != nil || n == maxWrongAnswerBytes {
			break
		}
	}
	return nil, ErrWrongRequest
}

// statusLine matches the begin of an answer, without its line break.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

// CheckHead returns ErrStatus if an answer has a status that none to our requests has. It returns ErrCutHead if another answer begins
// within the reason phrase or a field of the header, because the peer broke off there. The header may then have fields of both answers.
func CheckHead(answer *http.Response) error {
	if answer.StatusCode < http.StatusContinue || answer.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrStatus, "%q", answer.Status)
	}
	if statusLine.MatchString(answer.Status) {
		return ErrCutHead
	}
	for _, values := range answer.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return ErrCutHead
		}
	}
	return nil
}

// isFramed reports whether an answer to a request with the method marks its own end.
func isFramed(answer *http.Response, method string) bool {
	return answer.ContentLength >= 0 || slices.Contains(answer.TransferEncoding, "chunked") || method == http.MethodHead
}

// Read reads the body. It returns io.EOF at the answer's marked end, or at the
// end of the connection if the answer is not framed and the peer has not broken off.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.answer.Body.Read(b)
	if err == io.EOF && !r.Framed && !r.bodyComplete && r.cut == nil {
		r.cut = r.checkEnd()
	}
	if err == io.EOF && r.cut != nil {
		err = r.cut
	}
	switch {
	case err == io.EOF:
		r.bodyComplete = true
	case err != nil:
		err = contextCauseOr(r.ctx, err)
	}
	return n, err
}

// checkEnd returns an error if the end of the connection is not that of the answer.
func (r *Response) checkEnd() error {
	end := r.conn.peerEnd(r.written)
	switch {
	case end.reset:
		return ErrReset
	case !end.taken && r.Status < http.StatusBadRequest: // an error may be sent without a look at the request
		return ErrCutRequest
	default:
		return nil
	}
}

// Close ends the exchange. It returns the connection to the pool if the request was
// written and the answer read in full, and nothing forbids reuse. Otherwise it closes
// the connection, so that the peer stops work on an unfinished request.
func (r *Response) Close() {
	notCancelled := r.stop()
	c := r.conn
	reusable := notCancelled && r.bodyComplete && r.Framed && !r.answer.Close && r.written.finished() && c.reader.Buffered() == 0 &&
		len(c.keys) < maxKeys
	if !reusable {
		c.discard()
		return
	}
	c.maxIdleTime = min(maxIdleTimeOf(r.Header), r.pool.config.MaxIdleTime)
	r.pool.release(c)
}

// maxIdleTimeOf returns how long a connection may stay idle according to its peer's
// Keep-Alive header.
func maxIdleTimeOf(h http.Header) swclock.Millis {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(0, swclock.Millis(seconds)*swclock.Second-idleMargin)
		}
	}
	return defaultMaxIdleTime
}
