package sworder

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// guard opens connections that write only while the lease is held. A process
// that was paused after its other checks is so stopped by the last one.
type guard struct {
	lease    Lease
	delivery swclock.Millis
	// written tells that something may have been sent; lapsed, that a write was stopped.
	written atomic.Bool
	lapsed  atomic.Bool
}

func (g *guard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: g.delivery.Duration(), Control: dropUndelivered(g.delivery)}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: c, guard: g}, nil
}

// guardedConn is a connection under a guard.
type guardedConn struct {
	net.Conn
	guard *guard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if _, held := c.guard.lease.Held(); !held {
		c.guard.lapsed.Store(true)
		return 0, ErrNoLease
	}
	c.guard.written.Store(true)
	return c.Conn.Write(p)
}
