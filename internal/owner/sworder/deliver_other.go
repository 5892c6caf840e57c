//go:build !linux

package sworder

import (
	"syscall"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// dropUndelivered has no effect on systems without TCP_USER_TIMEOUT.
func dropUndelivered(swclock.Millis) func(network, address string, c syscall.RawConn) error {
	return nil
}
