package swcell

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// typicalTimes holds the mean times of the active targets, in milliseconds: for a
// prompt token, an output token and a call without tokens.
type typicalTimes struct {
	prefill float64
	decode  float64
	service float64
}

// updateTypicalTimes recomputes the mean times of the active targets, weighted by
// their slots. Without an active target the previous means stay.
func (c *Cell) updateTypicalTimes() {
	var sum typicalTimes
	slots := 0.0
	for _, t := range c.targets {
		if !t.active() {
			continue
		}
		n := float64(t.conf.Slots)
		slots += n
		sum.prefill += n * t.rates.Prefill.Value()
		sum.decode += n * t.rates.Decode.Value()
		sum.service += n * t.rates.Service.Value()
	}
	c.slots = slots
	if slots > 0 {
		c.typical = typicalTimes{sum.prefill / slots, sum.decode / slots, sum.service / slots}
	}
}

// work returns the time that a request holds a slot of a typical target.
func (y *typicalTimes) work(prompt, output float64) float64 {
	if y.prefill == 0 && y.decode == 0 {
		return max(y.service, 1)
	}
	return max(prompt*y.prefill+output*y.decode, 1)
}

// cost returns what a request is charged, in prompt tokens. It is never 0.
func (c *Cell) cost(prompt, output float64) float64 {
	return prompt + c.cfg.OutputTokenCost*output + 1
}

// setEstimates sets the estimates by which a request is queued.
func (c *Cell) setEstimates(r *request) {
	const deviations = 2
	mean, deviation := c.output.Expect(r.grantRequest.Tier, r.grantRequest.OutputTokens)
	prompt := float64(r.grantRequest.PromptTokens)
	r.item.Cost = c.cost(prompt, mean)
	r.item.Work = c.typical.work(prompt, mean)
	// The estimates assume more output than the mean if the deadline allows it.
	r.output = min(mean+deviations*deviation, float64(r.grantRequest.OutputTokens))
	best, worst := c.idleTotals(r)
	if float64(c.now)+best > float64(r.grantRequest.Deadline) {
		r.output = mean
		best, worst = c.idleTotals(r)
	}
	if math.IsInf(best, 1) {
		best = 0
	}
	r.item.LatestStart = r.grantRequest.Deadline - ceilMillis(best)
	r.safeStart = min(r.item.LatestStart, r.grantRequest.Deadline-ceilMillis(worst)-c.cfg.PrefillBacklog)
}

// neverFeasible reports whether, by present estimates, even an idle target could
// not have met the deadline from the time of the grant request on.
func (c *Cell) neverFeasible(r *request) bool {
	best, _ := c.idleTotals(r)
	return float64(r.requestedAt)+best > float64(r.grantRequest.Deadline)
}

// idleTotals returns the times that a request would take on targets without other
// prompts. Of the targets that are usable or may return, best is the shortest time, or
// infinity if there is no such target, and worst the longest time of those with
// TrustFull, or 0.
func (c *Cell) idleTotals(r *request) (best, worst float64) {
	best = math.Inf(1)
	for _, t := range c.targets {
		if !c.usable(r, t) && !c.mayWaitFor(r, t) {
			continue
		}
		e := c.estimateIdle(r, t)
		best = min(best, e.total)
		if t.trust == TrustFull {
			worst = max(worst, e.total)
		}
	}
	return best, worst
}

// estimate is the expected course of a request on one target.
type estimate struct {
	target *target
	// queued and uncached count prompt tokens: those of other requests that the
	// target processes first, and the request's own that are not cached.
	queued   float64
	uncached float64
	// untilFirstToken and total are the times from now to the first token and to the end.
	untilFirstToken float64
	total           float64
}

// estimateIdle estimates a request on a target that processes no other prompt.
func (c *Cell) estimateIdle(r *request, t *target) estimate {
	prompt := float64(r.grantRequest.PromptTokens)
	e := estimate{target: t, uncached: prompt * (1 - t.prefixes.Match(r.grantRequest.Prefix))}
	e.untilFirstToken = t.rates.FirstToken(e.uncached)
	e.total = e.untilFirstToken + t.rates.Rest(r.output)
	return e
}

// estimate estimates a request that is granted to a target now.
func (c *Cell) estimate(r *request, t *target) estimate {
	e := c.estimateIdle(r, t)
	if wait := t.prefillFreeAt - float64(c.now); wait > 0 {
		e.untilFirstToken += wait
		e.total += wait
		if perToken := t.rates.Prefill.Value(); perToken > 0 {
			e.queued = wait / perToken
		}
	}
	return e
}

// score ranks estimates; the lowest is best. The time to the first token counts in
// full. The rest counts by restShare, so that requests with long outputs are kept off
// slow targets.
func (e *estimate) score() float64 {
	const restShare = 1.0 / 4
	return e.untilFirstToken + (e.total-e.untilFirstToken)*restShare
}

// usable reports whether the target is active and the request has not been
// dispatched to it before.
func (c *Cell) usable(r *request, t *target) bool {
	return t.active() && !slices.Contains(r.grantRequest.Exclude, t.conf.ID)
}

// mayWaitFor reports whether the request may wait for an unreachable target.
func (c *Cell) mayWaitFor(r *request, t *target) bool {
	return t.mayReturn(c.now) && !slices.Contains(r.grantRequest.Exclude, t.conf.ID)
}

// anyTarget reports whether any target may take the request, now or when it is
// reachable again.
func (c *Cell) anyTarget(r *request) bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool { return c.usable(r, t) || c.mayWaitFor(r, t) })
}

func (c *Cell) isSuspect(r *request) bool {
	verdict, _ := c.strikes.Verdict(r.grantRequest.Fingerprint, c.now)
	return verdict != swsuspect.Clear
}

// choice is the result of choosing a target for a request.
type choice struct {
	// target is the target to grant, or nil if the request has to wait or is infeasible.
	target *target
	// infeasible says that no usable target could meet the deadline even if it were free,
	// and that the request may not wait for an unreachable target.
	infeasible bool
	// reserve is the target on which slots are kept free while the request waits,
	// or nil, slots their number, and wait the time until it starts there.
	reserve *target
	slots   int
	wait    float64
}

// candidates holds the best estimate of each kind for one request.
type candidates struct {
	// free is on a target where the request can start now.
	free estimate
	// delayed is on a target with a free slot where the request's long prompt would
	// wait for other prompts.
	delayed estimate
	// busy is on a target without a free slot; its times include the wait for a slot.
	busy estimate
	// blocked is on a target with a free slot, but with too little memory or with runs
	// beside which a suspect request must not start.
	blocked estimate
	// infeasible says that no usable target could meet the deadline even if it were free,
	// and that the request may not wait for an unreachable target.
	infeasible bool
}

// chooseTarget returns the target with the best score among those that can meet
// the deadline now, or else what the request waits for.
func (c *Cell) chooseTarget(r *request) choice {
	suspect := c.isSuspect(r)
	found := c.collectCandidates(r, suspect)
	switch {
	case found.free.target != nil && !found.free.shouldWaitFor(&found.busy, suspect):
		return choice{target: found.free.target}
	case found.free.target != nil:
		// The request waits for a busy target whose score is much better, for example
		// because that target has the prefix cached.
		return choice{}
	case found.delayed.target != nil:
		t := found.delayed.target
		return choice{reserve: t, slots: 1, wait: t.prefillWait(c.now)}
	case found.blocked.target != nil:
		t := found.blocked.target
		return choice{reserve: t, slots: t.conf.Slots}
	case suspect && found.busy.target != nil:
		t := found.busy.target
		return choice{reserve: t, slots: t.conf.Slots}
	default:
		return choice{infeasible: found.infeasible}
	}
}

// collectCandidates collects the best estimate of each kind, from the targets that can
// meet the deadline.
func (c *Cell) collectCandidates(r *request, suspect bool) candidates {
	found := candidates{infeasible: true}
	left := float64(r.grantRequest.Deadline - c.now)
	for _, t := range c.targets {
		if !c.usable(r, t) {
			found.infeasible = found.infeasible && !c.mayWaitFor(r, t)
			continue
		}
		e := c.estimate(r, t)
		if e.total-t.prefillWait(c.now) <= left {
			found.infeasible = false
		}
		if e.total > left || !t.accepts(r, c.now) || t.reservedForOthers(c.pass, c.now, e.total) {
			continue
		}
		switch {
		case t.freeSlots(c.now) <= 0:
			wait := t.soonestEnd(c.now)
			e.untilFirstToken += wait
			e.total += wait
			if e.total <= left {
				found.busy.keepBetter(e)
			}
		case !t.fitsMemory(r.tokens()) || (suspect && len(t.runs) > 0):
			found.blocked.keepBetter(e)
		case c.waitsForPrefill(&e):
			found.delayed.keepBetter(e)
		default:
			found.free.keepBetter(e)
		}
	}
	return found
}

// keepBetter replaces an estimate if the other one has a better score.
func (e *estimate) keepBetter(other estimate) {
	if e.target == nil || other.score() < e.score() {
		*e = other
	}
}

// shouldWaitFor reports whether waiting for a busy target is so much better than
// starting now that the request should wait. A suspect request never waits for it.
func (e *estimate) shouldWaitFor(busy *estimate, suspect bool) bool {
	return busy.target != nil && !suspect && busy.score() < e.score()*waitScoreShare
}

// waitsForPrefill reports whether a long prompt would queue behind others for
// longer than PrefillBacklog.
func (c *Cell) waitsForPrefill(e *estimate) bool {
	backlog := float64(c.cfg.PrefillBacklog)
	wait := e.target.prefillWait(c.now)
	return wait > backlog && e.untilFirstToken-wait > backlog
}

// waitScoreShare limits waiting by choice: a request that could start now waits for a
// busy target only if that target's score, which includes the wait, is below this share
// of the score of the best target where the request could start.
const waitScoreShare = 0.5
