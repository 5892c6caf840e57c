package swelect

import "github.com/sassafraswing/sassafraswing/internal/core/swid"

// Choice is the host to ask for a cell's grants.
type Choice struct {
	Host swid.HostID
	// Insist tells that a better-ranked host is out of this host's reach.
	Insist bool
}

// Tracker keeps the ranking of one cell's hosts until the members change.
type Tracker struct {
	self swid.HostID
	cell swid.CellID
	// ranked holds the candidates, the best first.
	ranked []swid.HostID
}

// NewTracker returns a tracker that knows only its own host.
func NewTracker(self swid.HostID, cell swid.CellID) *Tracker {
	return &Tracker{self: self, cell: cell, ranked: []swid.HostID{self}}
}

// SetCandidates replaces the hosts that may own the cell: the members that are
// neither dead nor leaving.
func (t *Tracker) SetCandidates(candidates []Candidate) {
	t.ranked = RankCandidates(t.cell, candidates)
}

// Choose returns the best-ranked host in reach, and at the end this host itself.
func (t *Tracker) Choose(inReach func(swid.HostID) bool) Choice {
	for i, h := range t.ranked {
		if h == t.self || inReach(h) {
			return Choice{Host: h, Insist: i > 0}
		}
	}
	return Choice{Host: t.self, Insist: len(t.ranked) > 0}
}
