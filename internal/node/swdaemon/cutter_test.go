package swdaemon

import (
	"net"
	"sync"
	"sync/atomic"
)

// linkFaults stalls or closes connections. Each call of stallConns or closeConns affects
// the connections that were opened since the previous call of either.
type linkFaults struct {
	mu    sync.Mutex
	conns []*faultyConn
}

// faultyConn is a connection that can be stalled permanently: data written to it is
// then lost, and reads block until it is closed.
type faultyConn struct {
	net.Conn
	stalled atomic.Bool
	closed  chan struct{}
	once    sync.Once
}

func (c *linkFaults) wrapConn(inner net.Conn) net.Conn {
	conn := &faultyConn{Conn: inner, closed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn
}

// takeConns returns the connections that were opened since the last call.
func (c *linkFaults) takeConns() []*faultyConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.conns
	c.conns = nil
	return conns
}

func (c *linkFaults) stallConns() {
	for _, conn := range c.takeConns() {
		conn.stalled.Store(true)
	}
}

func (c *linkFaults) closeConns() {
	for _, conn := range c.takeConns() {
		_ = conn.Conn.Close() // an error means that it was already closed
	}
}

// Read implements net.Conn.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.stalled.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
