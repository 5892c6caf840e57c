package swconn

import (
	"net"
	"syscall"
	"testing"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define on all architectures.
const tcpUserTimeout = 0x12

// TestKeepAliveCount guards against a user timeout on connections to targets: if one is set, it decides when keep-alive
// probes give up, whatever their count.
func TestKeepAliveCount(t *testing.T) {
	pool := newPool(startPeer(t, echo))
	c, err := pool.dial(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer c.discard()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	options := []struct {
		name         string
		option, want int
	}{
		{"user timeout in ms", tcpUserTimeout, 0},
		{"idle time in s", syscall.TCP_KEEPIDLE, int(keepAlive.Idle.Seconds())},
		{"interval in s", syscall.TCP_KEEPINTVL, int(keepAlive.Interval.Seconds())},
		{"count", syscall.TCP_KEEPCNT, keepAlive.Count},
	}
	for _, o := range options {
		var got int
		var optionErr error
		if err := raw.Control(func(fd uintptr) {
			got, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, o.option)
		}); err != nil || optionErr != nil {
			t.Fatal(err, optionErr)
		}
		if got != o.want {
			t.Errorf("%s: %d, want %d", o.name, got, o.want)
		}
	}
}
