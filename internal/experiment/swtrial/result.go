package swtrial

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// outcome says how a request ended for its caller.
type outcome uint8

const (
	outcomeAnswered outcome = iota + 1
	outcomeRefused
	outcomeLate
	outcomeLeft
	outcomeUnknown
)

// TierResult sums up one tier.
type TierResult struct {
	Offered  int
	Answered int
	Refused  int
	Late     int
	Unknown  int
	// Work is the slot time of the requests answered in time, in milliseconds of the first generation.
	Work float64
}

// Goodput returns the share of the requests that were answered in time.
func (t *TierResult) Goodput() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Answered) / float64(t.Offered)
}

// Result sums up a run.
type Result struct {
	Tiers [swid.MaxTiers]TierResult
	// Classes holds the results by class of the scenario.
	Classes map[string]*TierResult
	// Prefill counts the prompt tokens computed, and Wasted those of attempts without an answer in time.
	Prefill swid.Tokens
	Wasted  swid.Tokens
	Cached  swid.Tokens
	// WastedPreempted is the part of Wasted that cancellations for higher tiers make up.
	WastedPreempted swid.Tokens
	// Busy is the time that requests held slots while new ones arrived, and Available that of all slots.
	Busy      swclock.Millis
	Available swclock.Millis
	Reasons   [swcell.ReasonRetryBudget + 1]int
	// Preempted counts cancellations, and Inversions the grants and runs of lower tiers at the expense of a shed request.
	Preempted  int
	Inversions int
	Crashes    int
	// Duplicates counts grants of a target that the request had been granted before.
	Duplicates int
	// FirstTokens holds the times to the first token of the answered requests by tier.
	FirstTokens [swid.MaxTiers][]swclock.Millis

	scenario *Scenario
	shares   [swid.MaxTiers]shares
	seen     map[swid.Seq][]swid.TargetID
	// shedUntil is until when a shed request was told to stay away, or its deadline if that is earlier, by tier.
	shedUntil [swid.MaxTiers]swclock.Millis
}

func newResult(s *Scenario) Result {
	slots := 0
	for i := range s.Engines {
		slots += s.Engines[i].Slots
	}
	return Result{
		Available: s.Span * swclock.Millis(slots),
		Classes:   make(map[string]*TierResult),
		scenario:  s,
		seen:      make(map[swid.Seq][]swid.TargetID),
	}
}

// work returns the least slot time that a request takes.
func (s *Scenario) work(r *request) float64 {
	return s.Engines[0].slotTime(float64(r.prompt-r.class.Shared), float64(r.output))
}

func (r *Result) granted(now swclock.Millis, a *asked) {
	for tier := range a.request.class.Tier {
		if r.shedUntil[tier] > now {
			r.Inversions++
			return
		}
	}
}

func (r *Result) dispatched(a *asked, e *engine) {
	for _, id := range r.seen[a.request.seq] {
		if id == e.conf.ID {
			r.Duplicates++
		}
	}
	r.seen[a.request.seq] = append(r.seen[a.request.seq], e.conf.ID)
}

func (r *Result) attempted(a *asked, t *attempt, now swclock.Millis, good bool) {
	processed := t.processed(now)
	r.Prefill += processed
	if t.started {
		r.Cached += t.cached
		r.Busy += max(min(now, r.scenario.Span)-t.startedAt, 0)
	}
	if !good {
		r.Wasted += processed
		if a.preempted {
			r.WastedPreempted += processed
		}
		return
	}
	tier := a.request.class.Tier
	r.FirstTokens[tier] = append(r.FirstTokens[tier], t.firstToken-a.request.arrival)
}

func (r *Result) reason(reason swcell.Reason) { r.Reasons[reason]++ }

func (r *Result) ended(a *asked, o outcome) {
	if !a.request.counted() {
		return
	}
	work := r.scenario.work(a.request)
	r.Tiers[a.request.class.Tier].count(o, work)
	r.class(a.request.class).count(o, work)
	if o == outcomeAnswered {
		r.window(a.request).answered[a.request.org] += work
	}
}

func (r *Result) window(q *request) *window {
	return r.shares[q.class.Tier].window(q.arrival, len(r.scenario.Organisations))
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
	case outcomeRefused:
		t.Refused++
	case outcomeLate:
		t.Late++
	case outcomeUnknown:
		t.Unknown++
	}
}

// finish counts what was offered, without the requests that could not be answered.
func (r *Result) finish(requests []*request) {
	for _, q := range requests {
		if q.counted() {
			r.Tiers[q.class.Tier].Offered++
			r.class(q.class).Offered++
			r.window(q).offered[q.org] += r.scenario.work(q)
		}
	}
}

// WastedShare returns the wasted part of the computed prompt tokens.
func (r *Result) WastedShare() float64 {
	if r.Prefill == 0 {
		return 0
	}
	return float64(r.Wasted) / float64(r.Prefill)
}

// Answered returns the number of requests of all tiers that were answered in time.
func (r *Result) Answered() int {
	n := 0
	for i := range r.Tiers {
		n += r.Tiers[i].Answered
	}
	return n
}
