package swfleet

import (
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

// view is this host's copy of the store's objects. It implements swmember.Source.
// Its methods are safe for concurrent use.
type view struct {
	settings *swsettings.Settings

	mu    sync.Mutex
	table *swcatalog.Table
	// hasRequestQuota is set if a quota of the table limits requests rather than tokens.
	hasRequestQuota bool
	targets         []swcatalog.Target
	// targetsListed is set once the targets have been listed.
	targetsListed bool
	// mixed has the services of which targets of several versions are listed, if roll-outs are in force.
	mixed map[swid.ServiceID]bool
	// drained has the targets that were draining when they were last listed.
	drained map[swid.TargetID]drainedTarget
	members []swmember.Member
	// zonesOfHosts has the availability zone of each member.
	zonesOfHosts map[swid.HostID]swid.ZoneID
	// plainShared is set while the owner of the shared cells schedules plain services too, and until an owner has told
	// this process otherwise: something may have to be counted over all hosts.
	plainShared bool
}

func newView(s *swsettings.Settings) *view {
	return &view{settings: s, drained: make(map[swid.TargetID]drainedTarget), plainShared: true}
}

// setTable makes t the current table of the configuration if t has a higher version
// than the current one or there is none, and reports whether it did.
func (v *view) setTable(t *swcatalog.Table) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && t.Catalog().Version <= v.table.Catalog().Version {
		return false
	}
	v.table = t
	v.hasRequestQuota = slices.ContainsFunc(t.Catalog().Organisations, func(o swcatalog.Organisation) bool {
		return o.Quota.Rate > 0 && !o.Quota.CountsTokens
	})
	return true
}

// setTargets replaces the targets, and reports whether that changes who schedules plain services. A target that was draining stays so
// until it is started anew: a store that was set back may list it as it was before.
func (v *view) setTargets(items []swwatch.Item[swcatalog.Target], now swclock.Millis) (remixed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.settings.Fleet.Rollout.Enabled() {
		if mixed := mixedServices(items); !maps.Equal(mixed, v.mixed) {
			v.mixed, remixed = mixed, true
		}
	}
	targets := make([]swcatalog.Target, len(items))
	for i, item := range items {
		t := item.Value
		if d, known := v.drained[t.ID]; known && t.Born != 0 && t.Born == d.born {
			t.Draining = true
		}
		if t.Draining {
			v.drained[t.ID] = drainedTarget{born: t.Born, listedAt: now}
		}
		targets[i] = t
	}
	maps.DeleteFunc(v.drained, func(_ swid.TargetID, d drainedTarget) bool { return now-d.listedAt > drainedMemory })
	v.targets, v.targetsListed = targets, true
	return remixed
}

// listedTargets returns the listed targets.
func (v *view) listedTargets() []swcatalog.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.targets
}

// drainedTarget is a target that was draining.
type drainedTarget struct {
	// born identifies its start.
	born     int64
	listedAt swclock.Millis
}

// drainedMemory is how long a target that is not listed any more is known to have been draining, which is
// more than the age of copies that the store is set back to.
const drainedMemory = swclock.Minute

func (v *view) setHosts(items []swwatch.Item[swcatalog.Host]) {
	members := make([]swmember.Member, len(items))
	for i, item := range items {
		h := item.Value
		members[i] = swmember.Member{
			Host: h.ID, Incarnation: h.Incarnation, Zone: h.Zone, Region: h.Region, Address: h.Address, State: swmsg.MemberAlive, Size: h.Size,
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = members
	v.zonesOfHosts = make(map[swid.HostID]swid.ZoneID, len(members))
	for _, m := range members {
		v.zonesOfHosts[m.Host] = m.Zone
	}
}

// Members implements swmember.Source.
func (v *view) Members() []swmember.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

// Subscribe implements swmember.Source. It has no effect: a fleet host has no subscribers.
func (v *view) Subscribe(func([]swmember.Member)) {}

// resolve returns a host's peer address and whether there is one.
func (v *view) resolve(host swid.HostID) (string, bool) {
	for _, m := range v.Members() {
		if m.Host == host {
			return m.Address, m.Address != ""
		}
	}
	return "", false
}

// complete reports whether the host has a configuration and a list of targets.
func (v *view) complete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table != nil && v.targetsListed
}

// currentTable returns the configuration in force, or nil if there is none.
func (v *view) currentTable() *swcatalog.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table
}

func (v *view) targetCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.targets)
}

// setScheduling sets where plain services are scheduled, and reports whether that changed.
func (v *view) setScheduling(s swmsg.Scheduling) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	shared := s == swmsg.SchedulingShared
	changed := shared != v.plainShared
	v.plainShared = shared
	return changed
}

// scheduling returns where plain services are scheduled.
func (v *view) scheduling() swmsg.Scheduling {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.plainShared {
		return swmsg.SchedulingShared
	}
	return swmsg.SchedulingEach
}

// scheduledByEachHost reports whether each host schedules its own requests for a cell,
// which is then called local. This is true for the cells of plain services, whose calls
// are short and whose targets are mostly idle, unless something has to be counted over all
// hosts: the requests of an organisation (see chargedByOwner), what plainShared is set for, or those of a service with several
// versions, one of which may be on trial.
func (v *view) scheduledByEachHost(cell swid.CellID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table != nil && !v.hasRequestQuota && !v.plainShared && v.isPlain(cell) && !v.mixed[swelect.Service(cell)]
}

// targetScheduledByEachHost reports whether each host schedules its own requests for a target.
func (v *view) targetScheduledByEachHost(target swid.TargetID) bool {
	service, known := v.serviceOf(target)
	return known && v.scheduledByEachHost(swid.NewCellID(service, v.settings.Region))
}

// isPlainTarget reports whether a target is listed and runs a plain service.
func (v *view) isPlainTarget(target swid.TargetID) bool {
	service, known := v.serviceOf(target)
	if !known {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table != nil && v.isPlain(swid.NewCellID(service, v.settings.Region))
}

// serviceOf returns the service of a listed target.
func (v *view) serviceOf(target swid.TargetID) (service swid.ServiceID, listed bool) {
	t, listed := v.target(target)
	return t.Service, listed
}

// bornOf returns what identifies the start of a listed target.
func (v *view) bornOf(target swid.TargetID) (born int64, listed bool) {
	t, listed := v.target(target)
	return t.Born, listed
}

// target returns a listed target.
func (v *view) target(id swid.TargetID) (t swcatalog.Target, listed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i := slices.IndexFunc(v.targets, func(t swcatalog.Target) bool { return t.ID == id })
	if i < 0 {
		return swcatalog.Target{}, false
	}
	return v.targets[i], true
}

// chargedByOwner reports whether the owner of the shared cells charges the requests of a cell to
// the quotas. This is true for engines, and for all cells if a quota of any organisation
// counts requests. Otherwise the hosts report the use of plain services afterwards, because a
// plain request uses only a small fraction of the tokens of an engine request.
func (v *view) chargedByOwner(cell swid.CellID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table == nil || v.hasRequestQuota || !v.isPlain(cell)
}

// isPlain reports whether a cell is that of a plain service. v.mu must be held and v.table set.
func (v *view) isPlain(cell swid.CellID) bool {
	for _, s := range v.table.Catalog().Services {
		if swid.NewCellID(s.ID, v.settings.Region) == cell {
			return s.Engine == nil
		}
	}
	return false
}

// document builds the document for the metrics, the owner and the pool from the
// current configuration and targets, or returns nil while either is missing. Every
// organisation has weight 1 and the tiers are named by their rank, because the catalog
// has neither weights of organisations nor names of tiers.
func (v *view) document() *swdoc.Document {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil || !v.targetsListed {
		return nil
	}
	c := v.table.Catalog()
	d := &swdoc.Document{
		Name:    v.settings.Platform.Environment,
		Regions: []swdoc.Region{{ID: v.settings.Region, Zones: v.zones()}},
	}
	for rank := range swid.MaxTiers {
		d.Tiers = append(d.Tiers, swdoc.Tier{Name: strconv.Itoa(rank)})
	}
	for _, o := range c.Organisations {
		d.Organisations = append(d.Organisations, swdoc.Organisation{ID: o.ID, Weight: 1})
	}
	for _, s := range c.Services {
		d.Services = append(d.Services, serviceOf(&s))
	}
	for _, t := range v.targets {
		d.Targets = append(d.Targets, v.targetOf(&t))
	}
	return d
}

func serviceOf(s *swcatalog.Service) swdoc.Service {
	kind := swdoc.KindPlain
	if s.Engine != nil {
		kind = swdoc.KindModel
	}
	return swdoc.Service{ID: s.ID, Kind: kind}
}

// targetOf converts a target. v.mu must be held and v.table set.
func (v *view) targetOf(t *swcatalog.Target) swdoc.Target {
	target := swdoc.Target{
		ID: t.ID, Service: t.Service, Zone: t.Zone, URL: t.Address, Slots: t.Slots, Draining: t.Draining, Born: t.Born, Version: t.Version, Warmup: t.WarmupRemaining,
	}
	if s, known := v.table.Service(t.Service); known && s.Engine != nil {
		target.KVTokens = s.Engine.KVTokens
	}
	return target
}

// platformTarget returns what the Platform needs to know of a target.
func (v *view) platformTarget(t *swdoc.Target) Target {
	target := Target{ID: t.ID, Address: t.URL}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil {
		return target
	}
	s, known := v.table.Service(t.Service)
	if !known {
		return target
	}
	target.HealthPath = s.HealthPath
	if s.Engine != nil {
		target.Engine, target.EventTokens = true, s.Engine.EventTokens
	}
	return target
}

// activeTargets returns the services of the targets that are not draining.
func (v *view) activeTargets() map[swid.TargetID]swid.ServiceID {
	v.mu.Lock()
	defer v.mu.Unlock()
	active := make(map[swid.TargetID]swid.ServiceID, len(v.targets))
	for _, t := range v.targets {
		if !t.Draining {
			active[t.ID] = t.Service
		}
	}
	return active
}

// zoneOf returns the availability zone of a host, or "" if it is not listed.
func (v *view) zoneOf(host swid.HostID) swid.ZoneID {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.zonesOfHosts[host]
}

// zones returns the distinct zones of the targets. v.mu must be held.
func (v *view) zones() []swid.ZoneID {
	seen := make(map[swid.ZoneID]bool)
	var zones []swid.ZoneID
	for _, t := range v.targets {
		if !seen[t.Zone] {
			seen[t.Zone] = true
			zones = append(zones, t.Zone)
		}
	}
	return zones
}
