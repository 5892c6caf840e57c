// Package swlimit keeps the requests to targets within the rates that these name in their answers.
// A target names a rate, for all hosts together, for as long as its answers say so.
package swlimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// MinRate is the lowest limit. A target that names a lower one still gets a request at times, as
	// its answer shows when the limit ends.
	MinRate swid.RequestRate = 0.1
	// burstSpan is the span of a limit, and minBurst the number of requests, that may be sent at once
	// after a pause: enough not to lose requests between two decisions.
	burstSpan = 100 * swclock.Millis(1)
	minBurst  = 2.0
	// forgetTime is how long the limit of a target that is no longer listed is kept, as the list may
	// lack the target for a moment.
	forgetTime = swclock.Minute
)

// Statement is what an answer of a target says of the requests that it takes.
type Statement struct {
	// Heard is set if there was an answer.
	Heard bool
	// PerSecond is the rate limit that the answer names, or 0 if it names none.
	PerSecond swid.RequestRate
	// Leaving is set if the target is leaving and takes no new requests.
	Leaving bool
	// Pause is the time for which the target takes no requests from the host that got the answer.
	Pause swclock.Millis
	// Brittle is set if the target ends when it has to reject more than MaxRejections requests in a second for lack of
	// room.
	Brittle       bool
	MaxRejections int
}

// Limit is the limit of one target.
type Limit struct {
	Target    swid.TargetID
	PerSecond swid.RequestRate
	// StatedAt is when the latest answer that named the limit arrived.
	StatedAt swclock.Millis
}

// Limiter holds the limits that targets have named, and counts the requests that one host grants
// to them. It is safe for concurrent use.
type Limiter struct {
	// count is the number of limits.
	count atomic.Int64

	mu sync.Mutex
	// limits has an entry for each target whose latest answer named a limit.
	limits map[swid.TargetID]*limit
}

// limit is a token bucket. It begins empty, because the requests before it are not known.
type limit struct {
	perSecond swid.RequestRate
	statedAt  swclock.Millis
	// tokens is the number of requests that could be sent at refilledAt.
	tokens     float64
	refilledAt swclock.Millis
}

// New returns a limiter without limits.
func New() *Limiter { return &Limiter{limits: make(map[swid.TargetID]*limit)} }

// Observe records the statement of an answer that arrived at an instant, and reports whether the
// target's limit changed. An answer that names none ends the limit only if its request was sent
// after the latest answer that named it had arrived: answers overtake each other.
func (l *Limiter) Observe(target swid.TargetID, s Statement, sent, arrived swclock.Millis) bool {
	if !s.Heard || s.PerSecond == 0 && l.count.Load() == 0 {
		return false
	}
	rate := max(s.PerSecond, MinRate)
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[target]
	switch {
	case s.PerSecond > 0 && known == nil:
		l.limits[target] = &limit{perSecond: rate, statedAt: arrived, refilledAt: arrived}
	case s.PerSecond > 0 && arrived >= known.statedAt:
		known.refill(arrived)
		changed := known.perSecond != rate
		known.perSecond, known.statedAt = rate, arrived
		return changed
	case s.PerSecond == 0 && known != nil && sent >= known.statedAt:
		delete(l.limits, target)
	default:
		return false
	}
	l.count.Store(int64(len(l.limits)))
	return true
}

// refill adds the requests that may be sent since the last refill.
func (l *limit) refill(now swclock.Millis) {
	if now <= l.refilledAt {
		return
	}
	added := float64(l.perSecond) * float64(now-l.refilledAt) / float64(swclock.Second)
	burst := max(minBurst, float64(l.perSecond)*float64(burstSpan)/float64(swclock.Second))
	l.tokens, l.refilledAt = min(l.tokens+added, burst), now
}

// Wait returns the time in ms until a target may get another request, 0 if it may now.
func (l *Limiter) Wait(target swid.TargetID, now swclock.Millis) float64 {
	if l.count.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[target]
	if known == nil {
		return 0
	}
	known.refill(now)
	return max(1-known.tokens, 0) * float64(swclock.Second) / float64(known.perSecond)
}

// Take counts a request that is granted to a target.
func (l *Limiter) Take(target swid.TargetID, now swclock.Millis) {
	if l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[target]; known != nil {
		known.refill(now)
		known.tokens--
	}
}

// PerSecond returns the limit of a target, and whether it has one.
func (l *Limiter) PerSecond(target swid.TargetID) (swid.RequestRate, bool) {
	if l.count.Load() == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[target]
	if known == nil {
		return 0, false
	}
	return known.perSecond, true
}

// Limits returns all limits, sorted by target.
func (l *Limiter) Limits() []Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := make([]Limit, 0, len(l.limits))
	for target, known := range l.limits {
		limits = append(limits, Limit{Target: target, PerSecond: known.perSecond, StatedAt: known.statedAt})
	}
	slices.SortFunc(limits, func(a, b Limit) int { return cmp.Compare(a.Target, b.Target) })
	return limits
}

// Retain drops the limits of targets that are not listed and have not named them for a while.
func (l *Limiter) Retain(listed func(swid.TargetID) bool, now swclock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for target, known := range l.limits {
		if !listed(target) && now-known.statedAt > forgetTime {
			delete(l.limits, target)
		}
	}
	l.count.Store(int64(len(l.limits)))
}
