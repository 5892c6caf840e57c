package swtrial

import (
	"flag"
	"os"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
)

var report = flag.Bool("report", false, "print the tables of all scenarios")

var loads = []float64{0.7, 1, 1.5, 2, 3}

func TestReport(t *testing.T) {
	if !*report {
		t.Skip("run with -report")
	}
	for _, load := range loads {
		for _, s := range []Scenario{Lembrete(load), MajiBora(load)} {
			if err := WriteTable(os.Stdout, s, RunAll(s), FullKnowledge(s)); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestGoals(t *testing.T) {
	for _, load := range loads {
		for _, s := range []Scenario{Lembrete(load), MajiBora(load)} {
			r := Run(s, swcell.New(swcell.Config{}, swcell.WithViolationHook(func(v swcell.Violation) {
				t.Errorf("%s at %.1f: %+v", s.Name, load, v)
			})))
			if err := WriteTable(os.Stdout, s, []Named{{"cell", r}}, FullKnowledge(s)); err != nil {
				t.Fatal(err)
			}
			t.Log(r.Reasons)
		}
	}
}
