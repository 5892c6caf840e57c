package swreport

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/sassafraswing/sassafraswing/internal/load/swclient"
)

// tableWriter aligns columns and keeps the first error.
type tableWriter struct {
	writer *tabwriter.Writer
	err    error
}

func newTableWriter(w io.Writer) *tableWriter {
	return &tableWriter{writer: tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)}
}

func (t *tableWriter) row(format string, values ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.writer, format+"\n", values...)
	}
}

func (t *tableWriter) close() error {
	if t.err != nil {
		return t.err
	}
	return t.writer.Flush()
}

// Write writes the report as tables. Durations are in milliseconds.
func (r *Report) Write(w io.Writer) error {
	t := newTableWriter(w)
	t.row("scenario %s, seed %d, %d requests in %.1f s\t", r.Scenario, r.Seed, r.Requests, r.Elapsed.Duration().Seconds())
	t.row("\ntier\tsent\tin time\tgoodput/s\t%s\tfirst p50\tp95\tp99\tgap p50\tp95\tp99\t", outcomeNames())
	for _, tier := range r.Tiers {
		t.row("%s\t%d\t%d\t%.1f\t%s\t%s\t%s\t", tier.Name, tier.Sent, tier.InTime, tier.Goodput,
			joinCounts(tier.Outcomes), tier.FirstToken.columns(), tier.TokenGap.columns())
	}
	t.row("\norganisation\ttokens served\tasked\tfair share\tserved/fair\t")
	for _, o := range r.Organisations {
		t.row("%s\t%d\t%d\t%.0f\t%s\t", o.Name, o.Tokens, o.Demand, o.FairShare, formatRatio(float64(o.Tokens), o.FairShare))
	}
	p := r.Prefill
	t.row("\nprefill tokens\twasted\tshare\tattempts\tsecond answers\t")
	t.row("%d\t%d\t%s\t%d\t%d\t", p.Tokens, p.Wasted, formatRatio(float64(p.Wasted), float64(p.Tokens)), p.Attempts, p.SecondAnswers)
	v := r.Violations
	t.row("\nviolations: wrong\ttruncated\tnot run but ran\trepeated on target\trepeated keys\t")
	t.row("%d\t%d\t%d\t%d\t%d\t", v.Wrong, v.Truncated, v.NotRunButRan, v.RepeatedOnTarget, v.RepeatedKeys)
	if len(r.Codes) > 0 {
		t.row("\nnot answered\tcount\t")
	}
	for _, c := range r.Codes {
		t.row("%s\t%d\t", c.Code, c.Count)
	}
	t.row("\nload tool sent late\tp50\tp95\tp99\t")
	t.row("\t%s\t", r.Lateness.columns())
	return t.close()
}

func outcomeNames() string {
	names := ""
	for i, o := range swclient.Outcomes {
		if i > 0 {
			names += "\t"
		}
		names += o.String()
	}
	return names
}

func joinCounts(values []int) string {
	columns := ""
	for i, n := range values {
		if i > 0 {
			columns += "\t"
		}
		columns += fmt.Sprint(n)
	}
	return columns
}

func (q Quantiles) columns() string {
	if q.Count == 0 {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%.2f\t%.2f\t%.2f", q.P50.Millis(), q.P95.Millis(), q.P99.Millis())
}

func formatRatio(a, b float64) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", a/b)
}
