package sworder

import (
	"syscall"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define on all architectures.
const tcpUserTimeout = 0x12

// userTimeoutControl returns a net.Dialer.Control function. It makes the kernel close a connection if
// the peer does not acknowledge sent data within the timeout, so that the kernel does not retransmit
// an order after that time.
func userTimeoutControl(timeout swclock.Millis) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		if err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout))
		}); err != nil {
			return err
		}
		return optErr
	}
}
