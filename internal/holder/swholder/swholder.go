// Package swholder holds callers' requests until their outcome. It asks the
// cell's owner for a grant, dispatches to the granted target and passes the
// answer on. No other host handles a request's body or its answer.
package swholder

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Router tells which host to ask for a grant.
type Router interface {
	// Owner returns the host to ask; insist tells that a better-ranked host is out of reach.
	Owner(cell swid.CellID) (host swid.HostID, insist bool)
	// Silent notes that a host did not acknowledge an ask in time.
	Silent(host swid.HostID)
	// Heard notes an epoch of a cell's owner.
	Heard(cell swid.CellID, epoch swid.Epoch)
}

// Targets gives the adapter of each target.
type Targets interface {
	// Adapter returns a target's adapter; takesWork is false if the target is draining.
	Adapter(target swid.TargetID) (adapter swtarget.Adapter, takesWork, known bool)
}

// Retries is the budget for sending requests again.
type Retries interface {
	// Take uses one retry of a service up and reports whether one was left.
	Take(service swid.ServiceID) bool
}

// Observer is told of events for metrics. Its methods do not block.
type Observer interface {
	RequestEnded(r *Request, report *Report)
	// UnusedGrant counts grants that came for a request that no longer waited for them.
	UnusedGrant()
}

// Config joins what a Holder works with.
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
	// MaxHeld bounds the requests held at once.
	MaxHeld int
	// Retries is the budget for attempts after one that reached a target; nil sets no bound.
	Retries Retries
	// AskTimeout is how long an owner may take to acknowledge an ask before it is
	// passed over; 0 leaves that to its link.
	AskTimeout swclock.Millis
	// Used is told of each request when its first attempt is granted; nil tells nobody.
	Used func(r *Request)
	// ReportEarly has owners told of the first output of each attempt, and once
	// more soon after, by which they learn a target's pace before it ends its first
	// requests.
	ReportEarly bool
	// AskRefresh is the interval at which an ask that waits is repeated; 0 stands for the default.
	AskRefresh swclock.Millis
}

// Holder holds the requests of one host. Its methods are safe for concurrent use.
type Holder struct {
	config Config
	seq    atomic.Uint64

	mu sync.Mutex
	// held has an entry for each request from Serve's start to its end.
	held     map[swid.Seq]*held
	draining bool
	// idle is closed once draining is set and held is empty.
	idle chan struct{}
}

// New returns a Holder that holds nothing yet.
func New(config Config) *Holder {
	if config.AskRefresh == 0 {
		config.AskRefresh = defaultAskRefresh
	}
	return &Holder{
		config: config,
		held:   make(map[swid.Seq]*held),
		idle:   make(chan struct{}),
	}
}

// NextID numbers a new request.
func (h *Holder) NextID() (swid.Seq, swid.RequestID) {
	seq := swid.Seq(h.seq.Add(1))
	return seq, swid.NewRequestID(h.config.Host, h.config.Incarnation, seq)
}

// Serve holds a request until its end. The caller's context ends when the
// caller's connection does.
func (h *Holder) Serve(ctx context.Context, r *Request, sink Sink) Report {
	e := newHeld(h, r, sink)
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
	// retryAfterShutdown tells a caller to come back at once: the balancer leads it to another host.
	retryAfterShutdown swclock.Millis = 100
	// retryAfterFull is when a host that holds its maximum has likely room again.
	retryAfterFull = swclock.Second
)

func (h *Holder) admit(e *held) (swlife.End, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return swlife.End{Outcome: swlife.OutcomeNotRun, Cause: swlife.CauseShutdown, RetryAfter: retryAfterShutdown}, true
	}
	if len(h.held) >= h.config.MaxHeld {
		return swlife.End{Outcome: swlife.OutcomeNotRun, Cause: swlife.CauseOverload, RetryAfter: retryAfterFull}, true
	}
	h.held[e.request.Seq] = e
	return swlife.End{}, false
}

func (h *Holder) release(e *held) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, e.request.Seq)
	h.closeIfIdle()
}

// Refuse ends new requests as not run.
func (h *Holder) Refuse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.closeIfIdle()
}

// Accept takes new requests again.
func (h *Holder) Accept() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = false
	h.idle = make(chan struct{})
}

// Drain refuses new requests and waits until all held ones ended, or ctx ends.
func (h *Holder) Drain(ctx context.Context) error {
	h.Refuse()
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

// EndWaiting ends the requests that wait for a grant as not run, because the
// host stops before they could be answered.
func (h *Holder) EndWaiting() {
	h.mu.Lock()
	all := make([]*held, 0, len(h.held))
	for _, e := range h.held {
		all = append(all, e)
	}
	h.mu.Unlock()
	for _, e := range all {
		e.leaveFor(swlife.CauseShutdown)
	}
}

// closeIfIdle needs h.mu.
func (h *Holder) closeIfIdle() {
	if !h.draining || len(h.held) > 0 {
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
	return len(h.held)
}

// Running counts the requests that this host runs on each target.
func (h *Holder) Running() map[swid.TargetID]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := make(map[swid.TargetID]int)
	for _, e := range h.held {
		if target := e.runningOn(); target != "" {
			running[target]++
		}
	}
	return running
}

// Receive takes an owner's message. Other kinds of message are ignored.
func (h *Holder) Receive(from swlink.Peer, m swmsg.Message) {
	switch m := m.(type) {
	case swmsg.Grant:
		h.config.Router.Heard(m.Cell, m.Epoch)
		h.granted(from.Host, m)
	case swmsg.GiveUp:
		h.config.Router.Heard(m.Cell, m.Epoch)
		if e := h.lookup(m.Seq); e != nil {
			e.notify(m.Attempt, answer{from: from.Host, giveUp: &m})
		}
	case swmsg.Queued:
		if e := h.lookup(m.Seq); e != nil {
			e.notify(m.Attempt, answer{from: from.Host, queued: true})
		}
	case swmsg.Redirect:
		if e := h.lookup(m.Seq); e != nil {
			e.notify(m.Attempt, answer{from: from.Host, redirect: &m})
		}
	case swmsg.Preempt:
		if e := h.lookup(m.Seq); e != nil {
			e.preempt(from.Host, m)
		}
	case swmsg.Recover:
		h.config.Router.Heard(m.Cell, m.Epoch)
		h.recover(from.Host, m.Cell)
	}
}

// granted uses a grant, or tells its owner that it is not used.
func (h *Holder) granted(owner swid.HostID, m swmsg.Grant) {
	e := h.lookup(m.Seq)
	if e != nil && e.notify(m.Attempt, answer{from: owner, grant: &m}) {
		return
	}
	if e != nil && e.uses(owner, m) {
		return // repeated
	}
	h.config.Observer.UnusedGrant()
	h.config.Sender.Send(owner, swmsg.Withdraw{Cell: m.Cell, Seq: m.Seq, Attempt: m.Attempt})
}

func (h *Holder) lookup(seq swid.Seq) *held {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held[seq]
}

// recover reports the open work of a cell to a host that took it over.
func (h *Holder) recover(owner swid.HostID, cell swid.CellID) {
	h.mu.Lock()
	open := h.openIn(cell)
	h.mu.Unlock()
	for _, e := range open {
		e.recoverTo(owner)
	}
}

// openIn needs h.mu.
func (h *Holder) openIn(cell swid.CellID) []*held {
	var open []*held
	for _, e := range h.held {
		if e.request.Cell == cell {
			open = append(open, e)
		}
	}
	return open
}

// Reroute asks again, where the owner has changed, for every waiting request. It
// is called when the members or their connections change.
func (h *Holder) Reroute() {
	h.mu.Lock()
	all := make([]*held, 0, len(h.held))
	for _, e := range h.held {
		all = append(all, e)
	}
	h.mu.Unlock()
	for _, e := range all {
		owner, _ := h.config.Router.Owner(e.request.Cell)
		e.reportTo(owner)
	}
}

// LinkDown asks again for every waiting request whose answer may have been lost with a link.
func (h *Holder) LinkDown(host swid.HostID) {
	h.mu.Lock()
	var affected []*held
	for _, e := range h.held {
		if e.askedHost() == host {
			affected = append(affected, e)
		}
	}
	h.mu.Unlock()
	for _, e := range affected {
		e.askAgain()
	}
}
