package swconn

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define on all architectures.
const tcpUserTimeout = 0x12

// readOption returns a TCP option of a connection.
func readOption(t *testing.T, c *conn, option int) (value int) {
	t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		value, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
	}); err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return value
}

// TestKeepAliveCount guards against a user timeout on connections to targets: if one is set, it decides when keep-alive
// probes give up, whatever their count.
func TestKeepAliveCount(t *testing.T) {
	pool := newPool(startPeer(t, echo))
	c, err := pool.dial(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer c.discard()
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
		if got := readOption(t, c, o.option); got != o.want {
			t.Errorf("%s: %d, want %d", o.name, got, o.want)
		}
	}
}

// TestKeepAliveSurvivesSilence guards against the loss of connections whose peer was silent for a moment between two probes: a
// connection ends if all probes from the first to the last, (count-1) intervals apart, go unanswered.
func TestKeepAliveSurvivesSilence(t *testing.T) {
	const silence, end = 2 * time.Second, 4 * time.Second
	pool := newPool(startPeer(t, echo))
	c, err := pool.dial(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer c.discard()
	idle, interval, count := readOption(t, c, syscall.TCP_KEEPIDLE), readOption(t, c, syscall.TCP_KEEPINTVL), readOption(t, c, syscall.TCP_KEEPCNT)
	if survived := time.Duration((count-1)*interval) * time.Second; survived < silence {
		t.Errorf("a silence of more than %v ends a connection, want %v", survived, silence)
	}
	if ended := time.Duration(idle+count*interval) * time.Second; ended > end {
		t.Errorf("a dead connection ends after %v, want %v at most", ended, end)
	}
}
