package swvalue

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// request is an attempt that waits for a grant.
type request struct {
	ask   swcell.Ask
	asked swclock.Millis
	// chain identifies each prefix of the prompt's parts.
	chain []link
	// value is what an answer in time is worth.
	value float64
	// output is the number of tokens that the request is expected to generate.
	output float64
	// charged is what the organisation's quota was charged.
	charged float64
}

// runKey identifies one attempt.
type runKey struct {
	key     swcell.Key
	attempt swid.Attempt
}

// run is an attempt that was granted and holds a place of its target.
type run struct {
	ask     swcell.Ask
	chain   []link
	target  *target
	granted swclock.Millis
	output  float64
	charged float64
	// expected is the estimate at the grant.
	expected estimate
	// prefillEnd is when the prompt is expected to be processed.
	prefillEnd float64
	// firstAt is when the first output was reported, or 0, and prefilled the
	// time that the target had spent on prompts by then.
	firstAt   swclock.Millis
	prefilled float64
	produced  swid.Tokens
	// orphanedAt is when the holder died, or 0 while it lives.
	orphanedAt swclock.Millis
	// alone tells that nothing else ran on the target since the grant.
	alone bool
	// clear tells that no other prompt was processed beside its own.
	clear bool
}

func (r *run) id() runKey { return runKey{r.ask.Key, r.ask.Attempt} }

// tokens is what an attempt takes of a target's memory at most.
func tokens(a *swcell.Ask) swid.Tokens { return a.PromptTokens + a.OutputTokens }

func (c *Cell[P, O]) ask(e swcell.Ask) {
	if r := c.running[runKey{e.Key, e.Attempt}]; r != nil {
		// The holder asks again because the grant was lost.
		c.emit(r.grant())
		return
	}
	if c.ended.covers(e.Key, e.Attempt) {
		return
	}
	if i := c.indexOf(e.Key); i >= 0 {
		if e.Attempt <= c.waiting[i].ask.Attempt {
			return
		}
		c.remove(i)
	}
	c.strikes.Report(e.Fingerprint, int(e.Strikes), c.now)
	r := c.newRequest(e)
	if verdict, wait := c.strikes.Verdict(e.Fingerprint, c.now); verdict == swsuspect.Refused {
		c.giveUp(r, swcell.ReasonSuspect, wait)
		return
	}
	c.admit(r)
}

func (c *Cell[P, O]) newRequest(e swcell.Ask) *request {
	r := &request{ask: e, asked: c.now, chain: chainOf(e.Parts)}
	if e.PromptTokens > 0 {
		r.output = c.sizes.expect(&e)
	}
	r.value = c.cfg.TierValues[c.tier(e.Tier)] * c.sizes.weight(&e, r.output)
	return r
}

func (c *Cell[P, O]) indexOf(k swcell.Key) int {
	return slices.IndexFunc(c.waiting, func(r *request) bool { return r.ask.Key == k })
}

func (c *Cell[P, O]) remove(i int) { c.waiting = slices.Delete(c.waiting, i, i+1) }

func (c *Cell[P, O]) giveUp(r *request, reason swcell.Reason, after swclock.Millis) {
	c.uncharge(&r.ask, r.charged)
	c.ended.add(r.ask.Key, r.ask.Attempt)
	c.emit(swcell.GiveUp{Key: r.ask.Key, Attempt: r.ask.Attempt, Reason: reason, RetryAfter: after})
}

func (c *Cell[P, O]) withdraw(e swcell.Withdraw) {
	if i := c.indexOf(e.Key); i >= 0 && c.waiting[i].ask.Attempt == e.Attempt {
		c.uncharge(&c.waiting[i].ask, c.waiting[i].charged)
		c.remove(i)
	}
	if r := c.running[runKey{e.Key, e.Attempt}]; r != nil {
		c.uncharge(&r.ask, r.charged)
		c.endRun(r)
		c.ended.forget(e.Key)
	}
}

// inFlight takes over work that was dispatched under another owner.
func (c *Cell[P, O]) inFlight(e swcell.InFlight) {
	id := runKey{e.Ask.Key, e.Ask.Attempt}
	if c.running[id] != nil {
		return
	}
	if i := c.indexOf(e.Ask.Key); i >= 0 && c.waiting[i].ask.Attempt <= e.Ask.Attempt {
		c.remove(i)
	}
	t := c.byID[e.Target]
	if t == nil {
		// It takes no new work until a configuration lists it.
		t = c.addTarget(swcell.Target{ID: e.Target})
	}
	r := c.start(c.newRequest(e.Ask), t)
	r.granted = c.now - e.Elapsed
	if e.Produced > 0 {
		r.produced, r.firstAt = e.Produced, c.now
	}
}

func (c *Cell[P, O]) holderGone(e swcell.HolderGone) {
	gone := func(k swcell.Key) bool { return k.Holder == e.Holder && k.Incarnation <= e.Incarnation }
	c.waiting = slices.DeleteFunc(c.waiting, func(r *request) bool { return gone(r.ask.Key) })
	for k, r := range c.running {
		if gone(k.key) && r.orphanedAt == 0 {
			r.orphanedAt = max(c.now, 1)
		}
	}
}

// processOf returns the process that holds a request.
func processOf(a *swcell.Ask) swquota.Process {
	return swquota.Process{Host: a.Key.Holder, Incarnation: a.Key.Incarnation}
}

// uncharge takes back what a request that did not run was charged.
func (c *Cell[P, O]) uncharge(a *swcell.Ask, amount float64) {
	if c.cfg.Ledger != nil && amount > 0 {
		c.cfg.Ledger.Return(processOf(a), a.Org, amount, c.now)
	}
}
