package swreport

import (
	"math"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
	"github.com/sassafraswing/sassafraswing/internal/load/swscenario"
)

func TestDivide(t *testing.T) {
	tests := []struct {
		name    string
		demand  []int64
		weights []float64
		served  float64
		want    []float64
	}{
		{"by weight", []int64{100, 100}, []float64{3, 1}, 40, []float64{30, 10}},
		{"a small demand leaves more", []int64{5, 100, 100}, []float64{1, 1, 1}, 45, []float64{5, 20, 20}},
		{"all demands met", []int64{5, 10}, []float64{1, 1}, 15, []float64{5, 10}},
		{"nothing served", []int64{5, 10}, []float64{1, 1}, 0, []float64{0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			list := make([]Organisation, len(test.demand))
			for i, d := range test.demand {
				list[i].Demand = d
			}
			allocateFairShares(list, test.weights, test.served)
			for i, want := range test.want {
				if math.Abs(list[i].FairShare-want) > 1e-9 {
					t.Errorf("share %d = %v, want %v", i, list[i].FairShare, want)
				}
			}
		})
	}
}

// TestViolations checks that each kind of violation is counted, and that a second
// complete answer counts as wasted prefill, but not as a violation.
func TestViolations(t *testing.T) {
	scenario := &swscenario.Scenario{
		Tiers:         []string{"high"},
		Organisations: []swscenario.Organisation{{ID: "a", Weight: 1}},
		Flows:         []swscenario.Flow{{Deadline: 1000}},
	}
	tests := []struct {
		name    string
		results []swclient.Result
		engines [][]swclient.EngineRun
		plain   []swclient.PlainRuns
		want    Violations
		second  int
	}{
		{
			name:    "kept promises",
			results: []swclient.Result{{Outcome: swclient.OutcomeNotRun, ContentHash: "x"}, {Outcome: swclient.OutcomeAnswered, ContentHash: "y"}},
			engines: [][]swclient.EngineRun{{{ContentHash: "y", Runs: 1, Completed: 1}}},
		},
		{
			name:    "not run but ran",
			results: []swclient.Result{{Outcome: swclient.OutcomeNotRun, ContentHash: "x"}},
			engines: [][]swclient.EngineRun{{{ContentHash: "x", Runs: 1}}},
			want:    Violations{NotRunButRan: 1},
		},
		{
			name:    "keyed call not run but ran",
			results: []swclient.Result{{Outcome: swclient.OutcomeNotRun, Key: "k"}},
			plain:   []swclient.PlainRuns{{IdempotencyKeys: []swclient.PlainCount{{Key: "k", Runs: 1}}}},
			want:    Violations{NotRunButRan: 1},
		},
		{
			name:    "repeated on one engine",
			results: []swclient.Result{{Outcome: swclient.OutcomeAnswered, ContentHash: "x"}},
			engines: [][]swclient.EngineRun{{{ContentHash: "x", Runs: 2, Completed: 1}}},
			want:    Violations{RepeatedOnTarget: 1},
		},
		{
			name:  "a key on two services",
			plain: []swclient.PlainRuns{{IdempotencyKeys: []swclient.PlainCount{{Key: "k", Runs: 1}}}, {IdempotencyKeys: []swclient.PlainCount{{Key: "k", Runs: 1}}}},
			want:  Violations{RepeatedKeys: 1},
		},
		{
			name:    "two whole answers",
			results: []swclient.Result{{Outcome: swclient.OutcomeAnswered, ContentHash: "x"}},
			engines: [][]swclient.EngineRun{{{ContentHash: "x", Runs: 1, Completed: 1, PromptTokens: 9}}, {{ContentHash: "x", Runs: 1, Completed: 1, PromptTokens: 9}}},
			second:  1,
		},
		{
			name:    "bad answers",
			results: []swclient.Result{{Outcome: swclient.OutcomeWrong}, {Outcome: swclient.OutcomeTruncated}},
			want:    Violations{Wrong: 1, Truncated: 1},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := New(Input{Scenario: scenario, Results: test.results, Engines: test.engines, PlainServices: test.plain, Elapsed: 1000})
			if r.Violations != test.want {
				t.Errorf("violations = %+v, want %+v", r.Violations, test.want)
			}
			if r.Prefill.SecondAnswers != test.second || (r.Prefill.Wasted > 0) != (test.second > 0) {
				t.Errorf("prefill = %+v, want %d second answers", r.Prefill, test.second)
			}
		})
	}
}
