package swlink

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// metric is one exported counter with its description.
type metric struct {
	description *prometheus.Desc
	value       *atomic.Uint64
}

// Describe implements prometheus.Collector.
func (n *Network) Describe(out chan<- *prometheus.Desc) {
	for _, m := range n.metrics() {
		out <- m.description
	}
}

// Collect implements prometheus.Collector.
func (n *Network) Collect(out chan<- prometheus.Metric) {
	for _, m := range n.metrics() {
		out <- prometheus.MustNewConstMetric(m.description, prometheus.CounterValue, float64(m.value.Load()))
	}
}

// metrics lists the exported counters.
func (n *Network) metrics() []metric {
	s := &n.stats
	return []metric{
		counter("messages_received_total", "Messages received from other entry hosts.", &s.messagesIn),
		counter("messages_sent_total", "Messages written to links.", &s.messagesOut),
		counter("frames_received_total", "Frames received from other entry hosts.", &s.framesIn),
		counter("frames_sent_total", "Frames written to links.", &s.framesOut),
		counter("bytes_received_total", "Bytes received, without TCP and IP headers.", &s.bytesIn),
		counter("bytes_sent_total", "Bytes sent, without TCP and IP headers.", &s.bytesOut),
		counter("writes_total", "Writes to sockets.", &s.writes),
		counter("messages_refused_total", "Messages refused because a queue was full or a peer was unreachable.", &s.refused),
		counter("messages_lost_total", "Queued messages dropped because a link was lost.", &s.lost),
		counter("malformed_frames_total", "Frames that ended a link because they were malformed.", &s.malformed),
		counter("links_up_total", "Links established.", &s.linksUp),
		counter("links_down_total", "Links lost.", &s.linksDown),
		counter("links_silent_total", "Links closed because a probe stayed unanswered.", &s.peerTimeouts),
		counter("streams_opened_total", "Streams opened to have requests carried by other hosts.", &s.streamsOut),
		counter("streams_accepted_total", "Streams accepted to carry requests of other hosts.", &s.streamsIn),
		counter("dials_failed_total", "Dials that ended without a link.", &s.dialsFailed),
	}
}

// counter returns a metric of the peer subsystem.
func counter(name, help string, value *atomic.Uint64) metric {
	full := prometheus.BuildFQName("sassafraswing", "peer", name)
	return metric{description: prometheus.NewDesc(full, help, nil, nil), value: value}
}
