package swelect

import (
	"cmp"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// retryTime is how long a host that could not be reached is passed over.
const retryTime = 2 * swclock.Second

// Term is one host's time as owner of a cell.
type Term struct {
	Epoch swid.Epoch
	Owner swid.HostID
}

// Compare orders two terms of a cell: by epoch, and among two hosts that took the
// cell over under the same epoch by their rank for it. All holders order alike.
func (t Term) Compare(cell swid.CellID, other Term) int {
	if t == other {
		return 0
	}
	return cmp.Or(
		cmp.Compare(t.Epoch, other.Epoch),
		cmp.Compare(Score(cell, t.Owner), Score(cell, other.Owner)),
		cmp.Compare(other.Owner, t.Owner),
	)
}

// Choice is the host to ask for a cell's grants.
type Choice struct {
	Host swid.HostID
	// Insist tells that a better-ranked host is out of this host's reach.
	Insist bool
}

// Tracker is a holder's view of who owns one cell.
type Tracker struct {
	self swid.HostID
	cell swid.CellID
	// ranked holds the candidates, the best first.
	ranked []swid.HostID
	// passed holds the hosts that could not be reached, and until when they are passed over.
	passed map[swid.HostID]swclock.Millis
	// seen is the highest term seen; it never falls.
	seen Term
}

// NewTracker returns a tracker that knows only its own host.
func NewTracker(self swid.HostID, cell swid.CellID) *Tracker {
	return &Tracker{self: self, cell: cell, ranked: []swid.HostID{self}, passed: make(map[swid.HostID]swclock.Millis)}
}

// SetCandidates replaces the hosts that may own the cell: the members that are
// neither dead nor leaving.
func (t *Tracker) SetCandidates(candidates []Candidate) {
	t.ranked = RankCandidates(t.cell, candidates)
	present := make(map[swid.HostID]bool, len(t.ranked))
	for _, h := range t.ranked {
		present[h] = true
	}
	for h := range t.passed {
		if !present[h] {
			delete(t.passed, h)
		}
	}
}

// Failed notes that a host could not be reached.
func (t *Tracker) Failed(now swclock.Millis, host swid.HostID) { t.passed[host] = now + retryTime }

// Reached notes that a host was heard from.
func (t *Tracker) Reached(host swid.HostID) { delete(t.passed, host) }

// Choose returns the best-ranked host in reach, and at the end this host itself.
func (t *Tracker) Choose(now swclock.Millis) Choice {
	for i, h := range t.ranked {
		if until, passed := t.passed[h]; h == t.self || !passed || now >= until {
			return Choice{Host: h, Insist: i > 0}
		}
	}
	return Choice{Host: t.self, Insist: len(t.ranked) > 0}
}

// Accept notes the term under which a host grants, gives up, preempts or
// recovers. It returns false for a term below the highest seen: such a message
// is void, and its sender is told of Epoch in a Withdraw.
func (t *Tracker) Accept(from swid.HostID, epoch swid.Epoch) bool {
	term := Term{Epoch: epoch, Owner: from}
	if term.Compare(t.cell, t.seen) < 0 {
		return false
	}
	t.seen = term
	return true
}

// Epoch returns the highest epoch seen. It travels in asks and withdrawals.
func (t *Tracker) Epoch() swid.Epoch { return t.seen.Epoch }
