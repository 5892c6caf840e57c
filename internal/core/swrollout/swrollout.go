// Package swrollout decides roll-outs: how much of a service's traffic a new software version gets, and whether the version
// is completed or rolled back. The owner of the service's cell has one Rollout for each order of the operator. A Rollout is pure
// and deterministic: it reads no clock, socket or file.
//
// Until the new version is found sound, each request that is granted to it takes one unit of exposure. Units are reserved in the
// store before they are used, under the revision at which the record was read, so that the sum over all owners, also those that
// die or are cut off, never exceeds what the record says. A unit that its owner did not use is lost.
package swrollout

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// OrderID identifies an order of an operator: two orders for one service, also alike ones after each other, have different ones.
type OrderID string

// Order is an operator's order to move a service to another software version.
type Order struct {
	ID      OrderID
	Service swid.ServiceID
	To      swid.SoftwareVersion
	// Duration is the time from the order to its deadline.
	Duration swclock.Millis
}

// State is the state of an order, as the operator reads it.
type State uint8

// States of an order.
const (
	// StateNone means that nobody has taken the order up.
	StateNone State = iota
	// StateRunning means that the new version is on trial, or that traffic moves to it.
	StateRunning
	// StateCompleted is final: the targets of other versions stop at once.
	StateCompleted
	// StateRolledBack is final: the targets of the new version drain.
	StateRolledBack
)

var stateNames = [...]string{StateNone: "none", StateRunning: "running", StateCompleted: "completed", StateRolledBack: "rolledBack"}

// String returns the state's name in logs.
func (s State) String() string { return stateNames[s] }

// Final reports whether the state does not change any more.
func (s State) Final() bool { return s == StateCompleted || s == StateRolledBack }

// Record is what the store keeps of an order. Its zero value is that of an order that nobody has taken up.
type Record struct {
	Order OrderID
	To    swid.SoftwareVersion
	State State
	// Moving is set once the version was found sound: requests need no exposure any more.
	Moving bool
	// StartedAt is when the order was first seen, in Unix milliseconds of the host that saw it.
	StartedAt int64
	// Requests is the number of requests that have reached the service since the order: at least so many.
	Requests uint64
	// Reserved is the exposure that all owners together may have used: at most so much.
	Reserved uint64
	// Answers and Bad are the answers of the new version that were known when the record was written, and the bad or slow ones of them.
	Answers, Bad uint64
	// Writer is Config.Writer of the owner that wrote the record, or empty.
	Writer string
}

// Config configures a Rollout.
type Config struct {
	// MaxShare and Slack bound the exposure: MaxShare times the requests that reach the service, and Slack.
	MaxShare float64
	Slack    uint64
	// RollbackWithin is the time after the 50th bad answer from which the new version must get nothing.
	RollbackWithin swclock.Millis
	// Writer identifies the owner's process in the records that it writes, so that a record of another owner is never taken
	// for its own. It may be empty.
	Writer string
}

// Route identifies the kind of a request: requests of one route are compared with each other.
type Route uint64

// Answer is the end of one attempt at a target, as its holder reports it.
type Answer struct {
	Version swid.SoftwareVersion
	Target  swid.TargetID
	// Born identifies the target's start.
	Born  int64
	Route Route
	// Running and Slots are the runs at the target when the attempt was granted, itself included, and those that it can have.
	Running, Slots int
	// Warming is set if the target was still cold after its start.
	Warming bool
	// Bad is set if the answer is one for which the target alone can be responsible: an error of its own, one that was
	// cut off, or none at all. Rejections, cancelled attempts, lost paths and content that breaks targets are not reported.
	Bad bool
	// First is the time to the first output; 0 if there was none. Total is the time to the end.
	First, Total swclock.Millis
	// PromptTokens and OutputTokens are 0 for plain services. PromptTokens are those that were not cached.
	PromptTokens, OutputTokens swid.Tokens
	// SinceEnd is the time since the end of the attempt.
	SinceEnd swclock.Millis
}

// Versions says at which versions a request may begin now.
type Versions struct {
	// Old and New say whether targets of other versions, and those of the new one, may be granted the request.
	Old, New bool
	// PreferNew is set if a target of the new version with room is to be taken first, also one that is expected to be slower.
	PreferNew bool
	// Fill is set if, of the targets of the new version with room, the one with the most runs is to be taken, so that a small
	// share of the traffic shows them under load.
	Fill bool
	// Avoid is a target of the new version that may be ill, or empty: other targets of that version are to be taken first, so that
	// its answers are not held against the version.
	Avoid swid.TargetID
}

// Verdict is what a Rollout holds of the new version.
type Verdict uint8

// Verdicts.
const (
	// VerdictOpen means that more answers are needed.
	VerdictOpen Verdict = iota
	// VerdictSound means that the version is to be completed.
	VerdictSound
	// VerdictBad means that the version is to be rolled back.
	VerdictBad
)

var verdictNames = [...]string{VerdictOpen: "open", VerdictSound: "sound", VerdictBad: "bad"}

// String returns the verdict's name in logs.
func (v Verdict) String() string { return verdictNames[v] }

// Evidence is what a belief rests on, for logs, metrics and operators.
type Evidence struct {
	Order   Order
	State   State
	Verdict Verdict
	Moving  bool
	// Reason says in camel case what the verdict rests on, or what an open one waits for.
	Reason string
	// Remaining is the time to the deadline, negative after it.
	Remaining swclock.Millis
	// Requests, Reserved and Used are the requests that reached the service, the exposure that is reserved by all owners,
	// and what this one has used of its own.
	Requests, Reserved, Used uint64
	// Routes has the answers by route, in the order of Route.
	Routes []RouteEvidence
}

// RouteEvidence counts answers of one route.
type RouteEvidence struct {
	Route Route
	// OldAnswers and NewAnswers were recorded, and OldBad and NewBad of them were bad; OldSlow and NewSlow were answered, but
	// several times slower than usual at their target.
	OldAnswers, OldBad, OldSlow uint64
	NewAnswers, NewBad, NewSlow uint64
}

// Change is a change of what a Rollout believes, for the log.
type Change struct {
	Before, After Verdict
	Evidence      Evidence
}
