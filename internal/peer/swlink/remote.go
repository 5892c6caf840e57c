package swlink

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swring"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// dialState is how far a dial to a host has come.
type dialState uint8

const (
	dialNone dialState = iota
	// dialConnecting has sent nothing that the host could act on.
	dialConnecting
	// dialGreeted has sent its Hello.
	dialGreeted
)

// remote is the state kept for one other host.
type remote struct {
	network *Network
	host    swid.HostID
	// queue outlives links; at most one link's writer takes from it at a time.
	queue *swring.Ring[swmsg.Message]

	mu sync.Mutex
	// link is the newest link, or nil.
	link *link
	dial dialState
	// answering counts connections of the host that were admitted and are no links yet; while there is one, no dial starts.
	answering int
	// abandon ends the dial under way.
	abandon context.CancelFunc
	// arrived is closed when a link was adopted while a dial was under way.
	arrived chan struct{}
	// failures counts failed dials in a row; until retryAt no new one starts.
	failures int
	retryAt  swclock.Millis
}

func newRemote(n *Network, host swid.HostID) *remote {
	return &remote{network: n, host: host, queue: swring.New[swmsg.Message](n.config.QueueLength)}
}

// send queues a message and starts a dial if there is no link.
func (r *remote) send(m swmsg.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil && r.dial == dialNone && r.answering == 0 && !r.startDial() {
		return false
	}
	return r.queue.TryPut(m)
}

// connect starts a dial if there is no link.
func (r *remote) connect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil && r.dial == dialNone && r.answering == 0 {
		r.startDial()
	}
}

// startDial asks for a dial; r.mu is held.
func (r *remote) startDial() bool {
	if r.network.clock.Now() < r.retryAt || !r.network.dials.TryPut(r) {
		return false
	}
	r.dial = dialConnecting
	r.arrived = make(chan struct{})
	return true
}

// connected reports whether there is a link.
func (r *remote) connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link != nil
}

// connecting sets the function that abandons the dial. It reports false if
// a link was adopted meanwhile, so that no dial is needed.
func (r *remote) connecting(abandon context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandon = abandon
	return r.dial == dialConnecting
}

// greet moves the dial on, unless a link was adopted meanwhile, and numbers its Hello.
func (r *remote) greet() (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dial != dialConnecting {
		return 0, false
	}
	r.dial = dialGreeted
	return r.network.hellos.Add(1), true
}

// admits decides on a connection that the host dialled, before it is answered.
// Of two dials that cross, that of the host with the smaller id is kept.
// A Hello that is older than the one of the present link belongs to a dial that
// the host has abandoned since.
func (r *remote) admits(id Peer, number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil && (id.Incarnation < r.link.id.Incarnation ||
		id.Incarnation == r.link.id.Incarnation && number < r.link.number) {
		return false
	}
	if r.dial == dialGreeted && r.network.config.Self.Host < r.host {
		return false
	}
	r.settle()
	r.answering++
	return true
}

// unanswered ends an admitted connection that became no link.
func (r *remote) unanswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answering--
	r.redial(false)
}

// redial starts a dial if the queue or the lost link needs one and none is on its way; r.mu is held.
func (r *remote) redial(needed bool) {
	if r.link == nil && r.dial == dialNone && r.answering == 0 && (needed || r.queue.Len() > 0) {
		r.startDial()
	}
}

// settle ends the dial under way because a link takes its place; r.mu is held.
func (r *remote) settle() {
	if r.dial == dialNone {
		return
	}
	r.dial = dialNone
	close(r.arrived)
	if r.abandon != nil {
		r.abandon()
		r.abandon = nil
	}
}

// adopt makes a link the host's present one and returns the one it replaces. It
// refuses a dialled link whose place another has taken meanwhile.
func (r *remote) adopt(l *link) (old *link, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.dialled && r.dial != dialGreeted {
		return nil, false
	}
	if !l.dialled {
		r.answering--
	}
	old = r.link
	r.link = l
	r.failures = 0
	r.retryAt = 0
	r.settle()
	r.network.stats.linksUp.Add(1)
	return old, true
}

// ended is called once by each link after its end. Unless the link ended in
// order, what is queued is dropped and the handler is told.
func (r *remote) ended(l *link, quiet bool) {
	l.mu.Lock()
	cause, unsure := l.cause, l.prober.outstanding || l.prober.unconfirmed
	l.mu.Unlock()
	l.close()
	if !quiet {
		r.network.stats.linksDown.Add(1)
		r.network.logger.Info().Str("peer", string(r.host)).Err(cause).Msg("peer link lost")
		r.drain()
		r.network.handler.LinkDown(l.id)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != l {
		return
	}
	r.link = nil
	// A silent link is replaced at once, because the other side may not have noticed.
	r.redial(cause == errSilent && unsure)
}

// dialFailed ends a dial without a link.
func (r *remote) dialFailed(err error) {
	r.mu.Lock()
	if r.dial == dialNone {
		r.mu.Unlock()
		return
	}
	r.dial = dialNone
	r.abandon = nil
	delay := min(maxRetryDelay, minRetryDelay<<min(r.failures, 10))
	r.failures++
	r.retryAt = r.network.clock.Now() + delay/2 + swclock.Millis(rand.Int64N(int64(delay/2)+1))
	r.mu.Unlock()
	r.network.stats.dialsFailed.Add(1)
	r.network.logger.Debug().Str("peer", string(r.host)).Err(err).Msg("dial failed")
	r.drain()
	r.network.handler.LinkDown(Peer{Host: r.host})
}

// drain drops what is queued.
func (r *remote) drain() {
	for {
		select {
		case <-r.queue.Items():
			r.network.stats.lost.Add(1)
		default:
			return
		}
	}
}
