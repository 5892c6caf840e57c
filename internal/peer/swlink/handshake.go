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
	errNoAddress = errors.New("host has no known address")
	errCrossed   = errors.New("the peer's own dial takes precedence")
	errNoHello   = errors.New("the first message is not a Hello")
	errWrongHost = errors.New("another host answers at this address")
	errRefused   = errors.New("connection refused in favour of another")
)

// connect dials a host and runs the link until its end.
func (n *Network) connect(ctx context.Context, r *remote) {
	dialling, cancel := context.WithTimeout(ctx, n.config.DialTimeout.Duration())
	defer cancel()
	if !r.connecting(cancel) {
		return
	}
	l, err := n.dial(dialling, r)
	if errors.Is(err, errCrossed) {
		// The queue stays for the link that the peer is about to open.
		select {
		case <-r.arrived:
		case <-dialling.Done():
		}
	}
	if err != nil {
		r.dialFailed(err)
		return
	}
	n.run(ctx, l)
}

// dial opens a connection and exchanges Hello.
func (n *Network) dial(ctx context.Context, r *remote) (*link, error) {
	address, ok := n.resolver(r.host)
	if !ok {
		return nil, errNoAddress
	}
	if !n.security.chosen {
		return nil, ErrNoTLS
	}
	dialer := net.Dialer{KeepAlive: noKeepAlive, KeepAliveConfig: n.config.KeepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	session, err := yamux.Client(n.prepare(raw, n.security.dialled), n.sessionConfig())
	if err != nil {
		return nil, errors.Wrap(err, "open session")
	}
	stop := context.AfterFunc(ctx, func() { session.Close() })
	l, err := n.greet(session, r)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		session.Close()
		return nil, err
	}
	return l, nil
}

// greet opens the stream, sends Hello and waits for the peer's.
func (n *Network) greet(session *yamux.Session, r *remote) (*link, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	number, ok := r.greet()
	if !ok {
		return nil, errRefused
	}
	if err := n.hello(stream, number, false); err != nil {
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
	if hello.Crossed {
		return nil, errCrossed
	}
	l.remote, l.dialled = r, true
	l.id, l.number = Peer{Host: hello.Host, Incarnation: hello.Incarnation}, hello.Number
	return l, nil
}

// serve answers a connection that another host dialled and runs the link until its end.
func (n *Network) serve(ctx context.Context, raw net.Conn) {
	session, err := yamux.Server(n.prepare(raw, n.security.accepted), n.sessionConfig())
	if err != nil {
		raw.Close()
		return
	}
	greeting, cancel := context.WithTimeout(ctx, n.config.DialTimeout.Duration())
	stop := context.AfterFunc(greeting, func() { session.Close() })
	l, err := n.welcome(greeting, session)
	stopped := stop()
	cancel()
	if l != nil && (err != nil || !stopped) {
		l.remote.unanswered()
	}
	if err != nil || !stopped {
		n.logger.Debug().Err(err).Msg("peer connection refused")
		session.Close()
		return
	}
	n.run(ctx, l)
}

// welcome waits for the peer's Hello and answers it. It returns the link, even
// with an error, if the connection was admitted.
func (n *Network) welcome(ctx context.Context, session *yamux.Session) (*link, error) {
	stream, err := session.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "accept stream")
	}
	l := n.newLink(session, stream)
	hello, err := l.readHello()
	if err != nil {
		return nil, err
	}
	l.id, l.number = Peer{Host: hello.Host, Incarnation: hello.Incarnation}, hello.Number
	l.remote = n.remote(hello.Host)
	if l.remote == nil {
		return nil, errRefused
	}
	if !l.remote.admits(l.id, l.number) {
		if err := n.hello(stream, n.hellos.Add(1), true); err != nil {
			return nil, err
		}
		// The peer closes, so that it has read the answer.
		_, err := io.Copy(io.Discard, stream)
		return nil, errors.Wrap(errRefused, errorText(err))
	}
	return l, n.hello(stream, n.hellos.Add(1), false)
}

// errorText returns the text of an error that may be nil.
func errorText(err error) string {
	if err == nil {
		return "closed by the peer"
	}
	return err.Error()
}

// run makes a link the present one, after the handler was told of the end of the one before.
func (n *Network) run(ctx context.Context, l *link) {
	old, ok := l.remote.adopt(l)
	if !ok {
		l.close()
		return
	}
	if old != nil {
		old.fail(errReplaced)
		<-old.done
	}
	n.logger.Info().Str("peer", string(l.id.Host)).Bool("dialled", l.dialled).Msg("peer link up")
	n.handler.LinkUp(l.id)
	stop := context.AfterFunc(ctx, func() { l.fail(errStopped) })
	defer stop()
	l.run()
}

// newLink returns a link without its peer.
func (n *Network) newLink(session *yamux.Session, stream net.Conn) *link {
	return &link{
		network: n, session: session, stream: stream, frames: newFrameReader(stream),
		nudge: make(chan struct{}, 1), retire: make(chan struct{}), done: make(chan struct{}),
		prober: prober{heartbeat: n.config.Heartbeat, timeout: n.config.HeartbeatTimeout},
		active: n.clock.Now(),
	}
}

// readHello reads the first frame, which holds one Hello.
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

// hello writes this host's Hello.
func (n *Network) hello(stream net.Conn, number uint64, crossed bool) error {
	hello := swmsg.Hello{Host: n.config.Self.Host, Incarnation: n.config.Self.Incarnation, Crossed: crossed, Number: number}
	payload, err := swcodec.Append(nil, swcodec.Batch{Messages: []swmsg.Message{hello}})
	if err != nil {
		return err
	}
	_, err = stream.Write(appendFrame(nil, payload))
	return errors.Wrap(err, "write hello")
}

// prepare wraps a raw connection: counted below TLS, with yamux's writes joined above it.
func (n *Network) prepare(raw net.Conn, secure func(net.Conn) net.Conn) net.Conn {
	counted := &countingConn{Conn: n.wrap(raw), stats: &n.stats}
	return &joiningConn{Conn: secure(counted), raw: counted}
}

// sessionConfig returns yamux's configuration; probes inside the stream take the place of its keep-alive.
func (n *Network) sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.AcceptBacklog = 1
	c.ConnectionWriteTimeout = (2 * n.config.HeartbeatTimeout).Duration()
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = time.Duration(max(n.config.HeartbeatTimeout, swclock.Second)) * time.Millisecond
	c.LogOutput = io.Discard
	return c
}
