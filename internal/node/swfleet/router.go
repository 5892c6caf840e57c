package swfleet

import (
	"slices"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swreach"
	"github.com/sassafraswing/sassafraswing/internal/node/swnode"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// router determines the owner of a cell. This host owns its local cells (see
// view.scheduledByEachHost). All other cells, called shared, have one common owner. That owner grants
// the requests with nearly all of the usage that counts towards an organisation's quota:
// requests of local cells use few tokens.
type router struct {
	*swnode.HostRouter
	self swid.HostID
	// sharedCell is the cell ID for which the hosts are ranked to find the owner of all
	// shared cells. It stands for all of them.
	sharedCell swid.CellID
	view       *view
	// paths has the services of which this host reaches no target: their requests are scheduled by the common owner, who
	// knows which hosts can carry them.
	paths *swreach.Paths
	// onOwnerChange is called with mu held when the owner of the shared cells
	// changes. skipped is the reason for which the previous owner is skipped, if it
	// is. onOwnerChange must not block or call the router.
	onOwnerChange func(before, owner swid.HostID, skipped swnode.SkipReason)

	mu sync.Mutex
	// lastOwner is the owner of the shared cells at the latest lookup.
	lastOwner swid.HostID
	// selfLeaving is set by leave.
	selfLeaving bool
}

func newRouter(hosts *swnode.HostRouter, self swid.HostID, region swid.RegionID, v *view, paths *swreach.Paths, onOwnerChange func(before, owner swid.HostID, skipped swnode.SkipReason)) *router {
	return &router{HostRouter: hosts, self: self, sharedCell: swid.NewCellID("engines", region), view: v, paths: paths, onOwnerChange: onOwnerChange}
}

// Owner implements swholder.Router.
func (r *router) Owner(cell swid.CellID) (host swid.HostID, noRedirect bool) {
	if r.view.scheduledByEachHost(cell) && !r.paths.Cut(swelect.Service(cell)) {
		return r.self, false
	}
	return r.sharedOwner()
}

// leave marks this host as leaving, so that it owns the shared cells only while no other
// host is available.
func (r *router) leave() {
	r.mu.Lock()
	r.selfLeaving = true
	r.mu.Unlock()
	r.SetMembers(r.view.Members())
}

// SetMembers replaces the list of hosts. Once this host is leaving, SetMembers marks this
// host's entry as leaving.
func (r *router) SetMembers(members []swmember.Member) {
	r.mu.Lock()
	leaving := r.selfLeaving
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

// refresh looks up the owner of the shared cells and reports whether that host differs
// from the owner at the previous lookup.
func (r *router) refresh() bool {
	r.mu.Lock()
	before := r.lastOwner
	r.mu.Unlock()
	owner, _ := r.sharedOwner()
	return owner != before
}

// sharedOwner returns the owner of the shared cells. If the owner has changed,
// sharedOwner calls onOwnerChange before it returns, so that this host's registration
// reaches the new owner before any grant request does.
func (r *router) sharedOwner() (owner swid.HostID, noRedirect bool) {
	owner, noRedirect = r.HostRouter.Owner(r.sharedCell)
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner != r.lastOwner {
		before := r.lastOwner
		r.lastOwner = owner
		r.onOwnerChange(before, owner, r.SkipReason(before))
	}
	return owner, noRedirect
}

// currentOwner returns the owner of the shared cells at the latest lookup.
func (r *router) currentOwner() swid.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastOwner
}
