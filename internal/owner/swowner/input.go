package swowner

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// input is one input of a runner; apply runs on the runner's goroutine.
type input interface {
	apply(r *runner)
}

// eventInput is an event for the core.
type eventInput struct{ event swcell.Event }

func (in eventInput) apply(r *runner) { r.step(in.event) }

// goneInput tells of a holder's process that died.
type goneInput struct{ gone swcell.HolderGone }

func (in goneInput) apply(r *runner) {
	r.forget(in.gone)
	r.step(in.gone)
}

// linkUpInput tells of a new link to a holder.
type linkUpInput struct{ peer swlink.Peer }

func (in linkUpInput) apply(r *runner) { r.recoverFrom(in.peer.Host) }

// linkDownInput tells of a lost link to a holder.
type linkDownInput struct{ peer swlink.Peer }

func (in linkDownInput) apply(r *runner) { r.doubtHolder(in.peer.Host) }

// statusInput asks for the cell's state.
type statusInput struct{ reply chan<- CellStatus }

func (in statusInput) apply(r *runner) {
	in.reply <- CellStatus{Cell: r.id, Epoch: r.epoch, Snapshot: r.cell.Snapshot()}
}

// messageInput is a holder's message.
type messageInput struct {
	from    swlink.Peer
	message swmsg.Message
}

func (in messageInput) apply(r *runner) {
	switch m := in.message.(type) {
	case swmsg.Ask:
		r.ask(in.from, m)
	case swmsg.InFlight:
		r.inFlight(in.from, m)
	case swmsg.Progress:
		r.step(swcell.Progress{Key: keyOf(in.from, m.Seq), Attempt: m.Attempt, Produced: m.Produced})
	case swmsg.Withdraw:
		r.withdraw(keyOf(in.from, m.Seq), m.Attempt)
	case swmsg.Done:
		key := keyOf(in.from, m.Seq)
		r.ended(key, m.Attempt)
		r.step(doneEvent(key, m))
	}
}
