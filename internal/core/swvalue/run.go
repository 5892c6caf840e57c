package swvalue

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
)

const (
	// lostRunTimeout is how long after its deadline a run whose end is not reported keeps its slot.
	lostRunTimeout = 2 * swclock.Second
	// orphanTimeout is how long the run of a dead holder keeps its slot.
	orphanTimeout = swclock.Second
)

// grant grants a request the target of an offer, unless no host can send it there any more.
func (c *Cell[P, O]) grant(r *request, o *Offer) bool {
	sender, ok := c.senderFor(r, o.target)
	if !ok {
		return false
	}
	if sender == r.grantRequest.Key.Holder {
		sender = ""
	}
	c.remove(r)
	c.cfg.Limits.Take(o.target.conf.ID, c.now)
	if r.grantRequest.Attempt <= 1 {
		c.shares.of(r.grantRequest.Org, r.grantRequest.Tier).granted.add(r.shareTokens(), c.now)
	}
	o.target.attempts++
	if o.target.plain() {
		c.cfg.Contention.Granted(c.now - r.requestedAt)
	}
	c.meanWork.Add(c.work(r, o.expected.uncached))
	started := c.start(r, o.target, sender)
	c.recordGranted(r, started)
	c.emit(started.grant())
	return true
}

// start records an attempt as running on a target, and its prompt as the last of
// those that the target has to process. carrier is empty if the holder sends the request itself.
func (c *Cell[P, O]) start(r *request, t *target, carrier swid.HostID) *run {
	o := c.offer(r, t)
	started := &run{
		grantRequest: r.grantRequest, prefixes: r.prefixes, target: t, grantedAt: c.now, output: r.output, charged: r.charged, expected: o.expected,
		prompt: r.prompt, origin: r.origin, carrier: carrier, apart: r.apart, suspects: r.suspects,
		atGrant: t.atGrant(c.now),
	}
	if !t.plain() {
		started.soloPrefill = o.expected.wait == 0
		for _, other := range t.runs {
			if other.firstOutputAt == 0 {
				other.soloPrefill, started.soloPrefill = false, false
			}
		}
		t.prefillFreeAt = max(t.prefillFreeAt, float64(c.now)) + o.expected.prefill
		t.prefillSum += o.expected.prefill
		started.prefillEnd = t.prefillFreeAt
		t.cache.add(r.prefixes)
	}
	if carrier != "" {
		c.cfg.Carriers.Began(carrier)
		c.carrierChanges++
	}
	c.running[started.id()] = started
	t.add(started)
	c.recordApart(started)
	c.decided.add(r.grantRequest.Key, r.grantRequest.Attempt)
	return started
}

// grant returns the run's grant, which is the same each time it is sent to the holder.
func (r *run) grant() swcell.Grant {
	return swcell.Grant{
		Key: r.grantRequest.Key, Attempt: r.grantRequest.Attempt, Target: r.target.conf.ID,
		FirstToken: swclock.Millis(r.expected.first), Total: swclock.Millis(r.expected.total),
		Origin: r.origin, Carrier: r.carrier,
	}
}

// remaining estimates the time until the run ends. A run that is overdue is expected
// to take another tenth of the time since its grant.
func (r *run) remaining(now swclock.Millis) float64 {
	const overdueShare = 0.1
	elapsed := float64(now - r.grantedAt)
	return max(r.expected.total-elapsed, elapsed*overdueShare)
}

func (c *Cell[P, O]) endRun(r *run) {
	delete(c.running, r.id())
	if r.carrier != "" {
		c.cfg.Carriers.Ended(r.carrier)
		c.carrierChanges++
	}
	c.recordAccepted(r.target)
	r.target.remove(r, c.now)
	if r.apart {
		delete(c.apart, r.grantRequest.Fingerprint)
	}
	c.changed(r.target)
}

// changed records that a target may take requests that declined it before.
func (c *Cell[P, O]) changed(t *target) {
	c.changes++
	t.changedAt = c.changes
}

func (c *Cell[P, O]) handleProgress(e swcell.Progress) {
	r := c.running[runKey{e.Key, e.Attempt}]
	if r == nil {
		return
	}
	c.observeStatement(r, e.Statement)
	c.cfg.Origins.Add(e.Begun, c.now)
	r.target.unlisted = r.target.unlisted || e.Begun.Origin.IsUnlisted()
	if e.Produced <= r.produced {
		return
	}
	r.target.vouchForVersion(r)
	before := r.produced
	r.produced = e.Produced
	r.target.heardOf(r, c.now)
	if r.firstOutputAt == 0 {
		r.firstOutputAt = c.now
		r.prefilled = r.target.prefilled(c.now)
		c.observeFirstOutput(r, c.now-r.grantedAt)
		return
	}
	if c.now-r.firstOutputAt >= soundTime {
		c.recordSound(r)
	}
	// The decode rate of a target with few observations is updated before its first
	// requests end, because long requests take seconds to end.
	span := float64(c.now - r.firstOutputAt)
	if output := float64(e.Produced - before); span > 0 && r.target.rates.decode.Samples() < minDecodeSamples && output >= minDecodeTokens {
		c.observeDecode(r, span, output)
	}
}

// minDecodeSamples is the number of observations below which a target's decode rate
// is also updated from unfinished output; with that many, one more changes it little.
const minDecodeSamples = 2

func (c *Cell[P, O]) handleDone(e swcell.Done) {
	r := c.running[runKey{e.Key, e.Attempt}]
	if r == nil || r.target.conf.ID != e.Target {
		return
	}
	t := r.target
	c.observeRun(r, e)
	c.observeAnswer(r, &e)
	c.observeStatement(r, e.Statement)
	c.endRun(r)
	if e.CarrierLost && r.carrier != "" {
		c.cfg.Carriers.Avoid(r.grantRequest.Key.Holder, r.carrier, c.now)
		c.carrierChanges++
	}
	wasProbing, sinceHeard := t.probing(), t.sinceHeard(c.now)
	defer func() {
		if t.probing() != wasProbing {
			c.cfg.OnProbing(ProbingChange{Target: t.conf.ID, Probing: t.probing(), Holder: r.grantRequest.Key.Holder, SinceHeard: sinceHeard})
		}
	}()
	switch e.Result {
	case swcell.ResultAnswered:
		t.vouchForVersion(r)
		c.recordAnswer(r)
		t.breaks.Answered(r.grantedAt)
		t.heardOf(r, c.now)
		t.recordAnswer()
	case swcell.ResultRejected, swcell.ResultFailed:
		t.heardOf(r, c.now)
		t.recordFailure()
	case swcell.ResultBroken:
		if e.FirstToken > 0 && e.Total-e.FirstToken >= soundTime {
			c.recordSound(r)
		}
		if !e.PathLost {
			c.recordBreak(r)
		}
		c.recordAttemptFailed(r, e.PathLost)
		t.doubtVersion(c.now)
	case swcell.ResultNoAnswer:
		t.occupancy.doubt(c.now)
		c.recordSilentRun(r)
		c.recordAttemptFailed(r, e.PathLost || e.CarrierLost)
	case swcell.ResultCancelled:
		t.occupancy.doubt(c.now)
		c.recordSilentRun(r)
	case swcell.ResultNotStarted:
		c.unchargeRun(r)
		switch {
		case e.CarrierLost, e.PathLost:
		case e.Statement.Heard:
			t.reach.close(r.sender(), c.now+unreachableTime)
			t.occupancy.recordRejection(c.now)
			if t.plain() && !e.Statement.Leaving && e.Statement.Pause == 0 {
				c.cfg.Contention.TurnedAway()
			}
			t.recordNoAnswer(1, c.now)
		default:
			t.reach.lost(r.sender(), c.now)
			c.recordAttemptFailed(r, e.PathLost)
			t.doubtVersion(c.now)
		}
	}
}

// observeStatement records what the answer to a run says of the requests that its target takes.
func (c *Cell[P, O]) observeStatement(r *run, s swlimit.Statement) {
	if s.Leaving && !r.target.leaving && r.grantedAt >= r.target.restartedAt {
		r.target.leaving = true
		c.cfg.OnLeaving(r.target.conf.ID)
		c.listing++
		c.changed(r.target)
	}
	if s.Pause > 0 {
		r.target.reach.close(r.sender(), c.now+min(s.Pause, swlimit.MaxPause))
	}
	if c.cfg.Brittle.Observe(r.target.conf.ID, s, r.grantedAt, c.now) {
		c.cfg.OnBrittle(r.target.conf.ID, s)
	}
	if c.cfg.Limits.Observe(r.target.conf.ID, s, r.grantedAt, c.now) {
		c.cfg.OnRateLimit(r.target.conf.ID, s.PerSecond)
		c.changed(r.target)
	}
}

// observeRun adds the times and the output of an attempt that ended to the estimates.
func (c *Cell[P, O]) observeRun(r *run, e swcell.Done) {
	t := r.target
	if t.plain() {
		if e.Result == swcell.ResultAnswered {
			t.rates.service.Add(float64(e.Total))
		}
		return
	}
	if e.Result == swcell.ResultAnswered && !r.grantRequest.Continuation.Continues {
		c.sizes.observe(&r.grantRequest, e.OutputTokens)
	}
	if r.firstOutputAt == 0 && e.FirstToken > 0 {
		c.observeFirstOutput(r, e.FirstToken)
	}
	if output := float64(e.OutputTokens); output >= minDecodeTokens && e.FirstToken > 0 && e.Total > e.FirstToken {
		c.observeDecode(r, float64(e.Total-e.FirstToken), output)
	}
}

// observeDecode adds the time that the output took after its first part to the decode
// rate, without the part in which the target is assumed to have processed other prompts.
func (c *Cell[P, O]) observeDecode(r *run, span, output float64) {
	t := r.target
	stalled := 0.0
	if r.firstOutputAt > 0 {
		stalled = min(max(t.prefilled(c.now)-r.prefilled, 0), span*maxStallShare)
		t.stallShare.Add(stalled / span)
	}
	t.rates.decode.Add((span - stalled) / output)
}

// observeFirstOutput adds the time from a grant to the first output to the prefill
// rate or the overhead, unless another prompt was processed meanwhile.
func (c *Cell[P, O]) observeFirstOutput(r *run, span swclock.Millis) {
	t := r.target
	if t.plain() || !r.soloPrefill {
		return
	}
	estimated := t.rates.estimated(&c.typical)
	if r.expected.uncached >= minPrefillTokens {
		t.rates.prefill.Add(max(float64(span)-estimated.overhead, 1) / r.expected.uncached)
		return
	}
	t.rates.overhead.Add(max(float64(span)-r.expected.uncached*estimated.prefill, 1))
}

// endLostRuns ends the runs whose end was not reported within lostRunTimeout or orphanTimeout.
func (c *Cell[P, O]) endLostRuns() {
	for _, t := range c.targets {
		for _, r := range slices.Clone(t.runs) {
			end := r.grantRequest.Deadline + lostRunTimeout
			if r.orphanedAt > 0 {
				// Targets cancel a request when its connection closes, and the end of
				// the holder's process closes it.
				end = min(end, r.orphanedAt+orphanTimeout)
			}
			if c.now > end {
				c.endRun(r)
				t.occupancy.doubt(c.now)
			}
		}
	}
}
