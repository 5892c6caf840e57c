package swlink

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes read and written on a raw connection, and its writes.
type countingConn struct {
	net.Conn
	stats *counters
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.stats.bytesIn.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.stats.bytesOut.Add(uint64(n))
	c.stats.writes.Add(1)
	return n, err
}

// Layout of a yamux frame header, as in the yamux specification.
const (
	yamuxHeaderBytes = 12
	yamuxTypeOffset  = 1
	yamuxTypeData    = 0
)

// coalescingConn writes a yamux data header together with the body that yamux
// writes next, so that both leave in one packet and one TLS record. It needs no
// lock, because yamux writes from a single goroutine.
type coalescingConn struct {
	net.Conn
	// raw is the connection below TLS.
	raw net.Conn
	// header is the data header whose body has not been written yet, or empty.
	header []byte
}

// Write implements net.Conn.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.header) > 0 {
		joined := append(c.header, b...)
		c.header = joined[:0]
		n, err := c.Conn.Write(joined)
		return max(0, n-yamuxHeaderBytes), err
	}
	if len(b) == yamuxHeaderBytes && b[yamuxTypeOffset] == yamuxTypeData {
		c.header = append(c.header[:0], b...)
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. It closes the raw connection, because closing the
// TLS connection would first wait to write an alert to a peer that may no longer read.
func (c *coalescingConn) Close() error { return c.raw.Close() }

// counters holds the totals that a network exports as metrics.
type counters struct {
	messagesIn   atomic.Uint64
	messagesOut  atomic.Uint64
	framesIn     atomic.Uint64
	framesOut    atomic.Uint64
	bytesIn      atomic.Uint64
	bytesOut     atomic.Uint64
	writes       atomic.Uint64
	refused      atomic.Uint64
	lost         atomic.Uint64
	malformed    atomic.Uint64
	linksUp      atomic.Uint64
	linksDown    atomic.Uint64
	peerTimeouts atomic.Uint64
	dialsFailed  atomic.Uint64
	streamsIn    atomic.Uint64
	streamsOut   atomic.Uint64
}
