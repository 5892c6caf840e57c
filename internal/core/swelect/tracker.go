package swelect

import "github.com/sassafraswing/sassafraswing/internal/core/swid"

// Choice is the host to which a cell's grant requests are sent.
type Choice struct {
	Host swid.HostID
	// NoRedirect is set if better-ranked hosts are Unavailable to this host and none is
	// Doubtful, so that the chosen host does not redirect the request to one of them.
	NoRedirect bool
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

// Tracker caches the ranking of one cell's hosts until the members change.
type Tracker struct {
	self swid.HostID
	cell swid.CellID
	// ranked holds the candidates, the best first.
	ranked []swid.HostID
}

// NewTracker returns a tracker whose only candidate is this host.
func NewTracker(self swid.HostID, cell swid.CellID) *Tracker {
	return &Tracker{self: self, cell: cell, ranked: []swid.HostID{self}}
}

// SetCandidates replaces the hosts that may own the cell: the members that are
// neither dead nor leaving.
func (t *Tracker) SetCandidates(candidates []Candidate) {
	t.ranked = RankCandidates(t.cell, candidates)
}

// Choose returns the best-ranked available host, or this host if there is none.
func (t *Tracker) Choose(availability func(swid.HostID) Availability) Choice {
	doubtful := false
	for i, h := range t.ranked {
		found := Available
		if h != t.self {
			found = availability(h)
		}
		if found == Available {
			return Choice{Host: h, NoRedirect: i > 0 && !doubtful}
		}
		doubtful = doubtful || found == Doubtful
	}
	return Choice{Host: t.self, NoRedirect: len(t.ranked) > 0}
}
