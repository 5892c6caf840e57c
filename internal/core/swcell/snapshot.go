package swcell

import "github.com/sassafraswing/sassafraswing/internal/core/swid"

// TierCount counts the requests of one tier.
type TierCount struct {
	Waiting int
	Running int
}

// TargetStatus describes one target for operators.
type TargetStatus struct {
	ID      swid.TargetID
	State   TargetState
	Running int
	Slots   int
}

// Snapshot describes a cell for operators.
type Snapshot struct {
	Tiers   []TierCount
	Targets []TargetStatus
	// Violations counts the broken invariants since the start.
	Violations int
}

// Snapshot returns the cell's present state.
func (c *Cell) Snapshot() Snapshot {
	s := Snapshot{Tiers: make([]TierCount, len(c.tiers)), Violations: c.violations}
	for i, t := range c.tiers {
		s.Tiers[i].Waiting = t.Len()
	}
	for _, r := range c.running {
		s.Tiers[c.tierOf(&r.ask)].Running++
	}
	for _, t := range c.targets {
		state := t.conf.State
		switch {
		case !t.reachable:
			state = TargetDown
		case !t.listed:
			state = TargetDraining
		}
		s.Targets = append(s.Targets, TargetStatus{ID: t.conf.ID, State: state, Running: len(t.runs), Slots: t.conf.Slots})
	}
	return s
}
