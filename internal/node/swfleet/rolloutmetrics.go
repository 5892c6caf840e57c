package swfleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/owner/swrolloutkeeper"
)

// rolloutCollector exports what the owner knows of each roll-out.
type rolloutCollector struct {
	keeper *swrolloutkeeper.Keeper
	state, requests, reserved, used, answers,
	failedWrites *prometheus.Desc
}

func newRolloutCollector(k *swrolloutkeeper.Keeper) *rolloutCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName("sassafraswing", "rollout", name), help, labels, nil)
	}
	return &rolloutCollector{
		keeper:       k,
		state:        desc("state", "1 for the state and the verdict of the order.", "service", "to", "state", "verdict"),
		requests:     desc("requests", "Requests that have reached the service since the order.", "service", "to"),
		reserved:     desc("exposure_reserved", "Requests at the new version that all owners have reserved.", "service", "to"),
		used:         desc("exposure_used", "Requests at the new version that this owner has granted.", "service", "to"),
		answers:      desc("answers", "Answers that are compared, by version (old or new) and result (bad, slow, all).", "service", "to", "version", "result"),
		failedWrites: desc("failed_writes_total", "Writes of records of roll-outs that failed."),
	}
}

// Describe implements prometheus.Collector.
func (c *rolloutCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.state, c.requests, c.reserved, c.used, c.answers, c.failedWrites} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c *rolloutCollector) Collect(metrics chan<- prometheus.Metric) {
	metrics <- prometheus.MustNewConstMetric(c.failedWrites, prometheus.CounterValue, float64(c.keeper.FailedWrites()))
	for _, e := range c.keeper.Evidence() {
		gauge := func(d *prometheus.Desc, value uint64, labels ...string) {
			labels = append([]string{string(e.Order.Service), string(e.Order.To)}, labels...)
			metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), labels...)
		}
		gauge(c.state, 1, e.State.String(), e.Verdict.String())
		gauge(c.requests, e.Requests)
		gauge(c.reserved, e.Reserved)
		gauge(c.used, e.Used)
		sum := swrollout.RouteEvidence{}
		for _, r := range e.Routes {
			sum.OldAnswers, sum.OldBad, sum.OldSlow = sum.OldAnswers+r.OldAnswers, sum.OldBad+r.OldBad, sum.OldSlow+r.OldSlow
			sum.NewAnswers, sum.NewBad, sum.NewSlow = sum.NewAnswers+r.NewAnswers, sum.NewBad+r.NewBad, sum.NewSlow+r.NewSlow
		}
		gauge(c.answers, sum.OldAnswers, "old", "all")
		gauge(c.answers, sum.OldBad, "old", "bad")
		gauge(c.answers, sum.OldSlow, "old", "slow")
		gauge(c.answers, sum.NewAnswers, "new", "all")
		gauge(c.answers, sum.NewBad, "new", "bad")
		gauge(c.answers, sum.NewSlow, "new", "slow")
	}
}
