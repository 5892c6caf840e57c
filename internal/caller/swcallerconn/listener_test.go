package swcallerconn

import (
	"net"
	"testing"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// deadlineConn records its read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (d *deadlineConn) SetReadDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// TestHeaderTimeoutHasMargin guards against headers that are cut which a caller sent in the time that is configured, and a link delayed.
func TestHeaderTimeoutHasMargin(t *testing.T) {
	const timeout, margin = 3 * swclock.Second, 500 * swclock.Millis(1)
	var d deadlineConn
	c := &conn{Conn: &d, Observation: Observation{HeaderTimeout: func() swclock.Millis { return timeout }}}
	c.awaitsHeader.Store(true)
	earliest := time.Now().Add((timeout + margin).Duration())
	if err := c.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if d.deadline.Before(earliest) {
		t.Errorf("the deadline is %v before the least one", earliest.Sub(d.deadline))
	}
}
