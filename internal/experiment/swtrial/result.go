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
	// Organisations holds each organisation's answered work by tier.
	Organisations [][swid.MaxTiers]float64
	// Prefill counts the prompt tokens computed, and Wasted those of attempts without an answer in time.
	Prefill swid.Tokens
	Wasted  swid.Tokens
	Cached  swid.Tokens
	Reasons [swcell.ReasonRetryBudget + 1]int
	// Preempted counts cancellations, and Inversions the grants and runs of lower tiers at the expense of a shed request.
	Preempted  int
	Inversions int
	Crashes    int
	// Duplicates counts grants of a target that the request had been granted before.
	Duplicates int
	// FirstTokens holds the times to the first token of the answered requests by tier.
	FirstTokens [swid.MaxTiers][]swclock.Millis

	scenario *Scenario
	seen     map[swid.Seq][]swid.TargetID
	// shedUntil is the latest instant by which a start would have helped a shed request, by tier.
	shedUntil [swid.MaxTiers]swclock.Millis
}

func newResult(s *Scenario) Result {
	return Result{
		Organisations: make([][swid.MaxTiers]float64, len(s.Organisations)),
		scenario:      s,
		seen:          make(map[swid.Seq][]swid.TargetID),
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
	}
	if !good {
		r.Wasted += processed
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
	t := &r.Tiers[a.request.class.Tier]
	switch o {
	case outcomeAnswered:
		t.Answered++
		work := r.scenario.work(a.request)
		t.Work += work
		r.Organisations[a.request.org][a.request.class.Tier] += work
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
