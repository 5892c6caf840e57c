package swelect

import "github.com/sassafraswing/sassafraswing/internal/core/swid"

// Choice is the host to which a cell's grant requests are sent.
type Choice struct {
	Host swid.HostID
	// NoRedirect is set if better-ranked hosts are unavailable to this host, so that
	// the chosen host does not redirect the request to one of them.
	NoRedirect bool
}

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
func (t *Tracker) Choose(available func(swid.HostID) bool) Choice {
	for i, h := range t.ranked {
		if h == t.self || available(h) {
			return Choice{Host: h, NoRedirect: i > 0}
		}
	}
	return Choice{Host: t.self, NoRedirect: len(t.ranked) > 0}
}
