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
	mean, deviation := c.output.Expect(r.ask.Tier, r.ask.OutputTokens)
	prompt := float64(r.ask.PromptTokens)
	r.item.Cost = c.cost(prompt, mean)
	r.item.Work = c.typical.work(prompt, mean)
	// Room for deviation is planned where the deadline leaves it.
	r.output = min(mean+deviation, float64(r.ask.OutputTokens))
	best := c.idleTotal(r)
	if float64(c.now)+best > float64(r.ask.Deadline) {
		r.output = mean
		best = c.idleTotal(r)
	}
	if math.IsInf(best, 1) {
		best = 0
	}
	r.item.LatestStart = r.ask.Deadline - millis(best)
}

// impossible reports whether even an idle target could not have met the
// deadline from the time of the ask on, by present knowledge.
func (c *Cell) impossible(r *request) bool {
	return float64(r.asked)+c.idleTotal(r) > float64(r.ask.Deadline)
}

// idleTotal returns the time that a request takes on the best target if it starts at once.
func (c *Cell) idleTotal(r *request) float64 {
	best := math.Inf(1)
	for _, t := range c.targets {
		if c.usable(r, t) {
			o := c.estimateIdle(r, t)
			best = min(best, o.total)
		}
	}
	return best
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

// score ranks offers by the time to the first token. The rest counts little:
// it decides between targets that are otherwise alike.
func (o *offer) score() float64 {
	const restShare = 1.0 / 16
	return o.first + (o.total-o.first)*restShare
}

// usable reports whether the target may be granted to the request at all.
func (c *Cell) usable(r *request, t *target) bool {
	return t.active() && !slices.Contains(r.ask.Exclude, t.conf.ID)
}

func (c *Cell) anyTarget(r *request) bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool { return c.usable(r, t) })
}

func (c *Cell) isSuspect(r *request) bool {
	verdict, _ := c.strikes.Verdict(r.ask.Fingerprint, c.now)
	return verdict != swsuspect.Clear
}

// choice is the result of choosing a target for a request.
type choice struct {
	// target is to be granted, or nil if none is free that meets the deadline.
	target *target
	// reserve is to be kept free for the request meanwhile, or nil.
	reserve *target
	// late tells that no target could meet the deadline even if it were free.
	late bool
}

// choose returns the target with the least time to the first token among those
// that can meet the deadline.
func (c *Cell) choose(r *request) choice {
	suspect := c.isSuspect(r)
	left := float64(r.ask.Deadline - c.now)
	var free, busy offer
	var crowded *target
	result := choice{late: true}
	for _, t := range c.targets {
		if !c.usable(r, t) {
			continue
		}
		o := c.estimate(r, t)
		if o.total-(t.prefillWait(c.now)) <= left {
			result.late = false
		}
		if o.total > left || t.reservedIn == c.pass || !t.accepts(r) {
			continue
		}
		switch {
		case t.room(c.now) <= 0:
			wait := t.soonestEnd(c.now)
			o.first += wait
			o.total += wait
			if o.total <= left && (busy.target == nil || o.score() < busy.score()) {
				busy = o
			}
		case !t.fits(r.tokens()) || (suspect && len(t.runs) > 0):
			if crowded == nil || len(t.runs) < len(crowded.runs) {
				crowded = t
			}
		case free.target == nil || o.score() < free.score():
			free = o
		}
	}
	result.target = free.target
	switch {
	case free.target == nil:
		result.reserve = crowded
		if suspect && crowded == nil {
			result.reserve = busy.target
		}
	case busy.target != nil && !suspect && busy.score() < free.score()*waitAdvantage:
		// The prefix is cached on a target that is free soon.
		result.target = nil
	}
	return result
}

// waitAdvantage is the share of the time to the first token below which
// waiting for a target with a cached prefix is preferred.
const waitAdvantage = 0.5
