package swtrial

import (
	"flag"
	"os"
	"testing"
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
