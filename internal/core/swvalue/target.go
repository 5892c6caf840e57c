package swvalue

import (
	"slices"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swcost"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// failureLimit is the number of attempts in a row without an answer from
	// which a target is tried with one request at a time.
	failureLimit = 2
	// minBackoff and maxBackoff bound the time to the next such try.
	minBackoff = 250 * swclock.Millis(1)
	maxBackoff = 2 * swclock.Second
	// unreachableTime is how long a holder that could not connect to a target is not granted it again.
	unreachableTime = 500 * swclock.Millis(1)
)

// target is the cell's account of one target.
type target struct {
	conf swcell.Target
	// listed tells that the latest configuration holds the target.
	listed bool
	// reachable is by the owner's own observation.
	reachable bool
	runs      []*run
	// tokens sums the tokens of runs.
	tokens swid.Tokens
	rates  rates
	cache  *cache
	// prefillFree is when the prompts granted so far are expected to be processed,
	// and prefillSum the time that they all take, from the target's first on.
	prefillFree float64
	prefillSum  float64
	// stall is the share of the time of streams in which prompts of others are processed.
	stall swcost.Average

	// failures counts the attempts in a row without an answer. From failureLimit
	// on the target runs one request at a time, not before retryAt.
	failures int
	retryAt  swclock.Millis
	// faults is the share of attempts that lately failed for a reason of the target's.
	faults swcost.Average
	// unreachable has the holders that could not connect, and until when each is not granted the target.
	unreachable map[swid.HostID]swclock.Millis
}

func newTarget(conf swcell.Target) *target {
	return &target{
		conf: conf, reachable: true, cache: newCache(conf.KVTokens),
		unreachable: make(map[swid.HostID]swclock.Millis),
	}
}

// prefilled returns the time that the target has spent on prompts until now.
func (t *target) prefilled(now swclock.Millis) float64 {
	return t.prefillSum - max(t.prefillFree-float64(now), 0)
}

// plain reports whether the target counts no tokens.
func (t *target) plain() bool { return t.conf.Plain }

// active reports whether the target takes new work.
func (t *target) active() bool {
	return t.listed && t.reachable && t.conf.State == swcell.TargetActive
}

// distrusted reports whether the target is only tried.
func (t *target) distrusted() bool { return t.failures >= failureLimit }

// room returns the number of requests that may be granted now.
func (t *target) room(now swclock.Millis) int {
	if !t.active() {
		return 0
	}
	if t.distrusted() {
		if len(t.runs) > 0 || now < t.retryAt {
			return 0
		}
		return 1
	}
	return t.conf.Slots - len(t.runs)
}

// fits reports whether the target has the memory for an attempt. An idle target takes any.
func (t *target) fits(n swid.Tokens) bool {
	return t.conf.KVTokens == 0 || len(t.runs) == 0 || t.tokens+n <= t.conf.KVTokens
}

// reachedBy reports whether a holder may be granted the target.
func (t *target) reachedBy(holder swid.HostID, now swclock.Millis) bool {
	return now >= t.unreachable[holder]
}

func (t *target) add(r *run) {
	r.alone = len(t.runs) == 0
	for _, other := range t.runs {
		other.alone = false
	}
	t.runs = append(t.runs, r)
	t.tokens += tokens(&r.ask)
}

func (t *target) remove(r *run, now swclock.Millis) {
	i := slices.Index(t.runs, r)
	if i < 0 {
		return
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	t.tokens -= tokens(&r.ask)
	t.skipPrefill(r, float64(now))
}

// skipPrefill moves the prompts behind one that is no longer processed forward.
func (t *target) skipPrefill(r *run, now float64) {
	if len(t.runs) == 0 {
		t.prefillFree = now
		return
	}
	saved := min(r.prefillEnd-now, r.expected.prefill)
	if saved <= 0 || r.firstAt > 0 {
		return
	}
	t.prefillFree -= saved
	t.prefillSum -= saved
	for _, o := range t.runs {
		if o.prefillEnd > r.prefillEnd {
			o.prefillEnd -= saved
		}
	}
}

// answered takes in that the target answered.
func (t *target) answered() {
	t.failures = 0
	t.faults.Add(0)
}

// failedAnswer takes in that the target answered with a failure of its own.
func (t *target) failedAnswer() {
	t.failures = 0
	t.faults.Add(1)
}

// broke takes in that an attempt got no answer.
func (t *target) broke(now swclock.Millis) {
	t.failures++
	t.faults.Add(1)
	if t.distrusted() {
		t.retryAt = now + min(maxBackoff, minBackoff<<min(t.failures-failureLimit, 6))
	}
}

func (t *target) status(now swclock.Millis) swcell.TargetStatus {
	s := swcell.TargetStatus{
		ID: t.conf.ID, State: t.conf.State, Running: len(t.runs), Slots: len(t.runs) + max(t.room(now), 0),
		PrefillTime: t.rates.prefill.Value(), DecodeTime: t.rates.decode.Value(), ServiceTime: t.rates.service.Value(),
	}
	switch {
	case !t.reachable:
		s.State = swcell.TargetDown
	case !t.listed:
		s.State = swcell.TargetDraining
	}
	if t.distrusted() {
		s.Trust = swcell.TrustProbing
	}
	return s
}

func (c *Cell[P, O]) configure(e swcell.Configure) {
	for _, t := range c.targets {
		t.listed = false
	}
	for _, conf := range e.Targets {
		c.configureTarget(conf)
	}
	c.targets = slices.DeleteFunc(c.targets, c.forget)
	c.updateTypical()
}

func (c *Cell[P, O]) configureTarget(conf swcell.Target) {
	t := c.byID[conf.ID]
	if t == nil {
		t = c.addTarget(conf)
	}
	if t.conf.Born != conf.Born {
		t.cache.clear()
		t.failures = 0
		t.rates = rates{}
	}
	t.conf = conf
	t.cache.room = conf.KVTokens
	t.listed = true
}

// addTarget adds a target that is not listed.
func (c *Cell[P, O]) addTarget(conf swcell.Target) *target {
	t := newTarget(conf)
	c.byID[conf.ID] = t
	i, _ := slices.BinarySearchFunc(c.targets, conf.ID, func(t *target, id swid.TargetID) int {
		return strings.Compare(string(t.conf.ID), string(id))
	})
	c.targets = slices.Insert(c.targets, i, t)
	return t
}

// forget drops a target that is not configured and runs nothing.
func (c *Cell[P, O]) forget(t *target) bool {
	if t.listed || len(t.runs) > 0 {
		return false
	}
	delete(c.byID, t.conf.ID)
	return true
}

func (c *Cell[P, O]) targetSeen(e swcell.TargetSeen) {
	if t := c.byID[e.Target]; t != nil {
		t.reachable = e.Reachable
	}
}

// loadReport ends runs of dead holders that the target no longer shows.
func (c *Cell[P, O]) loadReport(e swcell.LoadReport) {
	t := c.byID[e.Target]
	if t == nil {
		return
	}
	taken := c.now - e.Age
	known := 0
	for _, r := range t.runs {
		if r.granted <= taken {
			known++
		}
	}
	for _, r := range slices.Clone(t.runs) {
		if known > e.Running+e.Waiting && r.orphanedAt > 0 && r.orphanedAt <= taken {
			c.endRun(r)
			known--
		}
	}
}
