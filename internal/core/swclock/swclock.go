// Package swclock is the system's only source of time: monotonic milliseconds.
//
// Instants are comparable within one process only. Between hosts a deadline
// travels as the time that remains.
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

// Duration converts a span to the standard library's type.
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
	// start is read with its monotonic part and never changes.
	start time.Time
}

// NewSystem returns a clock that starts at zero now.
func NewSystem() *System { return &System{start: time.Now()} }

// Now implements Clock.
func (s *System) Now() Millis { return FromDuration(time.Since(s.start)) }

// Manual is a clock that moves only when told to; tests use it.
type Manual struct {
	now atomic.Int64
}

// Now implements Clock.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Advance moves the clock forward by a span.
func (m *Manual) Advance(span Millis) Millis { return Millis(m.now.Add(int64(span))) }

// Boot reads the time since the host started, which also counts while the host
// is suspended. It decides whether something that was learned is still to be
// believed; spans of waiting use a Clock.
type Boot interface {
	// SinceBoot returns the time since the host started.
	SinceBoot() Millis
}
