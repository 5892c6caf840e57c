package swconn

import (
	"syscall"

	"github.com/pkg/errors"
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

// socketState returns how many bytes that were written the peer's system has not acknowledged, and the error of the socket if the
// connection has failed and no call has returned that yet. The end of a connection acknowledges all that the peer could have read.
func (c *conn) socketState() (unacknowledged int, failed syscall.Errno, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, 0, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	var pending int
	var queueErr, optionErr error
	if err := raw.Control(func(fd uintptr) {
		unacknowledged, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		pending, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	}); err != nil {
		return 0, 0, err
	}
	if queueErr == nil {
		queueErr = optionErr
	}
	return unacknowledged, syscall.Errno(pending), queueErr
}

var errNoSocket = errors.New("the connection is no socket")
