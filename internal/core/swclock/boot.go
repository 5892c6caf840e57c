package swclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot implements Boot.
func (s *System) SinceBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return s.Now() // a kernel without this clock does not suspend the host either
	}
	return FromDuration(time.Duration(t.Nano()))
}

// SinceBoot implements Boot.
func (m *Manual) SinceBoot() Millis { return m.Now() }
