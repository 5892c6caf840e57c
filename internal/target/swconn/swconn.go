// Package swconn sends HTTP/1.1 requests to one address over a pool of
// keep-alive connections. Unlike the transport of net/http, it never sends a
// request twice, reports whether a failed request may have reached the peer, and skips
// answers that belong to earlier requests.
package swconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Limits of a pool and of its connections.
const (
	// maxIdleConns bounds the idle connections of a pool.
	maxIdleConns = 8
	// readBufferBytes is the size of a connection's read buffer. A usual header fits into it.
	readBufferBytes = 4 << 10
	// maxHeadBytes and maxHeadLines bound what is read to find the end of an answer's header. A field takes much more memory
	// than the few bytes that it may have.
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
	// maxInlineBytes is the largest request that is written before its answer is
	// read. It fits into an empty socket buffer, so that the write does not block.
	maxInlineBytes = 4 << 10
	// maxAnswersRead bounds the answers that are read to find the one to a request,
	// counting informational answers and answers to other requests.
	maxAnswersRead = 4
	// maxKeys bounds the requests with a key that a connection carries.
	maxKeys = 1 << 9
	// maxProcessBytes bounds the body of an answer that tells the process of the peer.
	maxProcessBytes = 64 << 10
	// maxWrongAnswerBytes bounds the body of an answer to another request. A longer body is not
	// skipped, and the exchange fails.
	maxWrongAnswerBytes = 1 << 20
	// idleMargin is subtracted from the idle time that the peer announces, because
	// the peer may close the connection while a request is on its way.
	idleMargin = 500 * swclock.Millis(1)
	// defaultMaxIdleTime is how long a connection may stay idle if its peer announces no time.
	defaultMaxIdleTime = 2 * swclock.Second
)

// Errors of an exchange.
var (
	// ErrWrongRequest means that the answers on the connection belong to other requests.
	ErrWrongRequest = errors.New("the answer belongs to another request")
	errNotReusable  = errors.New("the connection ends with the answer that tells the process of the peer")
	// ErrStray means that bytes followed the end of an answer.
	ErrStray = errors.New("bytes follow the end of the answer")
	// ErrHead means that the header of an answer has no end within maxHeadBytes and maxHeadLines.
	ErrHead = errors.New("the header of the answer is too large")
	// ErrCutHead means that the peer broke off within the header of an answer and wrote another answer.
	ErrCutHead = errors.New("another answer begins within the header of the answer")
	// ErrStatus means that the status of an answer is not one of HTTP, or one that was not asked for.
	ErrStatus = errors.New("the answer has an invalid status")
	// ErrCutRequest means that the peer ended an answer that does not mark its end before it had taken the whole request.
	ErrCutRequest = errors.New("the connection ended before the whole request was taken")
	// ErrReset means that the peer reset the connection at the end of an answer that does not mark its end.
	ErrReset = errors.New("the connection was reset where the answer seems to end")
	// ErrOtherProcess means that another process of the peer than the expected one is at the end of the connection.
	ErrOtherProcess = errors.New("the peer has been started anew")
)

// Error is the error of a failed exchange.
type Error struct {
	// Sent reports whether part of the request may have reached the peer.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request holds a request and the check that matches answers to it.
type Request struct {
	Method string
	// Target is the path and query, which are sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AcceptsHeader reports whether an answer's header belongs to the request; nil accepts any.
	AcceptsHeader func(http.Header) bool
	// Key, if not 0, identifies the request to AcceptsHeader. A request does not use a connection that has carried another one
	// of its key, to which a second answer may still come.
	Key uint64
	// Check, if not nil, is made before the request is sent.
	Check *Check
}

// Check makes sure that a request goes to one process of the peer. A connection ends with the process that accepted
// it, so that each is asked once.
type Check struct {
	// Ask is the request that asks for the process.
	Ask Request
	// Decode returns what identifies the process according to the answer, or 0 if it does not say.
	Decode func(status int, body []byte) int64
	// Process is the process that the request is for.
	Process int64
}

// Config configures a Pool.
type Config struct {
	// Address is the peer's address, as IP:port.
	Address string
	Clock   swclock.Clock
	// DialTimeout bounds the time to connect.
	DialTimeout swclock.Millis
	// MaxIdleTime bounds the time for which a connection stays idle in the pool, whatever its peer announces.
	MaxIdleTime swclock.Millis
	// KeepAlive configures TCP keep-alive; the zero value leaves it off. It also ends connections whose peer is only silent for as long, but
	// one of a peer that has been started anew at once.
	KeepAlive net.KeepAliveConfig
}

// Pool keeps connections to one address. Its methods are safe for concurrent use.
type Pool struct {
	config Config
	dialer net.Dialer

	mu sync.Mutex
	// idle holds the connections that carry no request, the most recently used last.
	idle   []*conn
	closed bool
}

// conn is a connection of a pool with its read buffer. It carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	head   *headLimiter
	// maxIdleTime is how long the connection may stay idle.
	maxIdleTime swclock.Millis
	idleSince   swclock.Millis
	// keys has the key of each request that the connection has carried.
	keys []uint64
	// asked is set once the peer was asked for its process, and process is its answer; 0 if it did not say.
	asked   bool
	process int64
}

// noKeepAlive turns off the keep-alive that package net enables by default.
const noKeepAlive = -1

// New returns an empty pool.
func New(config Config) *Pool {
	return &Pool{config: config, dialer: net.Dialer{Timeout: config.DialTimeout.Duration(), KeepAlive: noKeepAlive, KeepAliveConfig: config.KeepAlive}}
}

// Close closes the idle connections. Connections in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// acquire returns a healthy idle connection that has not carried a request of the key, or dials a new one. It makes the check on
// it, if there is one.
func (p *Pool) acquire(ctx context.Context, key uint64, check *Check) (*conn, error) {
	for c := p.pop(key); c != nil; c = p.pop(key) {
		if p.config.Clock.Now()-c.idleSince < c.maxIdleTime && c.isHealthy() {
			err := c.verify(ctx, check)
			if err == nil || errors.Is(err, ErrOtherProcess) || ctx.Err() != nil {
				return c, err
			}
		}
		c.discard()
	}
	c, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	return c, c.verify(ctx, check)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.config.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	head := &headLimiter{reader: raw}
	return &conn{
		Conn: raw, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, maxIdleTime: min(defaultMaxIdleTime, p.config.MaxIdleTime),
	}, nil
}

// headLimiter bounds the bytes that are read while the header of an answer is expected.
type headLimiter struct {
	reader io.Reader
	// limited is set while a header is expected. left and leftLines are the bytes and lines that may be read until its end.
	limited         bool
	left, leftLines int
	// exceeded is set if the header has no end within them.
	exceeded bool
}

// start begins to limit a header.
func (l *headLimiter) start() {
	l.limited, l.left, l.leftLines, l.exceeded = true, maxHeadBytes, maxHeadLines, false
}

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(b)
	}
	if l.left == 0 || l.leftLines <= 0 {
		l.exceeded = true
		return 0, ErrHead
	}
	n, err := l.reader.Read(b[:min(len(b), l.left)])
	l.left -= n
	l.leftLines -= bytes.Count(b[:n], []byte("\n")) // those of a body too, if the header ends here
	return n, err
}

// pop removes and returns the most recently used idle connection, which is the least likely to be
// stale, of those that have not carried a request of the key. It returns nil if there is none.
func (p *Pool) pop(key uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !c.carried(key) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// carried reports whether the connection has carried a request of the key.
func (c *conn) carried(key uint64) bool { return key != 0 && slices.Contains(c.keys, key) }

// release returns a connection to the pool after a completed exchange. If the pool is full, it
// closes the least recently used idle connection.
func (p *Pool) release(c *conn) {
	c.idleSince = p.config.Clock.Now()
	p.mu.Lock()
	var evicted *conn
	switch {
	case p.closed:
		evicted = c
	case len(p.idle) == maxIdleConns:
		evicted = p.idle[0]
		copy(p.idle, p.idle[1:])
		p.idle[maxIdleConns-1] = c
	default:
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if evicted != nil {
		evicted.discard()
	}
}

// discard closes a connection. The error is ignored, because the connection is not used again.
func (c *conn) discard() { _ = c.Close() }
