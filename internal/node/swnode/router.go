package swnode

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// HostRouter implements Router with a tracker for each cell. Its methods are
// safe for concurrent use.
type HostRouter struct {
	self   swid.HostID
	region swid.RegionID
	clock  swclock.Clock

	mu sync.Mutex
	// members is the list that the trackers were last given.
	members  []swmember.Member
	trackers map[swid.CellID]*swelect.Tracker
	// epochs has the highest epoch heard of each cell; none falls.
	epochs map[swid.CellID]swid.Epoch
}

// NewRouter returns the router of a host that knows no other.
func NewRouter(self swid.HostID, region swid.RegionID, clock swclock.Clock) *HostRouter {
	return &HostRouter{
		self: self, region: region, clock: clock,
		trackers: make(map[swid.CellID]*swelect.Tracker), epochs: make(map[swid.CellID]swid.Epoch),
	}
}

// SetMembers brings a list of members into force.
func (r *HostRouter) SetMembers(members []swmember.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = members
	for cell, t := range r.trackers {
		t.SetCandidates(r.candidates(cell))
	}
}

// Owner implements swholder.Router: the best-ranked living host in reach, and
// this host if there is no better one.
func (r *HostRouter) Owner(cell swid.CellID) (host swid.HostID, insist bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	choice := r.tracker(cell).Choose(r.clock.Now())
	return choice.Host, choice.Insist
}

// tracker needs r.mu.
func (r *HostRouter) tracker(cell swid.CellID) *swelect.Tracker {
	t, known := r.trackers[cell]
	if !known {
		t = swelect.NewTracker(r.self, cell)
		t.SetCandidates(r.candidates(cell))
		r.trackers[cell] = t
	}
	return t
}

// candidates returns the members that may own a cell. It needs r.mu.
func (r *HostRouter) candidates(cell swid.CellID) []swelect.Candidate {
	region := swelect.Region(cell)
	candidates := make([]swelect.Candidate, 0, len(r.members)+1)
	listed := false
	for _, m := range r.members {
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

// Unreachable notes that a host could not be reached just now.
func (r *HostRouter) Unreachable(host swid.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.trackers {
		t.Failed(r.clock.Now(), host)
	}
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
