package swwatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// firstRetry and maxRetry bound the wait between two calls while the store is
	// out of reach: short enough to notice its return, and long enough to spare
	// its rates, which all hosts share.
	firstRetry = 50 * swclock.Millis(1)
	maxRetry   = 500 * swclock.Millis(1)
)

// Health is what one host knows of the store's reachability. While the store is
// out of reach, the followers of a host try it one at a time.
type Health struct {
	clock swclock.Clock
	log   zerolog.Logger

	mu sync.Mutex
	// lost tells that the last call failed; lostAt is when the first did.
	lost   bool
	lostAt swclock.Millis
	retry  swclock.Millis
	// nextTry is when the next call may be made while the store is lost.
	nextTry swclock.Millis
	// answeredAt is when the store last answered a call of any kind.
	answeredAt swclock.Millis
	// outage describes the latest one that ended.
	outage Outage
	// changed is closed when lost changes, and then replaced.
	changed chan struct{}
}

// Outage is a time in which the store was out of reach.
type Outage struct {
	// Number counts the outages, from 1.
	Number uint64
	// Known is the time for which calls failed. Unanswered is the time since the
	// last answer before them, in which the store may have been away as well.
	Known      swclock.Millis
	Unanswered swclock.Millis
}

// NewHealth returns the health of a store that is taken to be in reach.
func NewHealth(clock swclock.Clock, log zerolog.Logger) *Health {
	return &Health{clock: clock, log: log, retry: firstRetry, answeredAt: clock.Now(), changed: make(chan struct{})}
}

// Lost reports whether the store is out of reach.
func (h *Health) Lost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// await waits until a call may be made: at once while the store is in reach, and
// otherwise when it is this caller's turn to try or another one succeeded.
func (h *Health) await(ctx context.Context) {
	for ctx.Err() == nil {
		wait, changed := h.turn()
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(wait.Duration())
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// turn takes the turn to try if it is due, and otherwise returns the time until it is.
func (h *Health) turn() (wait swclock.Millis, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lost {
		return 0, nil
	}
	now := h.clock.Now()
	if now < h.nextTry {
		return h.nextTry - now, h.changed
	}
	h.retry = min(2*h.retry, maxRetry)
	h.nextTry = now + h.retry/2 + swclock.Millis(rand.Int64N(int64(h.retry)))
	return 0, nil
}

// whileReached returns a context that also ends when the store is lost.
func (h *Health) whileReached(ctx context.Context) (context.Context, context.CancelFunc) {
	h.mu.Lock()
	lost, changed := h.lost, h.changed
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	if lost {
		return ctx, cancel // this call finds out whether it is back
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// failed notes a call that failed.
func (h *Health) failed(kind string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		return
	}
	h.lost, h.lostAt, h.retry = true, h.clock.Now(), firstRetry
	h.nextTry = h.lostAt + swclock.Millis(rand.Int64N(int64(firstRetry)))
	h.signal()
	h.log.Warn().Str("kind", kind).Err(err).Msg("store lost")
}

// succeeded notes a call that was answered, and returns the latest outage.
func (h *Health) succeeded(kind string) Outage {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if h.lost {
		h.lost = false
		h.outage = Outage{Number: h.outage.Number + 1, Known: now - h.lostAt, Unanswered: now - h.answeredAt}
		h.signal()
		h.log.Info().Str("kind", kind).Int64("awayMillis", int64(h.outage.Known)).
			Int64("unansweredMillis", int64(h.outage.Unanswered)).Msg("store regained")
	}
	h.answeredAt = now
	return h.outage
}

// signal needs h.mu.
func (h *Health) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}
