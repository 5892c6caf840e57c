package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// target is the cell's account of one target.
type target struct {
	conf Target
	// listed tells that the latest configuration holds the target.
	listed bool
	// reachable is by the owner's own observation.
	reachable bool
	runs      map[runKey]*run
	// tokens sums the tokens of runs.
	tokens swid.Tokens
}

func newTarget(conf Target) *target {
	return &target{conf: conf, reachable: true, runs: make(map[runKey]*run)}
}

// active reports whether the target takes new work.
func (t *target) active() bool {
	return t.listed && t.reachable && t.conf.State == TargetActive
}

// free returns the number of slots that are not in use.
func (t *target) free() int { return t.conf.Slots - len(t.runs) }

// fits reports whether the target has a slot and the memory for an attempt.
func (t *target) fits(tokens swid.Tokens) bool {
	if t.free() <= 0 {
		return false
	}
	return t.conf.KVTokens == 0 || len(t.runs) == 0 || t.tokens+tokens <= t.conf.KVTokens
}

func (t *target) add(k runKey, r *run) {
	t.runs[k] = r
	t.tokens += r.tokens()
}

func (t *target) remove(k runKey, r *run) {
	delete(t.runs, k)
	t.tokens -= r.tokens()
}
