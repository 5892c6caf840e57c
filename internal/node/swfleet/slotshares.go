package swfleet

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
)

// registeredAge is how old the set of registered hosts may be that slotShares uses.
const registeredAge = 50 * swclock.Millis(1)

// slotShares divides the slots of brittle targets among the owners: each may grant its own and those of the hosts that
// are registered with it. While all are, these are all slots. It is safe for concurrent use.
type slotShares struct {
	mu sync.Mutex
	// deal is nil until the hosts are listed.
	deal *swlimit.Deal
	// registered has the hosts that were registered with this owner at readAt, and is nil if it has to be read.
	registered map[swid.HostID]bool
	readAt     swclock.Millis
}

func (s *slotShares) setHosts(members []swmember.Member) {
	hosts := make([]swid.HostID, len(members))
	for i, m := range members {
		hosts[i] = m.Host
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deal, s.registered = swlimit.NewDeal(hosts), nil
}

// grantable returns how many of a target's slots the owner with a ledger may grant.
func (s *slotShares) grantable(target swid.TargetID, slots int, owner swid.HostID, ledger *swquota.Ledger, now swclock.Millis) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deal == nil {
		return slots
	}
	if s.registered == nil || now-s.readAt >= registeredAge {
		s.registered, s.readAt = ledger.Registered(now), now
	}
	return s.deal.Slots(target, slots, func(h swid.HostID) bool { return h == owner || s.registered[h] })
}

// grantableSlots returns how many of the slots of a brittle target this host may grant as an owner.
func (h *Host) grantableSlots(target swid.TargetID, slots int) int {
	return h.slotShares.grantable(target, slots, h.self.Host, h.ledger, h.clock.Now())
}
