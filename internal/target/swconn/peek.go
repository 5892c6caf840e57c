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

// isAcknowledged reports whether the peer's system has acknowledged everything that was written, and the connection was not reset
// since. The end of a connection acknowledges all that the peer could have read.
func (c *conn) isAcknowledged() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var queued, failed int
	var queueErr, optionErr error
	err = raw.Control(func(fd uintptr) {
		queued, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		failed, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	return err == nil && queueErr == nil && optionErr == nil && queued == 0 && failed == 0
}
