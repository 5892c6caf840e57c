package swowner

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// input is an entry of a runner's input ring. The goroutine of runner.run calls apply.
type input interface {
	apply(r *runner)
}

// queuedInput is an input in the ring.
type queuedInput struct {
	input
	queuedAt swclock.Millis
}

// inputLoad sums up the inputs of a span of time.
type inputLoad struct {
	count int
	// longestWait is the longest time that an input waited in the ring.
	longestWait swclock.Millis
	// busy is the time that the runner took for inputs and ticks, and longestStep the longest time for one of them.
	busy, longestStep swclock.Millis
}

// addInput counts an input that waited in the ring.
func (l *inputLoad) addInput(wait swclock.Millis) {
	l.count++
	l.longestWait = max(l.longestWait, wait)
}

// addStep adds the time that an input or a tick took.
func (l *inputLoad) addStep(took swclock.Millis) {
	l.busy += took
	l.longestStep = max(l.longestStep, took)
}

// eventInput carries an event for the core.
type eventInput struct{ event swcell.Event }

func (in eventInput) apply(r *runner) { r.step(in.event) }

// holderDiedInput reports that a holder's process died.
type holderDiedInput struct{ event swcell.HolderDied }

func (in holderDiedInput) apply(r *runner) {
	r.dropGrants(in.event)
	r.step(in.event)
}

// linkUpInput reports a new link to a holder.
type linkUpInput struct{ peer swlink.Peer }

func (in linkUpInput) apply(r *runner) { r.requestOpenWork(in.peer.Host) }

// linkDownInput reports a lost link to a holder.
type linkDownInput struct{ peer swlink.Peer }

func (in linkDownInput) apply(r *runner) { r.verifyGrants(in.peer.Host) }

// statusInput requests the cell's state.
type statusInput struct{ reply chan<- CellStatus }

func (in statusInput) apply(r *runner) {
	in.reply <- CellStatus{Cell: r.id, Epoch: r.epoch, Snapshot: r.core.Snapshot()}
}

// messageInput carries a message from a holder.
type messageInput struct {
	from    swlink.Peer
	message swmsg.Message
}

func (in messageInput) apply(r *runner) {
	switch m := in.message.(type) {
	case swmsg.GrantRequest:
		r.handleGrantRequest(in.from, m)
	case swmsg.InFlight:
		r.handleInFlight(in.from, m)
	case swmsg.Progress:
		r.step(swcell.Progress{Key: requestKey(in.from, m.Seq), Attempt: m.Attempt, Produced: m.Produced, Statement: m.Statement, Begun: m.Begun})
	case swmsg.Withdraw:
		r.cancelAttempt(requestKey(in.from, m.Seq), m.Attempt)
	case swmsg.Done:
		key := requestKey(in.from, m.Seq)
		r.removeGrant(key, m.Attempt)
		r.step(convertDone(key, m))
	}
}
