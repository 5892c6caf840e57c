package swnode

import (
	"sync"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// unresponsivePeriod is how long a host that did not acknowledge a grant request is
// skipped. Within this period a link that receives no data is detected and replaced.
const unresponsivePeriod = swclock.Second

// redialInterval is the time between two dials of an unreachable host.
const redialInterval = 2 * swclock.Second

// Links reports which hosts are connected, and connects to others.
type Links interface {
	Connected(host swid.HostID) bool
	// Dial starts to connect to a host unless there is a link to it.
	Dial(host swid.HostID)
	// HeardAt returns when the link to a host last received anything, and whether there is a link.
	HeardAt(host swid.HostID) (at swclock.Millis, linked bool)
}

// SkipReason is the reason for which a host is not chosen as owner.
type SkipReason uint8

// Reasons for skipping a host.
const (
	SkipNone SkipReason = iota
	SkipLeaving
	SkipUnresponsive
	SkipUnreachable
)

// String returns the reason as it is logged.
func (s SkipReason) String() string {
	return [...]string{"none", "leaving", "unresponsive", "unreachable"}[s]
}

// HostRouter implements Router. It has a tracker for each cell, which ranks the hosts
// that may own the cell. Its methods are safe for concurrent use.
type HostRouter struct {
	self   swid.HostID
	region swid.RegionID
	links  Links
	clock  swclock.Clock
	log    zerolog.Logger

	mu sync.Mutex
	// members is the list from which the candidates of every tracker are taken.
	members  []swmember.Member
	trackers map[swid.CellID]*swelect.Tracker
	// unreachable maps each host that could not be reached to the time of its next
	// dial. A host is skipped until a link to it is up.
	unreachable map[swid.HostID]swclock.Millis
	// unresponsive maps each host that did not acknowledge a grant request to the
	// time until which it is skipped.
	unresponsive map[swid.HostID]swclock.Millis
	// leaving has the hosts whose process is about to stop. Such a host is skipped until
	// SetLeaving records that a later process of the host runs.
	leaving map[swid.HostID]bool
	// epochs has the highest epoch of each cell that was received or issued here. It
	// never decreases.
	epochs map[swid.CellID]swid.Epoch
}

// NewRouter returns a router without members. Until SetMembers, the only candidate is self.
func NewRouter(self swid.HostID, region swid.RegionID, links Links, clock swclock.Clock, log zerolog.Logger) *HostRouter {
	return &HostRouter{
		self: self, region: region, links: links, clock: clock, log: log,
		trackers:     make(map[swid.CellID]*swelect.Tracker),
		unreachable:  make(map[swid.HostID]swclock.Millis),
		unresponsive: make(map[swid.HostID]swclock.Millis),
		leaving:      make(map[swid.HostID]bool),
		epochs:       make(map[swid.CellID]swid.Epoch),
	}
}

// SetMembers replaces the list of members.
func (r *HostRouter) SetMembers(members []swmember.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = members
	for cell, t := range r.trackers {
		t.SetCandidates(r.candidates(cell))
	}
}

// Owner implements swholder.Router and swowner.Router. It returns the best-ranked
// available host, or this host if no better-ranked one is available. noRedirect is set if
// a better-ranked host was skipped: the returned host must then not redirect the grant
// request to that one.
func (r *HostRouter) Owner(cell swid.CellID) (host swid.HostID, noRedirect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	choice := r.tracker(cell).Choose(r.available)
	return choice.Host, choice.NoRedirect
}

// tracker returns the tracker of a cell, creating it if needed. r.mu must be held.
func (r *HostRouter) tracker(cell swid.CellID) *swelect.Tracker {
	t, known := r.trackers[cell]
	if !known {
		t = swelect.NewTracker(r.self, cell)
		t.SetCandidates(r.candidates(cell))
		r.trackers[cell] = t
	}
	return t
}

// candidates returns the members that may own a cell, and this host if the members
// do not list it. r.mu must be held.
func (r *HostRouter) candidates(cell swid.CellID) []swelect.Candidate {
	region := swelect.Region(cell)
	candidates := make([]swelect.Candidate, 0, len(r.members)+1)
	listed := false
	for _, m := range r.members {
		listed = listed || m.Host == r.self
		if m.State == swmsg.MemberAlive || m.State == swmsg.MemberSuspect {
			candidates = append(candidates, swelect.Candidate{Host: m.Host, Local: m.Region == region, Size: m.Size})
		}
	}
	if !listed {
		candidates = append(candidates, swelect.Candidate{Host: r.self, Local: r.region == region})
	}
	return candidates
}

// available reports whether a host may be chosen as owner: it is not leaving, did not
// recently fail to acknowledge a grant request, and has a link if it was unreachable.
// It redials an unreachable host when its next dial is due. r.mu must be held.
func (r *HostRouter) available(host swid.HostID) bool {
	if r.leaving[host] {
		return false
	}
	if until, unresponsive := r.unresponsive[host]; unresponsive {
		if r.clock.Now() < until {
			return false
		}
		delete(r.unresponsive, host)
	}
	next, unreachable := r.unreachable[host]
	if !unreachable {
		return true
	}
	if r.links.Connected(host) {
		delete(r.unreachable, host)
		return true
	}
	if now := r.clock.Now(); now >= next {
		r.unreachable[host] = now + redialInterval
		r.links.Dial(host)
	}
	return false
}

// MarkUnreachable records that a host could not be reached. The host is skipped until a
// link to it is up.
func (r *HostRouter) MarkUnreachable(host swid.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, unreachable := r.unreachable[host]; !unreachable {
		r.unreachable[host] = r.clock.Now() + redialInterval
		r.logSkip(host, SkipUnreachable)
	}
}

// MarkUnresponsive implements swholder.Router. It records that a host did not acknowledge
// a grant request: the host may be paused or overloaded, or the link to it may be broken.
// The host is skipped for unresponsivePeriod.
func (r *HostRouter) MarkUnresponsive(host swid.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, unresponsive := r.unresponsive[host]; !unresponsive {
		r.logSkip(host, SkipUnresponsive)
	}
	r.unresponsive[host] = r.clock.Now() + unresponsivePeriod
}

// logSkip logs that a host is skipped from now on, with the age of the latest data from it.
func (r *HostRouter) logSkip(host swid.HostID, reason SkipReason) {
	heardAt, linked := r.links.HeardAt(host)
	e := r.log.Info().Str("peer", string(host)).Str("reason", reason.String()).Bool("linked", linked)
	if linked {
		e = e.Int64("sinceHeardMillis", int64(r.clock.Now()-heardAt))
	}
	e.Msg("host skipped as owner")
}

// SkipReason returns the reason for which a host is skipped at present.
func (r *HostRouter) SkipReason(host swid.HostID) SkipReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving[host] {
		return SkipLeaving
	}
	if until, unresponsive := r.unresponsive[host]; unresponsive && r.clock.Now() < until {
		return SkipUnresponsive
	}
	if _, unreachable := r.unreachable[host]; unreachable {
		return SkipUnreachable
	}
	return SkipNone
}

// SetLeaving records that a host's process is about to stop, or, if leaving is false, that
// a later process of the host runs.
func (r *HostRouter) SetLeaving(host swid.HostID, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.leaving[host] = true
		return
	}
	delete(r.leaving, host)
}

// ObserveEpoch implements swholder.Router. It records an epoch that was received for a cell.
func (r *HostRouter) ObserveEpoch(cell swid.CellID, epoch swid.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epochs[cell] = max(r.epochs[cell], epoch)
}

// NextEpoch implements swowner.Router. It returns an epoch above all that were received
// or issued here for the cell.
func (r *HostRouter) NextEpoch(cell swid.CellID) swid.Epoch {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epochs[cell]++
	return r.epochs[cell]
}
