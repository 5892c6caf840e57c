package swcallerconn

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
)

// Register registers metrics of what the intake holds and of what was refused for want of room.
func (in *Intake) Register(registry prometheus.Registerer) {
	const namespace = "sassafraswing"
	gauge := func(name, help string, labels prometheus.Labels, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}, value))
	}
	counter := func(name, help string, labels prometheus.Labels, value func() uint64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels},
			func() float64 { return float64(value()) }))
	}
	gauge("body_bytes_held", "Bytes of requests' bodies that are held.", nil, func() float64 { return float64(in.Bodies.Held()) })
	gauge("body_bytes_limit", "Bytes of requests' bodies that may be held.", nil, func() float64 { return float64(in.Bodies.Capacity()) })
	gauge("header_bytes_held", "What headers of requests are taken to hold, in bytes.", nil, func() float64 { return float64(in.Headers.Held()) })
	counter("headers_without_room_total", "Headers that found no room, by which their connections were closed.", nil, in.Headers.Refused)
	for _, r := range []struct {
		reason string
		count  func(swroom.Counts) uint64
	}{
		{"full", func(c swroom.Counts) uint64 { return c.Full }},
		{"stalled", func(c swroom.Counts) uint64 { return c.Stalled }},
		{"larger", func(c swroom.Counts) uint64 { return c.Larger }},
	} {
		counter("bodies_without_room_total", "Bodies that were refused for want of room, by reason.", prometheus.Labels{"reason": r.reason},
			func() uint64 { return r.count(in.Bodies.Counts()) })
	}
	gauge("caller_connections_limit", "Connections of callers that may be open.", nil, func() float64 { return float64(in.Connections.Limit()) })
	const closedHelp = "Connections of callers that were closed for want of room, by state."
	counter("caller_connections_closed_total", closedHelp, prometheus.Labels{"state": "new"}, in.Connections.Rejected)
	for _, state := range swroom.States() {
		labels := prometheus.Labels{"state": state.String()}
		gauge("caller_connections", "Open connections of callers, by state.", labels, func() float64 { return float64(in.Connections.Count(state)) })
		counter("caller_connections_closed_total", closedHelp, labels, func() uint64 { return in.Connections.Closed(state) })
	}
}
