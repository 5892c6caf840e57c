package swfleet

import (
	"context"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/core/swvalue"
	"github.com/sassafraswing/sassafraswing/internal/owner/swowner"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// newCore makes the core of a cell.
func (f *Fleet) newCore(cell swid.CellID, _ func(swcell.Violation)) swowner.Core {
	config := swvalue.Config{Seed: uint64(f.self.Incarnation) ^ uint64(len(f.self.Host))<<32}
	if !f.view.local(cell) {
		config.Ledger = f.ledger
	}
	return swvalue.New(config, swvalue.Fastest{}, swvalue.ByWorth{})
}

// adapter makes the adapter of a target.
func (f *Fleet) adapter(t swdoc.Target, _ swdoc.ServiceKind) swtarget.Adapter {
	return f.platform.Target(t.ID, t.URL, f.view.eventTokens(t.Service))
}

// catalogChanged brings a configuration into force.
func (f *Fleet) catalogChanged(items []swwatch.Item[*swcatalog.Catalog]) {
	for _, item := range items {
		table := swcatalog.NewTable(item.Value)
		if !f.view.setTable(table) {
			continue
		}
		f.ledger.Configure(f.quotasOf(item.Value))
		f.gate.Configure(table)
		f.log.Info().
			Uint64("configVersion", uint64(item.Value.Version)).Uint64("revision", uint64(item.Revision)).
			Int("routes", len(item.Value.Routes)).Int("organisations", len(item.Value.Organisations)).
			Msg("configuration in force")
		f.configure()
	}
}

// toleranceUse is the part of the operators' tolerance that is admitted in any
// case, so that nothing within a quota is refused. The rest is left to what
// several owners admit at once.
const toleranceUse = 0.5

// quotasOf returns what each organisation is admitted.
func (f *Fleet) quotasOf(c *swcatalog.Catalog) map[swid.OrgID]swquota.Limit {
	s := f.bounds.Load()
	above := 1 + toleranceUse*s.QuotaOverage
	limits := make(map[swid.OrgID]swquota.Limit, len(c.Organisations))
	for _, o := range c.Organisations {
		if o.Quota.Rate > 0 {
			limits[o.ID] = swquota.Limit{
				Rate: above * o.Quota.Rate, Burst: above*o.Quota.Burst + toleranceUse*s.QuotaSlack,
			}
		}
	}
	return limits
}

// targetsChanged brings a list of targets into force.
func (f *Fleet) targetsChanged(items []swwatch.Item[swcatalog.Target]) {
	f.view.setTargets(items)
	draining := 0
	for _, item := range items {
		if item.Value.Draining {
			draining++
		}
	}
	f.log.Info().Int("targets", len(items)).Int("draining", draining).Uint64("revision", uint64(latest(items))).Msg("targets changed")
	f.configure()
}

// latest returns the highest revision.
func latest[T any](items []swwatch.Item[T]) swwatch.Revision {
	var revision swwatch.Revision
	for _, item := range items {
		revision = max(revision, item.Revision)
	}
	return revision
}

// configure tells the parts that dispatch of what is in force.
func (f *Fleet) configure() {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	d := f.view.document()
	if d == nil {
		return
	}
	f.metrics.Configure(d)
	f.pool.Configure(d)
	f.owner.Configure(d)
}

// hostsChanged brings a list of hosts into force.
func (f *Fleet) hostsChanged(items []swwatch.Item[swcatalog.Host]) {
	f.view.setHosts(items)
	f.router.SetMembers(f.view.Members())
	f.retries.share(len(items))
	f.ledger.SetHosts(len(items))
	f.log.Info().Int("hosts", len(items)).Uint64("revision", uint64(latest(items))).Msg("hosts changed")
	f.ownerMayHaveMoved()
}

// ownerMayHaveMoved asks the new owner for what waits.
func (f *Fleet) ownerMayHaveMoved() {
	if f.router.refresh() {
		f.holder.Reroute()
	}
}

// linkUp ends the accounts of the peer's earlier process.
func (f *Fleet) linkUp(peer swlink.Peer) {
	if peer.Incarnation > 0 {
		f.owner.HolderGone(swlink.Peer{Host: peer.Host, Incarnation: peer.Incarnation - 1})
		f.router.SetLeaving(peer.Host, false)
	}
	f.owner.LinkUp(peer)
	f.ownerMayHaveMoved()
}

// linkDown has the parts repeat what may have been lost with a link.
func (f *Fleet) linkDown(peer swlink.Peer) {
	if peer.Incarnation == 0 {
		f.router.Unreachable(peer.Host)
	} else {
		f.owner.LinkDown(peer)
	}
	if peer.Host == f.router.current() {
		f.unattached.Store(true)
	}
	f.ownerMayHaveMoved()
	f.holder.LinkDown(peer.Host)
}

// noWatcher implements swowner.Watcher: what targets report is late and priced,
// and a cell's own account is exact.
type noWatcher struct{}

// Watch implements swowner.Watcher.
func (noWatcher) Watch(context.Context, swid.CellID, []swdoc.Target, func(swcell.Event)) {}
