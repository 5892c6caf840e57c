// Package swexchange routes messages between the components of one entry host,
// and between them and other hosts.
package swexchange

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// Receiver handles messages from this host and others. It ignores the kinds of
// messages that it does not handle.
type Receiver interface {
	Receive(from swlink.Peer, m swmsg.Message)
}

// Exchange delivers messages for this host synchronously to its own receivers and
// sends all others over the network. It implements swlink.Sender and swlink.Handler.
type Exchange struct {
	self swlink.Peer
	// network, receivers and linkDown are set by Connect, before the first message.
	network   swlink.Sender
	receivers []Receiver
	linkDown  func(peer swlink.Peer)
	// linkUp may be nil.
	linkUp func(peer swlink.Peer)
}

// New returns an Exchange for a host's process. Connect must be called before it is used.
func New(self swlink.Peer) *Exchange { return &Exchange{self: self} }

// Connect sets the network, the receivers and the function to call when a link is
// lost. The network is nil if there are no other hosts. Connect is called once,
// before the first message.
func (x *Exchange) Connect(network swlink.Sender, linkDown func(peer swlink.Peer), receivers ...Receiver) {
	x.network, x.linkDown, x.receivers = network, linkDown, receivers
}

// Send implements swlink.Sender.
func (x *Exchange) Send(to swid.HostID, m swmsg.Message) bool {
	if to == x.self.Host {
		x.Receive(x.self, m)
		return true
	}
	return x.network != nil && x.network.Send(to, m)
}

// Connected implements swlink.Sender.
func (x *Exchange) Connected(to swid.HostID) bool {
	return to == x.self.Host || (x.network != nil && x.network.Connected(to))
}

// Receive implements swlink.Handler.
func (x *Exchange) Receive(from swlink.Peer, m swmsg.Message) {
	for _, p := range x.receivers {
		p.Receive(from, m)
	}
}

// OnLinkUp sets a function that is called with the peer of each link that comes up.
// It must be set before the first message.
func (x *Exchange) OnLinkUp(f func(peer swlink.Peer)) { x.linkUp = f }

// LinkUp implements swlink.Handler.
func (x *Exchange) LinkUp(peer swlink.Peer) {
	if x.linkUp != nil {
		x.linkUp(peer)
	}
}

// LinkDown implements swlink.Handler.
func (x *Exchange) LinkDown(peer swlink.Peer) { x.linkDown(peer) }
