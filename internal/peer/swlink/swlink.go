// Package swlink carries messages between entry hosts.
package swlink

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// Peer identifies one process of an entry host.
type Peer struct {
	Host        swid.HostID
	Incarnation swid.Incarnation
}

// Liveness is what a network has observed of another host.
type Liveness struct {
	// Linked is set if there is a link. HeardAt is when it last received anything.
	Linked  bool
	HeardAt swclock.Millis
	// Probed is set while a probe that was sent at ProbedAt is unanswered.
	Probed   bool
	ProbedAt swclock.Millis
	// Dialling is set while a connection that was started at DialledAt is being set up.
	Dialling  bool
	DialledAt swclock.Millis
}

// SilentFor returns how long a sign of life of the host has been overdue: the time since a
// dial or a probe that has had no effect yet.
func (l Liveness) SilentFor(now swclock.Millis) swclock.Millis {
	switch {
	case l.Linked && l.Probed:
		return now - max(l.ProbedAt, l.HeardAt)
	case !l.Linked && l.Dialling:
		return now - l.DialledAt
	default:
		return 0
	}
}

// Sender sends messages to other entry hosts without blocking.
type Sender interface {
	// Send queues a message and reports whether it was queued. A queued message may
	// still be lost: if its link is lost or the dial fails, Handler.LinkDown is called.
	Send(to swid.HostID, m swmsg.Message) bool
	// Connected reports whether the link to a host is up. A link whose probes are not answered in time goes down.
	Connected(to swid.HostID) bool
}

// Handler receives the messages of all links. Calls for one link are made in order;
// calls for different links are made concurrently.
type Handler interface {
	Receive(from Peer, m swmsg.Message)
	// LinkUp is called when a link to a peer comes up.
	LinkUp(peer Peer)
	// LinkDown is called when a link was lost or a dial failed; messages queued for
	// the host may be lost. After a failed dial the peer has no Incarnation.
	LinkDown(peer Peer)
}
