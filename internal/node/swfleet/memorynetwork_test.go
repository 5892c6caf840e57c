package swfleet

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Processor time, of a whole core, that connections use.
const (
	handshakeCost = 1500 * time.Microsecond
	packetCost    = 40 * time.Microsecond
)

const networkDelay = 500 * time.Microsecond

// resendInterval is the time between two tries to deliver a packet of a connection that is cut.
const resendInterval = 100 * time.Millisecond

// processor is the part of a core that one host has. It does the host's work in order of arrival.
type processor struct {
	share float64

	mu     sync.Mutex
	freeAt time.Time
}

// use returns when work that takes the given time of a whole core is done, or when closed is closed.
func (p *processor) use(core time.Duration, closed <-chan struct{}) {
	p.mu.Lock()
	now := time.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(core) / p.share))
	wait := p.freeAt.Sub(now)
	p.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-closed:
	}
}

// freeze suspends the host's processor.
func (p *processor) freeze(span time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(span)
}

// memoryNetwork connects simulated hosts.
type memoryNetwork struct {
	mu         sync.Mutex
	listeners  map[string]*memoryListener
	handshakes atomic.Int64
	// cut, if not nil, reports whether packets between two hosts are lost.
	cut atomic.Pointer[func(from, to string) bool]
}

// isCut reports whether packets from one host to another are lost.
func (n *memoryNetwork) isCut(from, to string) bool {
	cut := n.cut.Load()
	return cut != nil && (*cut)(from, to)
}

// memoryTransport is one host's access to the network. It implements swlink.Transport.
type memoryTransport struct {
	network *memoryNetwork
	// address is the host's own.
	address   string
	processor *processor
}

type memoryListener struct {
	transport memoryTransport
	address   string
	accepted  chan *memoryConn
	closed    chan struct{}
	once      sync.Once
}

var errRefused = errors.New("connection refused")

// Listen implements swlink.Transport.
func (t memoryTransport) Listen(address string) (net.Listener, error) {
	l := &memoryListener{transport: t, address: address, accepted: make(chan *memoryConn, 4096), closed: make(chan struct{})}
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.network.listeners[address] = l
	return l, nil
}

// Dial implements swlink.Transport.
func (t memoryTransport) Dial(ctx context.Context, address string) (net.Conn, error) {
	t.processor.use(handshakeCost, ctx.Done())
	time.Sleep(2 * networkDelay)
	if t.network.isCut(t.address, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	t.network.mu.Lock()
	l := t.network.listeners[address]
	t.network.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	t.network.handshakes.Add(1)
	out, in := newMemoryPipe(), newMemoryPipe()
	server := &memoryConn{network: t.network, from: address, to: t.address, processor: l.transport.processor, in: out, out: in}
	select {
	case l.accepted <- server:
		return &memoryConn{network: t.network, from: t.address, to: address, processor: t.processor, in: in, out: out}, nil
	default:
		return nil, errRefused
	}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		l.transport.processor.use(handshakeCost, l.closed)
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.transport.network.mu.Lock()
		defer l.transport.network.mu.Unlock()
		if l.transport.network.listeners[l.address] == l {
			delete(l.transport.network.listeners, l.address)
		}
		for {
			select {
			case c := <-l.accepted:
				_ = c.Close() // never fails
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

// memoryPipe is one direction of a connection.
type memoryPipe struct {
	packets chan packet
	closed  chan struct{}
	once    sync.Once
}

type packet struct {
	data      []byte
	arrivesAt time.Time
}

func newMemoryPipe() *memoryPipe {
	return &memoryPipe{packets: make(chan packet, 1024), closed: make(chan struct{})}
}

func (p *memoryPipe) close() { p.once.Do(func() { close(p.closed) }) }

// memoryConn is one end of a connection. It implements net.Conn without deadlines.
type memoryConn struct {
	net.Conn
	network   *memoryNetwork
	from, to  string
	processor *processor
	in, out   *memoryPipe
	unread    []byte
}

// Read implements net.Conn.
func (c *memoryConn) Read(b []byte) (int, error) {
	if len(c.unread) == 0 {
		select {
		case p := <-c.in.packets:
			select {
			case <-time.After(time.Until(p.arrivesAt)):
			case <-c.in.closed:
			}
			if !c.awaitPath() {
				return 0, io.EOF
			}
			c.processor.use(packetCost, c.in.closed)
			c.unread = p.data
		case <-c.in.closed:
			return 0, io.EOF
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// awaitPath waits while packets to this end are lost: the other end sends them again, and none is left out. It returns false if the
// connection is closed first.
func (c *memoryConn) awaitPath() bool {
	for c.network.isCut(c.to, c.from) {
		select {
		case <-time.After(resendInterval):
		case <-c.in.closed:
			return false
		}
	}
	return true
}

// Write implements net.Conn.
func (c *memoryConn) Write(b []byte) (int, error) {
	c.processor.use(packetCost, c.out.closed)
	select {
	case c.out.packets <- packet{append([]byte(nil), b...), time.Now().Add(networkDelay)}:
		return len(b), nil
	case <-c.out.closed:
		return 0, io.ErrClosedPipe
	}
}

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr("peer") }
func (c *memoryConn) LocalAddr() net.Addr  { return memoryAddr("self") }
