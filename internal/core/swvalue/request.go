package swvalue

import (
	"slices"
	"sort"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// request is an attempt that waits for a grant.
type request struct {
	grantRequest swcell.GrantRequest
	requestedAt  swclock.Millis
	// prefixes identifies each prefix of the prompt, the shortest first.
	prefixes []prefix
	// value is what an answer in time is worth.
	value float64
	// output is the number of tokens that the whole answer is expected to have.
	output float64
	// charged is what the organisation's quota was charged.
	charged float64

	// origin is that of the stream which the request continues, once it is known.
	origin sworigin.Origin
	// originPending is set while the store has not been read for the origin.
	originPending bool
	// unreached is the result of needsCarrier at an instant and a number of changes.
	unreached    bool
	reachAt      swclock.Millis
	reachChanges uint64
	// prompt identifies the parts of the prompt.
	prompt swsuspect.Prompt
	// apart is set while the content is to run apart, see swsuspect.Register.RunsApart, and suspects
	// has the parts for which the request is, see swsuspect.Parts.Verdict.
	apart    bool
	suspects []swsuspect.SuspectPart
	// vouched is set while all parts of the prompt are known to be harmless, see swsuspect.Parts.Vouched.
	vouched bool
	// arrival numbers the requests in the order in which they came to wait, and rank is the one in queued.
	arrival uint64
	rank    float64
	// precedes is set if the request continues a stream and ranks above new requests.
	precedes bool
	// rejected is set once a review has rejected the request.
	rejected bool
	// declinedAt is the value of Cell.changes when the request last declined the free targets, and
	// offerAllAt when it is offered all of them again.
	declinedAt uint64
	offerAllAt swclock.Millis
	// idleBest and idleFound are the result of bestIdle, which is used until an instant. If there is no target, it is used until
	// Cell.listing changes, but until idleAgainAt at least.
	idleBest    estimate
	idleFound   bool
	idleUntil   swclock.Millis
	idleListing uint64
	idleAgainAt swclock.Millis
	// busyShare is the result of busyShare, which is used until an instant.
	busyShare      float64
	busyShareUntil swclock.Millis
	// admission is the result of versionsFor.
	admission admission
}

// runKey identifies one attempt.
type runKey struct {
	key     swcell.Key
	attempt swid.Attempt
}

// run is an attempt that was granted and occupies a slot of its target.
type run struct {
	grantRequest swcell.GrantRequest
	prefixes     []prefix
	target       *target
	grantedAt    swclock.Millis
	output       float64
	charged      float64
	// expected is the estimate at the grant.
	expected estimate
	// prefillEnd is the instant at which the prompt is expected to have been processed.
	prefillEnd float64
	// firstOutputAt is when the first output was reported, or 0, and prefilled is the
	// time that the target had spent on prompts by then.
	firstOutputAt swclock.Millis
	prefilled     float64
	produced      swid.Tokens
	// orphanedAt is when the death of the holder was recorded, or 0 before.
	orphanedAt swclock.Millis
	prompt     swsuspect.Prompt
	// origin is that of the stream which the run continues, if it continues one.
	origin sworigin.Origin
	// carrier is the host that carries the request; empty if there is none.
	carrier swid.HostID
	// elsewhere is set once another owner schedules the holder's requests, and grants what this run leaves free.
	elsewhere bool
	// apart is set if the content runs apart, and suspects has the parts for which the request does.
	apart    bool
	suspects []swsuspect.SuspectPart
	// sound is set once it is certain that the target can answer the prompt.
	sound bool
	// soloPrefill is set if the target processed no other prompt between the grant and
	// the first output.
	soloPrefill bool
	// atGrant is what was known of the target at the grant.
	atGrant atGrant
}

func (r *run) id() runKey { return runKey{r.grantRequest.Key, r.grantRequest.Attempt} }

// tokens returns the most tokens of a target's memory that an attempt can take.
func tokens(a *swcell.GrantRequest) swid.Tokens { return a.PromptTokens + a.OutputTokens }

// handleGrantRequest admits an attempt, rejects it if its content is suspect, or repeats
// its grant. An attempt replaces an earlier one of the same request that still waits. An
// attempt that already waits or was decided before is ignored.
func (c *Cell[P, O]) handleGrantRequest(e swcell.GrantRequest) {
	if r := c.running[runKey{e.Key, e.Attempt}]; r != nil {
		// The holder repeats its grant request because the grant was lost.
		c.emit(r.grant())
		return
	}
	if c.decided.covers(e.Key, e.Attempt) {
		return
	}
	if earlier := c.waitingByKey[e.Key]; earlier != nil {
		if e.Attempt == earlier.grantRequest.Attempt {
			c.setCarry(earlier, e.Carry)
		}
		if e.Attempt <= earlier.grantRequest.Attempt {
			return
		}
		c.remove(earlier)
	}
	c.recordArrival(&e)
	c.cfg.Strikes.Report(e.Fingerprint, int(e.Strikes), c.now)
	r := c.newRequest(e)
	if wait, refused := c.refused(r); refused {
		c.reject(r, swcell.ReasonSuspect, wait)
		return
	}
	if reason := c.resolveOrigin(r); reason != 0 {
		c.rejectWithoutOrigin(r, reason)
		return
	}
	c.admit(r)
}

func (c *Cell[P, O]) newRequest(e swcell.GrantRequest) *request {
	r := &request{grantRequest: e, requestedAt: c.now, prefixes: prefixesOf(e.Parts), prompt: promptOf(&e), origin: e.Continuation.Origin}
	if e.PromptTokens > 0 {
		r.output = c.sizes.expectedOutput(&e)
	}
	r.value = c.cfg.TierValues[c.tierIndex(e.Tier)] * c.sizes.weight(&e, r.output)
	return r
}

// remainingOutputShare is the share of its expected output that a stream which goes on is expected to generate: streams break at any
// point, and the owner does not know at which.
const remainingOutputShare = 0.5

// remainingOutput returns the number of tokens that the request is expected to generate if it is granted.
func (r *request) remainingOutput() float64 {
	if r.grantRequest.Continuation.Continues {
		return r.output * remainingOutputShare
	}
	return r.output
}

// add adds a request to those that wait.
func (c *Cell[P, O]) add(r *request) {
	if r.precedes {
		c.continued.add(c.workFor(r, float64(r.grantRequest.PromptTokens), r.remainingOutput()), c.now)
	}
	c.arrivals++
	r.arrival = c.arrivals
	c.waiting = append(c.waiting, r)
	c.waitingByKey[r.grantRequest.Key] = r
}

// remove removes a waiting request.
func (c *Cell[P, O]) remove(r *request) {
	c.queued.remove(r)
	i := sort.Search(len(c.waiting), func(i int) bool { return c.waiting[i].arrival >= r.arrival })
	c.waiting = slices.Delete(c.waiting, i, i+1)
	delete(c.waitingByKey, r.grantRequest.Key)
}

// removeAll removes the waiting requests for which a function returns true, but not from queued.
func (c *Cell[P, O]) removeAll(removed func(*request) bool) {
	c.waiting = slices.DeleteFunc(c.waiting, func(r *request) bool {
		if !removed(r) {
			return false
		}
		delete(c.waitingByKey, r.grantRequest.Key)
		return true
	})
}

func (c *Cell[P, O]) reject(r *request, reason swcell.RejectReason, after swclock.Millis) {
	c.uncharge(&r.grantRequest, r.charged)
	c.decided.add(r.grantRequest.Key, r.grantRequest.Attempt)
	c.emit(swcell.Reject{Key: r.grantRequest.Key, Attempt: r.grantRequest.Attempt, Reason: reason, RetryAfter: after})
}

// handleWithdraw cancels a waiting request or a grant that was not used.
func (c *Cell[P, O]) handleWithdraw(e swcell.Withdraw) {
	if r := c.waitingByKey[e.Key]; r != nil && r.grantRequest.Attempt == e.Attempt {
		c.uncharge(&r.grantRequest, r.charged)
		c.remove(r)
	}
	if r := c.running[runKey{e.Key, e.Attempt}]; r != nil {
		c.unchargeRun(r)
		c.recordUnsent(r)
		c.endRun(r)
		c.decided.forget(e.Key)
	}
}

// handleInFlight records an attempt that its holder reports as dispatched, usually under
// another owner. The owner also requests this report again after a lost link; a report
// of an attempt that is already recorded changes nothing.
func (c *Cell[P, O]) handleInFlight(e swcell.InFlight) {
	id := runKey{e.GrantRequest.Key, e.GrantRequest.Attempt}
	if known := c.running[id]; known != nil {
		known.elsewhere = false
		return
	}
	if r := c.waitingByKey[e.GrantRequest.Key]; r != nil && r.grantRequest.Attempt <= e.GrantRequest.Attempt {
		c.remove(r)
	}
	t := c.byID[e.Target]
	if t == nil {
		// The target takes no new work until a configuration lists it.
		t = c.addTarget(swcell.Target{ID: e.Target})
	}
	r := c.start(c.newRequest(e.GrantRequest), t, e.Carrier)
	r.grantedAt = c.now - e.Elapsed
	if e.Produced > 0 {
		r.produced, r.firstOutputAt = e.Produced, c.now
	}
}

// handleHolderDied removes the waiting requests of a process that died and marks its
// runs as orphaned.
func (c *Cell[P, O]) handleHolderDied(e swcell.HolderDied) {
	died := func(k swcell.Key) bool { return k.Holder == e.Holder && k.Incarnation <= e.Incarnation }
	c.removeAll(func(r *request) bool { return died(r.grantRequest.Key) })
	c.queued.entries = slices.DeleteFunc(c.queued.entries, func(q ranked) bool { return died(q.request.grantRequest.Key) })
	for k, r := range c.running {
		if died(k.key) && r.orphanedAt == 0 {
			r.orphanedAt = max(c.now, 1)
			r.target.occupancy.doubt(c.now)
		}
	}
}

// processOf returns the process of the request's holder.
func processOf(a *swcell.GrantRequest) swquota.Process {
	return swquota.Process{Host: a.Key.Holder, Incarnation: a.Key.Incarnation}
}

// unchargeRun gives the charge of a run that has not run back. The next attempt of the request is charged.
func (c *Cell[P, O]) unchargeRun(r *run) {
	c.uncharge(&r.grantRequest, r.charged)
	if r.charged > 0 {
		c.uncharged.add(r.grantRequest.Key)
	}
}

// uncharge gives the charge of a request back to its organisation's quota, because the
// request did not run.
func (c *Cell[P, O]) uncharge(a *swcell.GrantRequest, amount float64) {
	if c.cfg.Ledger != nil && amount > 0 {
		c.cfg.Ledger.Return(processOf(a), a.Org, amount, c.now)
	}
}
