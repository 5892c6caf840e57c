package swfleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sassafraswing/sassafraswing/internal/caller/swgate"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
)

// gauges exports the state of a host as gauges, and counts the requests that the host
// answers without a target.
type gauges struct {
	denials *prometheus.CounterVec
	// aborted counts the answers that ended after they had begun.
	aborted *prometheus.CounterVec
}

func newGauges(h *Host) *gauges {
	g := &gauges{denials: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "sassafraswing", Name: "denials_total", Help: "Requests that were answered without a target, by reason.",
	}, []string{"reason"}), aborted: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "sassafraswing", Name: "answers_aborted_total", Help: "Answers that ended after a part was sent to the caller, by cause and by who ended them.",
	}, []string{"cause", "ended_by"})}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "sassafraswing", Name: name, Help: help}, value)
	}
	h.registry.MustRegister(g.denials, g.aborted,
		gauge("configuration_version", "Version of the configuration in force; 0 if there is none.", h.configurationVersion),
		gauge("configuration_age_seconds", "Time since the store last confirmed the configuration.", h.configurationAge),
		gauge("store_reached", "1 if the last call of the store was answered, and 0 otherwise.", h.storeReached),
		gauge("ready", "1 if the host takes callers, and 0 otherwise.", func() float64 { return boolValue(h.ready()) }),
		gauge("attached_hosts", "Hosts that ask this one for the cells of engines.", func() float64 {
			_, hosts := h.ledger.Share(h.clock.Now())
			return float64(hosts)
		}),
		gauge("plain_services_contended", "1 while the hosts' reports make this one, as their owner, schedule the requests of plain services.", func() float64 {
			return boolValue(h.contention.Contended(h.clock.Now()))
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "sassafraswing", Name: "plain_grants_contended_total",
			Help: "Grants of targets of plain services, by this host, for which the request had waited, or after which the target turned it away.",
		}, func() float64 { return float64(h.contentionMeter.Contended()) }),
		gauge("known_targets", "Targets in the list in force.", func() float64 { return float64(h.view.targetCount()) }),
		gauge("answer_bytes_held", "Bytes of answers that are held to be passed on.", func() float64 { return float64(h.answers.Held()) }),
		gauge("answer_bytes_limit", "Bytes of answers that may be held.", func() float64 { return float64(h.answers.Capacity()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "sassafraswing", Name: "answers_exceeding_memory_total",
			Help: "Requests of which an answer was ended because it exceeded its share of the memory for answers.",
		}, func() float64 { return float64(h.answers.Refused()) }),
		gauge("known_hosts", "Hosts in the list in force.", func() float64 { return float64(len(h.view.Members())) }),
	)
	return g
}

// countResult counts a call that was denied, or whose answer was aborted. It ignores all others.
func (g *gauges) countResult(r *swgate.Result) {
	end := r.Report.End
	switch {
	case r.Denial != swgate.DeniedNone:
		g.denials.WithLabelValues(r.Denial.String()).Inc()
	case r.Report.Begun && end.Outcome != swlife.OutcomeAnswered:
		g.aborted.WithLabelValues(end.Cause.String(), r.Report.EndedBy.String()).Inc()
	}
}

// RegisterDroppedLines registers a counter of the log lines that were dropped. It must be
// called before Run.
func (h *Host) RegisterDroppedLines(lines func() uint64) {
	h.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "sassafraswing", Name: "log_lines_dropped_total", Help: "Log lines that were dropped because standard output was not read.",
	}, func() float64 { return float64(lines()) }))
}

func (h *Host) configurationVersion() float64 {
	if t := h.view.currentTable(); t != nil {
		return float64(t.Catalog().Version)
	}
	return 0
}

func (h *Host) configurationAge() float64 {
	if h.view.currentTable() == nil {
		return 0
	}
	return float64(h.clock.SinceBoot()-h.catalogs.ConfirmedAt()) / float64(swclock.Second)
}

func (h *Host) storeReached() float64 {
	return boolValue(h.health.Load() != nil && h.storeReachable())
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
