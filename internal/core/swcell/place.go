package swcell

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// typicalRates are the mean times of the active targets, in milliseconds.
type typicalRates struct {
	prefill float64
	decode  float64
	service float64
}

// updateTypical recomputes the mean rates, each target counting by its slots.
func (c *Cell) updateTypical() {
	var sum typicalRates
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
		c.typical = typicalRates{sum.prefill / slots, sum.decode / slots, sum.service / slots}
	}
}

// work returns the time that a request holds a slot of a typical target.
func (y *typicalRates) work(prompt, output float64) float64 {
	if y.prefill == 0 && y.decode == 0 {
		return max(y.service, 1)
	}
	return max(prompt*y.prefill+output*y.decode, 1)
}

// cost weighs prompt and output tokens.
func (c *Cell) cost(prompt, output float64) float64 {
	return prompt + c.cfg.OutputTokenCost*output + 1
}

// plan sets the estimates by which a request is queued.
func (c *Cell) plan(r *request) {
	const deviations = 2
	mean, deviation := c.output.Expect(r.ask.Tier, r.ask.OutputTokens)
	prompt := float64(r.ask.PromptTokens)
	r.item.Cost = c.cost(prompt, mean)
	r.item.Work = c.typical.work(prompt, mean)
	// Room for deviation is planned where the deadline leaves it.
	r.output = min(mean+deviations*deviation, float64(r.ask.OutputTokens))
	best, worst := c.idleTotals(r)
	if float64(c.now)+best > float64(r.ask.Deadline) {
		r.output = mean
		best, worst = c.idleTotals(r)
	}
	if math.IsInf(best, 1) {
		best = 0
	}
	r.item.LatestStart = r.ask.Deadline - millis(best)
	r.safeStart = min(r.item.LatestStart, r.ask.Deadline-millis(worst)-c.cfg.PrefillBacklog)
}

// impossible reports whether even an idle target could not have met the
// deadline from the time of the ask on, by present knowledge.
func (c *Cell) impossible(r *request) bool {
	best, _ := c.idleTotals(r)
	return float64(r.asked)+best > float64(r.ask.Deadline)
}

// idleTotals returns the times that a request takes on the best idle target that
// is in reach or awaited, without bound if there is none, and on the worst that
// is fully trusted.
func (c *Cell) idleTotals(r *request) (best, worst float64) {
	best = math.Inf(1)
	for _, t := range c.targets {
		if !c.usable(r, t) && !c.awaited(r, t) {
			continue
		}
		o := c.estimateIdle(r, t)
		best = min(best, o.total)
		if t.trust == TrustFull {
			worst = max(worst, o.total)
		}
	}
	return best, worst
}

// offer is the estimate for a request on a target.
type offer struct {
	target *target
	// queued and uncached count prompt tokens: those processed first, and the request's own.
	queued   float64
	uncached float64
	// first and total are the times from now to the first token and to the end.
	first float64
	total float64
}

// estimateIdle estimates a request on a target that processes no other prompt.
func (c *Cell) estimateIdle(r *request, t *target) offer {
	prompt := float64(r.ask.PromptTokens)
	o := offer{target: t, uncached: prompt * (1 - t.prefixes.Match(r.ask.Prefix))}
	o.first = t.rates.FirstToken(o.uncached)
	o.total = o.first + t.rates.Rest(r.output)
	return o
}

// estimate estimates a request that is granted a target now.
func (c *Cell) estimate(r *request, t *target) offer {
	o := c.estimateIdle(r, t)
	if wait := t.prefillFree - float64(c.now); wait > 0 {
		o.first += wait
		o.total += wait
		if perToken := t.rates.Prefill.Value(); perToken > 0 {
			o.queued = wait / perToken
		}
	}
	return o
}

// score ranks offers by the time to the first token. The rest counts
// less: it keeps long outputs off slow targets.
func (o *offer) score() float64 {
	const restShare = 1.0 / 4
	return o.first + (o.total-o.first)*restShare
}

// usable reports whether the target may be granted to the request at all.
func (c *Cell) usable(r *request, t *target) bool {
	return t.active() && !slices.Contains(r.ask.Exclude, t.conf.ID)
}

// awaited reports whether the request may wait for a target that is out of reach.
func (c *Cell) awaited(r *request, t *target) bool {
	return t.mayReturn(c.now) && !slices.Contains(r.ask.Exclude, t.conf.ID)
}

// anyTarget reports whether a target may take the request, now or when it is back.
func (c *Cell) anyTarget(r *request) bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool { return c.usable(r, t) || c.awaited(r, t) })
}

func (c *Cell) isSuspect(r *request) bool {
	verdict, _ := c.strikes.Verdict(r.ask.Fingerprint, c.now)
	return verdict != swsuspect.Clear
}

// choice is the result of choosing a target for a request.
type choice struct {
	// target is to be granted, or nil if none is free that meets the deadline.
	target *target
	// late tells that no target could meet the deadline even if it were free.
	late bool
	// reserve is the target that has slots to be kept free meanwhile, or nil,
	// and wait the time until the request starts there.
	reserve *target
	slots   int
	wait    float64
}

// candidates are the best offers of each kind for one request.
type candidates struct {
	// free can start now.
	free offer
	// soon has a slot but other long prompts first.
	soon offer
	// busy has no slot; its times include the wait for one.
	busy offer
	// crowded has slots but too little memory, or other runs beside a suspect.
	crowded offer
	late    bool
}

// choose returns the target with the least time to the first token among those
// that can meet the deadline.
func (c *Cell) choose(r *request) choice {
	suspect := c.isSuspect(r)
	found := c.compare(r, suspect)
	switch {
	case found.free.target != nil && !found.free.prefersWait(&found.busy, suspect):
		return choice{target: found.free.target}
	case found.free.target != nil:
		// The prefix is cached on a target that is free soon.
		return choice{}
	case found.soon.target != nil:
		t := found.soon.target
		return choice{reserve: t, slots: 1, wait: t.prefillWait(c.now)}
	case found.crowded.target != nil:
		t := found.crowded.target
		return choice{reserve: t, slots: t.conf.Slots}
	case suspect && found.busy.target != nil:
		t := found.busy.target
		return choice{reserve: t, slots: t.conf.Slots}
	default:
		return choice{late: found.late}
	}
}

// compare collects the best offers of the targets that can meet the deadline.
func (c *Cell) compare(r *request, suspect bool) candidates {
	found := candidates{late: true}
	left := float64(r.ask.Deadline - c.now)
	for _, t := range c.targets {
		if !c.usable(r, t) {
			found.late = found.late && !c.awaited(r, t)
			continue
		}
		o := c.estimate(r, t)
		if o.total-t.prefillWait(c.now) <= left {
			found.late = false
		}
		if o.total > left || !t.accepts(r, c.now) || t.held(c.pass, c.now, o.total) {
			continue
		}
		switch {
		case t.room(c.now) <= 0:
			wait := t.soonestEnd(c.now)
			o.first += wait
			o.total += wait
			if o.total <= left {
				found.busy.improve(o)
			}
		case !t.fits(r.tokens()) || (suspect && len(t.runs) > 0):
			found.crowded.improve(o)
		case c.prefillFull(&o):
			found.soon.improve(o)
		default:
			found.free.improve(o)
		}
	}
	return found
}

// improve replaces an offer by a better one.
func (o *offer) improve(by offer) {
	if o.target == nil || by.score() < o.score() {
		*o = by
	}
}

// prefersWait reports whether waiting for a busy target is much faster.
func (o *offer) prefersWait(busy *offer, suspect bool) bool {
	return busy.target != nil && !suspect && busy.score() < o.score()*waitAdvantage
}

// prefillFull reports whether a long prompt would queue behind others.
func (c *Cell) prefillFull(o *offer) bool {
	backlog := float64(c.cfg.PrefillBacklog)
	wait := o.target.prefillWait(c.now)
	return wait > backlog && o.first-wait > backlog
}

// waitAdvantage is the share of the time to the first token below which
// waiting for a target with a cached prefix is preferred.
const waitAdvantage = 0.5
