package swlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// waitTimeout bounds every wait for a condition.
const waitTimeout = 20 * time.Second

// lossyConn can discard the data of either direction without an error. While it
// discards what it reads, it also hides the other side's close. It can also hold back what it reads.
type lossyConn struct {
	net.Conn
	dropIn, dropOut atomic.Bool
	// held, if not nil, is closed when the connection no longer holds back what it reads.
	held   atomic.Pointer[chan struct{}]
	closed chan struct{}
	once   sync.Once
}

func (c *lossyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if c.dropOut.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *lossyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if held := c.held.Load(); held != nil {
			select {
			case <-*held:
			case <-c.closed:
			}
		}
		if err != nil && c.dropIn.Load() {
			<-c.closed
		}
		if err != nil || !c.dropIn.Load() {
			return n, err
		}
	}
}

// node is a network whose handler records what it receives.
type node struct {
	*Network
	t    testing.TB
	id   Peer
	stop func()

	mu        sync.Mutex
	grants    []swid.Seq
	linkDowns []Peer
	conns     []*lossyConn
	// block delays Receive while a test holds it.
	block sync.Mutex
}

// directory maps the hosts of a test to their addresses.
type directory struct{ addresses sync.Map }

func (d *directory) resolve(h swid.HostID) (string, bool) {
	a, ok := d.addresses.Load(h)
	if !ok {
		return "", false
	}
	return a.(string), true
}

func (n *node) Receive(_ Peer, m swmsg.Message) {
	n.block.Lock()
	defer n.block.Unlock()
	if r, ok := m.(swmsg.Grant); ok {
		n.mu.Lock()
		n.grants = append(n.grants, r.Seq)
		n.mu.Unlock()
	}
}

func (n *node) LinkUp(Peer) {}

func (n *node) LinkDown(p Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkDowns = append(n.linkDowns, p)
}

func (n *node) receivedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.grants)
}

func (n *node) lostPeers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Peer(nil), n.linkDowns...)
}

// dropTraffic discards the data of the connections that are open now, but not of later ones.
func (n *node) dropTraffic(in, out bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.dropIn.Store(in)
		c.dropOut.Store(out)
	}
}

// holdTraffic holds back what arrives on the connections that are open now until release is called.
func (n *node) holdTraffic() (release func()) {
	held := make(chan struct{})
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.held.Store(&held)
	}
	return func() { close(held) }
}

// openConns returns the number of connections that are open.
func (n *node) openConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := 0
	for _, c := range n.conns {
		select {
		case <-c.closed:
		default:
			open++
		}
	}
	return open
}

// linkCount returns the number of links that are up.
func (n *node) linkCount() int { return len(n.links()) }

func (n *node) send(to *node, seq int) bool {
	return n.Send(to.id.Host, swmsg.Grant{Cell: "chat@lis", Target: "e1", Seq: swid.Seq(seq)})
}

// start runs a node until the test ends or calls stop.
func start(t testing.TB, d *directory, host swid.HostID, cfg Config, options ...Option) *node {
	t.Helper()
	return startWithClock(t, d, host, swclock.NewSystem(), cfg, options...)
}

// startWithClock is start with a clock of the test.
func startWithClock(t testing.TB, d *directory, host swid.HostID, clock swclock.Clock, cfg Config, options ...Option) *node {
	t.Helper()
	n := &node{t: t, id: Peer{Host: host, Incarnation: 1}}
	if cfg.Self.Incarnation > 0 {
		n.id.Incarnation = cfg.Self.Incarnation
	}
	cfg.Self = n.id
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	wrap := WithConnWrapper(func(c net.Conn) net.Conn {
		l := &lossyConn{Conn: c, closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, l)
		return l
	})
	options = append([]Option{WithoutTLS(), wrap}, options...)
	n.Network = New(cfg, clock, d.resolve, n, options...)
	if err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	d.addresses.Store(host, n.Address())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	n.stop = func() { cancel(); <-done }
	t.Cleanup(n.stop)
	return n
}

// eventually waits until a condition holds, and fails the test after waitTimeout.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}
