// Package swholder implements the holder: the host that accepts a caller's
// request and keeps it until its outcome. The holder requests a grant (the
// permission to dispatch one attempt to one target) from the owner, which is the
// host that schedules the request's cell. It then dispatches the request to the
// granted target and forwards the answer to the caller. No other host handles a
// request's body or its answer.
package swholder

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swbuffer"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
	"github.com/sassafraswing/sassafraswing/internal/target/swpool"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Router selects the host that grant requests are sent to.
type Router interface {
	// Owner returns the host to send grant requests to. noRedirect is true if this
	// host passes over a better-ranked host that it cannot use, or not yet: the receiver must then not
	// redirect the grant request to that host.
	Owner(cell swid.CellID) (host swid.HostID, noRedirect bool)
	// Doubt records that a host did not acknowledge a grant request in time.
	Doubt(host swid.HostID)
	// Vouch records that another host redirected a grant request to a host.
	Vouch(host swid.HostID)
	// ObserveEpoch records the epoch that a message of a cell's owner carried.
	ObserveEpoch(cell swid.CellID, epoch swid.Epoch)
}

// Targets looks up targets.
type Targets interface {
	// Target returns a target, and whether it is listed.
	Target(id swid.TargetID) (t swpool.Target, listed bool)
	// OfService returns the targets that are listed for a service. The slice must not be modified.
	OfService(service swid.ServiceID) []swid.TargetID
}

// Retries is the budget for further attempts at requests that reached a target.
type Retries interface {
	// Take consumes one retry of a service and reports whether one was available.
	Take(service swid.ServiceID) bool
	// GiveBack returns a retry of a service that was not used. takenAt is an instant just before Take was called.
	GiveBack(service swid.ServiceID, takenAt swclock.Millis)
}

// Observer receives events for metrics. Its methods do not block.
type Observer interface {
	RequestEnded(r *Request, report *Report)
	// UnusedGrant counts a grant that arrived when no request waited for it.
	UnusedGrant()
}

// Config holds the settings and dependencies of a Holder.
type Config struct {
	Host        swid.HostID
	Incarnation swid.Incarnation
	Clock       swclock.Clock
	Sender      swlink.Sender
	Router      Router
	Targets     Targets
	Claims      swclaim.Registry
	Observer    Observer
	Log         zerolog.Logger
	// MaxHeld is the maximum number of requests held at once.
	MaxHeld int
	// Retries is the budget for attempts after one that reached a target; nil means no limit.
	Retries Retries
	// AckTimeout is how long an owner may take to acknowledge a grant request
	// before the holder reports its doubt to the Router. If AckTimeout is 0, the holder
	// detects only the loss of the link to the owner.
	AckTimeout swclock.Millis
	// OnGranted, if not nil, is called with the request at each grant until an attempt has reached a target.
	OnGranted func(r *Request)
	// OnStatement, if not nil, is called with what each answer says of the requests that its target takes, once
	// its header has arrived. sent is when the request was sent.
	OnStatement func(r *Request, target swid.TargetID, s swlimit.Statement, sent swclock.Millis)
	// OnDone is called when an attempt has ended. It must not block. Nil does nothing.
	OnDone func(r *Request, e Ended)
	// Closed, if not nil, returns what a target has said that keeps this host from sending requests to
	// it, and whether it has.
	Closed func(target swid.TargetID, now swclock.Millis) (swlimit.Statement, bool)
	// Cut, if not nil, reports whether this host reaches no target of a service.
	Cut func(service swid.ServiceID) bool
	// Carry, if not nil, returns the adapter that has requests sent to a target by another host, the carrier.
	Carry func(carrier swid.HostID, cell swid.CellID, target swid.TargetID) swtarget.Adapter
	// Origins, if not nil, records the origins of the streams that begin here, and has those of others.
	Origins *sworigin.Register
	// ReportEarly sends owners a progress report at the first output of each
	// attempt and another after secondReportTokens, so that they can estimate a
	// target's speed before it completes its first requests.
	ReportEarly bool
	// GrantRequestInterval is the interval at which a waiting grant request is repeated; 0 means
	// defaultGrantRequestInterval.
	GrantRequestInterval swclock.Millis
	// Answers is the memory for answers that are held; nil stands for one of swbuffer.DefaultCapacity.
	Answers *swbuffer.Budget
}

// Holder holds the requests of one host. Its methods are safe for concurrent use.
type Holder struct {
	config Config
	seq    atomic.Uint64

	mu sync.Mutex
	// requests has an entry for each admitted request until its Serve call returns.
	requests map[swid.Seq]*heldRequest
	draining bool
	// idle is closed once draining is set and requests is empty.
	idle chan struct{}
	// ending is set by EndAll.
	ending bool
	// leaving is nil until StartLeaving is called.
	leaving *leaving
}

// leaving describes a planned stop of the host.
type leaving struct {
	// since is when the host began to leave, and endsAt when EndAll is going to be called.
	since, endsAt swclock.Millis
}

// New returns a Holder without requests.
func New(config Config) *Holder {
	if config.GrantRequestInterval == 0 {
		config.GrantRequestInterval = defaultGrantRequestInterval
	}
	if config.Answers == nil {
		config.Answers = swbuffer.NewBudget(swbuffer.DefaultCapacity)
	}
	h := &Holder{
		config:   config,
		requests: make(map[swid.Seq]*heldRequest),
		idle:     make(chan struct{}),
	}
	h.seq.Store(uint64(config.Incarnation) % seqBlocks * seqBlock)
	return h
}

const (
	// seqBlock is the number of requests after which a process uses sequence numbers of its successor,
	// more than a host has in the time that messages are delayed. The numbers of seqBlocks processes
	// differ, so that a message for an earlier process names no request of a later one.
	seqBlock  = 1 << 20
	seqBlocks = 1 << 7
)

// NextID returns the sequence number and the ID of a new request.
func (h *Holder) NextID() (swid.Seq, swid.RequestID) {
	seq := swid.Seq(h.seq.Add(1))
	return seq, swid.NewRequestID(h.config.Host, h.config.Incarnation, seq)
}

// Serve runs a request until its end and returns its report. ctx must end when
// the caller's connection closes.
func (h *Holder) Serve(ctx context.Context, r *Request, sink Sink) Report {
	e := newHeldRequest(h, r, sink)
	if refusal, refused := h.admit(e); refused {
		report := Report{End: refusal}
		h.config.Observer.RequestEnded(r, &report)
		return report
	}
	defer h.release(e)
	report := e.serve(ctx)
	h.config.Observer.RequestEnded(r, &report)
	return report
}

const (
	// retryAfterShutdown is short because the load balancer directs the retry to another host.
	retryAfterShutdown swclock.Millis = 100
	// retryAfterFull is the time after which a host that holds MaxHeld requests can probably accept another.
	retryAfterFull = swclock.Second
)

func (h *Holder) admit(e *heldRequest) (swlife.End, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return swlife.End{Outcome: swlife.OutcomeNotRun, Cause: swlife.CauseShutdown, RetryAfter: retryAfterShutdown}, true
	}
	if len(h.requests) >= h.config.MaxHeld {
		return swlife.End{Outcome: swlife.OutcomeNotRun, Cause: swlife.CauseOverload, RetryAfter: retryAfterFull}, true
	}
	h.requests[e.request.Seq] = e
	return swlife.End{}, false
}

func (h *Holder) release(e *heldRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.requests, e.request.Seq)
	h.closeIfIdle()
}

// StopAccepting makes the Holder reject new requests with outcome notRun.
func (h *Holder) StopAccepting() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.closeIfIdle()
}

// Accept makes the Holder accept new requests again after StopAccepting.
func (h *Holder) Accept() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = false
	h.idle = make(chan struct{})
}

// Drain rejects new requests and waits until all held requests have ended, or until ctx ends.
func (h *Holder) Drain(ctx context.Context) error {
	h.StopAccepting()
	h.mu.Lock()
	idle := h.idle
	h.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// EndWaiting ends all requests that wait for a grant with CauseShutdown, because
// the host stops before they could be answered. Their outcome is notRun unless an
// earlier attempt may have run.
func (h *Holder) EndWaiting() {
	h.mu.Lock()
	all := make([]*heldRequest, 0, len(h.requests))
	for _, e := range h.requests {
		all = append(all, e)
	}
	h.mu.Unlock()
	for _, e := range all {
		e.interruptWait(swlife.CauseShutdown)
	}
}

// StartLeaving records that EndAll is going to be called at an instant. A non-idempotent request that is accepted from now on is not
// dispatched if its answer is expected later, so that its caller can send it to another host.
func (h *Holder) StartLeaving(endsAt swclock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = &leaving{since: h.config.Clock.Now(), endsAt: endsAt}
}

// leavingState returns nil until StartLeaving is called.
func (h *Holder) leavingState() *leaving {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// EndAll ends all requests with CauseShutdown, those that run too, because the host stops before they could be answered. A
// request that comes to wait or to run later ends at once. The outcome is notRun only if no attempt may have run.
func (h *Holder) EndAll() {
	h.mu.Lock()
	h.ending = true
	all := make([]*heldRequest, 0, len(h.requests))
	for _, e := range h.requests {
		all = append(all, e)
	}
	h.mu.Unlock()
	for _, e := range all {
		e.interruptWait(swlife.CauseShutdown)
		e.cancelIfEnding()
	}
}

// isEnding reports whether EndAll was called.
func (h *Holder) isEnding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ending
}

// closeIfIdle closes h.idle if the Holder drains and holds no requests. The caller holds h.mu.
func (h *Holder) closeIfIdle() {
	if !h.draining || len(h.requests) > 0 {
		return
	}
	select {
	case <-h.idle:
	default:
		close(h.idle)
	}
}

// Held returns the number of requests held.
func (h *Holder) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

// Running returns the number of requests that this host runs on each target.
func (h *Holder) Running() map[swid.TargetID]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := make(map[swid.TargetID]int)
	for _, e := range h.requests {
		if target := e.runningOn(); target != "" {
			running[target]++
		}
	}
	return running
}

// Receive handles a message from an owner. It ignores message types that owners do not send to holders.
func (h *Holder) Receive(from swlink.Peer, m swmsg.Message) {
	switch m := m.(type) {
	case swmsg.Grant:
		h.config.Router.ObserveEpoch(m.Cell, m.Epoch)
		h.handleGrant(from.Host, m)
	case swmsg.Reject:
		h.config.Router.ObserveEpoch(m.Cell, m.Epoch)
		if e := h.lookup(m.Cell, m.Seq); e != nil {
			e.deliverReply(m.Attempt, ownerReply{from: from.Host, reject: &m})
		}
	case swmsg.Queued:
		if e := h.lookup(m.Cell, m.Seq); e != nil {
			e.deliverReply(m.Attempt, ownerReply{from: from.Host, queued: true})
		}
	case swmsg.Redirect:
		if e := h.lookup(m.Cell, m.Seq); e != nil {
			e.deliverReply(m.Attempt, ownerReply{from: from.Host, redirect: &m})
		}
	case swmsg.Preempt:
		if e := h.lookup(m.Cell, m.Seq); e != nil {
			e.preempt(from.Host, m)
		}
	case swmsg.Recover:
		h.config.Router.ObserveEpoch(m.Cell, m.Epoch)
		h.reportOpenWork(from.Host, m.Cell)
	}
}

// handleGrant delivers a grant to its request, or cancels the grant at the owner if no request uses it.
func (h *Holder) handleGrant(owner swid.HostID, m swmsg.Grant) {
	e := h.lookup(m.Cell, m.Seq)
	if e != nil && e.deliverReply(m.Attempt, ownerReply{from: owner, grant: &m}) {
		return
	}
	if e != nil && e.usesGrant(owner, m) {
		return // duplicate of the grant in use
	}
	h.config.Observer.UnusedGrant()
	h.config.Sender.Send(owner, swmsg.Withdraw{Cell: m.Cell, Seq: m.Seq, Attempt: m.Attempt})
}

// lookup returns the request of a cell with a sequence number, or nil.
func (h *Holder) lookup(cell swid.CellID, seq swid.Seq) *heldRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.requests[seq]; e != nil && e.request.Cell == cell {
		return e
	}
	return nil
}

// reportOpenWork reports the waiting and running requests of a cell to a host that sent a Recover message.
func (h *Holder) reportOpenWork(owner swid.HostID, cell swid.CellID) {
	h.mu.Lock()
	open := h.requestsIn(cell)
	h.mu.Unlock()
	for _, e := range open {
		e.reportAgain(owner)
	}
}

// requestsIn returns the requests of a cell. The caller holds h.mu.
func (h *Holder) requestsIn(cell swid.CellID) []*heldRequest {
	var open []*heldRequest
	for _, e := range h.requests {
		if e.request.Cell == cell {
			open = append(open, e)
		}
	}
	return open
}

// Reroute sends a grant request for every waiting request to the current owner of
// its cell, and reports every running request to the current owner unless that host
// granted the attempt or was already sent a report. It is called when the members or
// their connections change.
func (h *Holder) Reroute() {
	h.mu.Lock()
	all := make([]*heldRequest, 0, len(h.requests))
	for _, e := range h.requests {
		all = append(all, e)
	}
	h.mu.Unlock()
	for _, e := range all {
		owner, _ := h.config.Router.Owner(e.request.Cell)
		e.reportTo(owner)
	}
}

// LinkDown repeats the grant request of every waiting request whose reply may have been lost with the link to host.
func (h *Holder) LinkDown(host swid.HostID) {
	h.mu.Lock()
	var affected []*heldRequest
	for _, e := range h.requests {
		if e.lastOwner() == host {
			affected = append(affected, e)
		}
	}
	h.mu.Unlock()
	for _, e := range affected {
		e.repeatGrantRequest()
	}
}
