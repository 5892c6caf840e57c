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

	mu   sync.Mutex
	last swid.HostID
	// leaving tells that this host owns nothing any more.
	leaving bool
}

func newRouter(hosts *swnode.HostRouter, self swid.HostID, region swid.RegionID, v *view) *router {
	return &router{HostRouter: hosts, self: self, shared: swid.NewCellID("engines", region), view: v}
}

// Owner implements swholder.Router.
func (r *router) Owner(cell swid.CellID) (host swid.HostID, insist bool) {
	if r.view.local(cell) {
		return r.self, false
	}
	return r.HostRouter.Owner(r.shared)
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

// moved reports whether the owner of the shared cells is another than at the last call.
func (r *router) moved() (owner swid.HostID, moved bool) {
	owner, _ = r.HostRouter.Owner(r.shared)
	r.mu.Lock()
	defer r.mu.Unlock()
	moved = owner != r.last
	r.last = owner
	return owner, moved
}
