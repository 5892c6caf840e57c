package swfleet

import (
	"slices"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/node/swnode"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// router determines the owner of a cell. Local cells (see view.scheduledByEachHost)
// are owned by this host. All other cells, called shared, have one common owner, which
// therefore sees nearly all usage that counts towards an organisation's quota.
type router struct {
	*swnode.HostRouter
	self swid.HostID
	// sharedCell is the cell ID by which the hosts are ranked for all shared cells.
	sharedCell swid.CellID
	view       *view
	// onOwnerChange is called with mu held when the owner of the shared cells
	// changes. It must not block.
	onOwnerChange func(before, owner swid.HostID)

	mu sync.Mutex
	// lastOwner is the owner of the shared cells at the latest lookup.
	lastOwner swid.HostID
	// leaving is set once this host no longer owns shared cells.
	leaving bool
}

func newRouter(hosts *swnode.HostRouter, self swid.HostID, region swid.RegionID, v *view, onOwnerChange func(before, owner swid.HostID)) *router {
	return &router{HostRouter: hosts, self: self, sharedCell: swid.NewCellID("engines", region), view: v, onOwnerChange: onOwnerChange}
}

// Owner implements swholder.Router.
func (r *router) Owner(cell swid.CellID) (host swid.HostID, noRedirect bool) {
	if r.view.scheduledByEachHost(cell) {
		return r.self, false
	}
	return r.sharedOwner()
}

// leave removes this host from the candidates for the owner of the shared cells.
func (r *router) leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.SetMembers(r.view.Members())
}

// SetMembers replaces the list of hosts. Once this host is leaving, its own entry is
// marked as leaving.
func (r *router) SetMembers(members []swmember.Member) {
	r.mu.Lock()
	leaving := r.leaving
	r.mu.Unlock()
	if leaving {
		members = slices.Clone(members)
		for i := range members {
			if members[i].Host == r.self {
				members[i].State = swmsg.MemberLeaving
			}
		}
	}
	r.HostRouter.SetMembers(members)
}

// refresh looks the owner of the shared cells up again and reports whether it
// differs from the one of the previous lookup.
func (r *router) refresh() bool {
	r.mu.Lock()
	before := r.lastOwner
	r.mu.Unlock()
	owner, _ := r.sharedOwner()
	return owner != before
}

// sharedOwner returns the owner of the shared cells. It calls onOwnerChange before
// it returns a new owner, so that this host's registration reaches that owner before
// any grant request does.
func (r *router) sharedOwner() (owner swid.HostID, noRedirect bool) {
	owner, noRedirect = r.HostRouter.Owner(r.sharedCell)
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner != r.lastOwner {
		before := r.lastOwner
		r.lastOwner = owner
		r.onOwnerChange(before, owner)
	}
	return owner, noRedirect
}

// currentOwner returns the owner of the shared cells at the latest lookup.
func (r *router) currentOwner() swid.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastOwner
}
