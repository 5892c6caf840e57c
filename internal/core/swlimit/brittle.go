package swlimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// BrittleTarget is a target that ends when it has to reject more than MaxRejections requests in a second.
type BrittleTarget struct {
	Target        swid.TargetID
	MaxRejections int
	// StatedAt is when the latest answer that said so arrived.
	StatedAt swclock.Millis
}

// Brittle has the targets whose latest answers said that they end when they have to reject too many requests for lack
// of room. It is safe for concurrent use.
type Brittle struct {
	// count is the number of targets.
	count atomic.Int64

	mu      sync.Mutex
	targets map[swid.TargetID]BrittleTarget
}

// NewBrittle returns a Brittle without targets.
func NewBrittle() *Brittle { return &Brittle{targets: make(map[swid.TargetID]BrittleTarget)} }

// Observe records what the answer to a request says that was sent and arrived at the given instants. It reports
// whether what is known of the target changed. What a target said ends with an answer to a request that was sent later
// and does not say it.
func (b *Brittle) Observe(target swid.TargetID, s Statement, sent, arrived swclock.Millis) bool {
	if !s.Heard || !s.Brittle && b.count.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.targets[target]
	switch {
	case s.Brittle && found && arrived < known.StatedAt, !s.Brittle && (!found || sent < known.StatedAt):
		return false
	case s.Brittle:
		b.targets[target] = BrittleTarget{Target: target, MaxRejections: s.MaxRejections, StatedAt: arrived}
	default:
		delete(b.targets, target)
	}
	b.count.Store(int64(len(b.targets)))
	return found != s.Brittle || known.MaxRejections != s.MaxRejections
}

// MaxRejections returns how many requests a target may have to reject in a second, and false if it does not matter.
func (b *Brittle) MaxRejections(target swid.TargetID) (int, bool) {
	if b.count.Load() == 0 {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.targets[target]
	return known.MaxRejections, found
}

// Targets returns the brittle targets, sorted by their IDs.
func (b *Brittle) Targets() []BrittleTarget {
	if b.count.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := make([]BrittleTarget, 0, len(b.targets))
	for _, t := range b.targets {
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b BrittleTarget) int { return cmp.Compare(a.Target, b.Target) })
	return targets
}

// Retain deletes the targets that are no longer listed, and have not been for a while.
func (b *Brittle) Retain(listed func(swid.TargetID) bool, now swclock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target, known := range b.targets {
		if !listed(target) && now-known.StatedAt > forgetTime {
			delete(b.targets, target)
		}
	}
	b.count.Store(int64(len(b.targets)))
}
