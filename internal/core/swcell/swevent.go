// Package swcell is the decision core of hosts that run on a document, which lists
// services, targets and organisations. A cell is the targets of one service in one
// region, and has one Cell at its owner, the host that schedules it. The Cell
// decides which request runs on which target, when, and whether at all.
//
// Tiers are strict: higher tiers are granted first, and a request is rejected for
// lack of capacity only after the waiting requests of lower tiers have been
// rejected and their cancellable runs cancelled. Within a tier, organisations share
// the cell by weight.
//
// Hosts that run on the operators' platform, those with fleet settings, use package
// swvalue instead for all their cells, the shared ones and those that each host
// schedules for itself. It ranks requests by the worth of an answer for the time
// that it takes, and never preempts. It takes the events and returns the actions
// that are defined here; swcell does not use all of their fields, reasons and
// results.
//
// Cell is pure and deterministic: it reads no clock, socket or file and starts
// no goroutine. The owner feeds it events and carries out the actions that it
// returns.
package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
)

// Key identifies a request within a cell.
type Key struct {
	// Holder is the host that accepted the request, keeps it until its outcome and
	// dispatches it.
	Holder swid.HostID
	// Incarnation is that of the holder's process.
	Incarnation swid.Incarnation
	// Seq is unique within the holder's incarnation.
	Seq swid.Seq
}

// Event is an input of Cell.Step.
type Event interface{ event() }

// GrantRequest requests permission (a grant) to dispatch one attempt of a request to
// one target.
type GrantRequest struct {
	Key     Key
	Attempt swid.Attempt
	Tier    swid.Tier
	Org     swid.OrgID
	// Deadline is the instant, on the owner's clock, after which the answer has no value.
	Deadline swclock.Millis
	// PromptTokens is the holder's estimate of the prompt's size.
	PromptTokens swid.Tokens
	// OutputTokens is the most tokens that the request may generate, by its own limit or the service's default.
	OutputTokens swid.Tokens
	// Prefix holds hashes of the prompt's prefixes, shortest first. The i-th
	// covers swprefix.Depth(i) blocks of PrefixBlock tokens.
	Prefix []swid.PrefixHash
	// Fingerprint identifies the request's content.
	Fingerprint swid.Fingerprint
	// Exclude holds the targets that the request was dispatched to before; none of them is granted.
	Exclude []swid.TargetID
	// NonIdempotent marks work that is never cancelled, hedged or dispatched twice.
	NonIdempotent bool
	// Strikes counts the request's earlier attempts that broke, under any owner.
	Strikes uint8
	// Objective is the instant by which the first part of the answer should
	// arrive, on the owner's clock; 0 if there is none.
	Objective swclock.Millis
	// Parts are the parts of the prompt in order, if the caller names them.
	Parts []Part
	// Scope is that of Parts.
	Scope swid.PromptScope
	// OrgTier is the organisation's own tier, which takes precedence over Tier. It is the same for all
	// organisations if the operators set none.
	OrgTier swid.Tier
	// ExpectedTokens is the caller's estimate of the output, often far off; 0 if it gives none.
	ExpectedTokens swid.Tokens
	// Charge is what the request counts towards its organisation's quota.
	Charge int64
	// Abandon is the instant at which the caller leaves if there is no output; 0
	// if it waits until the deadline.
	Abandon swclock.Millis
	// Resumable marks a stream that may be continued at another target.
	Resumable bool
	// Continuation says whether the attempt continues a stream, and which.
	Continuation sworigin.Continuation
	// Carry is set if the holder reaches no target of the cell itself, so that another host has to carry the
	// request.
	Carry bool
}

// Part is a part of a prompt that other prompts may share. A target that has
// processed it, after the same parts before it, need not process it again.
type Part struct {
	ID     swid.PrefixHash
	Tokens swid.Tokens
}

// SharedParts returns the parts of a prompt that other requests may have as well: all but the last,
// which belongs to the request itself or to its session.
func SharedParts(parts []Part) []Part { return parts[:max(len(parts)-1, 0)] }

// Withdraw cancels a grant request or an unused grant, for example because the
// caller left.
type Withdraw struct {
	Key     Key
	Attempt swid.Attempt
}

// InFlight reports to a new owner an attempt that was dispatched under an earlier
// owner. GrantRequest.Exclude does not hold Target.
type InFlight struct {
	GrantRequest GrantRequest
	Target       swid.TargetID
	// Elapsed is the time since dispatch.
	Elapsed swclock.Millis
	// Produced counts the output tokens received so far.
	Produced swid.Tokens
	// Carrier is the host that carries the request; empty if there is none.
	Carrier swid.HostID
}

// Progress reports the output of a running attempt, so that slow targets are
// detected before their attempts end.
type Progress struct {
	Key      Key
	Attempt  swid.Attempt
	Produced swid.Tokens
	// Statement is what the answer says of the requests that its target takes.
	Statement swlimit.Statement
	// Begun is the stream that the attempt has begun since the report before, if it has.
	Begun sworigin.Begun
}

// Result says how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	// ResultAnswered means that the whole answer arrived.
	ResultAnswered Result = iota + 1
	// ResultNotStarted means that the target provably did not run the request,
	// for example because it refused the connection.
	ResultNotStarted
	// ResultBroken means that the stream ended early or the target crashed; the request may have run.
	ResultBroken
	// ResultCancelled means that the holder cancelled the attempt, because of a
	// Preempt action, a caller that left or a deadline that passed. A holder may report a
	// deadline that passed while the target sent nothing as ResultNoAnswer.
	ResultCancelled
	// ResultRejected means that the target answered with an error that the request caused.
	ResultRejected
	// ResultNoAnswer means that the target did not answer or sent another request's
	// answer, without a sign that it crashed; the request may have run.
	ResultNoAnswer
	// ResultFailed means that the target answered with an error that the request did not
	// cause, after which the request may be tried on another target.
	ResultFailed
)

var resultNames = [...]string{
	ResultAnswered:   "answered",
	ResultNotStarted: "notStarted",
	ResultBroken:     "broken",
	ResultCancelled:  "cancelled",
	ResultRejected:   "rejected",
	ResultNoAnswer:   "noAnswer",
	ResultFailed:     "failed",
}

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }

// Done reports the end of an attempt that was dispatched.
type Done struct {
	Key     Key
	Attempt swid.Attempt
	Target  swid.TargetID
	Result  Result
	// PromptTokens and OutputTokens are the target's counts, or the holder's if the target gives none.
	PromptTokens swid.Tokens
	OutputTokens swid.Tokens
	// CachedTokens is the number of prompt tokens that the target found in its prefix cache.
	CachedTokens swid.Tokens
	// FirstToken is the time from dispatch to the first token, or 0 if there was none.
	FirstToken swclock.Millis
	// Total is the time from dispatch to the end.
	Total swclock.Millis
	// Statement is what the answer says of the requests that its target takes, if there was one.
	Statement swlimit.Statement
	// PathLost is set if the holder reaches no target of the cell, so that the result says nothing of the target.
	PathLost bool
	// CarrierLost is set if the host that was to carry the request could not be reached, was lost, or has no room for it.
	CarrierLost bool
	// TargetFault is set if the answer has an error status for which the target is responsible.
	TargetFault bool
	// Unsent is set if nothing of the request was sent to the target.
	Unsent bool
}

// LoadReport contains a target's own report of its load.
type LoadReport struct {
	Target  swid.TargetID
	Running int
	Waiting int
	// Age is the time since the target measured its load.
	Age swclock.Millis
}

// CacheReport contains a target's changes to its prefix cache.
type CacheReport struct {
	Target  swid.TargetID
	Added   []swid.PrefixHash
	Removed []swid.PrefixHash
	// Gap means that earlier reports were lost, so that the owner's index of the target's cache is unreliable.
	Gap bool
}

// TargetState says whether a target takes new work.
type TargetState uint8

// States of a target.
const (
	// TargetActive takes new work.
	TargetActive TargetState = iota + 1
	// TargetDraining takes no new work; what runs on it finishes.
	TargetDraining
	// TargetDown is unreachable from the owner.
	TargetDown
)

// Target describes one target of the cell.
type Target struct {
	ID         swid.TargetID
	Generation swid.GenerationID
	State      TargetState
	// Slots is the number of requests that the target runs at once without queueing.
	Slots int
	// KVTokens bounds the tokens of all running requests; 0 means no bound.
	KVTokens swid.Tokens
	// PrefillRate and DecodeRate are the initial estimates, in tokens a second;
	// DecodeRate is that of one stream. 0 marks a plain service, whose work
	// takes ServiceTime.
	PrefillRate float64
	DecodeRate  float64
	// ServiceTime is the initial estimate for a call of a plain service.
	ServiceTime swclock.Millis
	// Plain says that the target counts no tokens.
	Plain bool
	// Born identifies a start of the target, so that a restart under the same ID is
	// detected; 0 if unknown.
	Born int64
	// Version is that of the target's software.
	Version swid.SoftwareVersion
	// Warmup is the time for which the target said that it is still slow after its start.
	Warmup swclock.Millis
}

// Organisation defines an organisation's share of a cell.
type Organisation struct {
	ID swid.OrgID
	// Weight is positive. Organisations that are not configured have weight 1.
	Weight float64
}

// Configure replaces the cell's targets and organisations. Targets that it does not
// list are draining.
type Configure struct {
	Targets       []Target
	Organisations []Organisation
}

// TargetReachability reports that the owner observed a change in a target's reachability.
type TargetReachability struct {
	Target    swid.TargetID
	Reachable bool
}

// TargetHeard reports that a target answered a host outside of an attempt.
type TargetHeard struct {
	Target swid.TargetID
	Host   swid.HostID
}

// HolderDied reports that a holder's process died. Its waiting requests are
// removed, and its runs keep their slots until the target's load reports no longer
// show them or Config.LostRunTimeout ends them.
type HolderDied struct {
	Holder swid.HostID
	// Incarnation is the holder's latest incarnation that died; earlier ones died too.
	Incarnation swid.Incarnation
}

// HolderJoined reports that a holder has its requests scheduled by this owner from now on. What it runs is reported
// after that.
type HolderJoined struct{ Holder swid.HostID }

// HolderLeft reports that a holder has its requests scheduled by another owner from now on.
type HolderLeft struct{ Holder swid.HostID }

// Tick lets time pass; the owner sends one at least every TickInterval.
type Tick struct{}

func (GrantRequest) event()       {}
func (Withdraw) event()           {}
func (InFlight) event()           {}
func (Progress) event()           {}
func (Done) event()               {}
func (LoadReport) event()         {}
func (CacheReport) event()        {}
func (Configure) event()          {}
func (TargetReachability) event() {}
func (TargetHeard) event()        {}
func (HolderDied) event()         {}
func (HolderJoined) event()       {}
func (HolderLeft) event()         {}
func (Tick) event()               {}

// Action is an output of Cell.Step.
type Action interface{ action() }

// Grant lets a holder dispatch an attempt to a target.
type Grant struct {
	Key     Key
	Attempt swid.Attempt
	Target  swid.TargetID
	// FirstToken and Total are the expected spans from dispatch to the first token and to the end.
	FirstToken swclock.Millis
	Total      swclock.Millis
	// Origin is that of the stream which the attempt continues, if it continues one.
	Origin sworigin.Origin
	// Carrier is the host that is to carry the request to the target; empty if the holder sends it itself.
	Carrier swid.HostID
}

// RejectReason says why a request was rejected.
type RejectReason uint8

// Reasons for rejecting a request.
const (
	// ReasonDeadline means that not even an idle target can meet the deadline.
	ReasonDeadline RejectReason = iota + 1
	// ReasonOverload means that the cell has too little capacity for the request's tier and
	// organisation to start the request in time.
	ReasonOverload
	// ReasonNoTarget means that no target may take the request: none is active, or all were tried.
	ReasonNoTarget
	// ReasonSuspect means that the request's content is suspected of crashing targets.
	ReasonSuspect
	// ReasonRetryBudget means that the cell's budget for retries is used up.
	ReasonRetryBudget
	// ReasonQuota means that the organisation's quota is used up.
	ReasonQuota
	// ReasonVersionUnknown means that nothing tells which software version began the stream that the
	// request continues.
	ReasonVersionUnknown
	// ReasonVersionGone means that no target of the service has the software version that began the stream which
	// the request continues.
	ReasonVersionGone
)

var reasonNames = [...]string{
	ReasonDeadline:    "deadline",
	ReasonOverload:    "overload",
	ReasonNoTarget:    "noTarget",
	ReasonSuspect:     "suspect",
	ReasonRetryBudget: "retryBudget",
	ReasonQuota:       "quota",

	ReasonVersionUnknown: "versionUnknown",
	ReasonVersionGone:    "versionGone",
}

// String returns the reason's name in logs.
func (r RejectReason) String() string { return reasonNames[r] }

// Reject rejects a waiting request. The cell returns this action as soon as it
// determines that the request will not be granted.
type Reject struct {
	Key     Key
	Attempt swid.Attempt
	Reason  RejectReason
	// RetryAfter is the time after which the caller may retry.
	RetryAfter swclock.Millis
}

// Preempt instructs a holder to cancel a running attempt of a lower tier. The attempt
// keeps its slot until the holder's Done arrives.
type Preempt struct {
	Key     Key
	Attempt swid.Attempt
	Target  swid.TargetID
	// RetryAfter is the time after which the cancelled request's caller may retry.
	RetryAfter swclock.Millis
}

func (Grant) action()   {}
func (Reject) action()  {}
func (Preempt) action() {}

const (
	// PrefixBlock is the number of prompt tokens in a block; prefix hashes cover whole blocks.
	PrefixBlock swid.Tokens = 64
	// TickInterval is the longest time between two ticks.
	TickInterval swclock.Millis = 10
)
