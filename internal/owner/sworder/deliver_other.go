//go:build !linux

package sworder

import (
	"syscall"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// userTimeoutControl returns nil, because TCP_USER_TIMEOUT is set only on Linux.
func userTimeoutControl(swclock.Millis) func(network, address string, c syscall.RawConn) error {
	return nil
}
