package swnode

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// silentTime is how long a host is passed over that did not acknowledge an ask.
// A silent link is found and replaced within it.
const silentTime = swclock.Second

// redialInterval is the time between two dials of a host that is passed over.
const redialInterval = 2 * swclock.Second

// Links tells which hosts are in reach, and tries to reach others.
type Links interface {
	Connected(host swid.HostID) bool
	// Dial starts to connect to a host, unless there is a link.
	Dial(host swid.HostID)
}

// HostRouter implements Router with a tracker for each cell. Its methods are
// safe for concurrent use.
type HostRouter struct {
	self   swid.HostID
	region swid.RegionID
	links  Links
	clock  swclock.Clock

	mu sync.Mutex
	// members is the list that the trackers were last given.
	members  []swmember.Member
	trackers map[swid.CellID]*swelect.Tracker
	// passed has the hosts that could not be reached, and when each is dialled
	// next. One is passed over until a link to it is up.
	passed map[swid.HostID]swclock.Millis
	// silent has the hosts that did not acknowledge an ask, and until when each is passed over.
	silent map[swid.HostID]swclock.Millis
	// left has the hosts whose process is about to stop. One is passed over until
	// a later process of it is heard of.
	left map[swid.HostID]bool
	// epochs has the highest epoch heard of each cell; none falls.
	epochs map[swid.CellID]swid.Epoch
}

// NewRouter returns the router of a host that knows no other.
func NewRouter(self swid.HostID, region swid.RegionID, links Links, clock swclock.Clock) *HostRouter {
	return &HostRouter{
		self: self, region: region, links: links, clock: clock,
		trackers: make(map[swid.CellID]*swelect.Tracker),
		passed:   make(map[swid.HostID]swclock.Millis),
		silent:   make(map[swid.HostID]swclock.Millis),
		left:     make(map[swid.HostID]bool),
		epochs:   make(map[swid.CellID]swid.Epoch),
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
	choice := r.tracker(cell).Choose(r.inReach)
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

// inReach trusts a host unless it could not be reached and is not back. It needs r.mu.
func (r *HostRouter) inReach(host swid.HostID) bool {
	if r.left[host] {
		return false
	}
	if until, silent := r.silent[host]; silent {
		if r.clock.Now() < until {
			return false
		}
		delete(r.silent, host)
	}
	next, passed := r.passed[host]
	if !passed {
		return true
	}
	if r.links.Connected(host) {
		delete(r.passed, host)
		return true
	}
	if now := r.clock.Now(); now >= next {
		r.passed[host] = now + redialInterval
		r.links.Dial(host)
	}
	return false
}

// Unreachable notes that a host could not be reached just now.
func (r *HostRouter) Unreachable(host swid.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, passed := r.passed[host]; !passed {
		r.passed[host] = r.clock.Now() + redialInterval
	}
}

// Silent implements swholder.Router. The host may be paused or overloaded, or
// its link may have gone silent, so that it is passed over for a while.
func (r *HostRouter) Silent(host swid.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[host] = r.clock.Now() + silentTime
}

// SetLeaving notes that a host's process is about to stop, or that a later one runs.
func (r *HostRouter) SetLeaving(host swid.HostID, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.left[host] = true
		return
	}
	delete(r.left, host)
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
