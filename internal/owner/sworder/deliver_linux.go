package sworder

import (
	"syscall"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name on all architectures.
const tcpUserTimeout = 0x12

// dropUndelivered makes the kernel close a connection whose data the other
// side did not acknowledge within a span, in place of sending it again later.
func dropUndelivered(span swclock.Millis) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		if err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(span))
		}); err != nil {
			return err
		}
		return optErr
	}
}
