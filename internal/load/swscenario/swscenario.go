// Package swscenario defines load scenarios: which requests arrive when, and
// which faults begin when. The same scenario and seed give the same requests.
package swscenario

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Scenario is one load scenario.
type Scenario struct {
	Name string
	Seed uint64
	// Duration is the time in which requests arrive.
	Duration swclock.Millis
	// Requests bounds the number of requests; 0: only Duration does.
	Requests int
	// Hosts are the base URLs that requests go to; at least one.
	Hosts []string
	// Engines and Plain are the base URLs of the stand-ins' admin interfaces,
	// from which runs are counted.
	Engines []string
	Plain   []string
	// Tiers holds the names of the tiers, the highest first.
	Tiers         []string
	Organisations []Organisation
	Flows         []Flow
	// Faults are sorted by time.
	Faults []Fault
	Paired Paired
}

// Organisation is a caller.
type Organisation struct {
	ID swid.OrgID
	// Key is its API key.
	Key    string
	Weight float64
}

// Flow is a stream of requests of one kind, with random arrivals.
type Flow struct {
	Name string
	// Tier is an index into Scenario.Tiers; Organisation one into Scenario.Organisations.
	Tier         int
	Organisation int
	Service      swid.ServiceID
	// Rate is the mean number of arrivals a second outside of bursts.
	Rate   float64
	Bursts []Burst
	// Deadline is sent along; it also decides which answers are in time.
	Deadline swclock.Millis
	// Plain is set for flows of a plain service, Model for those of a model.
	Plain *Plain
	Model *Model
}

// Burst multiplies a flow's rate for a while.
type Burst struct {
	At     swclock.Millis
	For    swclock.Millis
	Factor float64
}

// Plain describes calls of a plain service.
type Plain struct {
	Method string
	Path   string
	// Keyed sends a new idempotency key with each call.
	Keyed bool
}

// Model describes requests to a model.
type Model struct {
	Chat   bool
	Stream bool
	// PromptTokens is the length of short prompts, LongPromptTokens that of the share LongShare.
	PromptTokens     int
	LongPromptTokens int
	LongShare        float64
	// Prefixes is the number of different prefixes of PrefixTokens each that prompts begin with; 0: none.
	Prefixes     int
	PrefixTokens int
	MaxTokens    int
	// Marker is part of every prompt, so that faults can select the flow.
	Marker string
	// SameContent gives every request of the flow the same prompt.
	SameContent bool
}

// Fault is switched on in a stand-in during the run.
type Fault struct {
	At swclock.Millis
	// URL is the base URL of the stand-in's admin interface.
	URL string
	// The other fields are those of swfault.Fault.
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

// Paired describes the comparison of a host with the engine behind it.
type Paired struct {
	// Engine is the base URL of the engine that is called directly.
	Engine string
	// Flow is an index into Scenario.Flows, of a flow of a model.
	Flow int
	// Count pairs are measured after Warmup pairs.
	Count  int
	Warmup int
}
