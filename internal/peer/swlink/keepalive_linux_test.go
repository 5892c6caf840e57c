package swlink

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define on all architectures.
const tcpUserTimeout = 0x12

// TestKeepAliveCount guards against a user timeout on links: if one is set, it decides when keep-alive probes give up,
// whatever their count.
func TestKeepAliveCount(t *testing.T) {
	transport := tcp{net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	listener, err := transport.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := transport.Dial(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	for _, c := range []struct {
		name string
		conn net.Conn
	}{{"dialed", dialed}, {"accepted", accepted}} {
		raw, err := c.conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var timeout, count int
		if err := raw.Control(func(fd uintptr) {
			timeout, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) // -1 if it fails
			count, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
		}); err != nil {
			t.Fatal(err)
		}
		if timeout != 0 || count != 2 {
			t.Errorf("%s: user timeout %d ms, %d probes, want none and 2", c.name, timeout, count)
		}
	}
}
