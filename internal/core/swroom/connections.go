package swroom

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// reservedFraction is the part of the descriptors that is kept for files and for links to other hosts: one in reservedFraction.
	reservedFraction = 4
	// callersFraction is the part of the others that is for callers: one in callersFraction. As many are left for connections to targets,
	// of which a request takes one.
	callersFraction = 2
	// connectionBytes is the memory that a connection takes whatever arrives on it, including FreeBytes.
	connectionBytes = 20 << 10
	// minConnections is the least limit that LimitOf returns.
	minConnections = 16
	// overdraftFraction is the part of the limit by which connections that end with a refusal may exceed it.
	overdraftFraction = 8
)

// FreeBytes is what each body may hold without a share.
const FreeBytes = 4 << 10

// LimitOf returns how many callers' connections a process may have open that has so many descriptors and so much memory, in bytes. 0
// stands for what is not known, and for a configured number that is not set.
func LimitOf(configured int, descriptors, memory int64) int {
	limit := int64(math.MaxInt32)
	if configured > 0 {
		limit = int64(configured)
	}
	if descriptors > 0 {
		limit = min(limit, (descriptors-descriptors/reservedFraction)/callersFraction)
	}
	if memory > 0 {
		limit = min(limit, memory/memoryFraction/connectionBytes)
	}
	return int(max(limit, minConnections))
}

// State says what a connection is used for.
type State uint32

// States of connections.
const (
	// StateWaiting means that the header of a request is awaited for which the connection was opened, or has begun to arrive.
	StateWaiting State = iota
	// StateIdle means that the connection is kept after a request.
	StateIdle
	// StateReceiving means that a body arrives.
	StateReceiving
	// StateServing means that a request is served.
	StateServing
	// StateRefused means that a request was refused and that the rest of its body is discarded.
	StateRefused
	stateCount
)

var stateNames = [...]string{
	StateWaiting: "waiting", StateIdle: "idle", StateReceiving: "receiving", StateServing: "serving", StateRefused: "refused",
}

// String returns the state's name in metrics.
func (s State) String() string { return stateNames[s] }

// States returns all states.
func States() []State {
	states := make([]State, stateCount)
	for i := range states {
		states[i] = State(i)
	}
	return states
}

// stateClosed is the state of a connection that gave way and is closed. No other state follows.
const stateClosed = stateCount

// settleAfter is how long a connection has to be in its state before it gives way ahead of those that were in theirs for longer.
const settleAfter = swclock.Second

// Connections bounds the open connections of callers. Its methods are safe for concurrent use.
//
// When there are too many, one gives way, see rankOf. A connection whose request is served does not. If none does, the new connection is
// not accepted.
type Connections struct {
	limit int

	mu   sync.Mutex
	open map[*Connection]struct{}
	// closed has the connections that gave way, by their state, and rejected those that were not accepted.
	closed   [stateCount]uint64
	rejected uint64
}

// NewConnections returns the connections of a process that may have so many open.
func NewConnections(limit int) *Connections {
	return &Connections{limit: limit, open: make(map[*Connection]struct{})}
}

// Connection is one connection. All methods of a nil connection do nothing.
type Connection struct {
	connections *Connections
	// close closes the connection.
	close func()
	// refuse ends the reception of the body of the request that arrives, so that it is refused; it may be nil.
	refuse atomic.Pointer[func()]
	// state is a State. It changes by compare-and-swap only, so that a connection that is closed is not served.
	state atomic.Uint32
	// since is when the state began, or when the body last grew.
	since atomic.Int64
	// ending is true once refuse was called for the body that arrives.
	ending atomic.Bool
}

// Open returns a new connection, for which another may have to give way, or nil if there is no room for it. The caller has to
// remove it. close must not block, nor call the connections.
func (c *Connections) Open(now swclock.Millis, close func()) *Connection {
	n := &Connection{connections: c, close: close}
	n.since.Store(int64(now))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.limit && !c.makeRoom(now) {
		c.rejected++
		return nil
	}
	c.open[n] = struct{}{}
	return n
}

// makeRoom makes a connection give way, and reports whether there is room for another one.
func (c *Connections) makeRoom(now swclock.Millis) bool {
	for {
		v, state := c.victim(now)
		if v == nil {
			return false
		}
		if state == StateReceiving {
			if v.end() {
				c.closed[state]++
				return true
			}
		} else if c.claim(v, state) {
			return true
		}
		// It is used for something else by now.
	}
}

// claim closes a connection that is in the state, and reports whether it still was.
func (c *Connections) claim(v *Connection, state State) bool {
	if !v.state.CompareAndSwap(uint32(state), uint32(stateClosed)) {
		return false
	}
	c.closed[state]++
	delete(c.open, v)
	v.close()
	return true
}

// end refuses the body that arrives, and reports false if it is complete.
func (v *Connection) end() bool {
	refuse := v.refuse.Load()
	if refuse == nil {
		return false
	}
	v.ending.Store(true)
	(*refuse)()
	return true
}

// rankOf returns the rank in which a connection gives way that has been in its state for so long; 0 if it does not. Those whose refusals
// callers had the time to read go first, those with refusals that were just sent last.
func rankOf(state State, age swclock.Millis) int {
	settled := age >= settleAfter
	switch {
	case state == StateRefused && settled:
		return 1
	case state == StateWaiting && settled:
		return 2
	case state == StateIdle:
		return 3
	case state == StateReceiving && age >= stallAfter:
		return 4
	case state == StateWaiting:
		return 5
	case state == StateRefused:
		return 6
	default:
		return 0
	}
}

// victim returns the connection that gives way next and its state, or nil if there is none: the oldest of those of the lowest rank.
func (c *Connections) victim(now swclock.Millis) (*Connection, State) {
	// A connection whose body is refused stays open for a while.
	mayExceed := len(c.open) < c.limit+c.limit/overdraftFraction
	var best *Connection
	var bestState State
	rank, since := 0, int64(0)
	for v := range c.open {
		state, at := State(v.state.Load()), v.since.Load()
		p := rankOf(state, now-swclock.Millis(at))
		if p == 0 || state == StateReceiving && (!mayExceed || v.ending.Load() || v.refuse.Load() == nil) {
			continue
		}
		if best == nil || p < rank || p == rank && at < since {
			best, bestState, rank, since = v, state, p, at
		}
	}
	return best, bestState
}

// SetState records what the connection is used for from now on. It reports false if the connection gave way and is closed: what
// arrived on it must not be served.
func (c *Connection) SetState(now swclock.Millis, state State) bool {
	if c == nil {
		return true
	}
	c.refuse.Store(nil)
	for {
		former := c.state.Load()
		if State(former) == stateClosed {
			return false
		}
		c.since.Store(int64(now))
		if c.state.CompareAndSwap(former, uint32(state)) {
			return true
		}
	}
}

// Receive records that a body arrives, which refuse ends. refuse must not block, nor call the connections.
func (c *Connection) Receive(now swclock.Millis, refuse func()) {
	if c == nil {
		return
	}
	c.SetState(now, StateReceiving)
	c.ending.Store(false)
	c.refuse.Store(&refuse)
}

// Grow records that the body that arrives has grown.
func (c *Connection) Grow(now swclock.Millis) {
	if c != nil {
		c.since.Store(int64(now))
	}
}

// Remove records that the connection is closed. It may be called again.
func (c *Connection) Remove() {
	if c == nil {
		return
	}
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	delete(c.connections.open, c)
}

// Limit returns how many connections may be open.
func (c *Connections) Limit() int { return c.limit }

// Count returns the number of open connections in a state.
func (c *Connections) Count(state State) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for v := range c.open {
		if State(v.state.Load()) == state {
			n++
		}
	}
	return n
}

// Closed returns the number of connections that gave way in a state.
func (c *Connections) Closed(state State) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed[state]
}

// Rejected returns the number of connections that were not accepted.
func (c *Connections) Rejected() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}
