// Package swmember holds which entry hosts live, from the platform's list and
// from what the hosts observe of each other.
package swmember

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// Member is one entry host.
type Member struct {
	Host        swid.HostID
	Incarnation swid.Incarnation // 0: not known yet
	Zone        swid.ZoneID
	Region      swid.RegionID
	Address     string
	State       swmsg.MemberState
}

// Source gives the present members, this host included.
type Source interface {
	// Members returns the members sorted by host. The slice is shared: it is not changed.
	Members() []Member
	// Subscribe calls f, from one goroutine and in order, with the present and each later list.
	Subscribe(f func([]Member))
}
