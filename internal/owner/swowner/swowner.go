// Package swowner owns cells: it feeds each one's decision core with the asks
// of all holders and sends its decisions back.
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

// Router tells who should own a cell by this host's view.
type Router interface {
	// Owner returns the best-ranked host in reach.
	Owner(cell swid.CellID) (host swid.HostID, insist bool)
	// Takeover returns the epoch under which this host takes a cell over, above all it has heard of.
	Takeover(cell swid.CellID) swid.Epoch
}

// Watcher follows the load and the cache of a cell's targets until ctx ends, and passes on what it sees.
type Watcher interface {
	Watch(ctx context.Context, cell swid.CellID, targets []swdoc.Target, report func(swcell.Event))
}

// Core decides on the requests of one cell. Its methods are called from one goroutine.
type Core interface {
	// Step takes one event and appends the actions that follow from it.
	Step(now swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action
	// Idle reports whether nothing waits or runs.
	Idle() bool
	// TickInterval returns the time after which the core needs a Tick.
	TickInterval() swclock.Millis
	Snapshot() swcell.Snapshot
}

// Observer is told of events for metrics. Its methods do not block.
type Observer interface {
	// Decided counts an action of a cell.
	Decided(cell swid.CellID, action swcell.Action)
	// InputDropped counts a message that found the cell's ring full.
	InputDropped(cell swid.CellID)
	// Violated counts an invariant of the core that did not hold.
	Violated(cell swid.CellID, what string)
}

// Config joins what an Owner works with.
type Config struct {
	Host     swid.HostID
	Clock    swclock.Clock
	Sender   swlink.Sender
	Router   Router
	Members  swmember.Source
	Watcher  Watcher
	Observer Observer
	Log      zerolog.Logger
	// NewCore makes the core of a cell. The hook is to be called for each
	// invariant that does not hold.
	NewCore func(cell swid.CellID, hook func(swcell.Violation)) Core
	// Acknowledge has holders told when their asks wait.
	Acknowledge bool
	// Local reports whether a cell is decided on by each host for its own
	// requests; nil stands for none.
	Local func(cell swid.CellID) bool
	// DoubtTime is how long a holder has, after its link was lost, to report the
	// work that it still runs; 0 stands for the default.
	DoubtTime swclock.Millis
}

// Owner runs the cells that this host owns. Its methods are safe for concurrent use.
type Owner struct {
	config Config

	mu sync.Mutex
	// cells has the runner of each cell that this host was asked to own.
	cells map[swid.CellID]*runner
	// document is the one in force; nil before the first.
	document *swdoc.Document
	// ctx is Run's; nil before and after it.
	ctx  context.Context
	jobs conc.WaitGroup
}

// New returns an Owner of no cells.
func New(config Config) *Owner {
	if config.Local == nil {
		config.Local = func(swid.CellID) bool { return false }
	}
	if config.DoubtTime == 0 {
		config.DoubtTime = defaultDoubtTime
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

// Configure brings a document into force.
func (o *Owner) Configure(d *swdoc.Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.document = d
	for _, r := range o.cells {
		r.configure(d)
	}
}

// Receive takes a holder's message. Other kinds of message are ignored.
func (o *Owner) Receive(from swlink.Peer, m swmsg.Message) {
	switch m := m.(type) {
	case swmsg.Ask:
		if o.redirected(from, m) {
			return
		}
		o.put(m.Cell, messageInput{from, m}, true)
	case swmsg.InFlight:
		o.put(m.Ask.Cell, messageInput{from, m}, true)
	case swmsg.Progress:
		o.put(m.Cell, messageInput{from, m}, false)
	case swmsg.Withdraw:
		o.put(m.Cell, messageInput{from, m}, false)
	case swmsg.Done:
		o.put(m.Cell, messageInput{from, m}, false)
	}
}

// redirected sends a holder to the host that should own the cell, unless the
// holder says that it cannot reach it.
func (o *Owner) redirected(from swlink.Peer, m swmsg.Ask) bool {
	if m.Insist || from.Host == o.config.Host {
		return false
	}
	owner, insist := o.config.Router.Owner(m.Cell)
	if owner == o.config.Host || insist {
		return false
	}
	return o.config.Sender.Send(from.Host, swmsg.Redirect{Cell: m.Cell, Seq: m.Seq, Attempt: m.Attempt, Owner: owner})
}

// HolderGone tells every cell that a holder's process died.
func (o *Owner) HolderGone(peer swlink.Peer) {
	o.broadcast(goneInput{swcell.HolderGone{Holder: peer.Host, Incarnation: peer.Incarnation}})
}

// LinkUp has every cell that this host should own ask a holder for its open work.
func (o *Owner) LinkUp(peer swlink.Peer) { o.broadcast(linkUpInput{peer}) }

// LinkDown tells every cell that messages of a holder may have been lost.
func (o *Owner) LinkDown(peer swlink.Peer) { o.broadcast(linkDownInput{peer}) }

func (o *Owner) broadcast(in input) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.cells {
		r.put(in)
	}
}

// put hands an input to a cell's runner, which is started if create is set.
func (o *Owner) put(cell swid.CellID, in input, create bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, owned := o.cells[cell]
	if !owned {
		if !create || o.document == nil {
			return
		}
		r = o.start(cell)
	}
	r.put(in)
}

// start needs o.mu and a document. Before Run, the cell only collects its inputs.
func (o *Owner) start(cell swid.CellID) *runner {
	r := newRunner(&o.config, cell)
	o.cells[cell] = r
	r.configure(o.document)
	if o.ctx != nil {
		o.launch(r)
	}
	return r
}

// launch needs o.mu and a running Owner.
func (o *Owner) launch(r *runner) {
	ctx := o.ctx
	o.jobs.Go(func() { r.run(ctx, func() bool { return o.retire(r) }) })
}

// retire removes a cell that has no input left, and reports whether it did.
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

// Status returns the state of every owned cell, or what could be had before ctx ended.
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
