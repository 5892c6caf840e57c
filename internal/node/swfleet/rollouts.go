package swfleet

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swelect"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/core/swvalue"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
	"github.com/sassafraswing/sassafraswing/internal/owner/swrolloutkeeper"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

const (
	// rolloutWait is the longest time that a watch of the orders waits for a change.
	rolloutWait = 15 * swclock.Second
	// rolloutRetryPause is the pause after a failed call for the orders.
	rolloutRetryPause = 500 * swclock.Millis(1)
	// kindRollouts is the name of the kind in the log.
	kindRollouts = "rollouts"
	// maxOutcomes is the number of answers that a host keeps of all services for a new owner, and outcomeLifetime is for how long.
	maxOutcomes     = 64
	outcomeLifetime = swclock.Minute
)

// newRolloutKeeper returns the keeper of the roll-outs, or nil if they are not in force.
func (h *Host) newRolloutKeeper() *swrolloutkeeper.Keeper {
	if !h.settings.Fleet.Rollout.Enabled() {
		return nil
	}
	bounds := h.rolloutBounds()
	bounds.Writer = string(h.self.Host) + "-" + strconv.FormatUint(uint64(h.self.Incarnation), 10)
	return swrolloutkeeper.New(swrolloutkeeper.Config{
		Rollout: bounds,
		Clock:   h.clock, Boot: h.boot, UnixNow: func() int64 { return time.Now().UnixMilli() },
		Owner: h.isOwner, Alone: h.ownsAllHosts, Reachable: h.storeReachable,
		Era:   func() swobject.Era { return h.health.Load().Era() },
		Write: h.platform.WriteRollout, Log: h.log,
	})
}

func (h *Host) rolloutBounds() swrollout.Config {
	r := h.settings.Fleet.Rollout
	return swrollout.Config{MaxShare: r.MaxShare, Slack: uint64(r.Slack), RollbackWithin: r.RollbackWithin}
}

// rolloutEvidence returns the evidence of the roll-outs that this host decides. There is none until the host is assembled.
func (h *Host) rolloutEvidence() []swrollout.Evidence {
	if k := h.rolloutKeeper.Load(); k != nil {
		return k.Evidence()
	}
	return nil
}

// rolloutRouteName returns the name of a route, which is the scope of its prompts.
func (h *Host) rolloutRouteName(r swrollout.Route) string {
	if h.rolloutKeeper.Load() == nil {
		return ""
	}
	return h.gate.ScopeName(swid.PromptScope(r))
}

// followRollouts creates the copy of the orders, which is kept while this host is the owner.
func (h *Host) followRollouts(config swwatch.Config) {
	if h.rollouts == nil {
		return
	}
	h.gate.KeepScopeNames()
	config.PeerWait, config.RetryPause = 0, rolloutRetryPause
	h.rollouts.Follow(swwatch.NewFollower(config, h.platform.Rollouts(), h.rollouts.Changed))
}

// ownsAllHosts reports whether all hosts have their requests scheduled by this one, as far as it knows.
func (h *Host) ownsAllHosts() bool {
	_, registered := h.ledger.Share(h.clock.Now())
	return registered >= len(h.view.Members())
}

// rolloutsOf returns what decides at which versions the requests of a cell may run; nil if all may.
func (h *Host) rolloutsOf(cell swid.CellID) swvalue.Rollouts {
	if h.rollouts == nil {
		return nil
	}
	return h.rollouts.Service(swelect.Service(cell))
}

// rollsOutPlain reports whether there is an open order for a plain service, whose answers the owner has to see.
func (h *Host) rollsOutPlain() bool {
	return h.rollouts != nil && slices.ContainsFunc(h.view.plainServices(), h.rollouts.IsOpen)
}

// plainServices returns the plain services.
func (v *view) plainServices() []swid.ServiceID {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table == nil {
		return nil
	}
	var services []swid.ServiceID
	for _, s := range v.table.Catalog().Services {
		if s.Engine == nil {
			services = append(services, s.ID)
		}
	}
	return services
}

// outcomeLog has the latest answers of services with several versions, for a new owner. It is safe for concurrent use.
type outcomeLog struct {
	mu sync.Mutex
	// outcomes has at most maxOutcomes entries, the oldest first. Their Age is the instant of the end.
	outcomes []swmsg.Outcome
}

// recordOutcome keeps the end of an attempt if its service has several versions.
func (h *Host) recordOutcome(r *swholder.Request, e swholder.Ended) {
	if h.rollouts == nil || !h.view.mixesVersions(r.Service) {
		return
	}
	d := &e.Done
	bad, counts := swvalue.Judge(&swcell.Done{
		Result: d.Result, Statement: d.Statement, PathLost: d.PathLost, CarrierLost: d.CarrierLost, TargetFault: d.TargetFault,
	}, r.Continuation.Continues || d.Attempt > 1 && r.ResumeElsewhere)
	if !counts {
		return
	}
	h.outcomes.add(swmsg.Outcome{
		Service: r.Service, Version: e.Version, Target: d.Target, Born: e.Born, Route: swrollout.Route(r.Scope), Bad: bad, First: d.FirstToken, Total: d.Total,
		PromptTokens: max(d.PromptTokens-d.CachedTokens, 0), OutputTokens: d.OutputTokens, Age: h.clock.Now(),
	})
}

func (l *outcomeLog) add(o swmsg.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outcomes) == maxOutcomes {
		l.outcomes = slices.Delete(l.outcomes, 0, 1)
	}
	l.outcomes = append(l.outcomes, o)
}

// recent returns the answers of the last outcomeLifetime.
func (l *outcomeLog) recent(now swclock.Millis) []swmsg.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = slices.DeleteFunc(l.outcomes, func(o swmsg.Outcome) bool { return now-o.Age > outcomeLifetime })
	recent := slices.Clone(l.outcomes)
	for i := range recent {
		recent[i].Age = now - recent[i].Age
	}
	return recent
}

// receiveOutcomes takes the answers of a complete registration.
func (h *Host) receiveOutcomes(from swlink.Peer, outcomes []swmsg.Outcome) {
	if h.rollouts == nil {
		return
	}
	answers := make(map[swid.ServiceID][]swrollout.Answer)
	for _, o := range outcomes {
		answers[o.Service] = append(answers[o.Service], swrollout.Answer{
			Version: o.Version, Target: o.Target, Born: o.Born, Route: o.Route, Bad: o.Bad, First: o.First, Total: o.Total,
			PromptTokens: o.PromptTokens, OutputTokens: o.OutputTokens, SinceEnd: o.Age,
		})
	}
	h.rollouts.ObserveReported(swrolloutkeeper.Process{Host: from.Host, Incarnation: from.Incarnation}, answers)
}

// mixesVersions reports whether targets of several versions are listed for a service.
func (v *view) mixesVersions(service swid.ServiceID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mixed[service]
}

// mixedServices returns the services with targets of several versions.
func mixedServices(items []swwatch.Item[swcatalog.Target]) map[swid.ServiceID]bool {
	versions := make(map[swid.ServiceID]swid.SoftwareVersion)
	mixed := make(map[swid.ServiceID]bool)
	for _, item := range items {
		t := &item.Value
		if version, listed := versions[t.Service]; listed && version != t.Version {
			mixed[t.Service] = true
		}
		versions[t.Service] = t.Version
	}
	return mixed
}
