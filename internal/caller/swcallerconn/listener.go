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
	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
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

// Observation configures how connections are observed. The zero value only records how they end.
type Observation struct {
	// IdleTimeout returns how long connections may be idle, if that is longer than the server's own time; it may be nil. It is called when
	// a connection becomes idle, and again once that time has passed. The server needs ConnState.
	IdleTimeout func() swclock.Millis
	// HeaderTimeout returns how long the header of a request may take in place of the server's own time, or 0 for that; it may be nil. The
	// server needs ConnState, and its handler NewBody.
	HeaderTimeout func() swclock.Millis
	// Intake bounds the connections and the bodies on them; nil sets no bound. The server needs ConnState, and its handler NewBody.
	Intake *Intake
	Log    zerolog.Logger
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	Observation
	// loggedAt is when connections that were closed for want of room were last logged. Only Accept uses it.
	loggedAt swclock.Millis
	logged   uint64
}

// Observe returns a listener whose connections record how they end. The first write of a connection that fails is
// logged with the latest request there. The connections' server needs ConnContext.
func Observe(l net.Listener, o Observation) net.Listener {
	return &listener{Listener: l, Observation: o, loggedAt: -roomLogInterval}
}

// roomLogInterval is the least time between two lines on connections that are closed for want of room.
const roomLogInterval = swclock.Second

// headerMargin is added to Observation.HeaderTimeout for the delay of a link and one retransmission.
const headerMargin = 500 * swclock.Millis(1)

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, Observation: l.Observation}
		c.awaitsHeader.Store(true)
		if l.Intake == nil {
			return c, nil
		}
		c.header = l.Intake.Headers.Open()
		now := l.Intake.Clock.Now()
		c.room = l.Intake.Connections.Open(now, c.giveWay)
		l.logWantOfRoom(now)
		if c.room != nil {
			return c, nil
		}
		_ = accepted.Close() // nothing was read or sent
	}
}

// logWantOfRoom logs how many connections were closed for want of room since the last line.
func (l *listener) logWantOfRoom(now swclock.Millis) {
	if now-l.loggedAt < roomLogInterval {
		return
	}
	connections := l.Intake.Connections
	closed := connections.Rejected()
	for _, state := range swroom.States() {
		closed += connections.Closed(state)
	}
	if closed == l.logged {
		return
	}
	l.Log.Warn().Uint64("closed", closed-l.logged).Uint64("rejectedInAll", connections.Rejected()).Int("limit", connections.Limit()).
		Msg("connections of callers gave way")
	l.loggedAt, l.logged = now, closed
}

// conn is a connection that records how it ends.
type conn struct {
	net.Conn
	Observation
	// room is nil if there is no Intake.
	room *swroom.Connection
	// header is what the header of the present request holds.
	header *swroom.Header
	// awaitsHeader is true until the header of a request is complete, and once the connection is idle.
	awaitsHeader atomic.Bool
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
	if n > 0 && c.awaitsHeader.Load() && !c.header.Grow(p[:n]) {
		return 0, errNoRoomForHeader
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

// errNoRoomForHeader means that the headers of other requests hold all the room. The server answers errors that are not those of a connection's
// read with status 400, which is final; after this one it closes the connection, and the caller may come back.
var errNoRoomForHeader = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("there is no room for the header")}

// staysIdle sets a later deadline if the connection is idle and may be so for longer by now.
func (c *conn) staysIdle() bool {
	since := c.idleSince.Load()
	if since == nil {
		return false
	}
	until := since.Add(c.IdleTimeout().Duration())
	return until.After(time.Now()) && c.Conn.SetReadDeadline(until) == nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.idleSince.Store(nil)
	switch idle := c.becameIdle.Swap(false); {
	case idle && c.IdleTimeout != nil:
		now := time.Now()
		c.idleSince.Store(&now)
		if longer := now.Add(c.IdleTimeout().Duration()); longer.After(t) {
			t = longer
		}
	case !idle && !t.IsZero() && c.awaitsHeader.Load() && c.HeaderTimeout != nil:
		if timeout := c.HeaderTimeout(); timeout > 0 {
			t = time.Now().Add((timeout + headerMargin).Duration())
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.room.Remove()
	c.header.Close()
	return c.Conn.Close()
}

// giveWay closes the connection, which is removed from the intake already.
func (c *conn) giveWay() { _ = c.Conn.Close() }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil || errors.Is(err, net.ErrClosed) {
		return n, err
	}
	c.recordEnd(EndWriteFailed, err)
	if !c.writeFailed.Swap(true) {
		e := c.Log.Info()
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
	if observed := observedConn(c); observed != nil {
		return context.WithValue(ctx, connKey{}, observed)
	}
	return ctx
}

// observedConn returns nil if the connection is not one of Observe.
func observedConn(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	observed, _ := c.(*conn)
	return observed
}

// connOf returns the connection of ctx; nil if it is not one of Observe.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// ConnState is the ConnState of a server whose listener is one of Observe, and whose IdleTimeout is set.
func ConnState(c net.Conn, state http.ConnState) {
	observed := observedConn(c)
	if observed == nil || state != http.StateIdle {
		return
	}
	observed.header.Reset()
	observed.awaitsHeader.Store(true)
	observed.becameIdle.Store(true)
	if observed.Intake != nil {
		observed.room.SetState(observed.Intake.Clock.Now(), swroom.StateIdle)
	}
}

// SetRequest names the request that the connection of ctx serves from now on.
func SetRequest(ctx context.Context, id swid.RequestID) {
	if c := connOf(ctx); c != nil {
		c.request.Store(&id)
	}
}

// EndOf returns how the connection of ctx has ended so far.
func EndOf(ctx context.Context) End {
	if c := connOf(ctx); c != nil {
		if end := c.end.Load(); end != nil {
			return *end
		}
	}
	return End{}
}

// ResetAtEnd makes the connection of ctx end with a reset rather than an ordinary end, also if the process ends. It is for answers that
// mark their end by that of the connection, until they are complete; they must not look so before.
func ResetAtEnd(ctx context.Context, reset bool) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	socket, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	if reset {
		return socket.SetLinger(0)
	}
	return socket.SetLinger(systemLinger)
}

// systemLinger has the system send what was written after the connection is closed.
const systemLinger = -1

// LogAbort logs that the connection of ctx is aborted: its request ended without an answer that the caller could read, or
// within one that has begun.
func LogAbort(ctx context.Context, log *zerolog.Logger, id swid.RequestID, begun bool, end swlife.End) {
	connection := EndOf(ctx)
	log.Info().
		Str("requestId", string(id)).Bool("begun", begun).Str("outcome", end.Outcome.String()).Str("cause", end.Cause.String()).
		Str("connectionEnd", connection.Kind.String()).AnErr("error", connection.Err).
		Msg("connection of a caller aborted")
}
