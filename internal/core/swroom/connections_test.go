package swroom

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// TestNewConnectionsSpareEachOther checks that a connection that was just opened, or whose refusal was just sent, is closed after those that
// were in their states for longer.
func TestNewConnectionsSpareEachOther(t *testing.T) {
	const limit = 16
	for _, tt := range []struct {
		name string
		// former is the state of those that were open for a minute, and latest that of the last one.
		former, latest State
		// closed says whether the last one is closed for a further connection.
		closed bool
	}{
		{"new beside idle", StateIdle, StateWaiting, false},
		{"new beside waiting", StateWaiting, StateWaiting, false},
		{"new beside served", StateServing, StateWaiting, true},
		{"refused beside idle", StateIdle, StateRefused, false},
		{"refused beside waiting", StateWaiting, StateRefused, false},
		{"refused beside refused", StateRefused, StateRefused, false},
		{"refused beside stalled", StateReceiving, StateRefused, false},
		{"refused beside served", StateServing, StateRefused, true},
		{"idle beside stalled", StateReceiving, StateIdle, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := NewConnections(limit)
			for range limit - 1 {
				n := c.Open(0, func() {})
				if tt.former == StateReceiving {
					n.Receive(0, func() {})
				} else {
					n.SetState(0, tt.former)
				}
			}
			const now = swclock.Minute
			closed := false
			n := c.Open(now, func() { closed = true })
			n.SetState(now, tt.latest)
			if c.Open(now+1, func() {}) == nil {
				t.Error("the further connection was not accepted")
			}
			if closed != tt.closed {
				t.Errorf("the last one is closed: %v, want %v", closed, tt.closed)
			}
		})
	}
}

// TestServedConnectionStaysOpen checks that a connection is closed or becomes one that is served, and not both.
func TestServedConnectionStaysOpen(t *testing.T) {
	const limit, rounds = 100, 5000
	c := NewConnections(limit)
	var both, closures atomic.Int64
	var tasks sync.WaitGroup
	stop := make(chan struct{})
	open := func() (n *Connection, closed *atomic.Bool) {
		closed = new(atomic.Bool)
		return c.Open(0, func() { closed.Store(true); closures.Add(1) }), closed
	}
	for range limit {
		n, closed := open()
		tasks.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if n == nil {
					n, closed = open()
					continue
				}
				n.SetState(0, StateIdle)
				served := n.SetState(0, StateServing)
				wasClosed := closed.Load()
				if served && wasClosed {
					both.Add(1)
				}
				if !served || wasClosed {
					n, closed = open()
				}
			}
		})
	}
	for range rounds {
		n, closed := open()
		if n.SetState(0, StateServing) && closed.Load() {
			both.Add(1)
		}
		n.Remove()
	}
	close(stop)
	tasks.Wait()
	if both.Load() > 0 {
		t.Errorf("%d of %d connections were closed while they were served", both.Load(), closures.Load())
	}
}

// TestRefusedBodyLeavesNextOne checks that a connection whose body was refused when it was complete gives way for a later body.
func TestRefusedBodyLeavesNextOne(t *testing.T) {
	c := NewConnections(overdraftFraction)
	connections := make([]*Connection, overdraftFraction)
	for i := range connections {
		connections[i] = c.Open(0, func() {})
		connections[i].SetState(0, StateServing)
	}
	refused := 0
	for round := range 2 {
		connections[0].Receive(0, func() { refused++ })
		n := c.Open(swclock.Minute, func() {})
		if refused != round+1 {
			t.Errorf("body %d: refused %d times", round, refused)
		}
		connections[0].SetState(swclock.Minute, StateServing)
		n.Remove()
	}
}
