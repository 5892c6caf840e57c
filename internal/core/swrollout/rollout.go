package swrollout

import (
	"cmp"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// CompletionMargin is the time before the deadline at which the planned end lies: it covers a write to the store and
	// another one after the first was lost.
	CompletionMargin = 600 * swclock.Millis(1)
	// rollbackMargin is the time before the deadline at which an order is rolled back that cannot be completed.
	rollbackMargin = 300 * swclock.Millis(1)
	// clockError is what the times of day of two hosts may differ by; an owner that takes an order over ends it earlier by that.
	clockError = 200 * swclock.Millis(1)
	// judgeInterval is the least time between two looks at the answers of the new version, and baselineInterval at those of the
	// old ones.
	judgeInterval    = 200 * swclock.Millis(1)
	baselineInterval = swclock.Second
	// minMoveTime is the least time for which traffic moves.
	minMoveTime = 1500 * swclock.Millis(1)
	// lastTrialTime is the time before the planned end until which the trial may go on if too little was seen.
	lastTrialTime = 800 * swclock.Millis(1)
	// moveDurations is the time for which traffic moves, in durations of long requests.
	moveDurations = 1.5
	// minTrialShare is the share of an order's duration that the trial takes at least.
	minTrialShare = 0.6
	// durationRise and durationFall weigh a new expected duration of a route's requests.
	durationRise, durationFall = 0.5, 0.05
	// writeRetry is the time from a failed write to the next one.
	writeRetry = 100 * swclock.Millis(1)
	// MaxConflictPause is the longest time from a write that conflicted to the next one: the time doubles until a write succeeds.
	MaxConflictPause = 1600 * swclock.Millis(1)
	// slotUse is the share of the new targets' slots that the traffic may take at completion, and slotShare the share of the slots of
	// the old ones that is enough in any case.
	slotUse, slotShare = 0.9, 0.85
	// reasonOnlyVersion is the reason of an order for the version that alone is in service.
	reasonOnlyVersion = "onlyVersion"
	// usedSteps is the number of calls of Step over which the slots in use are averaged.
	usedSteps = 8
)

// Rollout decides one order. It is not safe for concurrent use.
type Rollout struct {
	config Config
	order  Order
	// record is the latest record that is known to be in the store, or what is known beyond it: exposure that was reserved
	// and a final state are kept if the store is set back.
	record Record
	ledger ledger
	// startedAt is when the order was first seen, and deadline is Duration later.
	startedAt, deadline swclock.Millis
	startedUnix         int64

	// pending is the record that Step returned, until its outcome is known. pendingUnits are the units that it reserves,
	// and pendingArrived the requests that it counts.
	pending                      *Record
	pendingUnits, pendingArrived uint64
	retryAt                      swclock.Millis
	// conflictPause is the time after the next write that conflicts.
	conflictPause swclock.Millis

	verdict Verdict
	reason  string
	soundAt swclock.Millis
	// ending is set once the record of the completion may have been written: the targets of other versions may be gone.
	ending bool
	// behind is set if the store has an older record than is known: it was set back.
	behind bool

	names                          names
	old, fresh                     samples
	inheritedAnswers, inheritedBad uint64
	// foreignBad are the bad answers in records that another owner has written since, beyond the inherited ones. They may include
	// some that are known here.
	foreignBad uint64
	routes     map[Route]*routeState
	// asks counts the calls of Versions for these routes.
	asks uint64
	// asked is the route for which the new version was last allowed.
	asked   Route
	running []Running

	// baseline is what the answers of old versions said at baselineAt, and last what those of the new one did at judgedAt.
	baseline             *baseline
	last                 *judgement
	baselineAt, judgedAt swclock.Millis
	baselineTotal        uint64
	// manyBadAt is when pauseAnswers were known, if manyBad.
	manyBad   bool
	manyBadAt swclock.Millis
	// changed is set if answers of the new version came since.
	changed   bool
	steppedAt swclock.Millis
	situation Situation
	// usedSlots follows the number of requests that run during the trial, if usedKnown.
	usedSlots float64
	usedKnown bool
}

// routeState is what is known of a route's requests.
type routeState struct {
	// mayLast follows the longer durations that are expected.
	mayLast float64
	// granted counts the route's requests that were granted to the new version.
	granted uint64
	// answered counts its answers from the new version.
	answered uint64
	// asks counts the calls of Versions.
	asks uint64
}

// New returns the roll-out of an order whose record the store has. unixNow is the host's time of day in Unix milliseconds.
func New(config Config, order Order, record Record, now swclock.Millis, unixNow int64) *Rollout {
	r := &Rollout{config: config, order: order, startedAt: now, startedUnix: unixNow, reason: reasonAnswers,
		names: newNames(), routes: make(map[Route]*routeState)}
	if record.Order == order.ID {
		r.record = record
	} else {
		r.record = Record{Order: order.ID, To: order.To}
	}
	if r.record.State != StateNone && r.record.StartedAt != 0 {
		elapsed := max(swclock.Millis(unixNow-r.record.StartedAt), 0)
		r.startedAt, r.startedUnix = now-elapsed-clockError, r.record.StartedAt
	}
	r.deadline = r.startedAt + order.Duration
	r.inheritedAnswers, r.inheritedBad = r.record.Answers, r.record.Bad
	if r.inheritedBad >= pauseAnswers {
		r.manyBad, r.manyBadAt = true, now-config.RollbackWithin // it is not known when
	}
	r.ledger = newLedger(config, order.Duration)
	r.adopt(now)
	if r.verdict == VerdictOpen && !r.record.State.Final() && now >= r.deadline-rollbackMargin {
		r.verdict, r.reason = VerdictBad, reasonDeadline
	}
	return r
}

// Order returns the order.
func (r *Rollout) Order() Order { return r.order }

// Stored takes a record that was read from the store, or written to it: another owner may have written it. While a write is under
// way, the record that Step returned is to be passed only if the store has acknowledged it.
func (r *Rollout) Stored(record Record, now swclock.Millis) {
	if record.Order != r.order.ID {
		return
	}
	if r.pending != nil && record == *r.pending {
		r.ledger.left += r.pendingUnits
		r.ledger.arrived -= r.pendingArrived
		r.pending, r.conflictPause = nil, 0
	}
	// Records are joined, so that the order in which they are read does not matter.
	k := &r.record
	k.To = record.To
	k.Requests = max(k.Requests, record.Requests)
	k.Reserved = max(k.Reserved, record.Reserved)
	if record.Writer != r.config.Writer && record.Bad > r.inheritedBad {
		r.foreignBad = max(r.foreignBad, record.Bad-r.inheritedBad)
	}
	k.Answers, k.Bad = max(k.Answers, record.Answers), max(k.Bad, record.Bad)
	k.Moving = k.Moving || record.Moving
	k.State = max(k.State, record.State)
	if k.StartedAt == 0 {
		k.StartedAt = record.StartedAt
	}
	r.behind = record.State < k.State || record.Reserved < k.Reserved || k.Moving && !record.Moving
	if r.pending == nil && !record.State.Final() {
		r.ending = false
	}
	r.adopt(now)
}

// adopt takes over what another owner has decided. A roll-back is never taken back.
func (r *Rollout) adopt(now swclock.Millis) {
	switch {
	case r.record.State == StateRolledBack:
		if r.verdict != VerdictBad {
			r.verdict, r.reason = VerdictBad, reasonStored
		}
	case (r.record.State == StateCompleted || r.record.Moving) && r.verdict == VerdictOpen:
		r.verdict, r.reason, r.soundAt = VerdictSound, reasonStored, now
	}
}

// WriteFailed reports that the latest record of Step was not written, or may not have been. The exposure that it would have
// reserved is not used. It is to be called before what the store has is read again.
func (r *Rollout) WriteFailed(now swclock.Millis) {
	r.pending = nil
	r.retryAt = now + writeRetry
}

// WriteConflicted reports like WriteFailed that another record was written since what the store has was read. If that goes on, another
// owner writes, or what was read is not what the store has.
func (r *Rollout) WriteConflicted(now swclock.Millis) {
	r.WriteFailed(now)
	r.conflictPause = min(max(2*r.conflictPause, writeRetry), MaxConflictPause)
	r.retryAt = now + r.conflictPause
}

// Arrived counts a request that reached the service: once for each request of a caller, also one that is rejected.
func (r *Rollout) Arrived(now swclock.Millis) { r.ledger.arrive(now) }

// plannedEnd is when nothing should run at old versions any more.
func (r *Rollout) plannedEnd() swclock.Millis { return r.deadline - CompletionMargin }

// Versions returns at which versions a request may begin. mayLast is the time that it is expected to take at a target of an old
// version. The result holds at this instant only: a grant that follows it is counted for its route.
func (r *Rollout) Versions(route Route, mayLast, now swclock.Millis) Versions {
	state := r.route(route)
	if state != nil {
		state.asks++
		r.asks++
		state.expect(mayLast)
	}
	switch {
	case r.record.State == StateCompleted:
		return Versions{New: true, PreferNew: true}
	case r.verdict == VerdictBad:
		return Versions{Old: true}
	case r.paused(now):
		return Versions{Old: true}
	case r.verdict == VerdictSound:
		if r.situation.NewTargets == 0 {
			return Versions{Old: !r.ending, New: true}
		}
		ends := now+mayLast <= r.plannedEnd()
		return Versions{Old: !r.ending && (ends || !r.hasRoom()), New: true, PreferNew: true}
	}
	if !r.ledger.open(r.burst()) || !r.wanted(state) {
		return Versions{Old: true}
	}
	r.asked = route
	v := Versions{Old: true, New: true, PreferNew: true, Fill: r.wantsLoad()}
	if r.last != nil && r.last.suspect >= 0 {
		v.Avoid = r.names.byIndex[r.last.suspect]
	}
	return v
}

// route returns the state of a route, nil if there are too many.
func (r *Rollout) route(route Route) *routeState {
	s := r.routes[route]
	if s == nil && len(r.routes) < maxRoutes {
		s = &routeState{}
		r.routes[route] = s
	}
	return s
}

func (s *routeState) expect(mayLast swclock.Millis) {
	weight := durationFall
	if float64(mayLast) > s.mayLast {
		weight = durationRise
	}
	s.mayLast += weight * (float64(mayLast) - s.mayLast)
}

// seen is the number of a route's grants or answers, whichever is larger: answers may be those of another owner's grants.
func (s *routeState) seen() uint64 { return max(s.granted, s.answered) }

// wanted reports whether a request of a route may use exposure: routes that the new version has seen least go first.
func (r *Rollout) wanted(state *routeState) bool {
	if state == nil {
		return true
	}
	least := state.seen()
	for _, s := range r.routes {
		if r.active(s) {
			least = min(least, s.seen())
		}
	}
	return state.seen() <= least+routeLead
}

// active reports whether a route has a part of the traffic that matters.
func (r *Rollout) active(s *routeState) bool {
	return s.asks*minRouteShare >= r.asks
}

// wantsLoad reports whether the new version is to be seen under load.
func (r *Rollout) wantsLoad() bool {
	// If targets of old versions are ill, many targets have to be seen.
	return r.baseline == nil || r.baseline.loaded >= loadedShare && r.baseline.deviation == 0
}

// burst is the number of units that are saved up, so that requests of the trial meet at a target.
func (r *Rollout) burst() uint64 {
	if r.situation.NewTargets == 0 {
		return maxBurst
	}
	slots := uint64(r.situation.NewSlots / r.situation.NewTargets)
	return min(max(slots+slots/2, minBurst), maxBurst)
}

// hasRoom reports whether the new targets can carry the traffic.
func (r *Rollout) hasRoom() bool {
	s := r.situation
	if s.NewTargets == 0 {
		return false
	}
	need := slotShare * float64(s.OldSlots)
	if r.usedKnown {
		need = min(need, r.usedSlots/slotUse)
	}
	return float64(s.NewSlots) >= need
}

// Granted records that a request was granted to a target of the new version: a first attempt, a retry or a continuation.
func (r *Rollout) Granted(now swclock.Millis) {
	if s := r.routes[r.asked]; s != nil {
		s.granted++
	}
	if r.verdict == VerdictOpen {
		r.ledger.use()
	}
}

// Returned records that a request which was granted to the new version was certainly not sent there.
func (r *Rollout) Returned(now swclock.Millis) {
	if r.verdict == VerdictOpen {
		r.ledger.giveBack()
	}
}

// Observe takes the end of an attempt at any version.
func (r *Rollout) Observe(a Answer, now swclock.Millis) {
	s := r.names.sample(a, now)
	if a.Version != r.order.To {
		r.old.add(s)
		return
	}
	r.fresh.add(s)
	if state := r.route(a.Route); state != nil {
		state.answered++
	}
	r.changed = true
}

// Situation is what Step has to know of the service's targets.
type Situation struct {
	// OldTargets and NewTargets are the targets that take requests, and OldSlots and NewSlots the sums of their slots.
	OldTargets, NewTargets, OldSlots, NewSlots int
	// OnlyNew is set if no other version was listed since the order was first seen, and targets of the new one take requests.
	OnlyNew bool
	// OldRunning is the number of requests that run at targets of other versions.
	OldRunning int
	// Waiting is the number of requests that wait for a target.
	Waiting int
	// NewRunning are the requests that run at targets of the new version. Without them, answers that never come are not seen.
	NewRunning []Running
}

// Running is a request that runs at a target of the new version.
type Running struct {
	Target swid.TargetID
	Route  Route
	// Since is the time since it was granted.
	Since swclock.Millis
	// Running and Slots are as in Answer, and so is Warming.
	Running, Slots int
	Warming        bool
}

// Step reviews the order. The caller calls it each 100 ms or so. write is not nil if the record has to be written to the store
// now; until Stored or WriteFailed, Step returns no other. change is not nil if the verdict has changed.
func (r *Rollout) Step(s Situation, now swclock.Millis) (write *Record, change *Change) {
	before := r.verdict
	r.situation, r.running, r.steppedAt = s, s.NewRunning, now
	if r.verdict == VerdictOpen {
		used := float64(s.OldRunning + len(s.NewRunning))
		if !r.usedKnown {
			r.usedSlots, r.usedKnown = used, true
		}
		r.usedSlots += (used - r.usedSlots) / usedSteps
	}
	if _, bad := r.counts(); !r.manyBad && r.foreignBad > 0 && bad+r.foreignBad >= pauseAnswers {
		r.manyBad, r.manyBadAt = true, now-r.config.RollbackWithin // it is not known when
	}
	switch {
	case r.record.State.Final():
	case r.verdict == VerdictOpen && s.OnlyNew:
		r.verdict, r.reason, r.soundAt = VerdictSound, reasonOnlyVersion, now // nothing is to be moved
	default:
		r.review(now)
	}
	write = r.propose(now)
	if r.verdict != before {
		change = &Change{Before: before, After: r.verdict, Evidence: r.Evidence(now)}
	}
	return write, change
}

// propose returns the record that is to be written now, nil if there is none.
func (r *Rollout) propose(now swclock.Millis) *Record {
	if r.pending != nil || now < r.retryAt || r.record.State.Final() && !r.behind {
		return nil
	}
	next := r.record
	next.Writer = r.config.Writer
	next.To, next.StartedAt = r.order.To, r.startedUnix
	next.Requests += r.ledger.arrived
	answers, bad := r.counts()
	next.Answers, next.Bad = max(next.Answers, answers), max(next.Bad, bad)
	var units uint64
	switch {
	case r.record.State.Final():
	case r.verdict == VerdictBad:
		next.State = StateRolledBack
	case r.verdict == VerdictSound && r.mayComplete(now):
		next.State, next.Moving = StateCompleted, true
		r.ending = true
	case r.verdict == VerdictSound && !r.record.Moving:
		next.State, next.Moving = StateRunning, true
	case r.verdict == VerdictOpen:
		next.State = StateRunning
		units = r.ledger.block(r.record, now-r.startedAt, r.burst())
		next.Reserved += units
		if units == 0 && r.record.State == StateRunning && !r.behind {
			return nil
		}
	case r.behind:
	default:
		return nil
	}
	r.pending, r.pendingUnits, r.pendingArrived = &next, units, r.ledger.arrived
	write := next
	return &write
}

// mayComplete reports whether the old versions are no longer needed, or have to end.
func (r *Rollout) mayComplete(now swclock.Millis) bool {
	if !r.hasRoom() || r.paused(now) {
		return false
	}
	return now >= r.plannedEnd() || r.situation.OldRunning == 0 && r.situation.Waiting == 0 && now-r.soundAt >= judgeInterval
}

func (r *Rollout) counts() (answers, bad uint64) {
	answers, bad = r.fresh.total, r.fresh.bad
	if r.last != nil {
		bad = max(bad, r.last.spoilt)
	}
	return max(answers, bad), bad
}

// Evidence returns what the present belief rests on.
func (r *Rollout) Evidence(now swclock.Millis) Evidence {
	e := Evidence{Order: r.order, State: r.record.State, Verdict: r.verdict, Moving: r.verdict == VerdictSound, Reason: r.reason,
		Remaining: r.deadline - now, Requests: r.record.Requests + r.ledger.arrived, Reserved: r.record.Reserved, Used: r.ledger.used}
	if r.last != nil {
		e.Routes = slices.Clone(r.last.routes)
		slices.SortFunc(e.Routes, func(a, b RouteEvidence) int { return cmp.Compare(a.Route, b.Route) })
	}
	return e
}
