package swwatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	// Health.retryInterval starts at firstRetry and doubles with each try up to
	// maxRetry. The first retry comes after a random part of firstRetry, each later
	// one after a random 0.5 to 1.5 times retryInterval. This is short enough to
	// notice the store's return soon, and long enough to spare its rate limits, which
	// all hosts share.
	firstRetry = 50 * swclock.Millis(1)
	maxRetry   = 500 * swclock.Millis(1)
)

// Health tracks whether one host can reach the store. While the store is
// unreachable, the followers of a host call it one at a time.
type Health struct {
	clock swclock.Clock
	log   zerolog.Logger

	mu sync.Mutex
	// unreachable means that the last call failed. unreachableSince is when the
	// first of the failed calls ended.
	unreachable      bool
	unreachableSince swclock.Millis
	retryInterval    swclock.Millis
	// nextTry is when the next call may be made while the store is unreachable.
	nextTry swclock.Millis
	// answeredAt is when the store last answered a call of any kind, of this host or of another one that told it so.
	answeredAt swclock.Millis
	// outage is the latest outage that ended.
	outage Outage
	// era is the highest one of an answer.
	era swobject.Era
	// changed is closed, and then replaced, when unreachable or era changes.
	changed chan struct{}
}

// Outage is a period in which the store was unreachable.
type Outage struct {
	// Number is the number of this outage, counted from 1.
	Number uint64
	// Failing is the time for which calls failed. Unanswered is the time since the
	// last answer before them, in which the store may have been unreachable as well.
	Failing    swclock.Millis
	Unanswered swclock.Millis
}

// NewHealth returns the health of a store that is assumed to be reachable.
func NewHealth(clock swclock.Clock, log zerolog.Logger) *Health {
	return &Health{clock: clock, log: log, retryInterval: firstRetry, answeredAt: clock.Now(), changed: make(chan struct{})}
}

// Unreachable reports whether the store is unreachable.
func (h *Health) Unreachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unreachable
}

// awaitTurn waits until the caller may call the store: at once while the store is
// reachable, and otherwise until the next try is due or another caller's try
// succeeded.
func (h *Health) awaitTurn(ctx context.Context) {
	for ctx.Err() == nil {
		wait, changed := h.takeTurn()
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

// takeTurn returns 0 if the caller may call the store now: if the store is
// reachable, or if the next try is due, which it then reserves for the caller.
// Otherwise it returns the time until the next try is due, and a channel that is
// closed when the store becomes reachable or unreachable.
func (h *Health) takeTurn() (wait swclock.Millis, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.unreachable {
		return 0, nil
	}
	now := h.clock.Now()
	if now < h.nextTry {
		return h.nextTry - now, h.changed
	}
	h.retryInterval = min(2*h.retryInterval, maxRetry)
	h.nextTry = now + h.retryInterval/2 + swclock.Millis(rand.Int64N(int64(h.retryInterval)))
	return 0, nil
}

// Era returns the highest era of an answer.
func (h *Health) Era() swobject.Era {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.era
}

// whileReachable returns a context that also ends when the store becomes unreachable, or is found to be set
// back.
func (h *Health) whileReachable(ctx context.Context) (context.Context, context.CancelFunc) {
	h.mu.Lock()
	unreachable, changed := h.unreachable, h.changed
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	if unreachable {
		return ctx, cancel // this call is the try that detects the store's return
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

// recordFailure records that a call failed.
func (h *Health) recordFailure(kind string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unreachable {
		return
	}
	h.unreachable, h.unreachableSince, h.retryInterval = true, h.clock.Now(), firstRetry
	h.nextTry = h.unreachableSince + swclock.Millis(rand.Int64N(int64(firstRetry)))
	h.signalChange()
	h.log.Warn().Str("kind", kind).Err(err).Msg("store lost")
}

// recordSuccess records that the store answered a call in an era, and returns the latest outage.
func (h *Health) recordSuccess(kind string, era swobject.Era) Outage {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if era > h.era {
		h.era = era
		h.signalChange()
	}
	if h.unreachable {
		h.unreachable = false
		h.outage = Outage{Number: h.outage.Number + 1, Failing: now - h.unreachableSince, Unanswered: now - h.answeredAt}
		h.signalChange()
		h.log.Info().Str("kind", kind).Int64("awayMillis", int64(h.outage.Failing)).
			Int64("unansweredMillis", int64(h.outage.Unanswered)).Msg("store regained")
	}
	h.answeredAt = now
	return h.outage
}

// recordAnswerToPeer records that the store answered another host some time ago.
func (h *Health) recordAnswerToPeer(age swclock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answeredAt = max(h.answeredAt, h.clock.Now()-age)
}

// signalChange wakes the goroutines that wait for changed. The caller holds h.mu.
func (h *Health) signalChange() {
	close(h.changed)
	h.changed = make(chan struct{})
}
