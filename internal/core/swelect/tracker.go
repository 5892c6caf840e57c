package swelect

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// tenure is how long a host has been chosen before it is kept while better-ranked ones become available again.
	tenure = 2 * swclock.Second
	// keepTime bounds the time for which it is kept. It exceeds the time between two dials of an unreachable host.
	keepTime = 2500 * swclock.Millis(1)
)

// Choice is the host to which a cell's grant requests are sent.
type Choice struct {
	Host swid.HostID
	// NoRedirect is set if better-ranked hosts were passed over and none is Doubtful, so that the chosen host
	// does not redirect the request to one of them.
	NoRedirect bool
	// Passed is the better-ranked available host in whose stead Host is kept, if it was not kept before.
	Passed swid.HostID
}

// Availability is what this host has observed of another host.
type Availability uint8

const (
	// Available hosts are assumed to answer.
	Available Availability = iota
	// Unavailable hosts cannot be reached, or are leaving.
	Unavailable
	// Doubtful hosts have not answered for some time. They may be overloaded, and so may be
	// this host or its link. The next host in rank decides whether to take the cell over.
	Doubtful
)

// Tracker chooses the host that owns a cell. It caches the ranking of the hosts until the members change.
type Tracker struct {
	self swid.HostID
	cell swid.CellID
	// ranked holds the candidates, the best first.
	ranked []swid.HostID
	// chosen is the host that was chosen last, and since when it has been.
	chosen swid.HostID
	since  swclock.Millis
	// keptFrom is when chosen was first kept although a better-ranked host was available, or -1 if it is not.
	keptFrom swclock.Millis
}

// NewTracker returns a tracker whose only candidate is this host.
func NewTracker(self swid.HostID, cell swid.CellID) *Tracker {
	return &Tracker{self: self, cell: cell, ranked: []swid.HostID{self}, keptFrom: -1}
}

// SetCandidates replaces the hosts that may own the cell: the members that are
// neither dead nor leaving.
func (t *Tracker) SetCandidates(candidates []Candidate) {
	t.ranked = RankCandidates(t.cell, candidates)
}

// Choose returns the best-ranked available host, or this host if there is none. After a cut, better-ranked hosts become
// available again one by one. A host that was chosen for tenure is kept meanwhile, for up to keepTime, so that
// no other host owns the cell for a moment only.
func (t *Tracker) Choose(availability func(swid.HostID) Availability, now swclock.Millis) Choice {
	rank, choice := t.best(availability)
	switch {
	case choice.Host == t.chosen:
		t.keptFrom = -1
	case t.keeps(rank, availability, now):
		if t.keptFrom < 0 {
			t.keptFrom, choice.Passed = now, choice.Host
		}
		choice.Host = t.chosen
	default:
		t.chosen, t.since, t.keptFrom = choice.Host, now, -1
	}
	return choice
}

// best returns the best-ranked available host, or this host if there is none, and its rank.
func (t *Tracker) best(availability func(swid.HostID) Availability) (rank int, choice Choice) {
	doubtful := false
	for i, h := range t.ranked {
		found := Available
		if h != t.self {
			found = availability(h)
		}
		if found == Available {
			return i, Choice{Host: h, NoRedirect: i > 0 && !doubtful}
		}
		doubtful = doubtful || found == Doubtful
	}
	return len(t.ranked), Choice{Host: t.self, NoRedirect: len(t.ranked) > 0}
}

// keeps reports whether the host that was chosen last is kept although another one is the best available. best is the
// rank of that one.
func (t *Tracker) keeps(best int, availability func(swid.HostID) Availability, now swclock.Millis) bool {
	if best == 0 || slices.Index(t.ranked, t.chosen) < best || now-t.since < tenure {
		return false
	}
	if t.chosen != t.self && availability(t.chosen) != Available {
		return false
	}
	return t.keptFrom < 0 || now-t.keptFrom < keepTime
}
