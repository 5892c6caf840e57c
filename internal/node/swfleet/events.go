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

// newCore returns the scheduling core of a cell. Only shared cells enforce quotas.
func (f *Fleet) newCore(cell swid.CellID, _ func(swcell.Violation)) swowner.Core {
	config := swvalue.Config{Seed: uint64(f.self.Incarnation) ^ uint64(len(f.self.Host))<<32}
	if !f.view.local(cell) {
		config.Ledger = f.ledger
	}
	return swvalue.New(config, swvalue.Fastest{}, swvalue.ByWorth{})
}

// adapter returns the adapter that sends requests to a target.
func (f *Fleet) adapter(t swdoc.Target, _ swdoc.ServiceKind) swtarget.Adapter {
	return f.platform.Target(t.ID, t.URL, f.view.eventTokens(t.Service))
}

// catalogChanged applies a configuration if its version is higher than the current one.
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

// toleranceShare is the share of the operators' tolerance that is always admitted,
// so that no request within a quota is refused. The remainder covers the excess
// that several owners may admit at the same time.
const toleranceShare = 0.5

// quotasOf returns the limit to enforce for each organisation that has a quota.
func (f *Fleet) quotasOf(c *swcatalog.Catalog) map[swid.OrgID]swquota.Limit {
	s := f.reloadable.Load()
	factor := 1 + toleranceShare*s.QuotaOverage
	limits := make(map[swid.OrgID]swquota.Limit, len(c.Organisations))
	for _, o := range c.Organisations {
		if o.Quota.Rate > 0 {
			limits[o.ID] = swquota.Limit{
				Rate: factor * o.Quota.Rate, Burst: factor*o.Quota.Burst + toleranceShare*s.QuotaSlack,
			}
		}
	}
	return limits
}

// targetsChanged applies a new list of targets.
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

// latest returns the highest revision among items, or 0 if there are none.
func latest[T any](items []swwatch.Item[T]) swwatch.Revision {
	var revision swwatch.Revision
	for _, item := range items {
		revision = max(revision, item.Revision)
	}
	return revision
}

// configure passes the current configuration and targets to the metrics, the
// target pool and the owner.
func (f *Fleet) configure() {
	f.configureMu.Lock()
	defer f.configureMu.Unlock()
	d := f.view.document()
	if d == nil {
		return
	}
	f.metrics.Configure(d)
	f.pool.Configure(d)
	f.owner.Configure(d)
}

// hostsChanged applies a new list of hosts and divides the retry budget and the
// quotas among them.
func (f *Fleet) hostsChanged(items []swwatch.Item[swcatalog.Host]) {
	f.view.setHosts(items)
	f.router.SetMembers(f.view.Members())
	f.retries.setHostCount(len(items))
	f.ledger.SetHosts(len(items))
	f.log.Info().Int("hosts", len(items)).Uint64("revision", uint64(latest(items))).Msg("hosts changed")
	f.refreshOwner()
}

// refreshOwner re-evaluates the owner of the shared cells. If it has changed, the
// holder sends its waiting grant requests to the new owner.
func (f *Fleet) refreshOwner() {
	if f.router.refresh() {
		f.holder.Reroute()
	}
}

// linkUp handles a new link to a peer. The owner drops the work of the peer's
// previous process, whose leave notice no longer applies.
func (f *Fleet) linkUp(peer swlink.Peer) {
	if peer.Incarnation > 0 {
		f.owner.HolderDied(swlink.Peer{Host: peer.Host, Incarnation: peer.Incarnation - 1})
		f.router.SetLeaving(peer.Host, false)
	}
	f.owner.LinkUp(peer)
	f.refreshOwner()
}

// linkDown handles a lost link, or a failed dial if the peer has no incarnation. It
// has the owner, the registration and the holder send again what the link may have
// lost.
func (f *Fleet) linkDown(peer swlink.Peer) {
	if peer.Incarnation == 0 {
		f.router.Unreachable(peer.Host)
	} else {
		f.owner.LinkDown(peer)
	}
	if peer.Host == f.router.currentOwner() {
		f.needsFreshRegistration.Store(true)
	}
	f.refreshOwner()
	f.holder.LinkDown(peer.Host)
}

// noWatcher implements swowner.Watcher without watching anything: load reports from
// targets arrive late and are charged for, whereas a cell's own account is exact.
type noWatcher struct{}

// Watch implements swowner.Watcher.
func (noWatcher) Watch(context.Context, swid.CellID, []swdoc.Target, func(swcell.Event)) {}
