package swfleet

import (
	"slices"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/node/swnode"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// router names the owner of a cell. All cells of engines have the same owner,
// which therefore sees all that counts much towards an organisation's quota.
type router struct {
	*swnode.HostRouter
	self swid.HostID
	// shared is the name by which the hosts are ranked for all shared cells.
	shared swid.CellID
	view   *view
	// moved is told when the owner of the shared cells changes. It is called with
	// mu held, and does not block.
	moved func(before, owner swid.HostID)

	mu   sync.Mutex
	last swid.HostID
	// leaving tells that this host owns nothing any more.
	leaving bool
}

func newRouter(hosts *swnode.HostRouter, self swid.HostID, region swid.RegionID, v *view, moved func(before, owner swid.HostID)) *router {
	return &router{HostRouter: hosts, self: self, shared: swid.NewCellID("engines", region), view: v, moved: moved}
}

// Owner implements swholder.Router.
func (r *router) Owner(cell swid.CellID) (host swid.HostID, insist bool) {
	if r.view.local(cell) {
		return r.self, false
	}
	return r.shareOwner()
}

// leave has the other hosts own the shared cells.
func (r *router) leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.SetMembers(r.view.Members())
}

// SetMembers brings a list of hosts into force.
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

// refresh reports whether the owner of the shared cells has changed.
func (r *router) refresh() bool {
	r.mu.Lock()
	before := r.last
	r.mu.Unlock()
	owner, _ := r.shareOwner()
	return owner != before
}

// shareOwner returns the owner of the shared cells. A change is told before the
// first ask can reach the new owner.
func (r *router) shareOwner() (owner swid.HostID, insist bool) {
	owner, insist = r.HostRouter.Owner(r.shared)
	r.mu.Lock()
	defer r.mu.Unlock()
	if owner != r.last {
		before := r.last
		r.last = owner
		r.moved(before, owner)
	}
	return owner, insist
}

// current returns the owner that was last named.
func (r *router) current() swid.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}
