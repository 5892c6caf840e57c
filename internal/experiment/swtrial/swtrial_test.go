package swtrial

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

var (
	report        = flag.Bool("report", false, "print the tables of all scenarios")
	withBaselines = flag.Bool("baselines", true, "include the baselines in the report")
)

var loads = []float64{0.7, 1, 1.5, 2, 3}

func TestReport(t *testing.T) {
	if !*report {
		t.Skip("run with -report")
	}
	var parts [10]strings.Builder
	t.Run("all", func(t *testing.T) {
		for i := range parts {
			s := []Scenario{Lembrete(loads[i/2]), MajiBora(loads[i/2])}[i%2]
			t.Run(fmt.Sprint(s.Name, s.Load), func(t *testing.T) {
				t.Parallel()
				results := []NamedResult{{"cell", Run(s, swcell.New(swcell.Config{}))}}
				if *withBaselines {
					results = RunAll(s)
				}
				if err := WriteTable(&parts[i], s, results, ComputeBound(s)); err != nil {
					t.Fatal(err)
				}
			})
		}
	})
	for i := range parts {
		fmt.Fprintln(os.Stdout, parts[i].String())
	}
}

// goal is a condition that the result of the cell must meet.
type goal struct {
	name string
	met  func(*Result, *Bound) bool
}

var goals = []goal{
	{"no tier inversion", func(r *Result, _ *Bound) bool { return r.Inversions == 0 }},
	{"no second dispatch to a target", func(r *Result, _ *Bound) bool { return r.Duplicates == 0 }},
	{"top tier", func(r *Result, b *Bound) bool {
		return b.Tiers[0].Goodput() < 1 || r.Tiers[0].Goodput() >= 0.99
	}},
	{"total", func(r *Result, b *Bound) bool { return float64(r.Answered()) >= 0.95*float64(b.Answered()) }},
	{"not above the bound", func(r *Result, b *Bound) bool { return r.Answered() <= b.Answered() }},
	{"wasted prefill", func(r *Result, _ *Bound) bool { return r.WastedShare() <= 0.01 }},
	{"quiet organisations, tier 0", func(r *Result, _ *Bound) bool { return r.MinQuietOrgShare(0) >= 0.95 }},
	{"quiet organisations, tier 1", func(r *Result, _ *Bound) bool { return r.MinQuietOrgShare(1) >= 0.95 }},
	{"quiet organisations, tier 2", func(r *Result, _ *Bound) bool { return r.MinQuietOrgShare(2) >= 0.95 }},
}

var allLoads = flag.Bool("all", false, "check the goals at every load, not only at some")

func TestGoals(t *testing.T) {
	checked := []float64{1, 2}
	if *allLoads {
		checked = loads
	}
	for _, load := range checked {
		for _, s := range []Scenario{Lembrete(load), MajiBora(load)} {
			t.Run(fmt.Sprintf("%s%.1f", s.Name, load), func(t *testing.T) {
				t.Parallel()
				b := ComputeBound(s)
				r := Run(s, checkedCell(t))
				for _, g := range goals {
					t.Run(g.name, func(t *testing.T) {
						if !g.met(&r, &b) {
							t.Errorf("missed: goodput %.4f of %d, total %d of %d, wasted %.4f, quiet %.3f %.3f %.3f, inversions %d",
								r.Tiers[0].Goodput(), r.Tiers[0].Offered, r.Answered(), b.Answered(), r.WastedShare(),
								r.MinQuietOrgShare(0), r.MinQuietOrgShare(1), r.MinQuietOrgShare(2), r.Inversions)
						}
					})
				}
			})
		}
	}
}

// checkedCell returns a cell that fails the test if an invariant is violated.
func checkedCell(t *testing.T) *swcell.Cell {
	return swcell.New(swcell.Config{}, swcell.WithViolationHook(func(v swcell.Violation) {
		t.Errorf("violation: %+v", v)
	}))
}

// Below capacity, every tier keeps its goodput under all faults. A request that
// crashes its targets, and that its caller sends again, crashes at most two.
func TestFaults(t *testing.T) {
	t.Parallel()
	s := Faulty()
	r := Run(s, checkedCell(t))
	t.Logf("tiers %+v, reasons %v, crashes %d, wasted %.4f", r.Tiers[:3], r.RejectionsByReason, r.Crashes, r.WastedShare())
	if r.Duplicates > 0 || r.Inversions > 0 {
		t.Errorf("%d second dispatches, %d inversions", r.Duplicates, r.Inversions)
	}
	const planned, byPoison = 1, 2
	if r.Crashes > planned+byPoison {
		t.Errorf("%d crashes, want at most %d", r.Crashes, planned+byPoison)
	}
	for tier := range 3 {
		if g := r.Tiers[tier].Goodput(); g < 0.99 {
			t.Errorf("goodput of tier %d is %.4f", tier, g)
		}
	}
}

// Two runs of the same scenario and seed must give the same results.
func TestRunsAreDeterministic(t *testing.T) {
	t.Parallel()
	s := Faulty()
	s.Span = 20 * swclock.Second
	first, second := Run(s, checkedCell(t)), Run(s, checkedCell(t))
	if first.Tiers != second.Tiers || first.PrefillTokens != second.PrefillTokens || first.Preemptions != second.Preemptions {
		t.Errorf("got %+v, then %+v", first.Tiers, second.Tiers)
	}
}
