// Package swreport turns the results of a load run into tables, JSON and plots.
package swreport

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
	"github.com/sassafraswing/sassafraswing/internal/load/swscenario"
)

// Input is what a run gave.
type Input struct {
	Scenario *swscenario.Scenario
	Results  []swclient.Result
	// Engines and Plain hold the counts of the run itself, one entry a stand-in.
	Engines [][]swclient.EngineRun
	Plain   []swclient.PlainRuns
	// Elapsed is the time from the first arrival to the last answer.
	Elapsed swclock.Millis
}

// Quantiles are those of a distribution of spans.
type Quantiles struct {
	Count int64
	P50   swclient.Micros
	P95   swclient.Micros
	P99   swclient.Micros
}

// Tier is the result of one tier.
type Tier struct {
	Name string
	Sent int
	// InTime counts the answers that were whole, right and within their deadline.
	InTime int
	// Goodput is InTime per second.
	Goodput float64
	// Outcomes has one count for each of swclient.Outcomes, in their order.
	Outcomes   []int
	FirstToken Quantiles
	Gap        Quantiles
}

// Organisation is the service that an organisation got.
type Organisation struct {
	Name string
	// Tokens were served in whole answers, Demand were asked for.
	Tokens int64
	Demand int64
	// Fair is the organisation's part of all tokens served, were they divided by
	// weight and no organisation given more than its demand.
	Fair float64
}

// Violations count broken promises; each must be 0.
type Violations struct {
	// Wrong and Truncated are answers that were passed on as whole.
	Wrong     int
	Truncated int
	// NotRunButRan counts requests whose callers were told "not run" and that ran.
	NotRunButRan int
	// RepeatedOnTarget counts attempts that one engine was given more than once.
	RepeatedOnTarget int
	// RepeatedKeys counts idempotency keys that ran more than once.
	RepeatedKeys int
}

// Total returns the number of violations.
func (v Violations) Total() int {
	return v.Wrong + v.Truncated + v.NotRunButRan + v.RepeatedOnTarget + v.RepeatedKeys
}

// Prefill is the prompt processing of all engines.
type Prefill struct {
	Tokens int64
	// Wasted were processed for answers that were not sent whole, or for the
	// second and later whole answers to one request.
	Wasted int64
	// Attempts counts all runs; SecondAnswers the whole answers to a request beyond its first.
	Attempts      int
	SecondAnswers int
}

// Report is the summary of a run.
type Report struct {
	Scenario      string
	Seed          uint64
	Requests      int
	Elapsed       swclock.Millis
	Tiers         []Tier
	Organisations []Organisation
	Prefill       Prefill
	Violations    Violations
	// Codes counts the error codes of requests that were not answered.
	Codes []Code
	// Lateness is how late the load tool itself sent the requests.
	Lateness Quantiles
}

// Code counts one error code.
type Code struct {
	Code  string
	Count int
}

// New summarises a run.
func New(in Input) *Report {
	r := &Report{
		Scenario: in.Scenario.Name,
		Seed:     in.Scenario.Seed,
		Requests: len(in.Results),
		Elapsed:  in.Elapsed,
		Codes:    codes(in.Results),
	}
	late := newSpans()
	for _, result := range in.Results {
		late.add(result.Lateness)
	}
	r.Lateness = late.quantiles()
	for i, name := range in.Scenario.Tiers {
		r.Tiers = append(r.Tiers, tier(in, i, name))
	}
	r.Organisations = organisations(in)
	r.Prefill = prefill(in)
	r.Violations = violations(in)
	return r
}

// spans is a histogram of spans.
type spans struct{ histogram *hdrhistogram.Histogram }

const (
	// maxSpan is the longest span that is told from longer ones.
	maxSpan          = swclient.Micros(3_600_000_000)
	significantDigit = 3
)

func newSpans() spans {
	return spans{histogram: hdrhistogram.New(1, int64(maxSpan), significantDigit)}
}

func (s spans) add(m swclient.Micros) {
	_ = s.histogram.RecordValue(int64(min(max(m, 1), maxSpan))) // is within the bounds
}

func (s spans) quantiles() Quantiles {
	at := func(q float64) swclient.Micros { return swclient.Micros(s.histogram.ValueAtQuantile(q)) }
	if s.histogram.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{Count: s.histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// Measure returns the quantiles of spans.
func Measure(values []swclient.Micros) Quantiles {
	s := newSpans()
	for _, v := range values {
		s.add(v)
	}
	return s.quantiles()
}

// inTime reports whether a result is a whole answer within its deadline.
func inTime(s *swscenario.Scenario, r swclient.Result) bool {
	deadline := s.Flows[r.Request.Flow].Deadline
	return r.Outcome == swclient.OutcomeAnswered && r.Total <= swclient.Micros(deadline.Duration().Microseconds())
}

func tier(in Input, index int, name string) Tier {
	t := Tier{Name: name, Outcomes: make([]int, len(swclient.Outcomes))}
	first, gaps := newSpans(), newSpans()
	for _, r := range in.Results {
		if in.Scenario.Flows[r.Request.Flow].Tier != index {
			continue
		}
		t.Sent++
		if inTime(in.Scenario, r) {
			t.InTime++
		}
		for i, o := range swclient.Outcomes {
			if r.Outcome == o {
				t.Outcomes[i]++
			}
		}
		if r.FirstToken > 0 {
			first.add(r.FirstToken)
		}
		for _, g := range r.TokenGaps {
			gaps.add(g)
		}
	}
	t.Goodput = float64(t.InTime) * float64(swclock.Second) / float64(max(1, in.Elapsed))
	t.FirstToken, t.Gap = first.quantiles(), gaps.quantiles()
	return t
}
