package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// TierStatus describes one tier.
type TierStatus struct {
	Waiting int
	Running int
	// Organisations is the number of organisations with waiting requests.
	Organisations int
	// ClosedFor is the remaining time for which the tier is granted nothing because
	// a higher one shed requests.
	ClosedFor swclock.Millis
}

// TargetStatus describes one target. Times are present estimates, in milliseconds.
type TargetStatus struct {
	ID      swid.TargetID
	State   TargetState
	Trust   Trust
	Running int
	// Slots is the number of slots that the cell uses at present: in package swcell
	// those that external load leaves to it, in package swvalue the occupied ones and
	// those that may be granted now.
	Slots int
	// External is the number of requests on the target that the cell did not grant.
	External    int
	PrefillTime float64
	DecodeTime  float64
	ServiceTime float64
}

// Effort counts what a cell has computed since it was created. It is counted in package swvalue only.
type Effort struct {
	// Ranks counts the ranks of requests, Comparisons the looks at a target for a request, and Visits the waiting requests that
	// were looked at to find one of them or the work ahead of one.
	Ranks, Comparisons, Visits uint64
}

// Since returns the effort since an earlier one of the same cell.
func (e Effort) Since(earlier Effort) Effort {
	return Effort{Ranks: e.Ranks - earlier.Ranks, Comparisons: e.Comparisons - earlier.Comparisons, Visits: e.Visits - earlier.Visits}
}

// Snapshot describes a cell for operators.
type Snapshot struct {
	Tiers   []TierStatus
	Targets []TargetStatus
	Effort  Effort
	// AboveShare are the organisations that rank lower because they were granted more than their share, which package swvalue does.
	AboveShare AboveShare
	// RetriesLeft is the rest of the retry budget.
	RetriesLeft float64
	// Violations counts the broken invariants since the cell was created.
	Violations int
}

// AboveShare tells which organisations rank lower.
type AboveShare struct {
	// Count is their number, over all tiers, and Lowest the one with the lowest factor.
	Count  int
	Lowest swid.OrgID
	Tier   swid.Tier
	Factor float64
}

// Snapshot returns the cell's present state.
func (c *Cell) Snapshot() Snapshot {
	s := Snapshot{Tiers: make([]TierStatus, len(c.tiers)), RetriesLeft: c.retryBudget.Left(), Violations: c.violations}
	for i, t := range c.tiers {
		s.Tiers[i] = TierStatus{
			Waiting:       t.queue.Len(),
			Organisations: t.queue.Organisations(),
			ClosedFor:     max(t.closedUntil-c.now, 0),
		}
	}
	for _, r := range c.running {
		s.Tiers[c.tierOf(&r.grantRequest).rank].Running++
	}
	for _, t := range c.targets {
		s.Targets = append(s.Targets, t.status())
	}
	return s
}

func (t *target) status() TargetStatus {
	s := TargetStatus{
		ID: t.conf.ID, State: t.conf.State, Trust: t.trust,
		Running: len(t.runs), Slots: t.usableSlots(), External: t.load.external,
		PrefillTime: t.rates.Prefill.Value(),
		DecodeTime:  t.rates.Decode.Value(),
		ServiceTime: t.rates.Service.Value(),
	}
	switch {
	case !t.reachable:
		s.State = TargetDown
	case !t.listed:
		s.State = TargetDraining
	}
	return s
}

// Served returns the total cost that an organisation was charged for its runs since the
// cell was created, in prompt tokens; an output token counts Config.OutputTokenCost.
func (c *Cell) Served(org swid.OrgID) float64 { return c.served[org] }
