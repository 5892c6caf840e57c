package swconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether a kept connection is open and has nothing to be read:
// neither its end nor bytes that no request asked for.
func (c *conn) quiet() bool {
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
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && peeked == unix.EAGAIN
}
