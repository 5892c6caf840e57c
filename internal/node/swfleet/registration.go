package swfleet

import (
	"context"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
	"github.com/sassafraswing/sassafraswing/internal/node/swnode"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// recordUsage adds the charge of a granted request to this host's record of the
// organisation's quota usage. The owner of the shared cells (see router) has already
// accounted for the requests that it charges. The usage of the others is reported to that
// owner with the next registration.
func (h *Host) recordUsage(r *swholder.Request) {
	accounted := h.view.chargedByOwner(r.Cell)
	if !h.granted.Swap(true) {
		h.log.Info().Int64("sinceStartMillis", int64(h.clock.Now())).Msg("first grant")
	}
	h.meter.Add(r.Org, float64(r.Charge), accounted, h.clock.Now())
}

// ownerChanged cancels this host's registration with the previous owner of the
// shared cells and registers with the new one, reporting the full quota usage of
// this host's requests.
func (h *Host) ownerChanged(before, owner swid.HostID, skipped swnode.SkipReason) {
	h.log.Info().Str("owner", string(owner)).Str("before", string(before)).Str("skipped", skipped.String()).
		Int("members", len(h.view.Members())).Msg("owner of the shared cells changed")
	if before != "" {
		h.exchange.Send(before, swmsg.Registration{Leaving: true})
	}
	h.registerWithOwner(owner, true)
}

// registerWithOwner sends a registration to owner. The message reports that this host
// sends its grant requests to that owner, the quota usage of this host's requests, and the
// strikes and rate limits of its local cells. A complete registration has the usage of the
// whole window, the recent strikes and all rate limits that this host knows; any other has only
// what was not yet reported to an owner.
func (h *Host) registerWithOwner(owner swid.HostID, complete bool) {
	m := swmsg.Registration{
		Complete: complete, Age: h.clock.Now() - h.started, Scheduling: h.view.scheduling(), RateLimits: h.rateLimitsToReport(complete),
		Contention: h.contentionMeter.Take(), Cut: h.paths.CutServices(), Reached: h.pathProber.takeReached(), StoreQuestion: h.askStoreState(owner),
	}
	if after, era, wanted := h.targets.Wanted(); wanted {
		m.TargetsAfter, m.TargetsEra = after, era
	}
	if complete {
		m.Amounts = amountsOf(h.meter.All(h.clock.Now()))
		m.Outcomes = h.outcomes.recent(h.clock.Now())
		m.Streams = h.origins.Recent(swcodec.MaxBegunStreams, h.clock.Now())
	} else {
		m.Amounts = amountsOf(h.meter.Unreported())
	}
	sent := h.strikeLog.report(complete, h.clock.Now(), func(strikes []swmsg.Strike) bool {
		m.Strikes = strikes
		return h.exchange.Send(owner, m)
	})
	h.needsCompleteRegistration.Store(complete && !sent)
}

func amountsOf(amounts []swquota.Amount) []swmsg.Amount {
	converted := make([]swmsg.Amount, len(amounts))
	for i, a := range amounts {
		converted[i] = swmsg.Amount{Org: a.Org, Age: a.Age, Value: int64(a.Value)}
	}
	return converted
}

// announceLeaving notifies every connected host that this one is leaving, so that
// those hosts send their grant requests to another one.
func (h *Host) announceLeaving() {
	for _, m := range h.view.Members() {
		if m.Host != h.self.Host && h.exchange.Connected(m.Host) {
			h.exchange.Send(m.Host, swmsg.Leaving{})
		}
	}
}

// renewRegistration registers with the current owner at a fixed interval, and when
// requestRegistration is called, until ctx ends. It also applies the owner's decisions on
// scheduling.
func (h *Host) renewRegistration(ctx context.Context) {
	ticker := time.NewTicker(swquota.RegistrationInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-h.registrationRequested:
		case o := <-h.schedulingOrders:
			h.applyScheduling(o)
			continue
		case <-ctx.Done():
			return
		}
		h.paths.Review()
		h.pathProber.lookIfWanted()
		h.refreshOwner()
		h.registerWithOwner(h.router.currentOwner(), h.needsCompleteRegistration.Load())
		h.logShareChange()
	}
}

// requestRegistration makes renewRegistration register now.
func (h *Host) requestRegistration() {
	select {
	case h.registrationRequested <- struct{}{}:
	default: // already requested
	}
}

// reportContention makes the host register now if the owner may not know yet that requests of plain services find no room.
func (h *Host) reportContention() {
	if h.view.scheduling() == swmsg.SchedulingEach && h.earlyContention.Due(h.clock.Now()) {
		h.requestRegistration()
	}
}

// logShareChange logs the share of the quotas that this host admits when the number
// of hosts registered with it has changed.
func (h *Host) logShareChange() {
	share, hosts := h.ledger.Share(h.clock.Now())
	if hosts == h.loggedHostCount {
		return
	}
	h.loggedHostCount = hosts
	h.log.Info().Float64("share", share).Int("attachedHosts", hosts).Msg("registered hosts changed")
}

// registrationReceiver receives the registrations and leave notices of other hosts, and the
// owner's decision on scheduling and what it holds of the store.
// It implements swexchange.Receiver.
type registrationReceiver struct{ host *Host }

// Receive implements swexchange.Receiver.
func (r registrationReceiver) Receive(from swlink.Peer, m swmsg.Message) {
	h := r.host
	if _, leaving := m.(swmsg.Leaving); leaving {
		h.log.Info().Str("peer", string(from.Host)).Uint64("incarnation", uint64(from.Incarnation)).Msg("host is leaving")
		h.router.SetLeaving(from.Host, true)
		h.carriers.Remove(from.Host)
		h.refreshOwner()
		return
	}
	if scheduling, ok := m.(swmsg.SharedCells); ok {
		h.receiveScheduling(from, scheduling)
		return
	}
	if state, ok := m.(swmsg.StoreState); ok {
		h.receiveStoreState(from, state)
		return
	}
	if list, ok := m.(swmsg.TargetList); ok {
		h.receiveTargets(list)
		return
	}
	registration, ok := m.(swmsg.Registration)
	if !ok {
		return
	}
	process := swquota.Process{Host: from.Host, Incarnation: from.Incarnation}
	if registration.Leaving {
		h.ledger.Deregister(process)
		h.owner.HolderLeft(from.Host)
		return
	}
	if registration.Complete {
		h.owner.HolderJoined(from.Host)
		h.receiveOutcomes(from, registration.Outcomes)
	}
	amounts := make([]swquota.Amount, len(registration.Amounts))
	for i, v := range registration.Amounts {
		amounts[i] = swquota.Amount{Org: v.Org, Age: v.Age, Value: float64(v.Value)}
	}
	h.ledger.Register(process, registration.Age, registration.Complete, amounts, h.clock.Now())
	if change, begins := h.contention.Add(registration.Contention, h.clock.Now()); begins {
		h.log.Info().Float64("granted", change.Granted).Float64("contended", change.Contended).Str("peer", string(from.Host)).
			Msg("targets of plain services are contended")
	}
	h.updateCarrier(from.Host, registration.Cut)
	for _, target := range registration.Reached {
		h.owner.TargetHeard(target, from.Host)
	}
	h.receiveStrikes(from, registration.Strikes)
	h.receiveRateLimits(from, registration.RateLimits)
	for _, b := range registration.Streams {
		h.origins.Add(b, h.clock.Now())
	}
	h.replyScheduling(from, &registration)
	h.replyStoreState(from, &registration)
	h.sendTargets(from.Host, registration.TargetsAfter, registration.TargetsEra)
}
