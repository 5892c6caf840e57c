package swlink

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swring"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// dialState is the progress of the dial to a host.
type dialState uint8

const (
	dialNone dialState = iota
	// dialConnecting means that the dial is queued or connecting. The host has not received a Hello.
	dialConnecting
	// dialHandshaking means that Hello was sent or is being sent, so that the host may already have admitted the connection.
	dialHandshaking
)

// remote is the state that a network keeps for one other host.
type remote struct {
	network *Network
	host    swid.HostID
	// queue outlives links; at most one link takes messages from it at a time.
	queue *swring.Ring[swmsg.Message]

	mu sync.Mutex
	// link is the current link, or nil.
	link *link
	dial dialState
	// dialledAt is when the latest dial was queued.
	dialledAt swclock.Millis
	// silent is set if the latest link ended because the host did not answer.
	silent bool
	// pendingInbound counts the connections dialled by the host that were admitted
	// but are not links yet. No dial starts while there is one.
	pendingInbound int
	// cancelDial cancels the dial under way.
	cancelDial context.CancelFunc
	// superseded is closed when an admitted connection or a link ends the dial under way. Each
	// dial has its own.
	superseded chan struct{}
	// failures counts consecutive failed dials. No dial starts before retryAt.
	failures int
	retryAt  swclock.Millis
	// linkUp is closed when there is a link, and replaced when there is none any more. It is nil while nobody
	// waits for a link.
	linkUp chan struct{}
}

func newRemote(n *Network, host swid.HostID) *remote {
	return &remote{network: n, host: host, queue: swring.New[swmsg.Message](n.config.QueueLength)}
}

// send queues a message, and starts a dial unless there is a link or a connection is
// being set up. It returns false if the dial cannot start or the queue is full.
func (r *remote) send(m swmsg.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil && r.dial == dialNone && r.pendingInbound == 0 && !r.startDial() {
		return false
	}
	return r.queue.TryPut(m)
}

// ensureDial starts a dial unless there is a link or a connection is being set up.
func (r *remote) ensureDial() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil && r.dial == dialNone && r.pendingInbound == 0 {
		r.startDial()
	}
}

// startDial queues a dial and reports whether it could: it cannot before retryAt
// or when the queue of dials is full. r.mu is held.
func (r *remote) startDial() bool {
	if r.network.clock.Now() < r.retryAt || !r.network.dials.TryPut(r) {
		return false
	}
	r.dial, r.dialledAt = dialConnecting, r.network.clock.Now()
	r.superseded = make(chan struct{})
	return true
}

// awaitLink returns the link. If there is none, it dials and waits for one until ctx ends.
func (r *remote) awaitLink(ctx context.Context) (*link, error) {
	for {
		r.ensureDial()
		r.mu.Lock()
		l := r.link
		if l == nil && r.linkUp == nil {
			r.linkUp = make(chan struct{})
		}
		up := r.linkUp
		waits := r.dial != dialNone || r.pendingInbound > 0
		r.mu.Unlock()
		switch {
		case l != nil:
			return l, nil
		case !waits:
			return nil, ErrNoLink // the latest dial failed a moment ago
		}
		select {
		case <-up:
		case <-ctx.Done():
			return nil, errors.Wrap(ErrNoLink, ctx.Err().Error())
		}
	}
}

// notifyLink wakes those that wait for a link, or for the end of a dial; r.mu is held.
func (r *remote) notifyLink() {
	if r.linkUp != nil {
		close(r.linkUp)
		r.linkUp = nil
	}
}

// connected reports whether there is a link.
func (r *remote) connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link != nil
}

// liveness returns what was observed of the host.
func (r *remote) liveness() Liveness {
	r.mu.Lock()
	l, dialling, dialledAt := r.link, r.dial != dialNone, r.dialledAt
	r.mu.Unlock()
	if l == nil {
		return Liveness{Dialling: dialling, DialledAt: dialledAt}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return Liveness{Linked: true, HeardAt: l.heardAt, Probed: l.prober.outstanding, ProbedAt: l.prober.sentAt}
}

// probe makes the link send a probe at once, unless one is unanswered.
func (r *remote) probe() {
	r.mu.Lock()
	l := r.link
	r.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	l.prober.requested = true
	l.mu.Unlock()
	l.requestFlush()
}

// handshakeTimeout returns how long the host may take to answer a Hello. A host whose last
// link fell silent has to show that it is alive; any other may be busy with the
// connections of all hosts at once.
func (r *remote) handshakeTimeout() swclock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return r.network.config.DialTimeout
	}
	return r.network.config.HandshakeTimeout
}

// setDialCancel sets the function that cancels the dial. It returns the channel that is closed
// when the dial is superseded, and false if another connection has superseded it, so that it is
// no longer needed.
func (r *remote) setDialCancel(cancel context.CancelFunc) (superseded <-chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelDial = cancel
	return r.superseded, r.dial == dialConnecting
}

// setHandshaking moves the dial to dialHandshaking and returns the number for its
// Hello. It returns false if another connection has superseded the dial.
func (r *remote) setHandshaking() (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dial != dialConnecting {
		return 0, false
	}
	r.dial = dialHandshaking
	return r.network.helloCount.Add(1), true
}

// admit decides whether to accept a connection that the host dialled, before its
// Hello is answered. If both hosts dial each other at once, the connection dialled
// by the host with the smaller id is kept. A Hello that is older than that of the
// current link comes from a dial that the host has since abandoned, or from an
// earlier process of the host.
func (r *remote) admit(id Peer, number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil && (id.Incarnation < r.link.id.Incarnation ||
		id.Incarnation == r.link.id.Incarnation && number < r.link.helloNumber) {
		return false
	}
	if r.dial == dialHandshaking && r.network.config.Self.Host < r.host {
		return false
	}
	r.supersedeDial()
	r.pendingInbound++
	return true
}

// inboundFailed ends an admitted connection that did not become a link.
func (r *remote) inboundFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pendingInbound--
	r.notifyLink()
	r.redial(false)
}

// redial starts a dial if messages are queued or the caller needs a new link,
// unless there is a link or a connection is being set up; r.mu is held.
func (r *remote) redial(needed bool) {
	if r.link == nil && r.dial == dialNone && r.pendingInbound == 0 && (needed || r.queue.Len() > 0) {
		r.startDial()
	}
}

// supersedeDial ends the dial under way, if any, because a connection dialled by the
// host takes its place or because the dial itself became a link; r.mu is held.
func (r *remote) supersedeDial() {
	if r.dial == dialNone {
		return
	}
	r.dial = dialNone
	close(r.superseded)
	if r.cancelDial != nil {
		r.cancelDial()
		r.cancelDial = nil
	}
}

// setLink makes l the host's current link and returns the one that it replaces. It
// returns false for a dialled link if another connection has superseded its dial.
func (r *remote) setLink(l *link) (old *link, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.dialled && r.dial != dialHandshaking {
		return nil, false
	}
	if !l.dialled {
		r.pendingInbound--
	}
	old = r.link
	r.link = l
	r.notifyLink()
	r.failures = 0
	r.retryAt = 0
	r.silent = false
	r.supersedeDial()
	r.network.stats.linksUp.Add(1)
	return old, true
}

// linkEnded is called once by each link after its end. Unless the link was shut down
// gracefully, it drops the queued messages and notifies the handler.
func (r *remote) linkEnded(l *link, graceful bool) {
	l.mu.Lock()
	cause, unacknowledged := l.cause, l.prober.outstanding || l.prober.unconfirmed
	now := r.network.clock.Now()
	up, sinceHeard, outlasted := now-l.upAt, now-l.heardAt, l.outlasted
	l.mu.Unlock()
	streams := 0
	if outlasted {
		streams = l.session.NumStreams() - 1
	} else {
		l.close()
	}
	if !graceful {
		r.network.stats.linksDown.Add(1)
		r.network.logger.Info().Str("peer", string(r.host)).Int64("upMillis", int64(up)).
			Int64("sinceHeardMillis", int64(sinceHeard)).Int("streams", streams).Err(cause).Msg("peer link lost")
		r.dropQueue()
		r.network.handler.LinkDown(l.id)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != l {
		return
	}
	r.link = nil
	r.silent = cause == errPeerTimeout
	// A link that timed out with unconfirmed data is replaced at once, because the peer may not
	// have detected the loss. The new link makes the peer end the old one.
	r.redial(cause == errPeerTimeout && unacknowledged)
}

// dialFailed ends a dial that did not become a link, sets the retry delay, drops the
// queued messages and notifies the handler. It does nothing if another connection
// has superseded the dial, even if a later dial has started since.
func (r *remote) dialFailed(superseded <-chan struct{}, err error) {
	r.mu.Lock()
	if r.dial == dialNone || r.superseded != superseded {
		r.mu.Unlock()
		return
	}
	r.dial = dialNone
	r.cancelDial = nil
	r.notifyLink()
	delay := min(maxRetryDelay, minRetryDelay<<min(r.failures, 10))
	r.failures++
	r.retryAt = r.network.clock.Now() + delay/2 + swclock.Millis(rand.Int64N(int64(delay/2)+1))
	r.mu.Unlock()
	r.network.stats.dialsFailed.Add(1)
	r.network.logger.Debug().Str("peer", string(r.host)).Err(err).Msg("dial failed")
	r.dropQueue()
	r.network.handler.LinkDown(Peer{Host: r.host})
}

// dropQueue drops the queued messages and counts them as lost.
func (r *remote) dropQueue() {
	for {
		select {
		case <-r.queue.Items():
			r.network.stats.lost.Add(1)
		default:
			return
		}
	}
}
