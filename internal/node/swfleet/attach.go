package swfleet

import (
	"context"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// recordUsage adds a request's charge to this host's record of its organisation's
// quota usage. The owner of the shared cells has accounted for requests of those
// cells; usage in local cells is reported with the next registration.
func (f *Fleet) recordUsage(r *swholder.Request) {
	accounted := !f.view.local(r.Cell)
	f.meter.Add(r.Org, float64(r.Charge), accounted, f.clock.Now())
}

// ownerChanged cancels this host's registration with the previous owner of the
// shared cells and registers with the new one, reporting the full quota usage of
// this host's requests.
func (f *Fleet) ownerChanged(before, owner swid.HostID) {
	f.log.Info().Str("owner", string(owner)).Str("before", string(before)).Msg("owner of the shared cells changed")
	if before != "" {
		f.exchange.Send(before, swmsg.Attach{Leaving: true})
	}
	f.registerWithOwner(owner, true)
}

// registerWithOwner sends owner a registration: a message that this host sends its
// grant requests there, with quota usage. A fresh registration reports the usage of
// the whole window; any other reports only usage not yet reported to an owner.
func (f *Fleet) registerWithOwner(owner swid.HostID, fresh bool) {
	m := swmsg.Attach{Fresh: fresh, Age: f.clock.Now() - f.started}
	if fresh {
		m.Amounts = amountsOf(f.meter.All(f.clock.Now()))
	} else {
		m.Amounts = amountsOf(f.meter.Unreported())
	}
	sent := f.exchange.Send(owner, m)
	f.needsFreshRegistration.Store(fresh && !sent)
}

func amountsOf(amounts []swquota.Amount) []swmsg.Amount {
	converted := make([]swmsg.Amount, len(amounts))
	for i, a := range amounts {
		converted[i] = swmsg.Amount{Org: a.Org, Age: a.Age, Value: int64(a.Value)}
	}
	return converted
}

// announceLeaving notifies every connected host that this one is leaving, so that
// they send their grant requests to another host.
func (f *Fleet) announceLeaving() {
	for _, m := range f.view.Members() {
		if m.Host != f.self.Host && f.exchange.Connected(m.Host) {
			f.exchange.Send(m.Host, swmsg.Leaving{})
		}
	}
}

// renewRegistration registers with the current owner at a fixed interval until ctx ends.
func (f *Fleet) renewRegistration(ctx context.Context) {
	ticker := time.NewTicker(swquota.RegistrationInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.refreshOwner()
			f.registerWithOwner(f.router.currentOwner(), f.needsFreshRegistration.Load())
			f.logShareChange()
		case <-ctx.Done():
			return
		}
	}
}

// logShareChange logs the share of the quotas that this host admits when the number
// of hosts registered with it has changed.
func (f *Fleet) logShareChange() {
	share, hosts := f.ledger.Share(f.clock.Now())
	if hosts == f.loggedHostCount {
		return
	}
	f.loggedHostCount = hosts
	f.log.Info().Float64("share", share).Int("attachedHosts", hosts).Msg("hosts that ask this one changed")
}

// registrationReceiver receives the registrations and leave notices of other hosts.
// It implements swexchange.Receiver.
type registrationReceiver struct{ fleet *Fleet }

// Receive implements swexchange.Receiver.
func (r registrationReceiver) Receive(from swlink.Peer, m swmsg.Message) {
	f := r.fleet
	if _, leaving := m.(swmsg.Leaving); leaving {
		f.log.Info().Str("peer", string(from.Host)).Uint64("incarnation", uint64(from.Incarnation)).Msg("host is leaving")
		f.router.SetLeaving(from.Host, true)
		f.refreshOwner()
		return
	}
	attach, ok := m.(swmsg.Attach)
	if !ok {
		return
	}
	process := swquota.Process{Host: from.Host, Incarnation: from.Incarnation}
	if attach.Leaving {
		f.ledger.Deregister(process)
		return
	}
	amounts := make([]swquota.Amount, len(attach.Amounts))
	for i, v := range attach.Amounts {
		amounts[i] = swquota.Amount{Org: v.Org, Age: v.Age, Value: float64(v.Value)}
	}
	f.ledger.Register(process, attach.Age, attach.Fresh, amounts, f.clock.Now())
}
