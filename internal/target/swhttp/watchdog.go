package swhttp

import (
	"sync"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// watchdog calls a function once when no progress was reported for a while.
type watchdog struct {
	clock   swclock.Clock
	expired func()

	mu      sync.Mutex
	timer   *time.Timer
	last    swclock.Millis // time of the last progress
	limit   swclock.Millis // time allowed until the next
	stopped bool
}

// startWatchdog starts a watchdog that is running; a limit of 0 or less never expires.
func startWatchdog(clock swclock.Clock, limit swclock.Millis, expired func()) *watchdog {
	w := &watchdog{clock: clock, expired: expired}
	w.progress(limit)
	return w
}

// progress reports progress and sets the time allowed until the next. The
// timer is moved only when it fires, as progress is frequent.
func (w *watchdog) progress(limit swclock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	shorter := limit < w.limit
	w.last, w.limit = w.clock.Now(), limit
	switch {
	case w.stopped || limit <= 0:
	case w.timer == nil:
		w.timer = time.AfterFunc(limit.Duration(), w.check)
	case shorter:
		w.timer.Reset(limit.Duration())
	}
}

// check runs when the timer fires. The clock decides, and not the timer.
func (w *watchdog) check() {
	if w.expire() {
		w.expired()
	}
}

func (w *watchdog) expire() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	if w.limit <= 0 {
		w.timer = nil
		return false
	}
	left := w.last + w.limit - w.clock.Now()
	if left > 0 {
		w.timer.Reset(left.Duration())
		return false
	}
	w.stopped = true
	return true
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
