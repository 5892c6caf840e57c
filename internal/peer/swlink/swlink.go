// Package swlink carries messages between entry hosts.
package swlink

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// Peer is a process of an entry host.
type Peer struct {
	Host        swid.HostID
	Incarnation swid.Incarnation
}

// Sender sends messages to other entry hosts without blocking.
type Sender interface {
	// Send queues a message and reports whether there was room. A message that was queued may still be lost; the link's state tells.
	Send(to swid.HostID, m swmsg.Message) bool
	// Connected reports whether the link to a host is up and answered its last heartbeat in time.
	Connected(to swid.HostID) bool
}

// Handler receives the messages of all links. Calls for one link are in order;
// calls for different links run at once.
type Handler interface {
	Receive(from Peer, m swmsg.Message)
	// LinkUp tells that a link to a host is up.
	LinkUp(peer Peer)
	// LinkDown tells that a link was lost; messages queued for it may be lost.
	LinkDown(peer Peer)
}
