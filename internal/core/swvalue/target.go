package swvalue

import (
	"slices"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swcost"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

const (
	// unansweredLimit is the number of consecutive attempts without an answer from which
	// a target is probed, with one request at a time.
	unansweredLimit = 2
	// minBackoff and maxBackoff bound the time until the next probe.
	minBackoff = 250 * swclock.Millis(1)
	maxBackoff = 2 * swclock.Second
)

const (
	// silentRunTime is how long after a run without an answer the end of its target may be
	// noticed: the platform drops the entry of a target after some seconds of silence.
	silentRunTime = 5 * swclock.Second
	// maxSilentRuns bounds the runs in target.silent.
	maxSilentRuns = 32
	// minRestartTime is the least time that a target is away after a crash.
	minRestartTime = swclock.Second
)

// silentRun is a run that ended without an answer.
type silentRun struct {
	*run
	ended swclock.Millis
}

// target holds the configuration, the runs and the statistics of one target.
type target struct {
	conf swcell.Target
	// limits holds the target's rate limit, if it names one.
	limits *swlimit.Limiter
	// listed is set if the latest configuration contains the target, wasListed if the one
	// before did.
	listed, wasListed bool
	// reachable is set unless the owner's host last reported the target as unreachable.
	reachable bool
	// leaving is set once an answer said that the target is leaving.
	leaving bool
	runs    []*run
	// tokens is the sum of the tokens of runs.
	tokens swid.Tokens
	rates  rates
	// joined is set if the target was listed, or listed as started anew, after the cell had targets: all are new to a new owner.
	joined bool
	// attempts counts the attempts that this cell granted it since it was started.
	attempts int
	cache    *cache
	// prefillFreeAt is when the prompts granted so far are expected to have been
	// processed. prefillSum is the expected time for the prompts of all runs so far, less
	// the time that removePrefill subtracts for runs that ended early.
	prefillFreeAt float64
	prefillSum    float64
	// warmUntil is when the target is expected to have its usual speed after its start.
	warmUntil swclock.Millis
	// changedAt is the value of Cell.changes when a slot was last freed or the target's
	// configuration or reachability last changed.
	changedAt uint64
	// stallShare is the share of the streams' time in which the target processes
	// the prompts of other requests.
	stallShare swcost.Average

	// unanswered counts the consecutive attempts without an answer. From
	// unansweredLimit on the target is granted one request at a time, the next one not before nextProbeAt.
	unanswered  int
	nextProbeAt swclock.Millis
	// faultRate is the share of recent attempts that were rejected, failed or got no answer.
	faultRate swcost.Average
	breaks    swsuspect.Breaks
	// restartedAt is when it was last noticed that the target had been started anew, and removedAt
	// when it was no longer listed although it was not draining. Such a target may still work.
	restartedAt, removedAt swclock.Millis
	// trialBrokeAt is when a crash was last recorded of a request that ran apart because of its parts,
	// and unvouchedBrokeAt of another one that nothing vouched for.
	trialBrokeAt, unvouchedBrokeAt swclock.Millis
	// runChanges counts the changes of runs.
	runChanges uint64
	unvouched  cachedUnvouched
	// doubtedAt is when there was a sign that the target had ended, or 0 if none is left.
	doubtedAt swclock.Millis
	// unlisted is set if a stream has begun at another start of the target than the listed one.
	unlisted bool
	// heardAt is when the target last answered or produced output.
	heardAt swclock.Millis
	// silent holds the latest runs that ended without an answer while the target was not known
	// to have ended, the oldest first.
	silent    []silentRun
	occupancy occupancy
	// reach is what is known of the paths from hosts to the target, and which of them the target turned away for a
	// while.
	reach reachability
}

func newTarget(conf swcell.Target, limits *swlimit.Limiter, now swclock.Millis) *target {
	return &target{
		conf: conf, limits: limits, reachable: true, cache: newCache(conf.KVTokens),
		reach: newReachability(), occupancy: occupancy{doubtedAt: max(now, 1)},
	}
}

// prefilled returns the time that the target is expected to have spent on prompts until now.
func (t *target) prefilled(now swclock.Millis) float64 {
	return t.prefillSum - max(t.prefillFreeAt-float64(now), 0)
}

// plain reports whether the target counts no tokens.
func (t *target) plain() bool { return t.conf.Plain }

// maxTries is the number of attempts that may be granted to learn the speed of a target.
const maxTries = 3

// untried reports whether nothing is known of the speed of a target that has joined lately, and it runs nothing that could show it.
func (t *target) untried() bool {
	return t.joined && len(t.runs) == 0 && t.attempts < maxTries && t.rates.decode.Samples() == 0 && t.rates.prefill.Samples() == 0 && t.rates.service.Samples() == 0 &&
		t.rates.overhead.Samples() == 0
}

// active reports whether the target takes new work.
func (t *target) active() bool {
	return t.listed && t.reachable && !t.leaving && t.conf.State == swcell.TargetActive
}

// probing reports whether the target has reached unansweredLimit, so that it runs one
// request at a time as a probe.
func (t *target) probing() bool { return t.unanswered >= unansweredLimit }

// sinceHeard returns the time since the target last answered or produced output, or -1 if it never did.
func (t *target) sinceHeard(now swclock.Millis) swclock.Millis {
	if t.heardAt == 0 {
		return -1
	}
	return now - t.heardAt
}

// freeSlots returns the number of requests that a target may be granted now, which is 1 at most if it
// has a rate limit.
func (c *Cell[P, O]) freeSlots(t *target) int {
	if !t.active() {
		return 0
	}
	free := t.unlimitedSlots(c.now)
	if free < 1 {
		return free
	}
	if n, restricted := c.acceptable(t); restricted {
		free = min(free, n)
	}
	if free < 1 || !t.limited() {
		return free
	}
	if t.limits.Wait(t.conf.ID, c.now) > 0 {
		return 0
	}
	return 1
}

// limited reports whether the target has a rate limit.
func (t *target) limited() bool {
	_, limited := t.limits.PerSecond(t.conf.ID)
	return limited
}

// unlimitedSlots returns the number of requests that an active target may be granted now if it has
// no rate limit.
func (t *target) unlimitedSlots(now swclock.Millis) int {
	if t.probing() {
		if len(t.runs) > 0 || now < t.nextProbeAt {
			return 0
		}
		return 1
	}
	return t.conf.Slots - len(t.runs)
}

// fitsMemory reports whether the target has the memory for n more tokens. An idle target takes any attempt.
func (t *target) fitsMemory(n swid.Tokens) bool {
	return t.conf.KVTokens == 0 || len(t.runs) == 0 || t.tokens+n <= t.conf.KVTokens
}

func (t *target) add(r *run) {
	t.runs = append(t.runs, r)
	t.runChanges++
	t.tokens += tokens(&r.grantRequest)
}

func (t *target) remove(r *run, now swclock.Millis) {
	i := slices.Index(t.runs, r)
	if i < 0 {
		return
	}
	t.runs = slices.Delete(t.runs, i, i+1)
	t.runChanges++
	t.tokens -= tokens(&r.grantRequest)
	t.removePrefill(r, float64(now))
}

// removePrefill moves the prompts behind that of an ended run to an earlier time, if
// the run ended before its prompt was processed. An idle target is free at once.
func (t *target) removePrefill(r *run, now float64) {
	if len(t.runs) == 0 {
		t.prefillFreeAt = now
		return
	}
	saved := min(r.prefillEnd-now, r.expected.prefill)
	if saved <= 0 || r.firstOutputAt > 0 {
		return
	}
	t.prefillFreeAt -= saved
	t.prefillSum -= saved
	for _, o := range t.runs {
		if o.prefillEnd > r.prefillEnd {
			o.prefillEnd -= saved
		}
	}
}

// recordAnswer records that the target answered.
func (t *target) recordAnswer() {
	t.unanswered = 0
	t.faultRate.Add(0)
}

// recordFailure records that the target answered with an error, which ends a series of
// attempts without an answer.
func (t *target) recordFailure() {
	t.unanswered = 0
	t.faultRate.Add(1)
}

// recordNoAnswer records that an attempt got no answer. hosts is the number of hosts whose attempts got none since
// the target was last heard from.
func (t *target) recordNoAnswer(hosts int, now swclock.Millis) {
	t.unanswered = max(t.unanswered+1, hosts)
	t.faultRate.Add(1)
	if t.probing() {
		t.nextProbeAt = now + min(maxBackoff, minBackoff<<min(t.unanswered-unansweredLimit, 6))
	}
}

func (c *Cell[P, O]) status(t *target) swcell.TargetStatus {
	s := swcell.TargetStatus{
		ID: t.conf.ID, State: t.conf.State, Running: len(t.runs), Slots: len(t.runs) + max(c.freeSlots(t), 0),
		PrefillTime: t.rates.prefill.Value(), DecodeTime: t.rates.decode.Value(), ServiceTime: t.rates.service.Value(),
	}
	switch {
	case !t.reachable:
		s.State = swcell.TargetDown
	case !t.listed || t.leaving:
		s.State = swcell.TargetDraining
	}
	if t.probing() {
		s.Trust = swcell.TrustProbing
	}
	return s
}

func (c *Cell[P, O]) configure(e swcell.Configure) {
	for _, t := range c.targets {
		t.wasListed, t.listed = t.listed, false
	}
	for _, conf := range e.Targets {
		c.configureTarget(conf)
	}
	for _, t := range c.targets {
		if !t.listed && t.wasListed && t.conf.State == swcell.TargetActive && !t.leaving {
			t.removedAt = c.now
			c.reviewSilentRuns(t)
		}
	}
	c.targets = slices.DeleteFunc(c.targets, c.removeIfUnused)
	c.listing++
	for _, t := range c.targets {
		c.changed(t)
	}
	c.updateTypical()
}

func (c *Cell[P, O]) configureTarget(conf swcell.Target) {
	t := c.byID[conf.ID]
	if t == nil {
		t = c.addTarget(conf)
		t.joined = c.listing > 0
	}
	if t.conf.Born != conf.Born {
		t.cache.clear()
		t.unanswered = 0
		t.breaks.Restarted()
		t.rates, t.attempts, t.joined = rates{}, 0, true
		t.restartedAt, t.leaving, t.doubtedAt, t.unlisted = c.now, false, 0, false
		t.reach = newReachability()
		c.reviewSilentRuns(t)
		for _, r := range t.runs {
			c.recordSilentRun(r)
		}
	}
	if t.conf.Warmup != conf.Warmup || t.conf.Born != conf.Born || !t.wasListed {
		t.warmUntil = c.now + conf.Warmup
	}
	t.conf = conf
	t.cache.capacity = conf.KVTokens
	t.listed = true
}

// addTarget adds a target, which takes no new work until it is marked as listed.
func (c *Cell[P, O]) addTarget(conf swcell.Target) *target {
	t := newTarget(conf, c.cfg.Limits, c.now)
	c.byID[conf.ID] = t
	i, _ := slices.BinarySearchFunc(c.targets, conf.ID, func(t *target, id swid.TargetID) int {
		return strings.Compare(string(t.conf.ID), string(id))
	})
	c.targets = slices.Insert(c.targets, i, t)
	return t
}

// removeIfUnused deletes a target from byID if it is not listed and runs nothing, and
// reports whether the target was deleted.
func (c *Cell[P, O]) removeIfUnused(t *target) bool {
	if t.listed || len(t.runs) > 0 {
		return false
	}
	delete(c.byID, t.conf.ID)
	return true
}

func (c *Cell[P, O]) handleTargetReachability(e swcell.TargetReachability) {
	if t := c.byID[e.Target]; t != nil {
		t.reachable = e.Reachable
		c.listing++
		c.changed(t)
	}
}

// handleLoadReport ends runs of dead holders that the target's load report no longer
// counts.
func (c *Cell[P, O]) handleLoadReport(e swcell.LoadReport) {
	t := c.byID[e.Target]
	if t == nil {
		return
	}
	takenAt := c.now - e.Age
	counted := 0
	for _, r := range t.runs {
		if r.grantedAt <= takenAt {
			counted++
		}
	}
	for _, r := range slices.Clone(t.runs) {
		if counted > e.Running+e.Waiting && r.orphanedAt > 0 && r.orphanedAt <= takenAt {
			c.endRun(r)
			counted--
		}
	}
}

// endedDuring reports whether the target seems to have ended during a run without an answer: it
// has been started anew since the run began, or is no longer listed and was not heard of after
// that or after the run.
func (t *target) endedDuring(started, ended swclock.Millis) bool {
	return t.restartedAt > started || t.removedAt > started && t.heardAt <= min(ended, t.removedAt)
}
