package swtrial

import (
	"math/rand/v2"
	"strconv"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
)

// Scheduler is a decision core: swcell.Cell or one of the baselines.
type Scheduler interface {
	Step(now swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action
}

const (
	hop              = swclock.Millis(1)
	reportInterval   = 500 * swclock.Millis(1)
	reportAge        = 300 * swclock.Millis(1)
	cacheDelay       = 400 * swclock.Millis(1)
	cacheGapShare    = 0.1
	progressInterval = 250 * swclock.Millis(1)
	silenceTimeout   = 5 * swclock.Second
	seenDelay        = 500 * swclock.Millis(1)
	crashSpan        = 10 * swclock.Second
	holderID         = swid.HostID("holder")
)

// world joins the workload, one scheduler and the engines.
type world[S Scheduler] struct {
	loop
	scenario  *Scenario
	scheduler S
	engines   map[swid.TargetID]*engine
	// ordered holds the engines in the scenario's order.
	ordered []*engine
	asks    map[swid.Seq]*asked
	random  *rand.Rand
	// waiting counts the requests that wait for a grant, by tier.
	waiting [swid.MaxTiers]int
	result  Result
	actions []swcell.Action
}

// asked is the holder's state of one request.
type asked struct {
	request *request
	ask     swcell.Ask
	running *attempt
	// waiting is from the ask to the grant, and preempted from the order to the end.
	waiting   bool
	preempted bool
	ended     bool
}

// Run runs a scenario with a scheduler, which must be new.
func Run[S Scheduler](s Scenario, scheduler S) Result {
	w := &world[S]{
		scenario: &s, scheduler: scheduler,
		engines: make(map[swid.TargetID]*engine),
		asks:    make(map[swid.Seq]*asked),
		random:  rand.New(rand.NewPCG(s.Seed, 2)),
	}
	w.result = newResult(&s)
	w.configure()
	requests := s.workload()
	for _, r := range requests {
		w.at(r.arrival, func() { w.arrive(r) })
	}
	for _, f := range s.Faults {
		w.at(f.At, func() { w.fault(f) })
	}
	const drain = 5 * swclock.Second
	end := s.Span + s.longestDeadline() + drain
	w.every(swcell.TickInterval, end, func() { w.step(swcell.Tick{}) })
	w.every(reportInterval, end, w.report)
	w.runUntil(end)
	w.result.finish(requests)
	return w.result
}

func (w *world[S]) every(span, end swclock.Millis, run func()) {
	var again func()
	again = func() {
		run()
		if w.now+span <= end {
			w.after(span, again)
		}
	}
	w.after(span, again)
}

func (w *world[S]) configure() {
	var c swcell.Configure
	for _, conf := range w.scenario.Engines {
		e := newEngine(conf)
		w.engines[conf.ID] = e
		w.ordered = append(w.ordered, e)
		c.Targets = append(c.Targets, swcell.Target{
			ID: conf.ID, Generation: conf.Generation, State: swcell.TargetActive, Slots: conf.Slots,
			KVTokens: conf.KVTokens, PrefillRate: conf.PrefillRate, DecodeRate: conf.DecodeRate,
		})
	}
	w.step(c)
}

// step feeds an event and carries out what follows a hop later.
func (w *world[S]) step(e swcell.Event) {
	w.actions = w.scheduler.Step(w.now, e, w.actions[:0])
	for _, a := range w.actions {
		switch a := a.(type) {
		case swcell.Grant:
			w.result.granted(w.now, w.asks[a.Key.Seq])
			w.setWaiting(w.asks[a.Key.Seq], false)
			w.after(hop, func() { w.dispatch(a) })
		case swcell.GiveUp:
			w.givenUp(a)
		case swcell.Preempt:
			w.result.Preempted++
			w.asks[a.Key.Seq].preempted = true
			w.after(hop, func() { w.preempt(a) })
		}
	}
}

func orgID(n int) swid.OrgID { return swid.OrgID("org" + strconv.Itoa(n)) }

func (w *world[S]) arrive(r *request) {
	a := &asked{request: r, ask: swcell.Ask{
		Key: swcell.Key{Holder: holderID, Incarnation: 1, Seq: r.seq}, Attempt: 1,
		Tier: r.class.Tier, Org: orgID(r.org), Deadline: r.deadline,
		PromptTokens: r.prompt, OutputTokens: r.limit, Prefix: swprompt.Sample(r.prefix),
		Fingerprint: r.fingerprint, NonIdempotent: r.class.NonIdempotent,
	}}
	w.asks[r.seq] = a
	w.at(r.deadline, func() { w.leave(a, outcomeLate) })
	if r.leaves > 0 {
		w.at(r.leaves, func() { w.leave(a, outcomeLeft) })
	}
	w.ask(a)
}

func (w *world[S]) ask(a *asked) {
	w.setWaiting(a, true)
	w.step(a.ask)
}

func (w *world[S]) setWaiting(a *asked, waiting bool) {
	if a.waiting == waiting {
		return
	}
	a.waiting = waiting
	if waiting {
		w.waiting[a.request.class.Tier]++
	} else {
		w.waiting[a.request.class.Tier]--
	}
}

func (w *world[S]) dispatch(g swcell.Grant) {
	a := w.asks[g.Key.Seq]
	if a.ended || a.ask.Attempt != g.Attempt {
		return
	}
	e := w.engines[g.Target]
	t := &attempt{request: a.request, number: g.Attempt, engine: e, dispatched: w.now}
	if e.down {
		w.finish(a, t, swcell.ResultNotStarted)
		return
	}
	a.running = t
	e.queue = append(e.queue, t)
	w.result.dispatched(a, e)
	w.admit(e)
	w.after(progressInterval, func() { w.watch(a, t) })
}

// admit starts what an engine has room for.
func (w *world[S]) admit(e *engine) {
	if e.silent {
		return
	}
	w.schedule(e.admit(w.now))
	w.reportCache(e)
}

// schedule plans the ends of attempts. A plan that was made too late is void, since the attempt is over by then.
func (w *world[S]) schedule(attempts []*attempt) {
	for _, t := range attempts {
		a, e := w.asks[t.request.seq], t.engine
		if t.request.poison {
			w.at(t.firstToken, func() {
				if !t.over {
					w.crash(e, crashSpan)
				}
			})
			continue
		}
		w.at(t.end, func() {
			if !t.over && !e.silent {
				w.finish(a, t, swcell.ResultAnswered)
			}
		})
	}
}

// watch reports progress and ends attempts that went silent.
func (w *world[S]) watch(a *asked, t *attempt) {
	if t.over {
		return
	}
	if t.engine.silent {
		w.after(silenceTimeout, func() {
			if !t.over {
				w.finish(a, t, swcell.ResultBroken)
			}
		})
		return
	}
	if n := t.produced(w.now); n > 0 {
		w.step(swcell.Progress{Key: a.ask.Key, Attempt: t.number, Produced: n})
	}
	w.after(progressInterval, func() { w.watch(a, t) })
}

// finish ends an attempt and tells the scheduler.
func (w *world[S]) finish(a *asked, t *attempt, result swcell.Result) {
	done := swcell.Done{
		Key: a.ask.Key, Attempt: t.number, Target: t.engine.conf.ID, Result: result,
		PromptTokens: t.request.prompt, OutputTokens: t.produced(w.now), CachedTokens: t.cached,
		Total: w.now - t.dispatched,
	}
	if t.started && w.now >= t.firstToken {
		done.FirstToken = t.firstToken - t.dispatched
	}
	a.running = nil
	w.result.attempted(a, t, w.now, result == swcell.ResultAnswered && w.now <= a.request.deadline)
	w.schedule(t.engine.remove(t, w.now))
	if result == swcell.ResultAnswered && !a.ended {
		w.end(a, outcomeAnswered)
	}
	w.admit(t.engine)
	w.after(hop, func() {
		w.step(done)
		w.askAgain(a, t)
	})
}

// askAgain asks for another attempt where repeating is allowed.
func (w *world[S]) askAgain(a *asked, t *attempt) {
	if a.ended {
		return
	}
	if a.request.class.NonIdempotent && t.started {
		w.end(a, outcomeUnknown)
		return
	}
	a.ask.Attempt++
	a.ask.Exclude = append(a.ask.Exclude[:len(a.ask.Exclude):len(a.ask.Exclude)], t.engine.conf.ID)
	a.preempted = false
	w.ask(a)
}

func (w *world[S]) preempt(p swcell.Preempt) {
	a := w.asks[p.Key.Seq]
	if t := a.running; t != nil && t.number == p.Attempt {
		w.finish(a, t, swcell.ResultCancelled)
	}
}

func (w *world[S]) givenUp(g swcell.GiveUp) {
	if a := w.asks[g.Key.Seq]; !a.ended {
		w.end(a, outcomeRefused)
		w.result.reason(g.Reason)
		if g.Reason == swcell.ReasonOverload {
			w.shed(a, g.RetryAfter)
		}
	}
}

// shed checks that no lower tier is served at the expense of a shed request.
func (w *world[S]) shed(a *asked, after swclock.Millis) {
	tier := a.request.class.Tier
	latest := min(a.request.deadline, w.now+after)
	w.result.shedUntil[tier] = max(w.result.shedUntil[tier], latest)
	for lower := tier + 1; lower < swid.MaxTiers; lower++ {
		if w.waiting[lower] > 0 {
			w.result.Inversions++
		}
	}
	for _, e := range w.ordered {
		for _, t := range e.running {
			o := w.asks[t.request.seq]
			if t.request.class.Tier > tier && !o.preempted && !t.request.class.NonIdempotent {
				w.result.Inversions++
			}
		}
	}
}

// leave ends a request whose deadline passed or whose caller left.
func (w *world[S]) leave(a *asked, o outcome) {
	if a.ended {
		return
	}
	w.end(a, o)
	if a.running != nil {
		w.finish(a, a.running, swcell.ResultCancelled)
		return
	}
	w.step(swcell.Withdraw{Key: a.ask.Key, Attempt: a.ask.Attempt})
}

func (w *world[S]) end(a *asked, o outcome) {
	a.ended = true
	w.setWaiting(a, false)
	w.result.ended(a, o)
}
