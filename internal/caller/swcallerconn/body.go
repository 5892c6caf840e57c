package swcallerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
)

const (
	// minDiscardBytes is the least bound of what is read and discarded of a refused body.
	minDiscardBytes = 4 << 20
	// lingerTimeout bounds the pauses of a caller whose connection was closed for sending and is read on.
	lingerTimeout = 2 * swclock.Second
	// leavingTimeout bounds the time for which a refused body is read while the host shuts down.
	leavingTimeout = swclock.Second
	// leavingInterval is the time between two looks whether the host shuts down.
	leavingInterval = 250 * swclock.Millis(1)
)

// Bounds limits the bodies of callers' requests.
type Bounds struct {
	// ReadTimeout bounds the time in which a body arrives, and that in which the rest of a refused one is discarded.
	ReadTimeout swclock.Millis
	// WriteTimeout bounds the write of a refusal.
	WriteTimeout swclock.Millis
	// Leaving reports whether the host is shutting down; nil if that is not known.
	Leaving func() bool
	// Draining ends when the host begins to refuse the requests whose bodies are not complete; nil if that is not known.
	Draining context.Context
}

// Body is the body of a caller's request. It counts what was received of it.
type Body struct {
	writer     http.ResponseWriter
	request    *http.Request
	controller *http.ResponseController
	bounds     Bounds
	// connection is nil if it is not one of a listener of this package.
	connection *conn
	reception  reception
	received   int64
	// started is true once a part of the body was asked for; whole once all of it was read; failed once a read has failed; gaveWay
	// if that was because the body had to give way to others.
	started, whole, failed, gaveWay bool
}

// NewBody returns the body of a request. The caller has to close it. It ends the handler with http.ErrAbortHandler if the connection
// gave way to others: nothing of the request has been passed on, and no answer can reach its caller.
func NewBody(w http.ResponseWriter, r *http.Request, bounds Bounds) *Body {
	b := &Body{
		writer: w, request: r, controller: http.NewResponseController(w), bounds: bounds, connection: connOf(r.Context()),
		whole: r.Body == nil || r.Body == http.NoBody,
	}
	if b.connection != nil {
		b.connection.awaitsHeader.Store(false)
	}
	if in := b.intake(); in != nil && !b.connection.room.SetState(in.Clock.Now(), swroom.StateServing) {
		panic(http.ErrAbortHandler)
	}
	return b
}

// Announced returns the length that the caller announced; -1 if it announced none.
func (b *Body) Announced() int64 { return b.request.ContentLength }

// Received returns how many bytes were read. Some more may have arrived.
func (b *Body) Received() int64 { return b.received }

// Refuse calls write to send a refusal with a Content-Length. If the body has not arrived whole, the refusal is sent at once,
// and the rest of the body is read and discarded: a connection that is closed while the caller still writes is reset, which
// can destroy the refusal. limit is the longest body that callers may send; 0 if there is no limit. The connection is kept if
// no read of the body failed before, and the rest arrives in time and has at most limit or minDiscardBytes bytes, whichever is more.
func (b *Body) Refuse(log *zerolog.Logger, id swid.RequestID, limit int64, write func()) {
	if b.whole {
		write()
		return
	}
	limit = max(limit, minDiscardBytes)
	// net/http ends the contexts of a connection's later requests after a read that failed.
	if b.failed || b.Announced()-b.received > limit {
		b.writer.Header().Set("Connection", "close")
	}
	// Without full duplex, net/http reads up to 256 KiB of the body before it sends the refusal.
	err := b.controller.EnableFullDuplex()
	if errors.Is(err, http.ErrNotSupported) {
		write() // no connection of HTTP/1
		return
	}
	if err == nil {
		err = b.controller.SetWriteDeadline(time.Now().Add(b.bounds.WriteTimeout.Duration()))
	}
	write()
	if err == nil {
		err = b.controller.Flush()
	}
	b.setState(swroom.StateRefused)
	if err == nil && b.gaveWay {
		err = swroom.ErrNoRoom
	}
	if err == nil {
		err = b.discard(limit)
	}
	if err == nil {
		return
	}
	end := EndOf(b.request.Context())
	log.Info().
		Str("requestId", string(id)).Int64("bodyBytes", b.Announced()).Int64("bodyReceivedBytes", b.received).
		Str("connectionEnd", end.Kind.String()).Err(err).
		Msg("rest of a refused body not received")
	b.closeGracefully(limit)
}

// errRestTooLarge means that the rest of a refused body is longer than what is discarded.
var errRestTooLarge = errors.New("the rest of the body is too large")

// errNotAsked means that the caller waits to be asked for the body.
var errNotAsked = errors.New("the body was not asked for")

// discard reads the rest of the body.
func (b *Body) discard(limit int64) error {
	if !b.started && strings.EqualFold(b.request.Header.Get("Expect"), "100-continue") {
		return errNotAsked
	}
	timeout, leaving := b.bounds.ReadTimeout, b.isLeaving()
	if leaving {
		timeout = min(timeout, leavingTimeout)
	}
	until := time.Now().Add(timeout.Duration())
	if err := b.controller.SetReadDeadline(until); err != nil {
		return errors.Wrap(err, "set the read deadline of the rest of the body")
	}
	if !leaving {
		stop := b.hurryWhenLeaving(until)
		defer stop()
	}
	n, err := io.CopyN(io.Discard, b.request.Body, limit+1)
	b.received += n
	switch {
	case err == io.EOF:
		b.whole = true
		return nil
	case err == nil:
		return errRestTooLarge
	default:
		return errors.Wrap(err, "discard body")
	}
}

func (b *Body) isLeaving() bool { return b.bounds.Leaving != nil && b.bounds.Leaving() }

// hurryWhenLeaving brings the read deadline forward when the host begins to shut down, which waits for requests that are
// being refused. The function that it returns ends that.
func (b *Body) hurryWhenLeaving(until time.Time) (stop func()) {
	if b.bounds.Leaving == nil {
		return func() {}
	}
	done := make(chan struct{})
	var tasks conc.WaitGroup
	tasks.Go(func() {
		ticker := time.NewTicker(leavingInterval.Duration())
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				if !b.isLeaving() {
					continue
				}
				if soon := now.Add(leavingTimeout.Duration()); soon.Before(until) {
					_ = b.controller.SetReadDeadline(soon) // fails only if the connection is closed
				}
				return
			}
		}
	})
	return func() {
		close(done)
		tasks.Wait()
	}
}

// closeGracefully closes the connection for sending, reads on for as long as the caller sends without long pauses, within
// ReadTimeout and limit, and closes it. The server does not know the connection any more then, and its shutdown does not wait.
func (b *Body) closeGracefully(limit int64) {
	c, _, err := b.controller.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // the connection must not serve another request after a part of this one
	}
	defer func() { _ = c.Close() }() // the refusal has been sent or is lost
	if h, ok := c.(halfCloser); ok {
		if err := h.CloseWrite(); err != nil {
			return // the connection is closed
		}
	}
	rest := &lingeringReader{conn: c, until: time.Now().Add(b.bounds.ReadTimeout.Duration())}
	n, _ := io.CopyN(io.Discard, rest, limit) // whatever ends it, the connection is closed
	b.received += n
}

// lingeringReader reads a connection until a pause of lingerTimeout, or the instant until.
type lingeringReader struct {
	conn  net.Conn
	until time.Time
}

// Read implements io.Reader.
func (r *lingeringReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(lingerTimeout.Duration())
	if r.until.Before(deadline) {
		deadline = r.until
	}
	if err := r.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}
