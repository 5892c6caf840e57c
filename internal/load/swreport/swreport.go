// Package swreport summarises the results of a load run as tables, JSON and plots.
package swreport

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
	"github.com/sassafraswing/sassafraswing/internal/load/swscenario"
)

// Input holds the results of a run.
type Input struct {
	Scenario *swscenario.Scenario
	Results  []swclient.Result
	// Engines and PlainServices hold the run counts of the stand-ins, one entry for each.
	// Engines leaves out the attempts of earlier runs, PlainServices does not.
	Engines       [][]swclient.EngineRun
	PlainServices []swclient.PlainRuns
	// Elapsed is the time from the start of the run until all its requests have ended
	// and all its faults have been injected.
	Elapsed swclock.Millis
}

// Quantiles holds the quantiles of a distribution of durations.
type Quantiles struct {
	Count int64
	P50   swclient.Micros
	P95   swclient.Micros
	P99   swclient.Micros
}

// Tier summarises the requests of one tier.
type Tier struct {
	Name string
	Sent int
	// InTime counts the answers that were complete, correct and within their deadline.
	InTime int
	// Goodput is InTime per second of Input.Elapsed.
	Goodput float64
	// Outcomes holds the count of each outcome, in the order of swclient.Outcomes.
	Outcomes   []int
	FirstToken Quantiles
	TokenGap   Quantiles
}

// Organisation compares the tokens that an organisation received with its fair share.
type Organisation struct {
	Name string
	// Tokens is the number of tokens of its complete answers, Demand the number if all its
	// requests had been answered.
	Tokens int64
	Demand int64
	// FairShare is the organisation's part of all tokens served if they were divided by
	// weight and no organisation received more than its demand.
	FairShare float64
}

// Violations counts violations of the scheduler's guarantees; each count must be 0.
type Violations struct {
	// Wrong counts answers with wrong content, Truncated incomplete answers that were
	// delivered without an error.
	Wrong     int
	Truncated int
	// NotRunButRan counts requests that ran although they were reported to the caller as
	// not run.
	NotRunButRan int
	// RepeatedOnTarget counts attempts that one engine accepted more than once.
	RepeatedOnTarget int
	// RepeatedKeys counts idempotency keys that ran more than once.
	RepeatedKeys int
}

// Total returns the number of violations.
func (v Violations) Total() int {
	return v.Wrong + v.Truncated + v.NotRunButRan + v.RepeatedOnTarget + v.RepeatedKeys
}

// Prefill summarises the prompt processing of all engines.
type Prefill struct {
	Tokens int64
	// Wasted is the number of prompt tokens processed for answers that were not sent
	// completely, or for the second and later complete answers to one request.
	Wasted int64
	// Attempts counts all runs, SecondAnswers the complete answers to a request after its
	// first.
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
	// Lateness is the delay with which the load tool itself sent the requests.
	Lateness Quantiles
}

// Code counts the requests that ended with one outcome and error code.
type Code struct {
	// Code is the outcome and the error code, such as "wrong: content".
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
		Codes:    countCodes(in.Results),
	}
	lateness := newDurations()
	for _, result := range in.Results {
		lateness.add(result.Lateness)
	}
	r.Lateness = lateness.quantiles()
	for i, name := range in.Scenario.Tiers {
		r.Tiers = append(r.Tiers, summariseTier(in, i, name))
	}
	r.Organisations = organisationShares(in)
	r.Prefill = sumPrefill(in)
	r.Violations = countViolations(in)
	return r
}

// durations is a histogram of durations.
type durations struct{ histogram *hdrhistogram.Histogram }

const (
	// maxRecorded is one hour. Longer durations are recorded as this value.
	maxRecorded       = swclient.Micros(3_600_000_000)
	significantDigits = 3
)

func newDurations() durations {
	return durations{histogram: hdrhistogram.New(1, int64(maxRecorded), significantDigits)}
}

func (d durations) add(m swclient.Micros) {
	_ = d.histogram.RecordValue(int64(min(max(m, 1), maxRecorded))) // cannot fail: the value is within the bounds
}

func (d durations) quantiles() Quantiles {
	at := func(q float64) swclient.Micros { return swclient.Micros(d.histogram.ValueAtQuantile(q)) }
	if d.histogram.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{Count: d.histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// QuantilesOf returns the quantiles of a list of durations.
func QuantilesOf(values []swclient.Micros) Quantiles {
	d := newDurations()
	for _, v := range values {
		d.add(v)
	}
	return d.quantiles()
}

// inTime reports whether a result is a complete and correct answer within its deadline.
func inTime(s *swscenario.Scenario, r swclient.Result) bool {
	deadline := s.Flows[r.Request.Flow].Deadline
	return r.Outcome == swclient.OutcomeAnswered && r.Total <= swclient.Micros(deadline.Duration().Microseconds())
}

func summariseTier(in Input, index int, name string) Tier {
	t := Tier{Name: name, Outcomes: make([]int, len(swclient.Outcomes))}
	first, gaps := newDurations(), newDurations()
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
	t.FirstToken, t.TokenGap = first.quantiles(), gaps.quantiles()
	return t
}
