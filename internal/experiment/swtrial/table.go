package swtrial

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// NamedResult is the name of a scheduler and its result.
type NamedResult struct {
	Name   string
	Result Result
}

// RunAll runs a scenario with the cell and with every baseline.
func RunAll(s Scenario) []NamedResult {
	return []NamedResult{
		{"cell", Run(s, swcell.New(swcell.Config{}))},
		{"random", Run(s, NewDirect(NewRandom()))},
		{"roundRobin", Run(s, NewDirect(&RoundRobin{}))},
		{"leastOutstanding", Run(s, NewDirect(LeastOutstanding{}))},
		{"firstCome", Run(s, NewFirstCome(LeastOutstanding{}))},
	}
}

// WriteTable prints the results of one scenario and its bound.
func WriteTable(out io.Writer, s Scenario, results []NamedResult, b Bound) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s, %.1f times capacity\n", s.Name, s.Load)
	fmt.Fprintln(w, "scheduler\tgoodput0\tgoodput1\tgoodput2\ttotal/bound\tbusy\twasted\tby preemption\tquiet0\tquiet1\tquiet2\tinversions\tpreempted\trefused\tlate\tfirst0 p50/p95/p99\tfirst1 p95")
	for i := range results {
		r := &results[i].Result
		rejected, late := 0, 0
		for _, t := range r.Tiers {
			rejected += t.Rejected
			late += t.Late
		}
		fmt.Fprintf(w, "%s\t%.2f%%\t%.2f%%\t%.2f%%\t%.1f%%\t%.1f%%\t%.2f%%\t%.2f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%d\t%d\t%d\t%d\t%d/%d/%d ms\t%d ms\n", results[i].Name,
			percent(r.Tiers[0].Goodput()), percent(r.Tiers[1].Goodput()), percent(r.Tiers[2].Goodput()),
			percent(float64(r.Answered())/float64(max(b.Answered(), 1))), percent(float64(r.BusyTime)/float64(r.AvailableTime)), percent(r.WastedShare()), percent(float64(r.WastedByPreemption)/float64(max(r.PrefillTokens, 1))),
			percent(r.MinQuietOrgShare(0)), percent(r.MinQuietOrgShare(1)), percent(r.MinQuietOrgShare(2)), r.Inversions, r.Preemptions, rejected, late,
			r.FirstTokenQuantile(0, 0.5), r.FirstTokenQuantile(0, 0.95), r.FirstTokenQuantile(0, 0.99), r.FirstTokenQuantile(1, 0.95))
	}
	fmt.Fprintf(w, "bound\t%.2f%%\t%.2f%%\t%.2f%%\t100%%\n",
		percent(b.Tiers[0].Goodput()), percent(b.Tiers[1].Goodput()), percent(b.Tiers[2].Goodput()))
	writeClasses(w, s, results)
	return w.Flush()
}

// writeClasses prints the goodput of each class.
func writeClasses(w io.Writer, s Scenario, results []NamedResult) {
	for i := range results {
		fmt.Fprintf(w, "%s classes", results[i].Name)
		for j := range s.Classes {
			c := results[i].Result.class(&s.Classes[j])
			fmt.Fprintf(w, "\t%s %.2f%%", s.Classes[j].Name, percent(c.Goodput()))
		}
		fmt.Fprintln(w)
	}
}

func percent(share float64) float64 { return 100 * share }

// FirstTokenQuantile returns a quantile of the time from arrival to the first token of a tier's answered requests.
func (r *Result) FirstTokenQuantile(tier swid.Tier, quantile float64) swclock.Millis {
	times := slices.Sorted(slices.Values(r.FirstTokenTimes[tier]))
	if len(times) == 0 {
		return 0
	}
	return times[int(float64(len(times)-1)*quantile)]
}
