package swconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// isHealthy reports whether an idle connection is open and has nothing to read:
// neither the end of the connection nor bytes that belong to no request.
func (c *conn) isHealthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && peekErr == unix.EAGAIN
}
