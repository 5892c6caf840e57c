package swdaemon

import (
	"net"
	"sync"
	"sync/atomic"
)

// cutter disturbs the links that exist at a moment; later ones work.
type cutter struct {
	mu    sync.Mutex
	conns []*cutConn
}

// cutConn is a connection that can go silent for good: what is written to it is
// lost, and nothing more is read from it until it is closed.
type cutConn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *cutter) wrap(inner net.Conn) net.Conn {
	conn := &cutConn{Conn: inner, closed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn
}

// take returns the connections since the last call.
func (c *cutter) take() []*cutConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.conns
	c.conns = nil
	return conns
}

func (c *cutter) silence() {
	for _, conn := range c.take() {
		conn.silent.Store(true)
	}
}

func (c *cutter) close() {
	for _, conn := range c.take() {
		_ = conn.Conn.Close() // an error means that it was closed already
	}
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
