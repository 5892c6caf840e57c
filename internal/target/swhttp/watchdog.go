package swhttp

import (
	"sync"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// watchdog calls onTimeout once if no progress is recorded within a limit.
type watchdog struct {
	clock     swclock.Clock
	onTimeout func()

	mu           sync.Mutex
	timer        *time.Timer
	lastProgress swclock.Millis // time of the last progress
	limit        swclock.Millis // time allowed until the next progress
	stopped      bool
}

// startWatchdog returns a running watchdog. A limit of 0 or less never expires.
func startWatchdog(clock swclock.Clock, limit swclock.Millis, onTimeout func()) *watchdog {
	w := &watchdog{clock: clock, onTimeout: onTimeout}
	w.restart(limit)
	return w
}

// restart records progress and sets the time allowed until the next. Because
// progress is frequent, it resets the timer only for a shorter limit; otherwise
// the timer is reset when it fires.
func (w *watchdog) restart(limit swclock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	shortened := limit < w.limit
	w.lastProgress, w.limit = w.clock.Now(), limit
	switch {
	case w.stopped || limit <= 0:
	case w.timer == nil:
		w.timer = time.AfterFunc(limit.Duration(), w.onTimer)
	case shortened:
		w.timer.Reset(limit.Duration())
	}
}

// onTimer runs when the timer fires. The clock decides whether the limit has
// passed, because the timer is not reset on all progress.
func (w *watchdog) onTimer() {
	if w.expire() {
		w.onTimeout()
	}
}

// expire reports whether the limit has passed, and then stops the watchdog. Otherwise
// it resets the timer to the remaining time.
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
	remaining := w.lastProgress + w.limit - w.clock.Now()
	if remaining > 0 {
		w.timer.Reset(remaining.Duration())
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
