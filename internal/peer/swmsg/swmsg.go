// Package swmsg defines the typed messages that entry hosts exchange.
package swmsg

import (
	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swcontention"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

// Message is one message between two entry hosts. The link identifies the sender.
type Message interface{ message() }

// Hello is the first message in each direction of a link.
type Hello struct {
	Host        swid.HostID
	Incarnation swid.Incarnation
	// Refused is set in the answer to a Hello if the sender refuses the connection on which that
	// Hello arrived: the sender's own dial to the receiver takes precedence, or the sender already
	// has a link on which it received a newer Hello from the receiver.
	Refused bool
	// Number grows with each Hello of a process, so that the receiver can refuse the outdated
	// Hello of an abandoned dial.
	Number uint64
	// Carries is set if the sender accepts further streams on the link, on which it carries requests of the
	// receiver.
	Carries bool
}

// MemberState is the state that one host has recorded for another.
type MemberState uint8

// States of a member.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberLeaving
	MemberDead
)

// MemberUpdate is a membership update: it reports one host's state, and hosts forward it to each other.
type MemberUpdate struct {
	Host        swid.HostID
	Incarnation swid.Incarnation
	State       MemberState
	// Round orders the updates about one incarnation. Only the host itself raises its round, to
	// refute an update that reports it as suspect or dead.
	Round uint32
	// Address, Zone and Region are needed to reach a host that is missing from the platform's list.
	Address string
	Zone    swid.ZoneID
	Region  swid.RegionID
}

// Heartbeat proves that the sender is alive, and carries membership updates.
type Heartbeat struct {
	Number        uint64
	ConfigVersion swid.ConfigVersion
	Updates       []MemberUpdate
	// Reply marks a heartbeat that gets no reply: the answer to the one with the same number,
	// or a part of the sender's full list of members.
	Reply bool
	// View is a hash of the members that the sender has recorded and that are not dead, with their
	// states. Two hosts compare it to detect that their views differ.
	View uint64
}

// GrantRequest requests permission (a grant) to dispatch one attempt. A holder, the host that keeps a
// caller's request, sends it to the owner of a cell, the host that schedules the cell.
type GrantRequest struct {
	Cell          swid.CellID
	Seq           swid.Seq
	Attempt       swid.Attempt
	Tier          swid.Tier
	Org           swid.OrgID
	Remaining     swclock.Millis // time left until the deadline
	PromptTokens  swid.Tokens
	OutputTokens  swid.Tokens
	Prefix        []swid.PrefixHash
	Fingerprint   swid.Fingerprint
	Exclude       []swid.TargetID
	NonIdempotent bool
	// NoRedirect forbids the receiver to answer with a Redirect. The holder sets it if it cannot use the hosts that
	// should own the cell rather than the receiver, or not yet.
	NoRedirect bool
	// Strikes counts the request's earlier attempts that broke: the connection failed or the
	// answer was invalid before it was complete. Each is a suspected crash caused by the request.
	Strikes uint8
	// Objective is the time left until the first part of the answer is late; 0 if there is no objective.
	Objective swclock.Millis
	// Parts are the parts of the prompt, if the caller names them.
	Parts []swcell.Part
	// Scope is that of Parts.
	Scope swid.PromptScope
	// OrgTier is the organisation's own tier, which takes precedence over Tier. It is the same
	// for all organisations if the operators set none.
	OrgTier swid.Tier
	// ExpectedTokens is the caller's estimate of the output; 0 if it gives none.
	ExpectedTokens swid.Tokens
	// Charge is the amount that the request counts towards its organisation's quota.
	Charge int64
	// Abandon is the time left until the caller abandons the request if there is no output;
	// 0 if the caller waits until the deadline.
	Abandon swclock.Millis
	// Resumable marks a stream that may be continued at another target.
	Resumable bool
	// Continuation says whether the attempt continues a stream, and which.
	Continuation sworigin.Continuation
	// Carry is set if the sender reaches no target of the cell itself, so that another host has to carry the
	// request.
	Carry bool
}

// Registration registers the sender with the owner to which it sends its grant requests, and reports
// what its requests used of their organisations' quotas. The sender repeats it as long as it
// sends grant requests to this owner.
type Registration struct {
	// Complete is set if Amounts covers the whole latest window, and not only the use since the
	// last message.
	Complete bool
	// Leaving ends the registration: the sender sends its grant requests to another host from now on.
	Leaving bool
	Amounts []Amount
	// Age is the age of the sender's process, which has no record of the use before its start.
	Age swclock.Millis
	// Strikes are those that the sender counted in cells that it schedules for its own requests
	// only: all recent ones if Complete is set, and otherwise those since the last message.
	Strikes []Strike
	// RateLimits are those of targets that the sender schedules for its own requests only: all that
	// it knows if Complete is set.
	RateLimits []RateLimit
	// Streams are the latest that began at the sender, if Complete is set.
	Streams []sworigin.Begun
	// Cut are the services of which the sender reaches no target.
	Cut []swid.ServiceID
	// Reached are targets that the sender could not reach before, and can now.
	Reached []swid.TargetID
	// Contention counts the requests of plain services that the sender scheduled since its last registration.
	Contention swcontention.Counts
	// Scheduling is the sender's, so that the owner can tell the sender if that is to change.
	Scheduling Scheduling
	// StoreQuestion is the number of the StoreState that the sender asks for; 0 asks for none.
	StoreQuestion uint64
	// TargetsAfter asks for a TargetList if there is a later one of TargetsEra than as of this revision: the sender cannot read the
	// store. 0 asks for none.
	TargetsAfter swwatch.Revision
	TargetsEra   swobject.Era
	// Outcomes are the latest ends of attempts at services with several software versions, if Complete is set.
	Outcomes []Outcome
}

// Outcome is the end of an attempt at a target, Age ago.
type Outcome struct {
	Service swid.ServiceID
	Version swid.SoftwareVersion
	Target  swid.TargetID
	// Born identifies the target's start.
	Born  int64
	Route swrollout.Route
	// Bad is set if the target alone can be responsible for the end.
	Bad bool
	// First and Total are the times from dispatch to the first output, 0 if there was none, and to the end.
	First, Total swclock.Millis
	// PromptTokens are those that were not cached.
	PromptTokens, OutputTokens swid.Tokens
	Age                        swclock.Millis
}

// StoreState tells a host that registered with the sender what the sender holds of the store's objects, so that the
// host need not ask the store whether its own copies are current.
type StoreState struct {
	// Question is that of the registration.
	Question uint64
	Era      swobject.Era
	Kinds    []StoreKind
	// TargetsAfter asks for a TargetList if there is a later one of Era than as of this revision: the sender cannot read the store.
	// 0 asks for none.
	TargetsAfter swwatch.Revision
}

// TargetList has the targets that its sender holds of the store, for a host that asks for them.
type TargetList struct {
	Era     swobject.Era
	AsOf    swwatch.Revision
	Targets []ListedTarget
}

// ListedTarget is a target with the revision of its entry.
type ListedTarget struct {
	swcatalog.Target
	Revision swwatch.Revision
}

// StoreKind is what a host holds of the objects of one kind.
type StoreKind struct {
	// Kind is the name of the kind, as in the log.
	Kind string
	// Latest is the revision of the latest change.
	Latest swwatch.Revision
	// ConfirmedAge is how long before the question arrived the store confirmed the objects.
	ConfirmedAge swclock.Millis
}

// Strike is a crash of a target that ran content.
type Strike struct {
	Content swid.Fingerprint
	Target  swid.TargetID
	// StartedAge and EndedAge are how long ago the run of the content began and ended.
	StartedAge swclock.Millis
	EndedAge   swclock.Millis
}

// RateLimit is what an answer said Age ago of the requests that a target takes.
type RateLimit struct {
	Target swid.TargetID
	// PerSecond is the rate limit, or 0 if there is none.
	PerSecond swid.RequestRate
	// Brittle is set if the target ends when it has to reject more than MaxRejections requests in a second.
	Brittle       bool
	MaxRejections int
	Age           swclock.Millis
}

// Scheduling is where a host's requests of plain services are scheduled.
type Scheduling uint8

// Values of Scheduling. The zero value is that of hosts that always schedule them themselves.
const (
	// SchedulingEach means that each host schedules its own requests.
	SchedulingEach Scheduling = iota + 1
	// SchedulingShared means that the owner of the shared cells schedules those of all hosts.
	SchedulingShared
)

// SharedCells tells a host that registered with the sender where to have its requests of plain
// services scheduled.
type SharedCells struct {
	Scheduling Scheduling
	// CheckReach are services of which another host reaches no target. The receiver looks whether it does, unless it
	// has heard from one a moment ago.
	CheckReach []swid.ServiceID
}

// Leaving announces that the sender's process is about to stop and no longer owns any cell.
type Leaving struct{}

// Amount is what an organisation's requests used of its quota, Age ago.
type Amount struct {
	Org   swid.OrgID
	Age   swclock.Millis
	Value int64
}

// Queued acknowledges a grant request that waits for its grant.
type Queued struct {
	Cell    swid.CellID
	Seq     swid.Seq
	Attempt swid.Attempt
}

// InFlight reports a dispatched attempt to a new owner.
type InFlight struct {
	GrantRequest GrantRequest
	Target       swid.TargetID
	Elapsed      swclock.Millis
	Produced     swid.Tokens
	// Carrier is the host that carries the request; empty if there is none.
	Carrier swid.HostID
}

// Progress reports the output that a running attempt has produced.
type Progress struct {
	Cell     swid.CellID
	Seq      swid.Seq
	Attempt  swid.Attempt
	Produced swid.Tokens
	// Statement is what the answer says of the requests that its target takes.
	Statement swlimit.Statement
	// Begun is the stream that the attempt has begun since the report before, if it has.
	Begun sworigin.Begun
}

// Withdraw cancels a grant request or an unused grant.
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
	// Statement is what the answer says of the requests that its target takes, if there was one.
	Statement swlimit.Statement
	// PathLost is set if the sender reaches no target of the cell, so that the result says nothing of the target.
	PathLost bool
	// CarrierLost is set if the host that was to carry the request could not be reached, was lost, or has no room for it.
	CarrierLost bool
	// TargetFault is set if the answer has an error status for which the target is responsible.
	TargetFault bool
	// Unsent is set if nothing of the request was sent to the target.
	Unsent bool
}

// Grant permits the holder to dispatch one attempt to one target.
type Grant struct {
	Cell    swid.CellID
	Seq     swid.Seq
	Attempt swid.Attempt
	Target  swid.TargetID
	Epoch   swid.Epoch
	// FirstToken and Total are the expected times from dispatch to the first token and to the end.
	FirstToken swclock.Millis
	Total      swclock.Millis
	// Origin is that of the stream which the attempt continues, if it continues one.
	Origin sworigin.Origin
	// Carrier is the host that is to carry the request to the target; empty if the holder sends it itself.
	Carrier swid.HostID
}

// Reject rejects a grant request.
type Reject struct {
	Cell       swid.CellID
	Seq        swid.Seq
	Attempt    swid.Attempt
	Reason     swcell.RejectReason
	RetryAfter swclock.Millis
	Epoch      swid.Epoch
}

// Preempt requests that the holder cancel a running attempt.
type Preempt struct {
	Cell       swid.CellID
	Seq        swid.Seq
	Attempt    swid.Attempt
	Target     swid.TargetID
	RetryAfter swclock.Millis
	Epoch      swid.Epoch
}

// Redirect names the host that should own the cell. The holder sends its grant request there, or
// again to the sender with NoRedirect set if it has no link to that host.
type Redirect struct {
	Cell    swid.CellID
	Seq     swid.Seq
	Attempt swid.Attempt
	Owner   swid.HostID
}

// Recover requests the holder's pending grant requests and its attempts in flight in a cell,
// because the sender became the owner of the cell.
type Recover struct {
	Cell  swid.CellID
	Epoch swid.Epoch
}

// ConfigRequest requests the head of the environment document, if the receiver
// has a version above Have, or for some parts of the document.
type ConfigRequest struct {
	Have swid.ConfigVersion
	// Parts holds the SHA-256 hash of each requested part; if it is empty, the head is requested.
	Parts [][]byte
}

// ConfigDocument reports the version in force at the sender. It carries the head or
// some parts of the environment document, byte for byte, or neither.
type ConfigDocument struct {
	Version swid.ConfigVersion
	// Document is the head, which lists the parts; empty if it was not requested.
	Document []byte
	// Parts holds the requested parts, as many as fit into one message.
	Parts [][]byte
}

func (Hello) message()          {}
func (Heartbeat) message()      {}
func (GrantRequest) message()   {}
func (InFlight) message()       {}
func (Progress) message()       {}
func (Withdraw) message()       {}
func (Done) message()           {}
func (Registration) message()   {}
func (Leaving) message()        {}
func (SharedCells) message()    {}
func (StoreState) message()     {}
func (TargetList) message()     {}
func (Queued) message()         {}
func (Grant) message()          {}
func (Reject) message()         {}
func (Preempt) message()        {}
func (Redirect) message()       {}
func (Recover) message()        {}
func (ConfigRequest) message()  {}
func (ConfigDocument) message() {}
