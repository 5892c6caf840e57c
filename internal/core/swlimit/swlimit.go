// Package swlimit keeps the requests to targets within the rates that these name in their answers.
// A target names a rate, for all hosts together, for as long as its answers say so.
package swlimit

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// MinRate is the lowest limit. A target that names a lower one still gets a request at times, as its
// answer shows when the limit ends.
const MinRate swid.RequestRate = 0.1

// Statement is what an answer of a target says of its rate limit.
type Statement struct {
	// Heard is set if there was an answer.
	Heard bool
	// PerSecond is the limit that the answer names, or 0 if it names none.
	PerSecond swid.RequestRate
}

// Limiter holds the limits that targets have named. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// limits has an entry for each target whose latest answer named a limit.
	limits map[swid.TargetID]*limit
}

type limit struct {
	perSecond swid.RequestRate
	// statedAt is when the latest answer that named the limit arrived.
	statedAt swclock.Millis
}

// New returns a limiter without limits.
func New() *Limiter { return &Limiter{limits: make(map[swid.TargetID]*limit)} }

// Observe records the statement of an answer that arrived at an instant, and reports whether the
// target's limit changed. An answer that names none ends the limit only if its request was sent
// after the latest answer that named it had arrived: answers overtake each other.
func (l *Limiter) Observe(target swid.TargetID, s Statement, sent, arrived swclock.Millis) bool {
	if !s.Heard {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[target]
	switch {
	case s.PerSecond > 0 && known == nil:
		l.limits[target] = &limit{perSecond: s.PerSecond, statedAt: arrived}
		return true
	case s.PerSecond > 0 && arrived >= known.statedAt:
		changed := known.perSecond != s.PerSecond
		known.perSecond, known.statedAt = s.PerSecond, arrived
		return changed
	case s.PerSecond == 0 && known != nil && sent >= known.statedAt:
		delete(l.limits, target)
		return true
	}
	return false
}
