// Package swcallerconn handles the connections of callers. It reads the bodies of requests within bounds, refuses requests
// whose bodies are still arriving so that the caller can read the refusal, and records how connections end.
package swcallerconn

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
)

// EndKind says how a connection ended, as far as this host noticed.
type EndKind uint8

// Ways in which connections end.
const (
	// EndNone means that no end was noticed.
	EndNone EndKind = iota
	// EndOfInput means that the caller sends nothing more. It may still read: only a write can tell.
	EndOfInput
	// EndReset means that the connection was reset.
	EndReset
	// EndReadFailed means that a read failed for another reason.
	EndReadFailed
	// EndWriteFailed means that a write failed, or was not taken in time.
	EndWriteFailed
)

var endNames = [...]string{
	EndNone: "none", EndOfInput: "endOfInput", EndReset: "reset", EndReadFailed: "readFailed", EndWriteFailed: "writeFailed",
}

// String returns the kind's name in logs.
func (k EndKind) String() string { return endNames[k] }

// End is the first sign of a connection's end.
type End struct {
	Kind EndKind
	// Err is nil for EndNone.
	Err error
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	idleTimeout func() swclock.Millis
	log         zerolog.Logger
}

// Observe returns a listener whose connections record how they end. The first write of a connection that fails is
// logged with the latest request there. The connections' server needs ConnContext.
func Observe(l net.Listener, log zerolog.Logger) net.Listener {
	return ObserveIdle(l, nil, log)
}

// ObserveIdle is Observe for a server with ConnState, whose connections may be idle for the server's own time, or the one that
// idleTimeout returns, whichever is longer. idleTimeout is called when a connection becomes idle, and again once that time has passed.
func ObserveIdle(l net.Listener, idleTimeout func() swclock.Millis, log zerolog.Logger) net.Listener {
	return &listener{Listener: l, idleTimeout: idleTimeout, log: log}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, idleTimeout: l.idleTimeout, log: l.log}, nil
}

// conn is a connection that records how it ends.
type conn struct {
	net.Conn
	// idleTimeout may be nil.
	idleTimeout func() swclock.Millis
	log         zerolog.Logger
	// becameIdle is true from when the connection became idle until its next read deadline is set, which is that of
	// the idle time.
	becameIdle atomic.Bool
	// idleSince is nil unless the connection is idle.
	idleSince atomic.Pointer[time.Time]
	// request is the ID of the latest request, for the log; nil if there was none.
	request     atomic.Pointer[swid.RequestID]
	end         atomic.Pointer[End]
	writeFailed atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.staysIdle() {
		n, err = c.Conn.Read(p)
	}
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		// The server's own doing.
	case err == io.EOF:
		c.recordEnd(EndOfInput, err)
	case errors.Is(err, syscall.ECONNRESET):
		c.recordEnd(EndReset, err)
	default:
		c.recordEnd(EndReadFailed, err)
	}
	return n, err
}

// staysIdle sets a later deadline if the connection is idle and may be so for longer by now.
func (c *conn) staysIdle() bool {
	since := c.idleSince.Load()
	if since == nil {
		return false
	}
	until := since.Add(c.idleTimeout().Duration())
	return until.After(time.Now()) && c.Conn.SetReadDeadline(until) == nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.idleSince.Store(nil)
	if c.becameIdle.Swap(false) && c.idleTimeout != nil {
		now := time.Now()
		c.idleSince.Store(&now)
		if longer := now.Add(c.idleTimeout().Duration()); longer.After(t) {
			t = longer
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil || errors.Is(err, net.ErrClosed) {
		return n, err
	}
	c.recordEnd(EndWriteFailed, err)
	if !c.writeFailed.Swap(true) {
		e := c.log.Info()
		if id := c.request.Load(); id != nil {
			e = e.Str("requestId", string(*id))
		}
		e.Int("bytes", len(p)).Int("writtenBytes", n).Str("connectionEnd", c.end.Load().Kind.String()).Err(err).Msg("write to a caller failed")
	}
	return n, err
}

// halfCloser is a connection whose sending side can be closed by itself.
type halfCloser interface{ CloseWrite() error }

// CloseWrite implements halfCloser. It does nothing if the connection underneath cannot do it.
func (c *conn) CloseWrite() error {
	if h, ok := c.Conn.(halfCloser); ok {
		return h.CloseWrite()
	}
	return nil
}

func (c *conn) recordEnd(kind EndKind, err error) { c.end.CompareAndSwap(nil, &End{kind, err}) }

type connKey struct{}

// ConnContext is the ConnContext of a server whose listener is one of Observe.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if observed, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, observed)
	}
	return ctx
}

// ConnState is the ConnState of a server whose listener is one of ObserveIdle, and whose IdleTimeout is set.
func ConnState(c net.Conn, state http.ConnState) {
	if observed, ok := c.(*conn); ok && state == http.StateIdle {
		observed.becameIdle.Store(true)
	}
}

// SetRequest names the request that the connection of ctx serves from now on.
func SetRequest(ctx context.Context, id swid.RequestID) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.request.Store(&id)
	}
}

// EndOf returns how the connection of ctx has ended so far.
func EndOf(ctx context.Context) End {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		if end := c.end.Load(); end != nil {
			return *end
		}
	}
	return End{}
}

// LogAbort logs that the connection of ctx is aborted: its request ended without an answer that the caller could read, or
// within one that has begun.
func LogAbort(ctx context.Context, log *zerolog.Logger, id swid.RequestID, begun bool, end swlife.End) {
	connection := EndOf(ctx)
	log.Info().
		Str("requestId", string(id)).Bool("begun", begun).Str("outcome", end.Outcome.String()).Str("cause", end.Cause.String()).
		Str("connectionEnd", connection.Kind.String()).AnErr("error", connection.Err).
		Msg("connection of a caller aborted")
}
