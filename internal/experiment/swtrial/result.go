package swtrial

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// outcome is the way in which a request ended for its caller.
type outcome uint8

const (
	outcomeAnswered outcome = iota + 1
	outcomeRejected
	outcomeLate
	outcomeAbandoned
	outcomeUnknown
)

// TierResult summarises the requests of one tier or class.
type TierResult struct {
	Offered  int
	Answered int
	Rejected int
	Late     int
	Unknown  int
	// Work is the slot time of the requests answered in time, in milliseconds on the scenario's first engine.
	Work float64
}

// Goodput returns the fraction of the offered requests that were answered in time.
func (t *TierResult) Goodput() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Answered) / float64(t.Offered)
}

// Result summarises a run.
type Result struct {
	Tiers [swid.MaxTiers]TierResult
	// Classes holds the results by class name.
	Classes map[string]*TierResult
	// PrefillTokens counts the prompt tokens processed, WastedTokens those processed for attempts without
	// an answer in time, and CachedTokens those found in a prefix cache.
	PrefillTokens swid.Tokens
	WastedTokens  swid.Tokens
	CachedTokens  swid.Tokens
	// WastedByPreemption is the part of WastedTokens that is due to preemption by higher tiers.
	WastedByPreemption swid.Tokens
	// BusyTime is the slot time in use during Scenario.Span, in which requests arrive, and AvailableTime
	// the time of all slots over that span.
	BusyTime           swclock.Millis
	AvailableTime      swclock.Millis
	RejectionsByReason [swcell.ReasonRetryBudget + 1]int
	// Preemptions counts the preempted attempts. Inversions counts the cases in which a lower tier was granted,
	// running or still waiting although a request of a higher tier was rejected for overload.
	Preemptions int
	Inversions  int
	Crashes     int
	// Duplicates counts the dispatches of a request to a target that it had been dispatched to before.
	Duplicates int
	// FirstTokenTimes holds, by tier, the times from arrival to the first token of the requests answered in time.
	FirstTokenTimes [swid.MaxTiers][]swclock.Millis

	scenario     *Scenario
	shareWindows [swid.MaxTiers]shareWindows
	dispatchedTo map[swid.Seq][]swid.TargetID
	// shedUntil holds, by tier, the latest retry time or, if that is earlier, deadline of the requests
	// rejected for overload (shed). A grant to a lower tier before that time is an inversion.
	shedUntil [swid.MaxTiers]swclock.Millis
}

func newResult(s *Scenario) Result {
	slots := 0
	for i := range s.Engines {
		slots += s.Engines[i].Slots
	}
	return Result{
		AvailableTime: s.Span * swclock.Millis(slots),
		Classes:       make(map[string]*TierResult),
		scenario:      s,
		dispatchedTo:  make(map[swid.Seq][]swid.TargetID),
	}
}

// work returns the minimum slot time of a request: on the scenario's first engine, with the shared prefix cached.
func (s *Scenario) work(r *request) float64 {
	return s.Engines[0].slotTime(float64(r.prompt-r.class.Shared), float64(r.output))
}

// granted counts one inversion if the time of the grant is before shedUntil of any higher tier.
func (r *Result) granted(now swclock.Millis, q *requestState) {
	for tier := range q.request.class.Tier {
		if r.shedUntil[tier] > now {
			r.Inversions++
			return
		}
	}
}

// dispatched records the target of a dispatch and counts repeated ones.
func (r *Result) dispatched(q *requestState, e *engine) {
	for _, id := range r.dispatchedTo[q.request.seq] {
		if id == e.conf.ID {
			r.Duplicates++
		}
	}
	r.dispatchedTo[q.request.seq] = append(r.dispatchedTo[q.request.seq], e.conf.ID)
}

// attempted records the slot time and prompt tokens of an attempt that ended.
func (r *Result) attempted(q *requestState, a *attempt, now swclock.Millis, answeredInTime bool) {
	processed := a.processedTokens(now)
	r.PrefillTokens += processed
	if a.started {
		r.CachedTokens += a.cachedTokens
		r.BusyTime += max(min(now, r.scenario.Span)-a.startedAt, 0)
	}
	if !answeredInTime {
		r.WastedTokens += processed
		if q.preempted {
			r.WastedByPreemption += processed
		}
		return
	}
	tier := q.request.class.Tier
	r.FirstTokenTimes[tier] = append(r.FirstTokenTimes[tier], a.firstToken-q.request.arrival)
}

func (r *Result) rejected(reason swcell.RejectReason) { r.RejectionsByReason[reason]++ }

// ended records the outcome of a request.
func (r *Result) ended(q *requestState, o outcome) {
	if !q.request.counted() {
		return
	}
	work := r.scenario.work(q.request)
	r.Tiers[q.request.class.Tier].count(o, work)
	r.class(q.request.class).count(o, work)
	if o == outcomeAnswered {
		r.window(q.request).answered[q.request.org] += work
	}
}

func (r *Result) window(q *request) *window {
	return r.shareWindows[q.class.Tier].window(q.arrival, len(r.scenario.Organisations))
}

func (r *Result) class(c *Class) *TierResult {
	t := r.Classes[c.Name]
	if t == nil {
		t = &TierResult{}
		r.Classes[c.Name] = t
	}
	return t
}

func (t *TierResult) count(o outcome, work float64) {
	switch o {
	case outcomeAnswered:
		t.Answered++
		t.Work += work
	case outcomeRejected:
		t.Rejected++
	case outcomeLate:
		t.Late++
	case outcomeUnknown:
		t.Unknown++
	}
}

// countOffered counts the offered requests and their work, except the requests that don't count for goodput.
func (r *Result) countOffered(requests []*request) {
	for _, q := range requests {
		if q.counted() {
			r.Tiers[q.class.Tier].Offered++
			r.class(q.class).Offered++
			r.window(q).offered[q.org] += r.scenario.work(q)
		}
	}
}

// WastedShare returns the wasted fraction of the processed prompt tokens.
func (r *Result) WastedShare() float64 {
	if r.PrefillTokens == 0 {
		return 0
	}
	return float64(r.WastedTokens) / float64(r.PrefillTokens)
}

// Answered returns the number of requests of all tiers that were answered in time.
func (r *Result) Answered() int {
	n := 0
	for i := range r.Tiers {
		n += r.Tiers[i].Answered
	}
	return n
}
