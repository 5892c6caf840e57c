package swtarget

import (
	"sync"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// expiredInterval is the time after which an OutputTimer that did not end its exchange expires again.
const expiredInterval = 100 * swclock.Millis(1)

// OutputTimer calls a function after its time limit, unless it is stopped before: Request.FirstOutputTimeout without output, with a
// function that asks Request.GiveUp.
type OutputTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// StartOutputTimer returns a running timer that calls expired after limit, and again after each expiredInterval
// until that returns true. A timer with a limit of 0 or less never expires.
func StartOutputTimer(limit swclock.Millis, expired func() bool) *OutputTimer {
	t := &OutputTimer{}
	if limit <= 0 {
		return t
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(limit.Duration(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.stopped && !expired() {
			t.timer.Reset(expiredInterval.Duration())
		}
	})
	return t
}

// Stop stops the timer. The function is not called afterwards.
func (t *OutputTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}
