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

// patience bounds every wait for a condition.
const patience = 20 * time.Second

// lossyConn can go silent in either direction without an error, not even that
// of the other side's close.
type lossyConn struct {
	net.Conn
	muteIn, muteOut atomic.Bool
	closed          chan struct{}
	once            sync.Once
}

func (c *lossyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if c.muteOut.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *lossyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil && c.muteIn.Load() {
			<-c.closed
		}
		if err != nil || !c.muteIn.Load() {
			return n, err
		}
	}
}

// node is a network with a recording handler.
type node struct {
	*Network
	t    testing.TB
	id   Peer
	stop func()

	mu    sync.Mutex
	got   []swid.Seq
	downs []Peer
	conns []*lossyConn
	// block holds up Receive while it is locked.
	block sync.Mutex
}

// directory resolves the nodes of a test.
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
		n.got = append(n.got, r.Seq)
		n.mu.Unlock()
	}
}

func (n *node) LinkUp(Peer) {}

func (n *node) LinkDown(p Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.downs = append(n.downs, p)
}

func (n *node) received() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.got)
}

func (n *node) lost() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Peer(nil), n.downs...)
}

// mute silences the connections that are open now, and no later ones.
func (n *node) mute(in, out bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.muteIn.Store(in)
		c.muteOut.Store(out)
	}
}

// open is the number of links that are up.
func (n *node) open() int { return len(n.links()) }

func (n *node) send(to *node, seq int) bool {
	return n.Send(to.id.Host, swmsg.Grant{Cell: "chat@lis", Target: "e1", Seq: swid.Seq(seq)})
}

// start runs a node until the test or stop ends it.
func start(t testing.TB, d *directory, host swid.HostID, cfg Config, options ...Option) *node {
	t.Helper()
	n := &node{t: t, id: Peer{Host: host, Incarnation: 1}}
	if cfg.Self.Incarnation > 0 {
		n.id.Incarnation = cfg.Self.Incarnation
	}
	cfg.Self = n.id
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	wrap := WithConn(func(c net.Conn) net.Conn {
		l := &lossyConn{Conn: c, closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, l)
		return l
	})
	options = append([]Option{WithoutTLS(), wrap}, options...)
	n.Network = New(cfg, swclock.NewSystem(), d.resolve, n, options...)
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

// eventually waits for a condition.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never happened: %s", what)
}
