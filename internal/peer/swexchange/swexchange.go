// Package swexchange joins the parts of one entry host to each other and to the
// parts of other hosts.
package swexchange

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// Receiver takes messages; each part ignores the kinds that it does not handle.
type Receiver interface {
	Receive(from swlink.Peer, m swmsg.Message)
}

// Exchange delivers messages for this host to its own parts at once, and sends
// the others over the network. It implements swlink.Sender and swlink.Handler.
type Exchange struct {
	self swlink.Peer
	// network and parts are set by Connect, before the first message.
	network  swlink.Sender
	parts    []Receiver
	linkDown func(peer swlink.Peer)
	// linkUp may be nil.
	linkUp func(peer swlink.Peer)
}

// New returns an Exchange for a host's process; Connect completes it.
func New(self swlink.Peer) *Exchange { return &Exchange{self: self} }

// Connect sets the network and the receiving parts. The network is nil for a
// host that is alone. It is called once, before the first message.
func (x *Exchange) Connect(network swlink.Sender, linkDown func(peer swlink.Peer), parts ...Receiver) {
	x.network, x.linkDown, x.parts = network, linkDown, parts
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
	for _, p := range x.parts {
		p.Receive(from, m)
	}
}

// OnLinkUp sets a function that is told of each link that is up. It is called
// before the first message.
func (x *Exchange) OnLinkUp(f func(peer swlink.Peer)) { x.linkUp = f }

// LinkUp implements swlink.Handler.
func (x *Exchange) LinkUp(peer swlink.Peer) {
	if x.linkUp != nil {
		x.linkUp(peer)
	}
}

// LinkDown implements swlink.Handler.
func (x *Exchange) LinkDown(peer swlink.Peer) { x.linkDown(peer) }
