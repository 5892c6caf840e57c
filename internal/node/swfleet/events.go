package swfleet

import (
	"context"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
	"github.com/sassafraswing/sassafraswing/internal/core/swvalue"
	"github.com/sassafraswing/sassafraswing/internal/owner/swowner"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// newCore returns the scheduling core of a cell.
func (h *Host) newCore(cell swid.CellID, _ func(swcell.Violation)) swowner.Core {
	config := swvalue.Config{
		Seed:         uint64(h.self.Incarnation) ^ uint64(len(h.self.Host))<<32,
		Strikes:      h.strikes,
		Parts:        h.parts,
		OnPartChange: func(t swid.TargetID, c swsuspect.PartChange) { h.partChanged(cell, t, c) },
		Limits:       h.limits,
		OnRateLimit:  func(t swid.TargetID, limit swid.RequestRate) { h.rateLimitChanged(cell, t, limit) },
		Brittle:      h.brittle,
		OnBrittle:    h.rejectionsRestricted,
		Grantable:    h.grantableSlots,
		OnStrikes:    func(c swvalue.StrikeChange) { h.strikesChanged(cell, c) },
		OnProbing: func(p swvalue.ProbingChange) {
			h.log.Info().Str("target", string(p.Target)).Str("cell", string(cell)).Bool("probing", p.Probing).Str("holder", string(p.Holder)).
				Int64("sinceHeardMillis", int64(p.SinceHeard)).Msg("probing of a target changed")
		},
		OnLeaving: func(t swid.TargetID) {
			h.log.Info().Str("target", string(t)).Str("cell", string(cell)).Msg("target is leaving, it is granted no more requests")
		},
		OthersSchedule: func() bool { return h.view.scheduledByEachHost(cell) },
		Service:        swelect.Service(cell),
		Origins:        h.origins,
		StoreReachable: h.storeReachable,
		OnOriginWanted: h.originKeeper.Wake,
		Carriers:       h.carriers,
		Contention:     h.contentionMeter,
		Rollouts:       h.rolloutsOf(cell),
	}
	if h.view.chargedByOwner(cell) {
		config.Ledger = h.ledger
	}
	core := swvalue.New(config, swvalue.Fastest{}, swvalue.ByWorth{})
	if h.wrapCore != nil {
		return h.wrapCore(core)
	}
	return core
}

// adapter returns the adapter that sends requests to a target.
func (h *Host) adapter(t swdoc.Target, _ swdoc.ServiceKind) swtarget.Adapter {
	return &pathAdapter{Adapter: h.platform.TargetAdapter(h.view.platformTarget(&t)), target: t.ID, host: h}
}

// catalogChanged applies a configuration if its version is higher than the current one.
func (h *Host) catalogChanged(items []swwatch.Item[*swcatalog.Catalog]) {
	for _, item := range items {
		table, former := swcatalog.NewTable(item.Value), h.view.currentTable()
		if !h.view.setTable(table) {
			continue
		}
		if former != nil {
			h.joinOrigins(table.JoinedServices(former))
		}
		h.putIntoForce(table)
		h.updateServing()
		h.log.Info().
			Uint64("configVersion", uint64(item.Value.Version)).Uint64("revision", uint64(item.Revision)).
			Int("routes", len(item.Value.Routes)).Int("organisations", len(item.Value.Organisations)).
			Msg("configuration in force")
		h.configure()
	}
}

// putIntoForce passes a new configuration to the ledger and the gate.
func (h *Host) putIntoForce(table *swcatalog.Table) {
	h.configureMu.Lock()
	defer h.configureMu.Unlock()
	h.ledger.Configure(h.quotasOf(table.Catalog()))
	h.gate.Configure(table)
}

// toleranceShare is the share of the operators' tolerance for usage above a quota
// (QuotaOverage and QuotaSlack) that is added to each enforced limit, so that no
// request within a quota is rejected. The remainder covers the excess that several
// owners may admit at the same time.
const toleranceShare = 0.5

// quotasOf returns the limit to enforce for each organisation that has a quota.
func (h *Host) quotasOf(c *swcatalog.Catalog) map[swid.OrgID]swquota.Limit {
	s := h.reloadable.Load()
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
func (h *Host) targetsChanged(items []swwatch.Item[swcatalog.Target]) {
	remixed := h.view.setTargets(items, h.clock.Now())
	if h.rollouts != nil {
		h.rollouts.SetTargets(h.view.listedTargets())
	}
	draining := 0
	for _, item := range items {
		if item.Value.Draining {
			draining++
		}
	}
	h.log.Info().Int("targets", len(items)).Int("draining", draining).Strs("versions", versionsOf(items)).
		Uint64("revision", uint64(latest(items))).Msg("targets changed")
	listed := func(id swid.TargetID) bool {
		_, listed := h.view.bornOf(id)
		return listed
	}
	h.limits.Retain(listed, h.clock.Now())
	h.brittle.Retain(listed, h.clock.Now())
	h.closed.Retain(h.view.bornOf, h.clock.Now())
	h.updateServing()
	h.paths.Configure(h.view.activeTargets())
	h.configure()
	if remixed {
		h.holder.Reroute() // other hosts may schedule requests from now on
	}
}

// versionsOf returns the software versions of targets, each once with its service.
func versionsOf(items []swwatch.Item[swcatalog.Target]) []string {
	versions := make([]string, len(items))
	for i, item := range items {
		versions[i] = string(item.Value.Service) + " " + string(item.Value.Version)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
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
func (h *Host) configure() {
	h.configureMu.Lock()
	defer h.configureMu.Unlock()
	d := h.view.document()
	if d == nil {
		return
	}
	h.metrics.Configure(d)
	h.pool.Configure(d)
	h.owner.Configure(d)
	h.pathProber.configured()
}

// hostsChanged applies a new list of hosts. It passes their number to the retry
// budget, which divides its reserve among them, and to the quota ledger.
func (h *Host) hostsChanged(items []swwatch.Item[swcatalog.Host]) {
	h.view.setHosts(items)
	h.router.SetMembers(h.view.Members())
	h.retries.setHostCount(len(items))
	h.ledger.SetHosts(len(items))
	h.slotShares.setHosts(h.view.Members())
	h.log.Info().Int("hosts", len(items)).Uint64("revision", uint64(latest(items))).Msg("hosts changed")
	h.refreshOwner()
}

// refreshOwner looks the owner of the shared cells up again. If the owner has
// changed, the holder sends it grant requests for its waiting requests and reports
// its running requests to it.
func (h *Host) refreshOwner() {
	if h.router.refresh() {
		h.holder.Reroute()
	}
}

// linkUp handles a new link to a peer. It reports the death of the peer's previous
// process to the cells that this host owns: they remove the waiting requests of that
// process and mark its runs as orphaned. linkUp also clears the router's mark that
// the previous process is leaving. If this host is leaving, linkUp tells the peer, which may not have been linked when
// leave told the others.
func (h *Host) linkUp(peer swlink.Peer) {
	if peer.Incarnation > 0 {
		h.owner.HolderDied(swlink.Peer{Host: peer.Host, Incarnation: peer.Incarnation - 1})
		h.router.SetLeaving(peer.Host, false)
	}
	if h.leaving.Load() {
		h.exchange.Send(peer.Host, swmsg.Leaving{})
	}
	h.owner.LinkUp(peer)
	h.refreshOwner()
}

// linkDown handles a lost link, or a failed dial if the peer has no incarnation. It
// reports a lost link to the cells that this host owns, which verify their grants to
// the peer. If the peer owns the shared cells, the next registration is a complete
// one, because earlier ones may have been lost. The holder repeats the grant requests
// that were sent to the peer and may have been lost.
func (h *Host) linkDown(peer swlink.Peer) {
	if peer.Incarnation == 0 {
		h.router.MarkUnreachable(peer.Host)
	} else {
		h.owner.LinkDown(peer)
	}
	h.carriers.Remove(peer.Host)
	if peer.Host == h.router.currentOwner() {
		h.needsCompleteRegistration.Store(true)
	}
	h.refreshOwner()
	h.holder.LinkDown(peer.Host)
}

// noWatcher implements swowner.Watcher without watching anything: load reports from
// targets arrive late and are charged for, whereas a cell's own record of its runs is exact.
type noWatcher struct{}

// Watch implements swowner.Watcher.
func (noWatcher) Watch(context.Context, swid.CellID, []swdoc.Target, func(swcell.Event)) {}
