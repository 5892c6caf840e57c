// Package swcontention decides who schedules the requests of plain services: each host its own, which saves a message to the owner
// and back, or the owner those of all hosts, which alone sees how many run at a target. The load that it answers: together the hosts
// send more than a service's targets take at once, while each of them sees few of the requests, so that targets turn away what other
// targets, or the same one a moment later, would have had room for.
package swcontention

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// minWait is the wait for a target from which a request counts as contended.
	minWait = 20 * swclock.Millis(1)
	// contendedShare is the share of the requests that have to be contended.
	contendedShare = 0.02
	// minContended is the number of contended requests below which their share says little.
	minContended = 4
	// averageTime is the time constant of the counts.
	averageTime = 2 * swclock.Second
	// holdTime is how long the owner goes on after the latest sign of contention, so that hosts do not change to and fro in one burst.
	holdTime = 10 * swclock.Second
)

// Counts are numbers of requests of plain services.
type Counts struct {
	// Granted counts the grants of a target, and Contended those for which the request had waited and those by which it was turned away,
	// so that one grant may count twice.
	Granted, Contended uint32
}

// Meter counts what the cells of one host grant. Its methods are safe for concurrent use; those of a nil meter do nothing.
type Meter struct {
	granted, contended atomic.Uint32
	// total counts what contended has counted since the process began.
	total atomic.Uint64
	// shared reports whether the owner schedules for all hosts, and onContended is called for each contended request.
	shared      func() bool
	onContended func()
}

// NewMeter returns a meter. shared reports whether the owner schedules for all hosts, and onContended is called for each contended request.
// Neither may block.
func NewMeter(shared func() bool, onContended func()) *Meter {
	return &Meter{shared: shared, onContended: onContended}
}

// Granted counts a request that waited for so long until it was granted a target. A wait counts only at the owner of all: a host waits for
// targets that are silent or suspect too, for which the owner has no more room than the hosts together.
func (m *Meter) Granted(waited swclock.Millis) {
	if m == nil {
		return
	}
	m.granted.Add(1)
	if waited >= minWait && m.shared() {
		m.addContended()
	}
}

// TurnedAway counts a request that a target turned away for want of room.
func (m *Meter) TurnedAway() {
	if m != nil {
		m.addContended()
	}
}

func (m *Meter) addContended() {
	m.contended.Add(1)
	m.total.Add(1)
	m.onContended()
}

// Take returns the counts since the last call.
func (m *Meter) Take() Counts {
	return Counts{Granted: m.granted.Swap(0), Contended: m.contended.Swap(0)}
}

// Contended returns the number of contended grants since the meter was made.
func (m *Meter) Contended() uint64 { return m.total.Load() }

const (
	// minEarlyInterval is the least time between two early reports, and quietTime the time without one after which it is that again.
	minEarlyInterval = 100 * swclock.Millis(1)
	quietTime        = holdTime
)

// Early decides when a host reports contention before its next regular report is due. Each early report without effect doubles the time to
// the next: the owner may be of a build that does not know of contention, or be out of reach. Its methods are safe for concurrent use.
type Early struct {
	mu       sync.Mutex
	last     swclock.Millis
	interval swclock.Millis
}

// Due reports whether a report is due now, and counts it as made.
func (e *Early) Due(now swclock.Millis) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch since := now - e.last; {
	case e.interval == 0 || since >= quietTime:
		e.interval = minEarlyInterval
	case since < e.interval:
		return false
	default:
		e.interval = min(2*e.interval, quietTime)
	}
	e.last = now
	return true
}

// Register has the counts of all hosts at the owner. Its methods are safe for concurrent use.
type Register struct {
	mu sync.Mutex
	// granted and contended are decaying sums as of the instant at.
	granted, contended float64
	at                 swclock.Millis
	// until is when the owner stops to schedule for all hosts.
	until swclock.Millis
}

// Change tells that contention has begun, with the counts from which that follows.
type Change struct{ Granted, Contended float64 }

// Add adds the counts that a host reports, and reports whether contention begins with them.
func (r *Register) Add(c Counts, now swclock.Millis) (Change, bool) {
	if c == (Counts{}) {
		return Change{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	left := math.Exp(-float64(max(now-r.at, 0)) / float64(averageTime))
	r.granted, r.contended = r.granted*left+float64(c.Granted), r.contended*left+float64(c.Contended)
	r.at = max(r.at, now)
	if r.contended < minContended || r.contended < contendedShare*r.granted {
		return Change{}, false
	}
	begins := now >= r.until
	r.until = max(r.until, now+holdTime)
	return Change{Granted: r.granted, Contended: r.contended}, begins
}

// Contended reports whether the owner is to schedule the requests of all hosts.
func (r *Register) Contended(now swclock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now < r.until
}
