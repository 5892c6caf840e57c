package swmember

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Event is an input to Core.Step.
type Event interface{ event() }

// HostsListed carries the platform's list of hosts.
type HostsListed struct{ Hosts []swobject.Host }

// HeartbeatReceived carries a heartbeat from another host's process.
type HeartbeatReceived struct {
	From      swlink.Peer
	Heartbeat swmsg.Heartbeat
}

// LinkFailed reports that a link to a host was lost, could not be opened, or refused a heartbeat.
type LinkFailed struct{ Host swid.HostID }

// Ticked advances time; the core needs one at least every TickInterval.
type Ticked struct{}

// LeaveRequested makes this host leave: it announces to the others that it takes no new work.
type LeaveRequested struct{}

func (HostsListed) event()       {}
func (HeartbeatReceived) event() {}
func (LinkFailed) event()        {}
func (Ticked) event()            {}
func (LeaveRequested) event()    {}

// OutgoingHeartbeat is a heartbeat to send.
type OutgoingHeartbeat struct {
	To        swid.HostID
	Heartbeat swmsg.Heartbeat
}

// Output is the result of a step.
type Output struct {
	Heartbeats []OutgoingHeartbeat
	// Changed is set if Core.Members returns a new list.
	Changed bool
}
