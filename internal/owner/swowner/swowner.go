// Package swowner runs the cells that this host owns. A cell is the targets of one service in one
// region, and its owner is the host that schedules it. A holder is a host that accepted a caller's
// request. For each cell, the package passes the grant requests of all holders to a decision core
// and sends the core's decisions back.
package swowner

import (
	"context"
	"sync"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// Router determines which host should own a cell, from this host's view of the members.
type Router interface {
	// Owner returns the best-ranked available host: one that is reachable, responsive and not leaving.
	// While links come back after a cut it may return the one that was used before.
	// noRedirect reports that better-ranked hosts are passed over, none of which may only be busy.
	Owner(cell swid.CellID) (host swid.HostID, noRedirect bool)
	// Doubt makes this host look for a sign of life of a host that may have fallen silent. Owner skips
	// that host if it is overdue.
	Doubt(host swid.HostID)
	// NextEpoch returns the epoch under which this host takes a cell over. It is higher than every
	// epoch of the cell that this host has received.
	NextEpoch(cell swid.CellID) swid.Epoch
}

// Watcher observes the targets of cells.
type Watcher interface {
	// Watch observes the load and the cache of a cell's targets until ctx ends, and reports changes
	// as events.
	Watch(ctx context.Context, cell swid.CellID, targets []swdoc.Target, report func(swcell.Event))
}

// Core decides which requests of one cell are granted or rejected. Its methods are called from one
// goroutine.
type Core interface {
	// Step processes an event and appends the resulting actions.
	Step(now swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action
	// Idle reports whether no request waits or runs.
	Idle() bool
	// TickInterval returns the time after which the core needs a Tick.
	TickInterval() swclock.Millis
	Snapshot() swcell.Snapshot
}

// Observer receives events for metrics. Its methods do not block.
type Observer interface {
	// ActionTaken counts an action of a cell.
	ActionTaken(cell swid.CellID, action swcell.Action)
	// InputDropped counts an input that was dropped because the cell's ring was full.
	InputDropped(cell swid.CellID)
	// InvariantViolated counts a violated invariant of the core.
	InvariantViolated(cell swid.CellID, invariant string)
}

// Config holds the settings and dependencies of an Owner.
type Config struct {
	Host     swid.HostID
	Clock    swclock.Clock
	Sender   swlink.Sender
	Router   Router
	Members  swmember.Source
	Watcher  Watcher
	Observer Observer
	Log      zerolog.Logger
	// NewCore creates the core of a cell. The core calls onViolation for each violated invariant.
	NewCore func(cell swid.CellID, onViolation func(swcell.Violation)) Core
	// Acknowledge enables Queued messages, which confirm to a holder that its grant request was
	// received and waits.
	Acknowledge bool
	// Local reports whether each host schedules the cell for its own requests only. If it is nil,
	// no cell is local.
	Local func(cell swid.CellID) bool
	// VerificationTimeout is how long a holder has to report the grants that it uses after messages
	// between this host and the holder may have been lost. 0 selects defaultVerificationTimeout.
	VerificationTimeout swclock.Millis
}

// Owner runs the cells that this host owns. Its methods are safe for concurrent use.
type Owner struct {
	config Config

	mu sync.Mutex
	// cells holds the runner of each cell for which this host acts as owner.
	cells map[swid.CellID]*runner
	// document is the current document. It is nil until the first call of Configure.
	document *swdoc.Document
	// ctx is the context of Run. It is nil while Run is not running.
	ctx  context.Context
	jobs conc.WaitGroup
}

// New returns an Owner that has no cells.
func New(config Config) *Owner {
	if config.Local == nil {
		config.Local = func(swid.CellID) bool { return false }
	}
	if config.VerificationTimeout == 0 {
		config.VerificationTimeout = defaultVerificationTimeout
	}
	return &Owner{config: config, cells: make(map[swid.CellID]*runner)}
}

// Run runs the owned cells until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	o.mu.Lock()
	o.ctx = ctx
	for _, r := range o.cells {
		o.launch(r)
	}
	o.mu.Unlock()
	<-ctx.Done()
	o.mu.Lock()
	o.ctx = nil
	o.mu.Unlock()
	o.jobs.Wait()
}

// Configure applies a document to all owned cells, and to those that are started later.
func (o *Owner) Configure(d *swdoc.Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.document = d
	for _, r := range o.cells {
		r.configure(d)
	}
}

// Receive processes a holder's message. It ignores message types that holders do not send to owners.
func (o *Owner) Receive(from swlink.Peer, m swmsg.Message) {
	switch m := m.(type) {
	case swmsg.GrantRequest:
		if o.redirect(from, m) {
			return
		}
		o.enqueue(m.Cell, messageInput{from, m}, true)
	case swmsg.InFlight:
		o.enqueue(m.GrantRequest.Cell, messageInput{from, m}, true)
	case swmsg.Progress:
		o.enqueue(m.Cell, messageInput{from, m}, false)
	case swmsg.Withdraw:
		o.enqueue(m.Cell, messageInput{from, m}, false)
	case swmsg.Done:
		o.enqueue(m.Cell, messageInput{from, m}, false)
	}
}

// redirect sends a Redirect message if another host should own the cell, and reports whether the
// message was queued for sending. It does not redirect a grant request of this host, or one with
// NoRedirect, whose holder cannot use a better-ranked host. So a holder that only doubts the owner
// learns whether this host, which would take the cell over, hears from the owner.
func (o *Owner) redirect(from swlink.Peer, m swmsg.GrantRequest) bool {
	if m.NoRedirect || from.Host == o.config.Host {
		return false
	}
	owner, _ := o.config.Router.Owner(m.Cell)
	if owner == o.config.Host {
		return false
	}
	// The holder may doubt the owner. This host finds out for itself.
	o.config.Router.Doubt(owner)
	if owner, _ = o.config.Router.Owner(m.Cell); owner == o.config.Host {
		return false
	}
	return o.config.Sender.Send(from.Host, swmsg.Redirect{Cell: m.Cell, Seq: m.Seq, Attempt: m.Attempt, Owner: owner})
}

// HolderDied reports to every cell that a holder's process died.
func (o *Owner) HolderDied(peer swlink.Peer) {
	o.broadcast(holderDiedInput{swcell.HolderDied{Holder: peer.Host, Incarnation: peer.Incarnation}})
}

// HolderJoined reports to every cell that a holder has its requests scheduled by this owner.
func (o *Owner) HolderJoined(holder swid.HostID) {
	o.broadcast(eventInput{swcell.HolderJoined{Holder: holder}})
}

// HolderLeft reports to every cell that a holder has its requests scheduled by another owner.
func (o *Owner) HolderLeft(holder swid.HostID) {
	o.broadcast(eventInput{swcell.HolderLeft{Holder: holder}})
}

// TargetHeard reports to every cell that a target answered a host outside of an attempt.
func (o *Owner) TargetHeard(target swid.TargetID, host swid.HostID) {
	o.broadcast(eventInput{swcell.TargetHeard{Target: target, Host: host}})
}

// LinkUp requests a holder's open work for every cell that this host should own.
func (o *Owner) LinkUp(peer swlink.Peer) { o.broadcast(linkUpInput{peer}) }

// LinkDown reports to every cell that messages to or from a holder may have been lost.
func (o *Owner) LinkDown(peer swlink.Peer) { o.broadcast(linkDownInput{peer}) }

func (o *Owner) broadcast(in input) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.cells {
		r.enqueue(in)
	}
}

// enqueue queues an input for a cell's runner. If there is none, it starts one if create is set and
// a document has been configured, and otherwise drops the input.
func (o *Owner) enqueue(cell swid.CellID, in input, create bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, owned := o.cells[cell]
	if !owned {
		if !create || o.document == nil {
			return
		}
		r = o.createRunner(cell)
	}
	r.enqueue(in)
}

// createRunner creates the runner of a cell, and launches the runner if Run is running. Until then,
// the runner only collects inputs. The caller holds o.mu, and o.document is set.
func (o *Owner) createRunner(cell swid.CellID) *runner {
	r := newRunner(&o.config, cell)
	o.cells[cell] = r
	r.configure(o.document)
	if o.ctx != nil {
		o.launch(r)
	}
	return r
}

// launch starts a runner's goroutine. The caller holds o.mu, and Run is running.
func (o *Owner) launch(r *runner) {
	ctx := o.ctx
	o.jobs.Go(func() { r.run(ctx, func() bool { return o.retire(r) }) })
}

// retire removes a cell if its runner has no queued input, and reports whether the cell was removed.
func (o *Owner) retire(r *runner) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.inputs.Len() > 0 {
		return false
	}
	delete(o.cells, r.id)
	return true
}

// CellStatus is the state of one owned cell.
type CellStatus struct {
	Cell     swid.CellID
	Epoch    swid.Epoch
	Snapshot swcell.Snapshot
}

// Status returns the state of every owned cell. It omits cells that did not reply before ctx ended.
func (o *Owner) Status(ctx context.Context) []CellStatus {
	o.mu.Lock()
	runners := make([]*runner, 0, len(o.cells))
	for _, r := range o.cells {
		runners = append(runners, r)
	}
	o.mu.Unlock()
	statuses := make([]CellStatus, 0, len(runners))
	for _, r := range runners {
		if s, ok := r.status(ctx); ok {
			statuses = append(statuses, s)
		}
	}
	return statuses
}
