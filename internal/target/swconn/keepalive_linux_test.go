package swconn

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define on all architectures.
const tcpUserTimeout = 0x12

// readOption returns an option of a connection.
func readOption(t *testing.T, c *conn, level, option int) (value int) {
	t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		value, optionErr = syscall.GetsockoptInt(int(fd), level, option)
	}); err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return value
}

// TestKeepAliveCount guards against a user timeout on connections: if one is set, it decides when keep-alive
// probes give up, whatever their count.
func TestKeepAliveCount(t *testing.T) {
	pool := newPool(startPeer(t, echo))
	pool = New(Config{
		Address: pool.config.Address, Clock: pool.config.Clock, DialTimeout: pool.config.DialTimeout,
		KeepAlive: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 6 * time.Second, Count: 7},
	})
	c, err := pool.dial(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer c.discard()
	options := []struct {
		name                string
		level, option, want int
	}{
		{"keep-alive", syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1},
		{"user timeout in ms", syscall.IPPROTO_TCP, tcpUserTimeout, 0},
		{"idle time in s", syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE, 5},
		{"interval in s", syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL, 6},
		{"count", syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT, 7},
	}
	for _, o := range options {
		if got := readOption(t, c, o.level, o.option); got != o.want {
			t.Errorf("%s: %d, want %d", o.name, got, o.want)
		}
	}
}

// TestNoKeepAlive guards against connections that end because their peer is silent, unless that is wanted.
func TestNoKeepAlive(t *testing.T) {
	c, err := newPool(startPeer(t, echo)).dial(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer c.discard()
	if got := readOption(t, c, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE); got != 0 {
		t.Error("keep-alive is on")
	}
	if got := readOption(t, c, syscall.IPPROTO_TCP, tcpUserTimeout); got != 0 {
		t.Errorf("user timeout of %d ms", got)
	}
}
