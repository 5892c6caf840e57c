// Package swmetrics provides the Prometheus metrics of requests and owned cells.
// Label values come from bounded sets: tiers, services, organisation classes,
// cells and fixed words, never organisations.
package swmetrics

import (
	"strconv"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
)

const namespace = "sassafraswing"

// Histogram buckets in seconds: firstTokenBuckets for the times to the last grant
// and to the first token, totalBuckets for the time to the end of a request.
var (
	firstTokenBuckets = []float64{.005, .01, .025, .05, .1, .2, .35, .51, .75, 1, 2, 5, 10, 30}
	totalBuckets      = []float64{.01, .05, .1, .25, .5, 1, 2, 5, 10, 20, 40, 80, 160, 320}
)

// Metrics implements the observers of the other packages. Its methods are safe for concurrent use.
type Metrics struct {
	requests       *prometheus.CounterVec
	inTime         *prometheus.CounterVec
	queueTime      *prometheus.HistogramVec
	firstTokenTime *prometheus.HistogramVec
	totalTime      *prometheus.HistogramVec
	tokens         *prometheus.CounterVec
	decisions      *prometheus.CounterVec
	unusedGrants   prometheus.Counter
	droppedInputs  *prometheus.CounterVec
	violations     *prometheus.CounterVec
	// tierNames holds the names of the tiers by rank; nil before the first document.
	tierNames atomic.Pointer[[]string]
}

// New returns metrics that are registered with r.
func New(r prometheus.Registerer) *Metrics {
	requestLabels := []string{"tier", "service", "class"}
	m := &Metrics{
		requests:       newCounters("requests_total", "Requests by outcome and cause.", append(requestLabels, "outcome", "cause")...),
		inTime:         newCounters("requests_in_time_total", "Requests answered whole before their deadline.", requestLabels...),
		queueTime:      newHistograms("queue_seconds", "Time from accepting a request to its last grant.", firstTokenBuckets, requestLabels...),
		firstTokenTime: newHistograms("first_token_seconds", "Time from accepting a request to its first output.", firstTokenBuckets, requestLabels...),
		totalTime:      newHistograms("request_seconds", "Time from accepting a request to its end.", totalBuckets, requestLabels...),
		tokens:         newCounters("tokens_total", "Tokens of answered requests: prompt, cached or output.", "tier", "service", "kind"),
		decisions:      newCounters("decisions_total", "Decisions of owned cells: grant, giveUp or preempt.", "cell", "kind"),
		droppedInputs:  newCounters("cell_inputs_dropped_total", "Messages that found a cell's ring full.", "cell"),
		violations:     newCounters("invariant_violations_total", "Invariants that did not hold. Any value above 0 is a fault of the program.", "invariant"),
		unusedGrants: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "unused_grants_total", Help: "Grants that came for a request that no longer waited for them.",
		}),
	}
	r.MustRegister(m.requests, m.inTime, m.queueTime, m.firstTokenTime, m.totalTime, m.tokens, m.decisions, m.unusedGrants, m.droppedInputs, m.violations)
	return m
}

func newCounters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
}

// Configure sets the tier names, which are label values, to those of a document.
func (m *Metrics) Configure(d *swdoc.Document) {
	names := make([]string, 0, len(d.Tiers))
	for _, t := range d.Tiers {
		names = append(names, t.Name)
	}
	m.tierNames.Store(&names)
}

func (m *Metrics) tierName(t swid.Tier) string {
	if names := m.tierNames.Load(); names != nil && int(t) < len(*names) {
		return (*names)[t]
	}
	return strconv.Itoa(int(t))
}

// RequestEnded implements swholder.Observer.
func (m *Metrics) RequestEnded(r *swholder.Request, report *swholder.Report) {
	tier, service, class := m.tierName(r.Tier), string(r.Service), string(r.OrgClass)
	m.requests.WithLabelValues(tier, service, class, report.End.Outcome.String(), report.End.Cause.String()).Inc()
	m.totalTime.WithLabelValues(tier, service, class).Observe(seconds(report.Timing.Total))
	if report.Attempts > 0 {
		m.queueTime.WithLabelValues(tier, service, class).Observe(seconds(report.Timing.Queue))
	}
	if report.Timing.FirstToken > 0 {
		m.firstTokenTime.WithLabelValues(tier, service, class).Observe(seconds(report.Timing.FirstToken))
	}
	if report.InTime {
		m.inTime.WithLabelValues(tier, service, class).Inc()
	}
	m.tokens.WithLabelValues(tier, service, "prompt").Add(float64(report.PromptTokens))
	m.tokens.WithLabelValues(tier, service, "cached").Add(float64(report.CachedTokens))
	m.tokens.WithLabelValues(tier, service, "output").Add(float64(report.OutputTokens))
}

func seconds(m swclock.Millis) float64 { return m.Duration().Seconds() }

// UnusedGrant implements swholder.Observer.
func (m *Metrics) UnusedGrant() { m.unusedGrants.Inc() }

// ActionTaken implements swowner.Observer.
func (m *Metrics) ActionTaken(cell swid.CellID, action swcell.Action) {
	kind := "grant"
	switch action.(type) {
	case swcell.Reject:
		kind = "giveUp"
	case swcell.Preempt:
		kind = "preempt"
	}
	m.decisions.WithLabelValues(string(cell), kind).Inc()
}

// InputDropped implements swowner.Observer.
func (m *Metrics) InputDropped(cell swid.CellID) { m.droppedInputs.WithLabelValues(string(cell)).Inc() }

// InvariantViolated implements swowner.Observer.
func (m *Metrics) InvariantViolated(_ swid.CellID, what string) {
	m.violations.WithLabelValues(what).Inc()
}
