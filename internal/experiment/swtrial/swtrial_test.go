package swtrial

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
)

var (
	report   = flag.Bool("report", false, "print the tables of all scenarios")
	baseline = flag.Bool("baselines", true, "include the baselines in the report")
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
				results := []Named{{"cell", Run(s, swcell.New(swcell.Config{}))}}
				if *baseline {
					results = RunAll(s)
				}
				if err := WriteTable(&parts[i], s, results, FullKnowledge(s)); err != nil {
					t.Fatal(err)
				}
			})
		}
	})
	for i := range parts {
		fmt.Fprintln(os.Stdout, parts[i].String())
	}
}
