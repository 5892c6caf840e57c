// Package swconn exchanges HTTP/1.1 requests with one address over connections
// that it keeps. Unlike the transport of net/http it never sends a request
// twice, it tells whether a failed request was sent at all, and it passes over
// answers that belong to earlier requests.
package swconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Limits of a pool and of its connections.
const (
	// maxIdle bounds the kept connections that carry no request.
	maxIdle = 8
	// readBuffer is the size of a connection's read buffer, which holds a usual header whole.
	readBuffer = 4 << 10
	// inlineBytes is the size of a request up to which it is written before its
	// answer is read. It fits into an empty socket buffer.
	inlineBytes = 4 << 10
	// maxForeign bounds the answers to other requests that are passed over.
	maxForeign = 4
	// foreignBytes bounds the body of such an answer.
	foreignBytes = 1 << 20
	// keepMargin is how much earlier than its peer a kept connection is given up,
	// for the time that a request takes to arrive.
	keepMargin = 500 * swclock.Millis(1)
	// defaultKeep is how long a connection is kept whose peer states no time.
	defaultKeep = 2 * swclock.Second
)

// Errors of an exchange.
var (
	// ErrForeign means that the answers on the connection belong to other requests.
	ErrForeign = errors.New("the answer belongs to another request")
	// ErrStray means that bytes followed the end of an answer.
	ErrStray = errors.New("bytes follow the end of the answer")
)

// Error is a failed exchange.
type Error struct {
	// Sent tells that part of the request may have reached the peer.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is what is sent.
type Request struct {
	Method string
	// Target is the path and query as they are sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Answers reports whether an answer's header belongs to the request; nil accepts any.
	Answers func(http.Header) bool
}

// Config configures a Pool.
type Config struct {
	// Address is IP:port.
	Address string
	Clock   swclock.Clock
	// Dial bounds the time to connect.
	Dial swclock.Millis
	// Keep bounds the time for which a connection without a request is kept, whatever its peer states.
	Keep swclock.Millis
}

// Pool keeps connections to one address. Its methods are safe for concurrent use.
type Pool struct {
	config Config
	dialer net.Dialer

	mu sync.Mutex
	// idle has the connections without a request, the one used last at the end.
	idle   []*conn
	closed bool
}

// conn is one connection; it carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// keep is how long the peer keeps it without a request.
	keep      swclock.Millis
	idleSince swclock.Millis
}

// keepAlive finds connections that went silent: a probe after each second, and
// an end after two that stay unanswered.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// New returns a pool without connections.
func New(config Config) *Pool {
	return &Pool{config: config, dialer: net.Dialer{Timeout: config.Dial.Duration(), KeepAliveConfig: keepAlive}}
}

// Close closes the connections without a request; later ones are not kept.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// take returns a kept connection, or a new one.
func (p *Pool) take(ctx context.Context) (*conn, error) {
	for c := p.pop(); c != nil; c = p.pop() {
		if p.config.Clock.Now()-c.idleSince < c.keep && c.quiet() {
			return c, nil
		}
		c.discard()
	}
	return p.dial(ctx)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.config.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), keep: min(defaultKeep, p.config.Keep)}, nil
}

// pop takes the connection that was used last, which is the least likely to be stale.
func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// put keeps a connection whose exchange ended in order.
func (p *Pool) put(c *conn) {
	c.idleSince = p.config.Clock.Now()
	p.mu.Lock()
	var dropped *conn
	switch {
	case p.closed:
		dropped = c
	case len(p.idle) == maxIdle:
		dropped = p.idle[0]
		copy(p.idle, p.idle[1:])
		p.idle[maxIdle-1] = c
	default:
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if dropped != nil {
		dropped.discard()
	}
}

// discard closes a connection; nothing depends on how that ends.
func (c *conn) discard() { _ = c.Close() }
