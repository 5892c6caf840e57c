package swvalue

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// lostBound is how long after its deadline work keeps its place whose end is not reported.
	lostBound = 2 * swclock.Second
	// orphanTime is how long the work of a dead holder keeps its place.
	orphanTime = swclock.Second
)

func (c *Cell[P, O]) grant(r *request, o *Offer) {
	c.remove(slices.Index(c.waiting, r))
	c.emit(c.start(r, o.target).grant())
}

// start counts an attempt on a target.
func (c *Cell[P, O]) start(r *request, t *target) *run {
	o := c.offer(r, t)
	started := &run{
		ask: r.ask, chain: r.chain, target: t, granted: c.now, output: r.output, charged: r.charged, expected: o.expected,
	}
	if !t.plain() {
		started.clear = o.expected.wait == 0
		for _, other := range t.runs {
			if other.firstAt == 0 {
				other.clear, started.clear = false, false
			}
		}
		t.prefillFree = max(t.prefillFree, float64(c.now)) + o.expected.prefill
		t.prefillSum += o.expected.prefill
		started.prefillEnd = t.prefillFree
		t.cache.add(r.chain)
	}
	c.running[started.id()] = started
	t.add(started)
	c.ended.add(r.ask.Key, r.ask.Attempt)
	return started
}

// grant returns the run's grant, as it was or will be sent to the holder.
func (r *run) grant() swcell.Grant {
	return swcell.Grant{
		Key: r.ask.Key, Attempt: r.ask.Attempt, Target: r.target.conf.ID,
		FirstToken: swclock.Millis(r.expected.first), Total: swclock.Millis(r.expected.total),
	}
}

// remaining estimates the time until the run ends. One that is overdue is
// expected to take a tenth of its time more.
func (r *run) remaining(now swclock.Millis) float64 {
	const overdueShare = 0.1
	elapsed := float64(now - r.granted)
	return max(r.expected.total-elapsed, elapsed*overdueShare)
}

func (c *Cell[P, O]) endRun(r *run) {
	delete(c.running, r.id())
	r.target.remove(r, c.now)
}

func (c *Cell[P, O]) progress(e swcell.Progress) {
	r := c.running[runKey{e.Key, e.Attempt}]
	if r == nil || e.Produced <= r.produced {
		return
	}
	before := r.produced
	r.produced = e.Produced
	if r.firstAt == 0 {
		r.firstAt = c.now
		r.prefilled = r.target.prefilled(c.now)
		c.observeFirst(r, c.now-r.granted)
		return
	}
	// The pace of a target that is not well known is learned before its first
	// requests end, which takes seconds where they are long.
	if output := float64(e.Produced - before); r.target.rates.decode.Samples() < earlySamples && output >= minOutput {
		c.observeRest(r, float64(c.now-r.firstAt), output)
	}
}

// earlySamples is the number of observations up to which a target's pace is
// learned from output that goes on: from then on one more changes it little.
const earlySamples = 2

func (c *Cell[P, O]) done(e swcell.Done) {
	r := c.running[runKey{e.Key, e.Attempt}]
	if r == nil || r.target.conf.ID != e.Target {
		return
	}
	t := r.target
	c.learn(r, e)
	c.endRun(r)
	switch e.Result {
	case swcell.ResultAnswered:
		c.strikes.Absolve(r.ask.Fingerprint, c.now)
		t.answered()
	case swcell.ResultRejected, swcell.ResultFailed:
		t.failedAnswer()
	case swcell.ResultBroken:
		c.strikes.Strike(r.ask.Fingerprint, r.alone, c.now)
		t.broke(c.now)
	case swcell.ResultNoAnswer:
		t.broke(c.now)
	case swcell.ResultNotStarted:
		c.uncharge(&r.ask, r.charged)
		t.unreachable[r.ask.Key.Holder] = c.now + unreachableTime
		t.broke(c.now)
	}
}

// learn takes in the times of an attempt.
func (c *Cell[P, O]) learn(r *run, e swcell.Done) {
	t := r.target
	if t.plain() {
		if e.Result == swcell.ResultAnswered {
			t.rates.service.Add(float64(e.Total))
		}
		return
	}
	if e.Result == swcell.ResultAnswered {
		c.sizes.observe(&r.ask, e.OutputTokens)
	}
	if r.firstAt == 0 && e.FirstToken > 0 {
		c.observeFirst(r, e.FirstToken)
	}
	if output := float64(e.OutputTokens); output >= minOutput && e.FirstToken > 0 && e.Total > e.FirstToken {
		c.observeRest(r, float64(e.Total-e.FirstToken), output)
	}
}

// observeRest takes in the time from the first output to the end. Prompts of
// others that were processed meanwhile explain a part of it.
func (c *Cell[P, O]) observeRest(r *run, span, output float64) {
	t := r.target
	stalled := 0.0
	if r.firstAt > 0 {
		stalled = min(max(t.prefilled(c.now)-r.prefilled, 0), span*maxStall)
		t.stall.Add(stalled / span)
	}
	t.rates.decode.Add((span - stalled) / output)
}

// observeFirst takes in the time from a grant to the first output, if no other
// prompt had a part in it.
func (c *Cell[P, O]) observeFirst(r *run, span swclock.Millis) {
	t := r.target
	if t.plain() || !r.clear {
		return
	}
	y := t.rates.at(&c.typical)
	if r.expected.uncached >= minPrompt {
		t.rates.prefill.Add(max(float64(span)-y.overhead, 1) / r.expected.uncached)
		return
	}
	t.rates.overhead.Add(max(float64(span)-r.expected.uncached*y.prefill, 1))
}

// freeLost ends the runs of which no end arrived by a bound.
func (c *Cell[P, O]) freeLost() {
	for _, t := range c.targets {
		for _, r := range slices.Clone(t.runs) {
			end := r.ask.Deadline + lostBound
			if r.orphanedAt > 0 {
				// Targets drop a request when its connection closes, which the end
				// of its holder's process does.
				end = min(end, r.orphanedAt+orphanTime)
			}
			if c.now > end {
				c.endRun(r)
			}
		}
	}
}
