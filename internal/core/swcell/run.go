package swcell

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// startRun adds an attempt to the runs of a target and to the history.
func (c *Cell) startRun(r *request, t *target) *run {
	o := c.estimate(r, t)
	started := &run{
		grantRequest: r.grantRequest, target: t, grantedAt: c.now, producedAt: c.now,
		output: r.output, cost: r.item.Cost,
		expectedEnd: float64(c.now) + o.total,
		firstToken:  o.untilFirstToken, expectedTotal: o.total,
		queued:  o.queued,
		cached:  float64(r.grantRequest.PromptTokens) - o.uncached,
		suspect: c.isSuspect(r),
	}
	c.running[started.id()] = started
	t.add(started)
	started.prefillSpan = t.rates.Prefill.Value() * o.uncached
	t.prefillFreeAt = max(t.prefillFreeAt, float64(c.now)) + started.prefillSpan
	started.prefillEnd = t.prefillFreeAt
	t.prefixes.Add(r.grantRequest.Prefix)
	c.served[r.grantRequest.Org] += r.item.Cost
	p, _ := c.history.Get(r.grantRequest.Key)
	p.attempt = r.grantRequest.Attempt
	p.targets = append(slices.Clip(p.targets), t.conf.ID)
	p.preempted = false
	c.history.Add(r.grantRequest.Key, p)
	return started
}

// grant returns the Grant action for the run; it is the same each time.
func (r *run) grant() Grant {
	return Grant{
		Key:        r.grantRequest.Key,
		Attempt:    r.grantRequest.Attempt,
		Target:     r.target.conf.ID,
		FirstToken: swclock.Millis(r.firstToken),
		Total:      swclock.Millis(r.expectedTotal),
	}
}

func (c *Cell) endRun(r *run) {
	delete(c.running, r.id())
	r.target.remove(r, c.now)
}

func (c *Cell) handleDone(e Done) {
	r := c.running[runKey{e.Key, e.Attempt}]
	if r == nil || r.target.conf.ID != e.Target {
		return
	}
	t, probe := r.target, r.target.probe == r
	c.updateEstimates(r, e)
	c.adjustCharge(r, e)
	c.endRun(r)
	switch e.Result {
	case ResultAnswered:
		c.retryBudget.Success()
		c.strikes.RecordAnswer(r.grantRequest.Fingerprint, c.now)
		t.breaks.Answered(r.grantedAt)
		c.recordSuccess(t, probe)
	case ResultRejected:
		c.recordSuccess(t, probe)
	case ResultBroken:
		if t.breaks.Broke(r.grantedAt, c.now) {
			crash := swsuspect.Crash{Target: t.conf.ID, Started: r.grantedAt, Ended: c.now, Alone: r.alone, Apart: r.suspect}
			c.strikes.Strike(r.grantRequest.Fingerprint, crash, c.now)
		}
		c.recordFailure(t)
	case ResultNotStarted, ResultNoAnswer:
		c.recordFailure(t)
	}
}

// updateEstimates updates the estimates of output sizes, of the target's speed and
// of its prefix cache from an ended attempt.
func (c *Cell) updateEstimates(r *run, e Done) {
	t := r.target
	if e.Result == ResultAnswered {
		c.output.Observe(r.grantRequest.Tier, r.grantRequest.OutputTokens, e.OutputTokens)
		if t.rates.Plain() {
			t.rates.Service.Add(float64(e.Total))
		}
	}
	if e.FirstToken <= 0 {
		return
	}
	t.prefixes.Observe(r.cached, float64(e.CachedTokens))
	t.rates.ObserveFirst(r.queued+float64(e.PromptTokens-e.CachedTokens), e.FirstToken)
	if between := t.rates.ObserveRest(e.OutputTokens, e.Total-e.FirstToken); between > 0 {
		t.tokenInterval.Add(between)
	}
}

// adjustCharge corrects the estimated cost that the organisation was charged: for an
// answered attempt to the cost of its output and its prompt, cached tokens included,
// and for one that did not start to 0. Other attempts keep the estimate.
func (c *Cell) adjustCharge(r *run, e Done) {
	if e.Result == ResultNotStarted {
		c.charge(r, -r.cost)
		return
	}
	if e.Result == ResultAnswered {
		c.charge(r, c.cost(float64(e.PromptTokens), float64(e.OutputTokens))-r.cost)
	}
}

func (c *Cell) charge(r *run, cost float64) {
	c.served[r.grantRequest.Org] += cost
	c.tierOf(&r.grantRequest).queue.Charge(r.grantRequest.Org, cost)
}

func (c *Cell) handleProgress(e Progress) {
	r := c.running[runKey{e.Key, e.Attempt}]
	if r == nil || e.Produced < r.produced {
		return
	}
	// An interval without any token counts as half a token, so that a stall raises
	// the target's time between tokens.
	const noToken = 0.5
	span := c.now - r.producedAt
	if r.produced > 0 && span >= minProgressInterval {
		r.target.tokenInterval.Add(float64(span) / max(float64(e.Produced-r.produced), noToken))
	}
	if r.produced == 0 || span >= minProgressInterval {
		r.produced, r.producedAt = e.Produced, c.now
	}
	c.predictEnd(r)
}

// minProgressInterval is the shortest time over which the time between tokens is
// computed from progress.
const minProgressInterval = 100 * swclock.Millis(1)

// predictEnd updates the expected end of a run from its progress.
func (c *Cell) predictEnd(r *run) {
	if r.produced > 0 {
		left := max(r.output-float64(r.produced), 0)
		r.expectedEnd = float64(c.now) + r.target.rates.Rest(left)
	}
}

// endLostRuns ends the runs whose end was not reported by LostRunTimeout after their
// deadline. Runs of dead holders end LostRunTimeout after the holder's death or their
// expected end, whichever is later.
func (c *Cell) endLostRuns() {
	for _, t := range c.targets {
		for i := len(t.runs) - 1; i >= 0; i-- {
			r := t.runs[i]
			end := r.grantRequest.Deadline
			if r.orphanedAt > 0 {
				end = max(r.orphanedAt, swclock.Millis(r.expectedEnd))
			}
			if c.now > end+c.cfg.LostRunTimeout {
				c.endRun(r)
			}
		}
	}
}
