// Package swtrial runs one scheduler against modelled targets in virtual time.
//
// The model is one discrete-event loop: requests arrive at a holder (the host that
// accepts and dispatches them), which sends a grant request for each. The scheduler's
// actions reach modelled targets with continuous batching, and the ends of the attempts
// return to the scheduler as events. Nothing depends on the machine or on real time.
package swtrial

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Class is a kind of request of a deployment.
type Class struct {
	Name string
	Tier swid.Tier
	// Share is the fraction of the offered work that belongs to the class.
	Share float64
	// Prompt is the mean prompt size, and Output the limit of the output.
	Prompt swid.Tokens
	Output swid.Tokens
	// Shared is the length of the prompt prefix that all requests of an organisation have in common.
	Shared   swid.Tokens
	Deadline swclock.Millis
	// Burst multiplies the class's rate during the scenario's burst. A value below 1 has the effect of 1.
	Burst float64
	// NonIdempotent marks requests that are not repeated once an attempt has started.
	NonIdempotent bool
}

// Engine describes one modelled target.
type Engine struct {
	ID         swid.TargetID
	Generation swid.GenerationID
	Slots      int
	KVTokens   swid.Tokens
	// PrefillRate and DecodeRate are in tokens per second; DecodeRate is the rate of one stream.
	PrefillRate float64
	DecodeRate  float64
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
}

// FaultKind is a kind of failure of a target.
type FaultKind uint8

// Kinds of faults.
const (
	// FaultSlow divides the speed of a target by Fault.Factor.
	FaultSlow FaultKind = iota + 1
	// FaultCrash ends every attempt on a target, which rejects new ones until it is up again.
	FaultCrash
	// FaultUnresponsive makes a target accept attempts without answering them.
	FaultUnresponsive
)

// Fault is a failure of one target.
type Fault struct {
	Kind   FaultKind
	Target swid.TargetID
	At     swclock.Millis
	// Span is the duration of the fault; 0 means until the end of the run.
	Span   swclock.Millis
	Factor float64
}

// Scenario describes one run.
type Scenario struct {
	Name    string
	Seed    uint64
	Engines []Engine
	Classes []Class
	// Organisations holds the relative rates of the organisations, which all have equal shares.
	Organisations []float64
	// Load is the offered work relative to the capacity of all engines.
	Load float64
	// Span is the time during which requests arrive.
	Span swclock.Millis
	// BurstAt and BurstSpan are the start and duration of the burst.
	BurstAt   swclock.Millis
	BurstSpan swclock.Millis
	Faults    []Fault
	// PoisonAt holds the arrival times of requests that crash their target. The
	// caller sends each of them again poisonResends times.
	PoisonAt []swclock.Millis
	// AbandonShare is the fraction of the callers that abandon their request before its answer.
	AbandonShare float64
}

const (
	engineCount     = 9
	fastEngineCount = 5
	slotsPerEngine  = 8
)

// fleet returns nine engines of two generations, the second at half the speed of the first.
func fleet() []Engine {
	var engines []Engine
	for i := range engineCount {
		e := Engine{
			ID: swid.TargetID("e" + string(rune('1'+i))), Generation: "new", Slots: slotsPerEngine, KVTokens: 160_000,
			PrefillRate: 16_000, DecodeRate: 60, CacheBlocks: 4096,
		}
		if i >= fastEngineCount {
			e.Generation, e.PrefillRate, e.DecodeRate = "old", e.PrefillRate/2, e.DecodeRate/2
		}
		engines = append(engines, e)
	}
	return engines
}

// Lembrete is the debt-collection deployment: letters, nudges, replies and lookups.
func Lembrete(load float64) Scenario {
	return Scenario{
		Name: "lembrete", Seed: 1, Engines: fleet(), Load: load,
		Organisations: []float64{10, 1, 1, 1, 1},
		Classes: []Class{
			{Name: "lookup", Tier: 0, Share: 0.12, Prompt: 90, Output: 50, Deadline: 4 * swclock.Second, Burst: 2},
			{Name: "sort", Tier: 1, Share: 0.08, Prompt: 120, Output: 12, Deadline: 6 * swclock.Second, Burst: 2},
			{Name: "letter", Tier: 1, Share: 0.5, Prompt: 9000, Output: 700, Shared: 512, Deadline: 90 * swclock.Second, Burst: 2},
			{Name: "nudge", Tier: 2, Share: 0.3, Prompt: 90, Output: 90, Deadline: 60 * swclock.Second, Burst: 1},
		},
		Span: 2 * swclock.Minute, BurstAt: 30 * swclock.Second, BurstSpan: 15 * swclock.Second,
		Faults: []Fault{{Kind: FaultSlow, Target: "e2", At: 20 * swclock.Second, Factor: 4}},
	}
}

// MajiBora is the home-visit deployment: audit reports, visit chats and tips.
func MajiBora(load float64) Scenario {
	return Scenario{
		Name: "majibora", Seed: 2, Engines: fleet(), Load: load,
		Organisations: []float64{10, 1, 1, 1, 1},
		Classes: []Class{
			{Name: "chat", Tier: 0, Share: 0.2, Prompt: 400, Output: 80, Shared: 256, Deadline: 6 * swclock.Second, Burst: 2},
			{Name: "report", Tier: 1, Share: 0.5, Prompt: 12_000, Output: 600, Shared: 2048, Deadline: 120 * swclock.Second, Burst: 2},
			{Name: "tip", Tier: 2, Share: 0.3, Prompt: 120, Output: 120, Shared: 64, Deadline: 60 * swclock.Second, Burst: 1},
		},
		Span: 2 * swclock.Minute, BurstAt: 30 * swclock.Second, BurstSpan: 15 * swclock.Second,
		Faults: []Fault{{Kind: FaultSlow, Target: "e2", At: 20 * swclock.Second, Factor: 4}},
	}
}

// Faulty is the debt-collection deployment below capacity under every kind of fault:
// a slow, a crashing and an unresponsive target, requests that crash targets,
// and callers that abandon their requests.
func Faulty() Scenario {
	s := Lembrete(0.4)
	s.Name = "faulty"
	s.AbandonShare = 0.05
	s.Faults = append(s.Faults,
		Fault{Kind: FaultCrash, Target: "e4", At: 25 * swclock.Second, Span: 10 * swclock.Second},
		Fault{Kind: FaultUnresponsive, Target: "e7", At: 50 * swclock.Second, Span: 20 * swclock.Second},
	)
	s.PoisonAt = []swclock.Millis{70 * swclock.Second}
	return s
}
