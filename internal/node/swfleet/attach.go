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

// used remembers what a request takes of its organisation's quota.
func (f *Fleet) used(r *swholder.Request) {
	accounted := !f.view.local(r.Cell)
	f.meter.Add(r.Org, float64(r.Charge), accounted, f.clock.Now())
}

// ownerMoved attaches this host to the new owner of the shared cells, with all
// that its requests used.
func (f *Fleet) ownerMoved(before, owner swid.HostID) {
	f.log.Info().Str("owner", string(owner)).Str("before", string(before)).Msg("owner of the shared cells changed")
	if before != "" {
		f.exchange.Send(before, swmsg.Attach{Leaving: true})
	}
	f.attach(owner, true)
}

// attach tells the owner that this host asks it.
func (f *Fleet) attach(owner swid.HostID, fresh bool) {
	m := swmsg.Attach{Fresh: fresh, Age: f.clock.Now() - f.started}
	if fresh {
		m.Amounts = amountsOf(f.meter.All(f.clock.Now()))
	} else {
		m.Amounts = amountsOf(f.meter.Untold())
	}
	sent := f.exchange.Send(owner, m)
	f.unattached.Store(fresh && !sent)
}

func amountsOf(amounts []swquota.Amount) []swmsg.Amount {
	converted := make([]swmsg.Amount, len(amounts))
	for i, a := range amounts {
		converted[i] = swmsg.Amount{Org: a.Org, Age: a.Age, Value: int64(a.Value)}
	}
	return converted
}

// tellLeaving has the hosts that ask this one ask another.
func (f *Fleet) tellLeaving() {
	for _, m := range f.view.Members() {
		if m.Host != f.self.Host && f.exchange.Connected(m.Host) {
			f.exchange.Send(m.Host, swmsg.Leaving{})
		}
	}
}

// stayAttached repeats that this host asks its owner until ctx ends.
func (f *Fleet) stayAttached(ctx context.Context) {
	ticker := time.NewTicker(swquota.AttachInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.ownerMayHaveMoved()
			f.attach(f.router.current(), f.unattached.Load())
			f.logShare()
		case <-ctx.Done():
			return
		}
	}
}

// logShare logs a change of the share of the quotas that this host admits.
func (f *Fleet) logShare() {
	share, hosts := f.ledger.Share(f.clock.Now())
	if hosts == f.sharing {
		return
	}
	f.sharing = hosts
	f.log.Info().Float64("share", share).Int("attachedHosts", hosts).Msg("hosts that ask this one changed")
}

// attachments receives what hosts tell of their use. It implements swexchange.Receiver.
type attachments struct{ fleet *Fleet }

// Receive implements swexchange.Receiver.
func (a attachments) Receive(from swlink.Peer, m swmsg.Message) {
	f := a.fleet
	if _, leaving := m.(swmsg.Leaving); leaving {
		f.log.Info().Str("peer", string(from.Host)).Uint64("incarnation", uint64(from.Incarnation)).Msg("host is leaving")
		f.router.SetLeaving(from.Host, true)
		f.ownerMayHaveMoved()
		return
	}
	attach, ok := m.(swmsg.Attach)
	if !ok {
		return
	}
	process := swquota.Process{Host: from.Host, Incarnation: from.Incarnation}
	if attach.Leaving {
		f.ledger.Detach(process)
		return
	}
	amounts := make([]swquota.Amount, len(attach.Amounts))
	for i, v := range attach.Amounts {
		amounts[i] = swquota.Amount{Org: v.Org, Age: v.Age, Value: float64(v.Value)}
	}
	f.ledger.Attach(process, attach.Age, attach.Fresh, amounts, f.clock.Now())
}
