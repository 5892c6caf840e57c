package swmember

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// Listed carries the platform's list of hosts.
type Listed struct{ Hosts []swobject.Host }

// Heard carries a heartbeat of another host's process.
type Heard struct {
	From      swlink.Peer
	Heartbeat swmsg.Heartbeat
}

// Missed tells that a link to a host was lost, could not be opened, or refused a heartbeat.
type Missed struct{ Host swid.HostID }

// Ticked lets time pass; the core needs one at least every TickInterval.
type Ticked struct{}

// Left makes this host leave: it takes no new work, and the others are told.
type Left struct{}

func (Listed) event() {}
func (Heard) event()  {}
func (Missed) event() {}
func (Ticked) event() {}
func (Left) event()   {}

// Beat is a heartbeat to send.
type Beat struct {
	To        swid.HostID
	Heartbeat swmsg.Heartbeat
}

// Output is what a step asks for.
type Output struct {
	Beats []Beat
	// Changed tells that Members has a new list.
	Changed bool
}
