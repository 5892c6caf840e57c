// Package swclock provides the system's only source of time, in monotonic
// milliseconds.
//
// Instants are comparable only within one process. A deadline is sent to another
// host as the time that remains.
package swclock

import (
	"sync/atomic"
	"time"
)

// Millis is an instant since the clock's start, or a span, in milliseconds.
type Millis int64

// Common spans.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a span to a standard duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a standard duration to whole milliseconds, rounding down.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock reads monotonic time.
type Clock interface {
	// Now returns the time since the clock's start.
	Now() Millis
}

// System is the process's monotonic clock.
type System struct {
	// start includes a monotonic clock reading and never changes.
	start time.Time
}

// NewSystem returns a clock that starts at zero now.
func NewSystem() *System { return &System{start: time.Now()} }

// Now implements Clock.
func (s *System) Now() Millis { return FromDuration(time.Since(s.start)) }

// Manual is a clock for tests, which advances only by calls of Advance.
type Manual struct {
	now atomic.Int64
}

// Now implements Clock.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance moves the clock forward by a span and returns the new time.
func (m *Manual) Advance(span Millis) Millis { return Millis(m.now.Add(int64(span))) }

// Boot reads the time since the host started, including the time during which the
// host was suspended. It is for the age of received data, to decide whether they
// are still valid; timeouts and waits use a Clock.
type Boot interface {
	// SinceBoot returns the time since the host started.
	SinceBoot() Millis
}
