package swnode

import (
	"sync"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// silenceLimit is how long a sign of life of a host may be overdue before another host is asked
// whether it should take over. It exceeds the delay of a probe's reply and the pauses of a process
// that has used up its share of a processor. A host that is busy for longer loses nothing: the
// next in rank sends grant requests back to it while it hears from it.
const silenceLimit = 400 * swclock.Millis(1)

// vouchPeriod is how long a host is not doubted after another one redirected a grant request to it,
// and so heard from it: as long as that host takes to notice that it has fallen silent.
const vouchPeriod = silenceLimit

// The time between two dials of an unreachable host doubles from minRedialInterval, within which a
// host that is starting accepts links, to maxRedialInterval.
const (
	minRedialInterval = 250 * swclock.Millis(1)
	maxRedialInterval = 2 * swclock.Second
)

// redial is the schedule of the dials of an unreachable host.
type redial struct {
	next     swclock.Millis
	interval swclock.Millis
}

// Links reports which hosts are connected, and connects to others.
type Links interface {
	Connected(host swid.HostID) bool
	// Dial starts to connect to a host unless there is a link to it.
	Dial(host swid.HostID)
	// Liveness returns what was observed of a host.
	Liveness(host swid.HostID) swlink.Liveness
	// Probe asks a host with a link for a sign of life.
	Probe(host swid.HostID)
}

// SkipReason is the reason for which a host is not chosen as owner.
type SkipReason uint8

// Reasons for skipping a host.
const (
	SkipNone SkipReason = iota
	SkipLeaving
	SkipSilent
	SkipUnreachable
)

// String returns the reason as it is logged.
func (s SkipReason) String() string {
	return [...]string{"none", "leaving", "silent", "unreachable"}[s]
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
	// unreachable has the hosts that could not be reached. A host is skipped until a link
	// to it is up.
	unreachable map[swid.HostID]redial
	// silent maps each host whose sign of life is overdue to the time at which that was
	// noticed. Such a host is skipped until something is received from it.
	silent map[swid.HostID]swclock.Millis
	// vouchedUntil maps each host that another one redirected to, and so hears from, to the
	// time until which it is not doubted.
	vouchedUntil map[swid.HostID]swclock.Millis
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
		unreachable:  make(map[swid.HostID]redial),
		silent:       make(map[swid.HostID]swclock.Millis),
		vouchedUntil: make(map[swid.HostID]swclock.Millis),
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
// better-ranked hosts were passed over and none of them may only be busy: the returned
// host must then not redirect the grant request to one of them.
func (r *HostRouter) Owner(cell swid.CellID) (host swid.HostID, noRedirect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	choice := r.tracker(cell).Choose(r.availability, r.clock.Now())
	if choice.Passed != "" {
		r.log.Info().Str("cell", string(cell)).Str("owner", string(choice.Host)).Str("peer", string(choice.Passed)).Msg("owner kept")
	}
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

// availability returns whether a host may be chosen as owner: it is not leaving, has given a sign
// of life if one was overdue, and has a link if it was unreachable. It redials an unreachable
// host when its next dial is due. r.mu must be held.
func (r *HostRouter) availability(host swid.HostID) swelect.Availability {
	if r.leaving[host] {
		return swelect.Unavailable
	}
	if silentAt, silent := r.silent[host]; silent {
		if l := r.links.Liveness(host); l.Linked && l.HeardAt <= silentAt || l.Dialling {
			return swelect.Doubtful
		}
		// The host answered, or its link ended. A host without a link has to be dialled.
		delete(r.silent, host)
		if _, unreachable := r.unreachable[host]; !unreachable {
			r.unreachable[host] = redial{next: r.clock.Now(), interval: minRedialInterval}
		}
	}
	scheduled, unreachable := r.unreachable[host]
	if !unreachable {
		return swelect.Available
	}
	if r.links.Connected(host) {
		delete(r.unreachable, host)
		return swelect.Available
	}
	if now := r.clock.Now(); now >= scheduled.next {
		r.unreachable[host] = redial{now + scheduled.interval, min(2*scheduled.interval, maxRedialInterval)}
		r.links.Dial(host)
	}
	return swelect.Unavailable
}

// MarkUnreachable records that a host could not be reached. The host is skipped until a
// link to it is up.
func (r *HostRouter) MarkUnreachable(host swid.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, unreachable := r.unreachable[host]; !unreachable {
		r.unreachable[host] = redial{r.clock.Now() + minRedialInterval, minRedialInterval}
		r.logSkip(host, SkipUnreachable)
	}
}

// Doubt implements swholder.Router. It records that a host did not acknowledge a grant request in
// time. That alone says nothing: the host may be busy, or this one. The host is skipped once a
// sign of life that it was asked for has been overdue for silenceLimit.
func (r *HostRouter) Doubt(host swid.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	l := r.links.Liveness(host)
	if l.Linked && !l.Probed {
		r.links.Probe(host)
		return
	}
	if l.SilentFor(now) < silenceLimit || now < r.vouchedUntil[host] {
		return
	}
	if _, silent := r.silent[host]; !silent {
		r.silent[host] = now
		r.logSkip(host, SkipSilent)
	}
}

// Vouch implements swholder.Router. It records that another host redirected a grant request to a
// host, and so hears from it. If this host has no link to it, it dials.
func (r *HostRouter) Vouch(host swid.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	delete(r.silent, host)
	r.vouchedUntil[host] = now + vouchPeriod
	if !r.links.Connected(host) {
		r.unreachable[host] = redial{now + minRedialInterval, minRedialInterval}
		r.links.Dial(host)
	}
}

// logSkip logs that a host is skipped from now on, with the age of the latest data from it.
func (r *HostRouter) logSkip(host swid.HostID, reason SkipReason) {
	now, l := r.clock.Now(), r.links.Liveness(host)
	e := r.log.Info().Str("peer", string(host)).Str("reason", reason.String()).Bool("linked", l.Linked).
		Int64("silentMillis", int64(l.SilentFor(now)))
	if l.Linked {
		e = e.Int64("sinceHeardMillis", int64(now-l.HeardAt))
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
	if _, silent := r.silent[host]; silent {
		return SkipSilent
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

// Leaving reports whether a host's process is about to stop.
func (r *HostRouter) Leaving(host swid.HostID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving[host]
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
