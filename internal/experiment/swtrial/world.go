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

func (sim *simulation[S]) arrive(r *request) {
	a := &requestState{request: r, grantRequest: swcell.GrantRequest{
		Key: swcell.Key{Holder: holderID, Incarnation: 1, Seq: r.seq}, Attempt: 1,
		Tier: r.class.Tier, Org: orgID(r.org), Deadline: r.deadline,
		PromptTokens: r.prompt, OutputTokens: r.limit, Prefix: swprompt.Sample(r.prefix),
		Fingerprint: r.fingerprint, NonIdempotent: r.class.NonIdempotent,
	}}
	sim.requests[r.seq] = a
	sim.at(r.deadline, func() { sim.cancelRequest(a, outcomeLate) })
	if r.abandonAt > 0 {
		sim.at(r.abandonAt, func() { sim.cancelRequest(a, outcomeAbandoned) })
	}
	sim.sendGrantRequest(a)
}

// sendGrantRequest sends the grant request for an attempt to the scheduler.
func (sim *simulation[S]) sendGrantRequest(a *requestState) {
	sim.setWaiting(a, true)
	sim.step(a.grantRequest)
}

func (sim *simulation[S]) setWaiting(a *requestState, waiting bool) {
	if a.waiting == waiting {
		return
	}
	a.waiting = waiting
	if waiting {
		sim.waiting[a.request.class.Tier]++
	} else {
		sim.waiting[a.request.class.Tier]--
	}
}

func (sim *simulation[S]) dispatch(g swcell.Grant) {
	a := sim.requests[g.Key.Seq]
	if a.ended || a.grantRequest.Attempt != g.Attempt {
		return
	}
	e := sim.engines[g.Target]
	t := &attempt{request: a.request, number: g.Attempt, engine: e, dispatched: sim.now}
	if e.down {
		sim.finishAttempt(a, t, swcell.ResultNotStarted)
		return
	}
	a.running = t
	e.queue = append(e.queue, t)
	sim.result.dispatched(a, e)
	sim.admit(e)
	sim.after(progressInterval, func() { sim.checkProgress(a, t) })
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
	for _, t := range attempts {
		a, e := sim.requests[t.request.seq], t.engine
		if t.request.poison {
			sim.at(t.firstToken, func() {
				if !t.ended {
					sim.crash(e, poisonDowntime)
				}
			})
			continue
		}
		sim.at(t.end, func() {
			if !t.ended && !e.unresponsive {
				sim.finishAttempt(a, t, swcell.ResultAnswered)
			}
		})
	}
}

// checkProgress reports the progress of an attempt every progressInterval. If it finds the
// engine unresponsive, it ends the attempt after unresponsiveTimeout.
func (sim *simulation[S]) checkProgress(a *requestState, t *attempt) {
	if t.ended {
		return
	}
	if t.engine.unresponsive {
		sim.after(unresponsiveTimeout, func() {
			if !t.ended {
				sim.finishAttempt(a, t, swcell.ResultBroken)
			}
		})
		return
	}
	if n := t.producedTokens(sim.now); n > 0 {
		sim.step(swcell.Progress{Key: a.grantRequest.Key, Attempt: t.number, Produced: n})
	}
	sim.after(progressInterval, func() { sim.checkProgress(a, t) })
}

// finishAttempt ends an attempt, reports it to the scheduler after messageDelay and then
// retries the request if it has not ended.
func (sim *simulation[S]) finishAttempt(a *requestState, t *attempt, result swcell.Result) {
	done := swcell.Done{
		Key: a.grantRequest.Key, Attempt: t.number, Target: t.engine.conf.ID, Result: result,
		PromptTokens: t.request.prompt, OutputTokens: t.producedTokens(sim.now), CachedTokens: t.cachedTokens,
		Total: sim.now - t.dispatched,
	}
	if t.started && sim.now >= t.firstToken {
		done.FirstToken = t.firstToken - t.dispatched
	}
	a.running = nil
	sim.result.attempted(a, t, sim.now, result == swcell.ResultAnswered && sim.now <= a.request.deadline)
	sim.scheduleEnds(t.engine.remove(t, sim.now))
	if result == swcell.ResultAnswered && !a.ended {
		sim.endRequest(a, outcomeAnswered)
	}
	sim.admit(t.engine)
	sim.after(messageDelay, func() {
		sim.step(done)
		sim.retry(a, t)
	})
}

// retry requests a grant for another attempt on a different target. It ends a request that
// is not idempotent with an unknown outcome if its attempt had started.
func (sim *simulation[S]) retry(a *requestState, t *attempt) {
	if a.ended {
		return
	}
	if a.request.class.NonIdempotent && t.started {
		sim.endRequest(a, outcomeUnknown)
		return
	}
	a.grantRequest.Attempt++
	a.grantRequest.Exclude = append(a.grantRequest.Exclude[:len(a.grantRequest.Exclude):len(a.grantRequest.Exclude)], t.engine.conf.ID)
	a.preempted = false
	sim.sendGrantRequest(a)
}

func (sim *simulation[S]) preempt(p swcell.Preempt) {
	a := sim.requests[p.Key.Seq]
	if t := a.running; t != nil && t.number == p.Attempt {
		sim.finishAttempt(a, t, swcell.ResultCancelled)
	}
}

func (sim *simulation[S]) handleRejection(g swcell.Reject) {
	if a := sim.requests[g.Key.Seq]; !a.ended {
		sim.endRequest(a, outcomeRefused)
		sim.result.rejected(g.Reason)
		if g.Reason == swcell.ReasonOverload {
			sim.countInversions(a, g.RetryAfter)
		}
	}
}

// countInversions counts the lower tiers that are served although a request is rejected for
// overload: one inversion for each that has waiting requests, and one for each running attempt
// that could be preempted and is not. It also extends shedUntil, by which later grants are checked.
func (sim *simulation[S]) countInversions(a *requestState, retryAfter swclock.Millis) {
	tier := a.request.class.Tier
	latest := min(a.request.deadline, sim.now+retryAfter)
	sim.result.shedUntil[tier] = max(sim.result.shedUntil[tier], latest)
	for lower := tier + 1; lower < swid.MaxTiers; lower++ {
		if sim.waiting[lower] > 0 {
			sim.result.Inversions++
		}
	}
	for _, e := range sim.orderedEngines {
		for _, t := range e.running {
			o := sim.requests[t.request.seq]
			if t.request.class.Tier > tier && !o.preempted && !t.request.class.NonIdempotent {
				sim.result.Inversions++
			}
		}
	}
}

// cancelRequest ends a request whose deadline has passed or whose caller abandoned it.
func (sim *simulation[S]) cancelRequest(a *requestState, o outcome) {
	if a.ended {
		return
	}
	sim.endRequest(a, o)
	if a.running != nil {
		sim.finishAttempt(a, a.running, swcell.ResultCancelled)
		return
	}
	sim.step(swcell.Withdraw{Key: a.grantRequest.Key, Attempt: a.grantRequest.Attempt})
}

func (sim *simulation[S]) endRequest(a *requestState, o outcome) {
	a.ended = true
	sim.setWaiting(a, false)
	sim.result.ended(a, o)
}
