package swfleet

import (
	"slices"
	"strconv"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

// view is what the host holds of the store's objects. It implements
// swmember.Source. Its methods are safe for concurrent use.
type view struct {
	settings *swsettings.Settings

	mu    sync.Mutex
	table *swcatalog.Table
	// countsRequests tells that a quota of the table bounds a number of requests.
	countsRequests bool
	targets        []swcatalog.Target
	// listed tells that the targets were listed once.
	listed  bool
	members []swmember.Member
}

func newView(s *swsettings.Settings) *view { return &view{settings: s} }

// setTable brings a configuration into force unless it is older than the one held.
func (v *view) setTable(t *swcatalog.Table) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && t.Catalog().Version <= v.table.Catalog().Version {
		return false
	}
	v.table = t
	v.countsRequests = slices.ContainsFunc(t.Catalog().Organisations, func(o swcatalog.Organisation) bool {
		return o.Quota.Rate > 0 && !o.Quota.Tokens
	})
	return true
}

func (v *view) setTargets(items []swwatch.Item[swcatalog.Target]) {
	targets := make([]swcatalog.Target, len(items))
	for i, item := range items {
		targets[i] = item.Value
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.targets, v.listed = targets, true
}

func (v *view) setHosts(items []swwatch.Item[swcatalog.Host]) {
	members := make([]swmember.Member, len(items))
	for i, item := range items {
		h := item.Value
		members[i] = swmember.Member{
			Host: h.ID, Incarnation: h.Incarnation, Zone: h.Zone, Region: h.Region, Address: h.Address, State: swmsg.MemberAlive,
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = members
}

// Members implements swmember.Source.
func (v *view) Members() []swmember.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

// Subscribe implements swmember.Source; nobody needs it here.
func (v *view) Subscribe(func([]swmember.Member)) {}

// resolve returns a host's peer address.
func (v *view) resolve(host swid.HostID) (string, bool) {
	for _, m := range v.Members() {
		if m.Host == host {
			return m.Address, m.Address != ""
		}
	}
	return "", false
}

// complete reports whether the host knows a configuration and the targets.
func (v *view) complete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table != nil && v.listed
}

// inForce returns the configuration in force, or nil.
func (v *view) inForce() *swcatalog.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table
}

func (v *view) targetCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.targets)
}

// local reports whether each host decides on its own for a cell: for those of
// plain services, whose calls are short and whose targets are mostly idle. Where
// quotas count requests, one owner has to see those too; where they count tokens,
// a plain request is a small part of an engine's.
func (v *view) local(cell swid.CellID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil || v.countsRequests {
		return false
	}
	for _, s := range v.table.Catalog().Services {
		if swid.NewCellID(s.ID, v.settings.Region) == cell {
			return s.Engine == nil
		}
	}
	return false
}

// document returns what is in force in the form that the owner and the pool take.
func (v *view) document() *swdoc.Document {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil || !v.listed {
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

// targetOf needs v.mu and a configuration.
func (v *view) targetOf(t *swcatalog.Target) swdoc.Target {
	target := swdoc.Target{
		ID: t.ID, Service: t.Service, Zone: t.Zone, URL: t.Address, Slots: t.Slots, Draining: t.Draining, Born: t.Born,
	}
	if s, known := v.table.Service(t.Service); known && s.Engine != nil {
		target.KVTokens = s.Engine.KVTokens
	}
	return target
}

// eventTokens returns the number of tokens in an event of a service's streams. It needs v.mu not to be held.
func (v *view) eventTokens(service swid.ServiceID) swid.Tokens {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil {
		return 0
	}
	if s, known := v.table.Service(service); known && s.Engine != nil {
		return s.Engine.EventTokens
	}
	return 0
}

// zones returns the zones of the targets. It needs v.mu.
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
