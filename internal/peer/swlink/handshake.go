package swlink

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// Causes of a failed handshake.
var (
	errNoAddress   = errors.New("host has no known address")
	errDialRefused = errors.New("peer refused the dial: its own dial takes precedence or it has a newer link")
	errNoHello     = errors.New("first frame does not hold exactly one Hello")
	errWrongHost   = errors.New("another host answers at this address")
	errRefused     = errors.New("connection is superseded or not allowed")
)

// connect dials a host and runs the link until it ends.
func (n *Network) connect(ctx context.Context, r *remote) {
	dialCtx, cancel := context.WithTimeout(ctx, r.handshakeTimeout().Duration())
	defer cancel()
	superseded, ok := r.setDialCancel(cancel)
	if !ok {
		return
	}
	l, err := n.dial(dialCtx, r)
	if errors.Is(err, errDialRefused) {
		// The queued messages are kept for the link that the peer's own dial may open, until the dial timeout.
		timer := time.NewTimer(n.config.DialTimeout.Duration())
		select {
		case <-superseded:
		case <-timer.C:
		case <-dialCtx.Done():
		}
		timer.Stop()
	}
	if err != nil {
		r.dialFailed(superseded, err)
		return
	}
	n.run(ctx, l)
}

// dial opens a connection to a host and exchanges Hello.
func (n *Network) dial(ctx context.Context, r *remote) (*link, error) {
	address, ok := n.resolver(r.host)
	if !ok {
		return nil, errNoAddress
	}
	if !n.security.configured {
		return nil, ErrNoTLS
	}
	connectCtx, cancel := context.WithTimeout(ctx, n.config.DialTimeout.Duration())
	raw, err := n.transport.Dial(connectCtx, address)
	cancel()
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	session, err := yamux.Client(n.prepare(raw, n.security.wrapClient), n.sessionConfig())
	if err != nil {
		return nil, errors.Wrap(err, "open session")
	}
	stop := context.AfterFunc(ctx, func() { session.Close() })
	l, err := n.initiateHandshake(session, r)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		session.Close()
		return nil, err
	}
	return l, nil
}

// initiateHandshake opens the stream, sends Hello and waits for the Hello of the
// peer, which must be the dialled host.
func (n *Network) initiateHandshake(session *yamux.Session, r *remote) (*link, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	number, ok := r.setHandshaking()
	if !ok {
		return nil, errRefused
	}
	if err := n.writeHello(stream, number, false); err != nil {
		return nil, err
	}
	l := n.newLink(session, stream)
	hello, err := l.readHello()
	if err != nil {
		return nil, err
	}
	if hello.Host != r.host {
		return nil, errors.Wrap(errWrongHost, string(hello.Host))
	}
	if hello.Refused {
		return nil, errDialRefused
	}
	l.remote, l.dialled = r, true
	l.id, l.helloNumber, l.carries = Peer{Host: hello.Host, Incarnation: hello.Incarnation}, hello.Number, hello.Carries
	return l, nil
}

// serve accepts a connection that another host dialled and runs the link until it ends.
func (n *Network) serve(ctx context.Context, raw net.Conn) {
	session, err := yamux.Server(n.prepare(raw, n.security.wrapServer), n.sessionConfig())
	if err != nil {
		raw.Close()
		return
	}
	handshakeCtx, cancel := context.WithTimeout(ctx, n.config.HandshakeTimeout.Duration())
	stop := context.AfterFunc(handshakeCtx, func() { session.Close() })
	l, err := n.acceptHandshake(handshakeCtx, session)
	stopped := stop()
	cancel()
	if l != nil && (err != nil || !stopped) {
		l.remote.inboundFailed()
	}
	if err != nil || !stopped {
		n.logger.Debug().Err(err).Msg("peer connection rejected")
		session.Close()
		return
	}
	n.run(ctx, l)
}

// acceptHandshake waits for the peer's Hello and answers it. If the connection
// was admitted, it returns the link even with an error, so that the caller can
// call inboundFailed.
func (n *Network) acceptHandshake(ctx context.Context, session *yamux.Session) (*link, error) {
	stream, err := session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept stream")
	}
	l := n.newLink(session, stream)
	hello, err := l.readHello()
	if err != nil {
		return nil, err
	}
	l.id, l.helloNumber, l.carries = Peer{Host: hello.Host, Incarnation: hello.Incarnation}, hello.Number, hello.Carries
	l.remote = n.remote(hello.Host)
	if l.remote == nil {
		return nil, errRefused
	}
	if !l.remote.admit(l.id, l.helloNumber) {
		if err := n.writeHello(stream, n.helloCount.Add(1), true); err != nil {
			return nil, err
		}
		// The peer closes the connection once it has read the answer.
		_, err := io.Copy(io.Discard, stream)
		return nil, errors.Wrap(errRefused, errorText(err))
	}
	return l, n.writeHello(stream, n.helloCount.Add(1), false)
}

// errorText returns the text of an error that ended a stream; nil means that the peer closed it.
func errorText(err error) string {
	if err == nil {
		return "closed by the peer"
	}
	return err.Error()
}

// run makes l the current link of its host and carries messages until it ends.
// It first ends the link that l replaces and waits until the handler was notified
// of that. It closes l at once if another connection has superseded it.
func (n *Network) run(ctx context.Context, l *link) {
	old, ok := l.remote.setLink(l)
	if !ok {
		l.close()
		return
	}
	if old != nil {
		old.end(errReplaced, old.id == l.id)
		<-old.done
	}
	now := n.clock.Now()
	l.mu.Lock()
	l.upAt, l.heardAt = now, now
	l.mu.Unlock()
	n.logger.Info().Str("peer", string(l.id.Host)).Bool("dialled", l.dialled).
		Int64("handshakeMillis", int64(now-l.startedAt)).Msg("peer link up")
	n.handler.LinkUp(l.id)
	stop := context.AfterFunc(ctx, func() { l.fail(errStopped) })
	defer stop()
	l.run(ctx)
}

// newLink returns a link whose peer is not set yet.
func (n *Network) newLink(session *yamux.Session, stream net.Conn) *link {
	return &link{
		network: n, session: session, stream: stream, frames: newFrameReader(stream),
		flushSignal: make(chan struct{}, 1), shutdown: make(chan struct{}), lost: make(chan struct{}), done: make(chan struct{}),
		prober:    prober{interval: n.config.ProbeInterval, timeout: n.config.ProbeTimeout},
		startedAt: n.clock.Now(), lastMessageAt: n.clock.Now(),
	}
}

// readHello reads the first frame, which must hold exactly one Hello.
func (l *link) readHello() (swmsg.Hello, error) {
	b, err := l.frames.read()
	if err != nil {
		return swmsg.Hello{}, errors.Wrap(err, "read hello")
	}
	if len(b.Messages) != 1 {
		return swmsg.Hello{}, errNoHello
	}
	hello, ok := b.Messages[0].(swmsg.Hello)
	if !ok {
		return swmsg.Hello{}, errNoHello
	}
	return hello, nil
}

// writeHello sends this host's Hello.
func (n *Network) writeHello(stream net.Conn, number uint64, refused bool) error {
	hello := swmsg.Hello{
		Host: n.config.Self.Host, Incarnation: n.config.Self.Incarnation, Refused: refused, Number: number, Carries: n.config.ServeStream != nil,
	}
	payload, err := swcodec.Append(nil, swcodec.Batch{Messages: []swmsg.Message{hello}})
	if err != nil {
		return err
	}
	_, err = stream.Write(appendFrame(nil, payload))
	return errors.Wrap(err, "write hello")
}

// prepare wraps a raw connection to count its bytes below TLS and to coalesce
// yamux's writes above TLS.
func (n *Network) prepare(raw net.Conn, secure func(net.Conn) net.Conn) net.Conn {
	counted := &countingConn{Conn: n.wrap(raw), stats: &n.stats}
	return &coalescingConn{Conn: secure(counted), raw: counted}
}

// sessionConfig returns yamux's configuration. Its keep-alive is off, because the link sends its own probes in the stream.
func (n *Network) sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.AcceptBacklog = streamBacklog
	c.ConnectionWriteTimeout = n.config.StreamTimeout.Duration() // also of the pings of outlasting streams
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = time.Duration(max(n.config.ProbeTimeout, swclock.Second)) * time.Millisecond
	c.LogOutput = io.Discard
	return c
}
