// Package swscenario defines load scenarios: which requests arrive and which faults
// are injected at what time. The same scenario and seed produce the same requests.
package swscenario

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Scenario describes the requests and faults of one load run, and the processes
// under test.
type Scenario struct {
	Name string
	Seed uint64
	// Duration is the length of the period in which requests arrive.
	Duration swclock.Millis
	// Requests limits the number of requests; 0 means that only Duration limits it.
	Requests int
	// Hosts holds the base URLs that requests are sent to; at least one.
	Hosts []string
	// Engines and PlainServices hold the base URLs of the admin interfaces of the
	// stand-ins (test programs that act as targets). A run count, which is the number of
	// times that a stand-in ran a request, is read there.
	Engines       []string
	PlainServices []string
	// Tiers holds the names of the tiers, the highest first.
	Tiers         []string
	Organisations []Organisation
	Flows         []Flow
	// Faults are sorted by time.
	Faults []Fault
	Paired Paired
}

// Organisation identifies an organisation that sends requests. Weight determines its
// fair share of the tokens served.
type Organisation struct {
	ID swid.OrgID
	// Key is the organisation's API key.
	Key    string
	Weight float64
}

// Flow describes requests of one kind to one service, with random arrivals.
type Flow struct {
	Name string
	// Tier is an index into Scenario.Tiers, Organisation an index into Scenario.Organisations.
	Tier         int
	Organisation int
	Service      swid.ServiceID
	// Rate is the mean number of arrivals per second outside bursts.
	Rate   float64
	Bursts []Burst
	// Deadline is sent with each request. An answer after it counts as late.
	Deadline swclock.Millis
	// Plain is set if the service is a plain service, Model if it is a model.
	Plain *Plain
	Model *Model
}

// Burst multiplies a flow's rate by Factor from At until Duration has passed.
type Burst struct {
	At       swclock.Millis
	Duration swclock.Millis
	Factor   float64
}

// Plain describes calls to a plain service, an HTTP service that serves no model.
type Plain struct {
	Method string
	Path   string
	// Keyed means that each call carries a new idempotency key.
	Keyed bool
}

// Model describes requests to a model.
type Model struct {
	Chat   bool
	Stream bool
	// PromptTokens is the length of a prompt, LongPromptTokens that of a long one.
	// LongShare is the probability that a prompt is long.
	PromptTokens     int
	LongPromptTokens int
	LongShare        float64
	// Prefixes is the number of different shared prefixes that prompts begin with, each
	// of PrefixTokens; 0 means no prefix.
	Prefixes     int
	PrefixTokens int
	MaxTokens    int
	// Marker is part of every prompt, so that a fault can select the flow by Fault.Contains.
	Marker string
	// SameContent gives every request of the flow the same prompt.
	SameContent bool
}

// Fault is a fault that is injected into a stand-in during the run, at time At.
type Fault struct {
	At swclock.Millis
	// URL is the base URL of the stand-in's admin interface.
	URL string
	// The other fields have the meaning of those of swfault.Fault.
	Kind     string
	Factor   float64
	After    int
	Count    int
	Delay    swclock.Millis
	Duration swclock.Millis
	Contains string
	Existing bool
	Status   int
}

// Paired describes the comparison of requests through a host with requests directly
// to the engine behind it.
type Paired struct {
	// Engine is the base URL of the engine that is called directly.
	Engine string
	// Flow is an index into Scenario.Flows. The flow must be one to a model.
	Flow int
	// Count is the number of measured pairs, Warmup the number of unmeasured pairs before them.
	Count  int
	Warmup int
}
