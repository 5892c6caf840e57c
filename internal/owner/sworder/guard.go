package sworder

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// leaseGuard opens connections that check before each write that the lease is held. The check stops a
// process that was paused past the end of the term after its earlier checks.
type leaseGuard struct {
	lease    Lease
	delivery swclock.Millis
	// written reports that data may have been sent. blocked reports that a write was refused because
	// the lease was not held.
	written atomic.Bool
	blocked atomic.Bool
}

func (g *leaseGuard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: g.delivery.Duration(), Control: userTimeoutControl(g.delivery)}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: c, guard: g}, nil
}

// guardedConn is a connection that writes only while the guard's lease is held.
type guardedConn struct {
	net.Conn
	guard *leaseGuard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if _, held := c.guard.lease.Held(); !held {
		c.guard.blocked.Store(true)
		return 0, ErrNoLease
	}
	c.guard.written.Store(true)
	return c.Conn.Write(p)
}
