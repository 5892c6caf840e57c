// Package swmember maintains the list of entry hosts and whether they are alive, from the
// platform's list and from a gossip protocol in which the hosts monitor each other.
package swmember

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// Member is one entry host.
type Member struct {
	Host        swid.HostID
	Incarnation swid.Incarnation // 0: not yet known
	Zone        swid.ZoneID
	Region      swid.RegionID
	Address     string
	State       swmsg.MemberState
	// Size is not known of members that gossip with each other.
	Size swelect.Size
}

// Source provides the current members, this host included.
type Source interface {
	// Members returns the members sorted by host. The slice is shared and must not be modified.
	Members() []Member
	// Subscribe calls f with the current list and with each later one, in order and from one goroutine.
	Subscribe(f func([]Member))
}
