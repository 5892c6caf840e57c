// Package swcell decides which request of a cell runs on which target, when,
// and whether at all.
//
// Cell is pure and deterministic: it reads no clock, socket or file and starts
// no goroutine. Its owner feeds it events and carries out the actions that it
// returns.
package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Key identifies a request within a cell.
type Key struct {
	// Holder is the entry host that accepted the request.
	Holder swid.HostID
	// Incarnation is that of the holder's process.
	Incarnation swid.Incarnation
	// Seq is unique within the holder's incarnation.
	Seq swid.Seq
}

// Event is an input of Cell.Step.
type Event interface{ event() }

// Ask requests a grant for one attempt of a request.
type Ask struct {
	Key     Key
	Attempt swid.Attempt
	Tier    swid.Tier
	Org     swid.OrgID
	// Deadline is the instant, on the owner's clock, after which the answer has no value.
	Deadline swclock.Millis
	// PromptTokens is the holder's estimate of the prompt's size.
	PromptTokens swid.Tokens
	// OutputTokens is the most that the request may generate, from its limit or the service's default.
	OutputTokens swid.Tokens
	// Prefix holds hashes of the prompt's prefixes, shortest first. The i-th
	// covers swprefix.Depth(i) blocks of PrefixBlock tokens.
	Prefix []swid.PrefixHash
	// Fingerprint identifies the content.
	Fingerprint swid.Fingerprint
	// Exclude holds the targets that the request was dispatched to before; none of them is granted.
	Exclude []swid.TargetID
	// NonIdempotent marks work that is never cancelled, hedged or dispatched twice.
	NonIdempotent bool
	// Strikes counts the request's earlier attempts that broke, under whatever owner.
	Strikes uint8
	// Objective is the instant by which the first part of the answer should
	// arrive, on the owner's clock; 0 if there is none.
	Objective swclock.Millis
	// Parts are the parts of the prompt in order, where the caller names them.
	Parts []Part
	// OrgTier is the organisation's own tier, which goes before Tier; the same for all where the operators set none.
	OrgTier swid.Tier
	// ExpectedTokens is the caller's estimate of the output, often far off; 0 if it gives none.
	ExpectedTokens swid.Tokens
	// Charge is what the request counts towards its organisation's quota.
	Charge int64
	// Abandon is the instant at which the caller leaves if there is no output; 0
	// if it waits until the deadline.
	Abandon swclock.Millis
}

// Part is a part of a prompt that other prompts may share. A target that has
// processed it, after the same parts before it, need not process it again.
type Part struct {
	ID     swid.PrefixHash
	Tokens swid.Tokens
}

// Withdraw ends a waiting request or a grant that was not used, for example because its caller left.
type Withdraw struct {
	Key     Key
	Attempt swid.Attempt
}

// InFlight tells a new owner of work that was dispatched under an earlier owner.
// Ask.Exclude does not hold Target.
type InFlight struct {
	Ask    Ask
	Target swid.TargetID
	// Elapsed is the time since dispatch.
	Elapsed swclock.Millis
	// Produced counts the output tokens received so far.
	Produced swid.Tokens
}

// Progress reports the output of running work, so that stragglers are noticed before their work ends.
type Progress struct {
	Key      Key
	Attempt  swid.Attempt
	Produced swid.Tokens
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
	// Preempt action, a caller that left or a deadline that passed.
	ResultCancelled
	// ResultRejected means that the target answered with an error of the request's own.
	ResultRejected
	// ResultNoAnswer means that the target stayed silent or sent another request's
	// answer, without a sign that it crashed; the request may have run.
	ResultNoAnswer
	// ResultFailed means that the target answered with a failure of its own, after
	// which the request may be tried elsewhere.
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
	// PromptTokens and OutputTokens are as counted by the target, or the holder's own count where the target gives none.
	PromptTokens swid.Tokens
	OutputTokens swid.Tokens
	// CachedTokens is the part of the prompt that the target found in its cache.
	CachedTokens swid.Tokens
	// FirstToken is the time from dispatch to the first token, or 0 if there was none.
	FirstToken swclock.Millis
	// Total is the time from dispatch to the end.
	Total swclock.Millis
}

// LoadReport carries a target's own report of its load.
type LoadReport struct {
	Target  swid.TargetID
	Running int
	Waiting int
	// Age is the time since the target took the report's figures.
	Age swclock.Millis
}

// CacheReport carries a target's changes to its prefix cache.
type CacheReport struct {
	Target  swid.TargetID
	Added   []swid.PrefixHash
	Removed []swid.PrefixHash
	// Gap means that earlier reports were lost, so that the owner's index of the target is not to be trusted.
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
	// TargetDown is unreachable by the owner's own observation.
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
	// PrefillRate and DecodeRate are the first estimates, in tokens a second;
	// DecodeRate is that of one stream. 0 marks a plain service, whose work
	// takes ServiceTime.
	PrefillRate float64
	DecodeRate  float64
	// ServiceTime is the first estimate for a call of a plain service.
	ServiceTime swclock.Millis
	// Plain tells that the target counts no tokens.
	Plain bool
	// Born tells the starts of a target under one id apart, where they are known.
	Born int64
}

// Organisation gives an organisation's share.
type Organisation struct {
	ID swid.OrgID
	// Weight is positive; organisations that the cell was not told of weigh 1.
	Weight float64
}

// Configure replaces the cell's targets and organisations. Targets that are absent are draining.
type Configure struct {
	Targets       []Target
	Organisations []Organisation
}

// TargetSeen reports a change in the reachability of a target, by the owner's own observation.
type TargetSeen struct {
	Target    swid.TargetID
	Reachable bool
}

// HolderGone tells that a holder's process died: its waiting requests end, and
// its running ones hold their slots until the target's report or a bound frees them.
type HolderGone struct {
	Holder swid.HostID
	// Incarnation is the newest one that is gone.
	Incarnation swid.Incarnation
}

// Tick lets time pass; the owner sends one at least every TickInterval.
type Tick struct{}

func (Ask) event()         {}
func (Withdraw) event()    {}
func (InFlight) event()    {}
func (Progress) event()    {}
func (Done) event()        {}
func (LoadReport) event()  {}
func (CacheReport) event() {}
func (Configure) event()   {}
func (TargetSeen) event()  {}
func (HolderGone) event()  {}
func (Tick) event()        {}

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
}

// Reason says why a request was given up.
type Reason uint8

// Reasons for giving up.
const (
	// ReasonDeadline means that the deadline cannot be met even by an idle target.
	ReasonDeadline Reason = iota + 1
	// ReasonOverload means that the cell has too little capacity for the request's tier and organisation in time.
	ReasonOverload
	// ReasonNoTarget means that no target may take the request: none is active, or all were tried.
	ReasonNoTarget
	// ReasonSuspect means that the request's content crashed targets before.
	ReasonSuspect
	// ReasonRetryBudget means that the cell's budget for retries is used up.
	ReasonRetryBudget
	// ReasonQuota means that the organisation's quota is used up.
	ReasonQuota
)

var reasonNames = [...]string{
	ReasonDeadline:    "deadline",
	ReasonOverload:    "overload",
	ReasonNoTarget:    "noTarget",
	ReasonSuspect:     "suspect",
	ReasonRetryBudget: "retryBudget",
	ReasonQuota:       "quota",
}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// GiveUp ends a waiting request. It is sent as soon as it is known.
type GiveUp struct {
	Key     Key
	Attempt swid.Attempt
	Reason  Reason
	// RetryAfter is when to come back.
	RetryAfter swclock.Millis
}

// Preempt asks a holder to cancel running work of a lower tier. The slot stays
// counted until the holder's Done arrives.
type Preempt struct {
	Key     Key
	Attempt swid.Attempt
	Target  swid.TargetID
	// RetryAfter is when the cancelled request's caller should come back.
	RetryAfter swclock.Millis
}

func (Grant) action()   {}
func (GiveUp) action()  {}
func (Preempt) action() {}

const (
	// PrefixBlock is the number of tokens between two prefix hashes.
	PrefixBlock swid.Tokens = 64
	// TickInterval is the longest time between two ticks.
	TickInterval swclock.Millis = 10
)
