package swfleet

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// adoptionTime is how long a new owner goes on with the scheduling of its predecessor. By then it
// has the records of the hosts and of the store.
const adoptionTime = 5 * swclock.Second

// minChangeAge is the age from which a process that registers has changed its owner, rather than
// chosen its first one.
const minChangeAge = 2 * swclock.Second

// youngAge is the age of a process below which its predecessor may have ended together with all other hosts'.
const youngAge = 10 * swclock.Second

// wantedScheduling returns where the hosts that are registered with this one are to have their
// requests of plain services scheduled. Each host schedules its own, which saves a message to the
// owner and back, unless something has to be counted over all hosts, or may have to as far as this host knows.
func (h *Host) wantedScheduling(now swclock.Millis) swmsg.Scheduling {
	if !h.pathProber.hasAsked() || h.strikes.Active(now) || h.limitsPlainTargets() || h.mixesPlainVersions(now) || h.contention.Contended(now) || h.rollsOutPlain() || now < swclock.Millis(h.adoptedUntil.Load()) {
		return swmsg.SchedulingShared
	}
	return swmsg.SchedulingEach
}

// replyScheduling tells a host that registered with this one if its scheduling is to change.
func (h *Host) replyScheduling(from swlink.Peer, m *swmsg.Registration) {
	now := h.clock.Now()
	if m.Complete && (m.Age >= minChangeAge || now-h.started < youngAge) {
		h.pathProber.askAll()
	}
	if m.Complete && m.Age >= minChangeAge {
		h.refusalKeeper.Wake() // this host may have become the owner
		h.originKeeper.Wake()
	}
	if m.Complete && m.Age >= minChangeAge && m.Scheduling == swmsg.SchedulingShared {
		h.adoptedUntil.Store(int64(now + adoptionTime))
	}
	wanted := h.wantedScheduling(now)
	var check []swid.ServiceID
	if len(m.Cut) == 0 {
		check = h.carriers.CutServices(now)
	}
	if m.Scheduling != 0 && (m.Scheduling != wanted || len(check) > 0) {
		h.exchange.Send(from.Host, swmsg.SharedCells{Scheduling: wanted, CheckReach: check})
	}
}

// schedulingOrder is the scheduling that a host wants this one to have.
type schedulingOrder struct {
	from       swid.HostID
	scheduling swmsg.Scheduling
}

// receiveScheduling passes a message on to renewRegistration. It may be called while the router
// is locked: a host that becomes its own owner registers with itself. An order that finds another
// one unread is dropped, as the next registration is answered again.
func (h *Host) receiveScheduling(from swlink.Peer, m swmsg.SharedCells) {
	h.paths.Suspect(m.CheckReach)
	select {
	case h.schedulingOrders <- schedulingOrder{from.Host, m.Scheduling}:
	default:
	}
}

// applyScheduling applies the scheduling that the owner of the shared cells wants. The requests
// that wait or run are reported to the host that schedules them from now on.
func (h *Host) applyScheduling(o schedulingOrder) {
	if o.from != h.router.currentOwner() || !h.view.setScheduling(o.scheduling) {
		return
	}
	h.log.Info().Bool("shared", o.scheduling == swmsg.SchedulingShared).Str("owner", string(o.from)).
		Msg("scheduling of plain services changed")
	h.holder.Reroute()
}
