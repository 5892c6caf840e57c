// Package swmsg defines the typed messages that entry hosts exchange.
package swmsg

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Message is one message between two entry hosts. The sender is known from the link.
type Message interface{ message() }

// Hello is the first message in each direction of a link.
type Hello struct {
	Host        swid.HostID
	Incarnation swid.Incarnation
	// Crossed refuses a connection because the sender's own dial to the receiver takes precedence.
	Crossed bool
	// Number grows with each Hello of a process, so that one which was overtaken is recognised.
	Number uint64
}

// MemberState is what one host holds of another.
type MemberState uint8

// States of a member.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberLeaving
	MemberDead
)

// Rumor spreads one host's state.
type Rumor struct {
	Host        swid.HostID
	Incarnation swid.Incarnation
	State       MemberState
	// Round orders the states within an incarnation; only the host itself raises it, to refute a suspicion.
	Round uint32
	// Address, Zone and Region let a host that is missing from the platform's list be reached.
	Address string
	Zone    swid.ZoneID
	Region  swid.RegionID
}

// Heartbeat shows that the sender lives, and spreads rumors.
type Heartbeat struct {
	Number        uint64
	ConfigVersion swid.ConfigVersion
	Rumors        []Rumor
	// Reply marks the answer to a heartbeat of the same number.
	Reply bool
	// View is a hash of the members that the sender holds, so that two hosts notice when they differ.
	View uint64
}

// Ask is a holder's request for a grant.
type Ask struct {
	Cell          swid.CellID
	Seq           swid.Seq
	Attempt       swid.Attempt
	Tier          swid.Tier
	Org           swid.OrgID
	Remaining     swclock.Millis
	PromptTokens  swid.Tokens
	OutputTokens  swid.Tokens
	Prefix        []swid.PrefixHash
	Fingerprint   swid.Fingerprint
	Exclude       []swid.TargetID
	NonIdempotent bool
	// Insist tells the receiver that the holder cannot reach a host of a better rank, so that it must not redirect.
	Insist bool
	// Strikes counts the request's earlier attempts that broke.
	Strikes uint8
	// Objective is the time until the first part of the answer is late; 0 if there is no objective.
	Objective swclock.Millis
	// Parts are the parts of the prompt, where the caller names them.
	Parts []swcell.Part
	// OrgTier is the organisation's own tier, which goes before Tier; the same for all where the operators set none.
	OrgTier swid.Tier
	// ExpectedTokens is the caller's estimate of the output; 0 if it gives none.
	ExpectedTokens swid.Tokens
	// Charge is what the request counts towards its organisation's quota.
	Charge int64
	// Abandon is the time until the caller leaves if there is no output; 0 if it
	// waits until the deadline.
	Abandon swclock.Millis
}

// Attach tells an owner that the sender asks it, and what the sender's requests
// used of their organisations' quotas. It is repeated while that holds.
type Attach struct {
	// Fresh tells that the amounts are all of the latest window, and not only
	// those since the last message.
	Fresh bool
	// Leaving tells that the sender asks another host from now on.
	Leaving bool
	Amounts []Amount
	// Age is that of the sender's process, which knows nothing of the use before.
	Age swclock.Millis
}

// Leaving tells that the sender's process is about to stop and owns nothing any more.
type Leaving struct{}

// Amount is what an organisation's requests used some time ago.
type Amount struct {
	Org   swid.OrgID
	Age   swclock.Millis
	Value int64
}

// Queued acknowledges an ask that waits for its grant.
type Queued struct {
	Cell    swid.CellID
	Seq     swid.Seq
	Attempt swid.Attempt
}

// InFlight reports dispatched work to a new owner.
type InFlight struct {
	Ask      Ask
	Target   swid.TargetID
	Elapsed  swclock.Millis
	Produced swid.Tokens
}

// Progress reports output of running work.
type Progress struct {
	Cell     swid.CellID
	Seq      swid.Seq
	Attempt  swid.Attempt
	Produced swid.Tokens
}

// Withdraw ends an ask or an unused grant.
type Withdraw struct {
	Cell    swid.CellID
	Seq     swid.Seq
	Attempt swid.Attempt
}

// Done reports the end of a dispatched attempt.
type Done struct {
	Cell         swid.CellID
	Seq          swid.Seq
	Attempt      swid.Attempt
	Target       swid.TargetID
	Result       swcell.Result
	PromptTokens swid.Tokens
	OutputTokens swid.Tokens
	CachedTokens swid.Tokens
	FirstToken   swclock.Millis
	Total        swclock.Millis
}

// Grant lets the holder dispatch.
type Grant struct {
	Cell    swid.CellID
	Seq     swid.Seq
	Attempt swid.Attempt
	Target  swid.TargetID
	Epoch   swid.Epoch
	// FirstToken and Total are the expected spans from dispatch to the first token and to the end.
	FirstToken swclock.Millis
	Total      swclock.Millis
}

// GiveUp ends an ask.
type GiveUp struct {
	Cell       swid.CellID
	Seq        swid.Seq
	Attempt    swid.Attempt
	Reason     swcell.Reason
	RetryAfter swclock.Millis
	Epoch      swid.Epoch
}

// Preempt asks the holder to cancel running work.
type Preempt struct {
	Cell       swid.CellID
	Seq        swid.Seq
	Attempt    swid.Attempt
	Target     swid.TargetID
	RetryAfter swclock.Millis
	Epoch      swid.Epoch
}

// Redirect tells the holder that another host owns the cell.
type Redirect struct {
	Cell    swid.CellID
	Seq     swid.Seq
	Attempt swid.Attempt
	Owner   swid.HostID
}

// Recover asks the holder for its open asks and its work in flight in a cell, because the sender became its owner.
type Recover struct {
	Cell  swid.CellID
	Epoch swid.Epoch
}

// ConfigRequest asks for the head of the environment document if the receiver
// has a version above Have, or for some parts of it.
type ConfigRequest struct {
	Have swid.ConfigVersion
	// Parts holds the SHA-256 of each part asked for; if it is empty, the head is asked for.
	Parts [][]byte
}

// ConfigDocument tells of the version in force at the sender. It carries the
// head or some parts of the environment document, byte for byte, or neither.
type ConfigDocument struct {
	Version swid.ConfigVersion
	// Document is the head, which names the parts; empty if it was not asked for.
	Document []byte
	// Parts holds parts that were asked for, as many as fit into one message.
	Parts [][]byte
}

func (Hello) message()          {}
func (Heartbeat) message()      {}
func (Ask) message()            {}
func (InFlight) message()       {}
func (Progress) message()       {}
func (Withdraw) message()       {}
func (Done) message()           {}
func (Attach) message()         {}
func (Leaving) message()        {}
func (Queued) message()         {}
func (Grant) message()          {}
func (GiveUp) message()         {}
func (Preempt) message()        {}
func (Redirect) message()       {}
func (Recover) message()        {}
func (ConfigRequest) message()  {}
func (ConfigDocument) message() {}
