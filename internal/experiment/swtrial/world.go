package swtrial

import (
	"math/rand/v2"
	"strconv"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
)

// Scheduler decides which attempts to grant: a swcell.Cell or one of the baselines.
type Scheduler interface {
	Step(now swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action
}

const (
	messageDelay        = swclock.Millis(1)
	loadReportInterval  = 500 * swclock.Millis(1)
	loadReportAge       = 300 * swclock.Millis(1)
	cacheReportDelay    = 400 * swclock.Millis(1)
	cacheGapProbability = 0.1
	progressInterval    = 250 * swclock.Millis(1)
	unresponsiveTimeout = 5 * swclock.Second
	reachabilityDelay   = 500 * swclock.Millis(1)
	poisonDowntime      = 10 * swclock.Second
	holderID            = swid.HostID("holder")
)

// simulation connects the workload, one scheduler and the engines.
type simulation[S Scheduler] struct {
	eventLoop
	scenario  *Scenario
	scheduler S
	engines   map[swid.TargetID]*engine
	// orderedEngines holds the engines in the order of the scenario.
	orderedEngines []*engine
	requests       map[swid.Seq]*requestState
	random         *rand.Rand
	// waiting counts the requests that wait for a grant, by tier.
	waiting [swid.MaxTiers]int
	result  Result
	actions []swcell.Action
}

// requestState is the holder's state of one request.
type requestState struct {
	request      *request
	grantRequest swcell.GrantRequest
	running      *attempt
	// waiting is true from the grant request to the grant. preempted is true from the Preempt action
	// to the next attempt.
	waiting   bool
	preempted bool
	ended     bool
}

// Run runs a scenario with a scheduler that has not processed any event yet.
func Run[S Scheduler](s Scenario, scheduler S) Result {
	sim := &simulation[S]{
		scenario: &s, scheduler: scheduler,
		engines:  make(map[swid.TargetID]*engine),
		requests: make(map[swid.Seq]*requestState),
		random:   rand.New(rand.NewPCG(s.Seed, 2)),
	}
	sim.result = newResult(&s)
	sim.configure()
	requests := s.workload()
	for _, r := range requests {
		sim.at(r.arrival, func() { sim.arrive(r) })
	}
	for _, f := range s.Faults {
		sim.at(f.At, func() { sim.applyFault(f) })
	}
	const drainTime = 5 * swclock.Second
	end := s.Span + s.longestDeadline() + drainTime
	sim.every(swcell.TickInterval, end, func() { sim.step(swcell.Tick{}) })
	sim.every(loadReportInterval, end, sim.reportLoads)
	sim.runUntil(end)
	sim.result.countOffered(requests)
	return sim.result
}

func (sim *simulation[S]) every(span, end swclock.Millis, run func()) {
	var runAgain func()
	runAgain = func() {
		run()
		if sim.now+span <= end {
			sim.after(span, runAgain)
		}
	}
	sim.after(span, runAgain)
}

func (sim *simulation[S]) configure() {
	var c swcell.Configure
	for _, conf := range sim.scenario.Engines {
		e := newEngine(conf)
		sim.engines[conf.ID] = e
		sim.orderedEngines = append(sim.orderedEngines, e)
		c.Targets = append(c.Targets, swcell.Target{
			ID: conf.ID, Generation: conf.Generation, State: swcell.TargetActive, Slots: conf.Slots,
			KVTokens: conf.KVTokens, PrefillRate: conf.PrefillRate, DecodeRate: conf.DecodeRate,
		})
	}
	sim.step(c)
}

// step passes an event to the scheduler and executes the resulting actions. Grants and
// preemptions reach the holder after messageDelay; rejections take effect at once.
func (sim *simulation[S]) step(e swcell.Event) {
	sim.actions = sim.scheduler.Step(sim.now, e, sim.actions[:0])
	for _, a := range sim.actions {
		switch a := a.(type) {
		case swcell.Grant:
			sim.result.granted(sim.now, sim.requests[a.Key.Seq])
			sim.setWaiting(sim.requests[a.Key.Seq], false)
			sim.after(messageDelay, func() { sim.dispatch(a) })
		case swcell.Reject:
			sim.handleRejection(a)
		case swcell.Preempt:
			sim.result.Preemptions++
			sim.requests[a.Key.Seq].preempted = true
			sim.after(messageDelay, func() { sim.preempt(a) })
		}
	}
}

func orgID(n int) swid.OrgID { return swid.OrgID("org" + strconv.Itoa(n)) }

func (sim *simulation[S]) arrive(q *request) {
	r := &requestState{request: q, grantRequest: swcell.GrantRequest{
		Key: swcell.Key{Holder: holderID, Incarnation: 1, Seq: q.seq}, Attempt: 1,
		Tier: q.class.Tier, Org: orgID(q.org), Deadline: q.deadline,
		PromptTokens: q.prompt, OutputTokens: q.limit, Prefix: swprompt.Sample(q.prefix),
		Fingerprint: q.fingerprint, NonIdempotent: q.class.NonIdempotent,
	}}
	sim.requests[q.seq] = r
	sim.at(q.deadline, func() { sim.cancelRequest(r, outcomeLate) })
	if q.abandonAt > 0 {
		sim.at(q.abandonAt, func() { sim.cancelRequest(r, outcomeAbandoned) })
	}
	sim.sendGrantRequest(r)
}

// sendGrantRequest sends the grant request for an attempt to the scheduler.
func (sim *simulation[S]) sendGrantRequest(r *requestState) {
	sim.setWaiting(r, true)
	sim.step(r.grantRequest)
}

func (sim *simulation[S]) setWaiting(r *requestState, waiting bool) {
	if r.waiting == waiting {
		return
	}
	r.waiting = waiting
	if waiting {
		sim.waiting[r.request.class.Tier]++
	} else {
		sim.waiting[r.request.class.Tier]--
	}
}

func (sim *simulation[S]) dispatch(g swcell.Grant) {
	r := sim.requests[g.Key.Seq]
	if r.ended || r.grantRequest.Attempt != g.Attempt {
		return
	}
	e := sim.engines[g.Target]
	a := &attempt{request: r.request, number: g.Attempt, engine: e, dispatched: sim.now}
	if e.down {
		sim.finishAttempt(r, a, swcell.ResultNotStarted)
		return
	}
	r.running = a
	e.queue = append(e.queue, a)
	sim.result.dispatched(r, e)
	sim.admit(e)
	sim.after(progressInterval, func() { sim.checkProgress(r, a) })
}

// admit starts the queued attempts for which an engine has capacity, unless it is unresponsive.
func (sim *simulation[S]) admit(e *engine) {
	if e.unresponsive {
		return
	}
	sim.scheduleEnds(e.admit(sim.now))
	sim.reportCache(e)
}

// scheduleEnds sets a timer for the end of each attempt. An attempt whose end moves to
// an earlier time keeps its old timer, which does nothing once the attempt has ended.
func (sim *simulation[S]) scheduleEnds(attempts []*attempt) {
	for _, a := range attempts {
		r, e := sim.requests[a.request.seq], a.engine
		if a.request.poison {
			sim.at(a.firstToken, func() {
				if !a.ended {
					sim.crash(e, poisonDowntime)
				}
			})
			continue
		}
		sim.at(a.end, func() {
			if !a.ended && !e.unresponsive {
				sim.finishAttempt(r, a, swcell.ResultAnswered)
			}
		})
	}
}

// checkProgress reports the progress of an attempt every progressInterval. If it finds the
// engine unresponsive, it ends the attempt after unresponsiveTimeout.
func (sim *simulation[S]) checkProgress(r *requestState, a *attempt) {
	if a.ended {
		return
	}
	if a.engine.unresponsive {
		sim.after(unresponsiveTimeout, func() {
			if !a.ended {
				sim.finishAttempt(r, a, swcell.ResultBroken)
			}
		})
		return
	}
	if n := a.producedTokens(sim.now); n > 0 {
		sim.step(swcell.Progress{Key: r.grantRequest.Key, Attempt: a.number, Produced: n})
	}
	sim.after(progressInterval, func() { sim.checkProgress(r, a) })
}

// finishAttempt ends an attempt, reports it to the scheduler after messageDelay and then
// retries the request if it has not ended.
func (sim *simulation[S]) finishAttempt(r *requestState, a *attempt, result swcell.Result) {
	done := swcell.Done{
		Key: r.grantRequest.Key, Attempt: a.number, Target: a.engine.conf.ID, Result: result,
		PromptTokens: a.request.prompt, OutputTokens: a.producedTokens(sim.now), CachedTokens: a.cachedTokens,
		Total: sim.now - a.dispatched,
	}
	if a.started && sim.now >= a.firstToken {
		done.FirstToken = a.firstToken - a.dispatched
	}
	r.running = nil
	sim.result.attempted(r, a, sim.now, result == swcell.ResultAnswered && sim.now <= r.request.deadline)
	sim.scheduleEnds(a.engine.remove(a, sim.now))
	if result == swcell.ResultAnswered && !r.ended {
		sim.endRequest(r, outcomeAnswered)
	}
	sim.admit(a.engine)
	sim.after(messageDelay, func() {
		sim.step(done)
		sim.retry(r, a)
	})
}

// retry requests a grant for another attempt on a different target. It ends a request that
// is not idempotent with an unknown outcome if its attempt had started.
func (sim *simulation[S]) retry(r *requestState, a *attempt) {
	if r.ended {
		return
	}
	if r.request.class.NonIdempotent && a.started {
		sim.endRequest(r, outcomeUnknown)
		return
	}
	r.grantRequest.Attempt++
	r.grantRequest.Exclude = append(r.grantRequest.Exclude[:len(r.grantRequest.Exclude):len(r.grantRequest.Exclude)], a.engine.conf.ID)
	r.preempted = false
	sim.sendGrantRequest(r)
}

func (sim *simulation[S]) preempt(p swcell.Preempt) {
	r := sim.requests[p.Key.Seq]
	if a := r.running; a != nil && a.number == p.Attempt {
		sim.finishAttempt(r, a, swcell.ResultCancelled)
	}
}

func (sim *simulation[S]) handleRejection(g swcell.Reject) {
	if r := sim.requests[g.Key.Seq]; !r.ended {
		sim.endRequest(r, outcomeRejected)
		sim.result.rejected(g.Reason)
		if g.Reason == swcell.ReasonOverload {
			sim.countInversions(r, g.RetryAfter)
		}
	}
}

// countInversions counts the lower tiers that are served although a request is rejected for
// overload: one inversion for each that has waiting requests, and one for each running attempt
// that could be preempted and is not. It also extends shedUntil, by which later grants are checked.
func (sim *simulation[S]) countInversions(r *requestState, retryAfter swclock.Millis) {
	tier := r.request.class.Tier
	latest := min(r.request.deadline, sim.now+retryAfter)
	sim.result.shedUntil[tier] = max(sim.result.shedUntil[tier], latest)
	for lower := tier + 1; lower < swid.MaxTiers; lower++ {
		if sim.waiting[lower] > 0 {
			sim.result.Inversions++
		}
	}
	for _, e := range sim.orderedEngines {
		for _, a := range e.running {
			other := sim.requests[a.request.seq]
			if a.request.class.Tier > tier && !other.preempted && !a.request.class.NonIdempotent {
				sim.result.Inversions++
			}
		}
	}
}

// cancelRequest ends a request whose deadline has passed or whose caller abandoned it.
func (sim *simulation[S]) cancelRequest(r *requestState, o outcome) {
	if r.ended {
		return
	}
	sim.endRequest(r, o)
	if r.running != nil {
		sim.finishAttempt(r, r.running, swcell.ResultCancelled)
		return
	}
	sim.step(swcell.Withdraw{Key: r.grantRequest.Key, Attempt: r.grantRequest.Attempt})
}

func (sim *simulation[S]) endRequest(r *requestState, o outcome) {
	r.ended = true
	sim.setWaiting(r, false)
	sim.result.ended(r, o)
}
