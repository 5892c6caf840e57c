package swnode

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// HostRouter implements Router by ranking the members for each cell. Its methods are safe for concurrent use.
type HostRouter struct {
	self    swid.HostID
	region  swid.RegionID
	members swmember.Source
	sender  swlink.Sender
	clock   swclock.Clock

	mu sync.Mutex
	// epochs has the highest epoch heard of each cell; none falls.
	epochs map[swid.CellID]swid.Epoch
	// lost has the hosts whose link was lost, and until when they are passed over.
	lost map[swid.HostID]swclock.Millis
}

// lostTime is how long a host is passed over after its link was lost, unless the link comes back.
const lostTime = 2 * swclock.Second

// NewRouter returns the router of a host.
func NewRouter(self swid.HostID, region swid.RegionID, members swmember.Source, sender swlink.Sender, clock swclock.Clock) *HostRouter {
	return &HostRouter{
		self: self, region: region, members: members, sender: sender, clock: clock,
		epochs: make(map[swid.CellID]swid.Epoch), lost: make(map[swid.HostID]swclock.Millis),
	}
}

// Owner implements swholder.Router: the best-ranked living host in reach, and
// this host if there is no better one.
func (r *HostRouter) Owner(cell swid.CellID) (host swid.HostID, insist bool) {
	for _, h := range swelect.RankCandidates(cell, r.candidates(cell)) {
		if h == r.self || r.inReach(h) {
			return h, insist
		}
		insist = true
	}
	return r.self, insist
}

// candidates returns the members that may own a cell.
func (r *HostRouter) candidates(cell swid.CellID) []swelect.Candidate {
	region := swelect.Region(cell)
	members := r.members.Members()
	candidates := make([]swelect.Candidate, 0, len(members)+1)
	listed := false
	for _, m := range members {
		listed = listed || m.Host == r.self
		if m.State == swmsg.MemberAlive || m.State == swmsg.MemberSuspect {
			candidates = append(candidates, swelect.Candidate{Host: m.Host, Local: m.Region == region})
		}
	}
	if !listed {
		candidates = append(candidates, swelect.Candidate{Host: r.self, Local: r.region == region})
	}
	return candidates
}

// inReach trusts a host unless its link was lost a moment ago and is not back.
func (r *HostRouter) inReach(host swid.HostID) bool {
	r.mu.Lock()
	until, lost := r.lost[host]
	r.mu.Unlock()
	return !lost || r.clock.Now() >= until || r.sender.Connected(host)
}

// LinkDown notes that a host may be out of reach.
func (r *HostRouter) LinkDown(host swid.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[host] = r.clock.Now() + lostTime
}

// Heard implements swholder.Router.
func (r *HostRouter) Heard(cell swid.CellID, epoch swid.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epochs[cell] = max(r.epochs[cell], epoch)
}

// Takeover implements swowner.Router.
func (r *HostRouter) Takeover(cell swid.CellID) swid.Epoch {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epochs[cell]++
	return r.epochs[cell]
}
