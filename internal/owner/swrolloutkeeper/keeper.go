// Package swrolloutkeeper runs the roll-outs of the services whose cells this host schedules for the fleet: it follows the operators'
// orders while the host is the owner, gives each order's swrollout.Rollout what the cells see, and writes its record to the store.
package swrolloutkeeper

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

const (
	// stepInterval is the time between two reviews of the orders.
	stepInterval = 100 * swclock.Millis(1)
	// callTimeout bounds one call of the store.
	callTimeout = 1500 * swclock.Millis(1)
	// refreshInterval is the least time between two listings of the orders that a newly listed version needs.
	refreshInterval = 500 * swclock.Millis(1)
)

// Follower keeps a copy of the orders. swwatch.Follower implements it.
type Follower interface {
	// Run lists and watches the orders until ctx ends, and passes them to Keeper.Changed.
	Run(ctx context.Context)
	// Refresh lists the orders.
	Refresh(ctx context.Context) error
	// ConfirmedAt returns the time since boot as of which the store last confirmed the copy, or 0 if it never did.
	ConfirmedAt() swclock.Millis
}

// Config holds the settings and dependencies of a Keeper.
type Config struct {
	Rollout swrollout.Config
	Clock   swclock.Clock
	Boot    swclock.Boot
	// UnixNow returns the time of day in Unix milliseconds.
	UnixNow func() int64
	// Owner reports whether hosts have their requests scheduled by this one, and Alone whether all hosts have.
	Owner, Alone func() bool
	// Reachable reports whether the store can be reached. Orders are not listed anew while it cannot.
	Reachable func() bool
	// Era returns the era of the store, in which alone revisions can be compared.
	Era func() swobject.Era
	// Write writes the record of the order with a name if its entry still has the expected revision, and returns the new one.
	Write func(ctx context.Context, name string, record swrollout.Record, expected swwatch.Revision) (swwatch.Revision, error)
	Log   zerolog.Logger
}

// Keeper runs the roll-outs of all services. Its methods are safe for concurrent use.
type Keeper struct {
	config   Config
	follower Follower
	wake     chan struct{}

	mu       sync.Mutex
	services map[swid.ServiceID]*Service
	// followedAt is the time since boot when this host last became the owner; 0 while it is none.
	followedAt swclock.Millis
	// known has the processes whose answers were taken since.
	known map[Process]struct{}

	// refreshing is set while the orders are being listed.
	refreshing atomic.Bool
	// failures counts the writes that failed.
	failures atomic.Uint64
	calls    conc.WaitGroup
}

// Process identifies a process of a host.
type Process struct {
	Host        swid.HostID
	Incarnation swid.Incarnation
}

// New returns a Keeper that knows no order. Follow must be called before Run.
func New(config Config) *Keeper {
	return &Keeper{
		config: config, wake: make(chan struct{}, 1), services: make(map[swid.ServiceID]*Service), known: make(map[Process]struct{}),
	}
}

// Follow sets the copy of the orders.
func (k *Keeper) Follow(f Follower) { k.follower = f }

// Run runs the roll-outs until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval.Duration())
	defer ticker.Stop()
	defer k.calls.Wait()
	var following conc.WaitGroup
	defer following.Wait()
	stop := func() {}
	defer func() { stop() }()
	refreshedAt := swclock.Millis(-refreshInterval)
	for {
		select {
		case <-ticker.C:
		case <-k.wake:
		case <-ctx.Done():
			return
		}
		owner := k.config.Owner()
		switch followed := k.isFollowing(); {
		case owner && !followed:
			k.begin()
			followCtx, cancel := context.WithCancel(ctx)
			stop = cancel
			following.Go(func() { k.follower.Run(followCtx) })
		case !owner && followed:
			stop()
			following.Wait()
			k.end()
		}
		now := k.config.Clock.Now()
		if owner && now-refreshedAt >= refreshInterval && k.lacksOrders() && k.config.Reachable() {
			refreshedAt = now
			k.calls.Go(func() { k.refresh(ctx) })
		}
		k.step(ctx, now)
	}
}

// refresh lists the orders, unless that is under way.
func (k *Keeper) refresh(ctx context.Context) {
	if k.refreshing.Swap(true) {
		return
	}
	defer k.refreshing.Store(false)
	call, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if err := k.follower.Refresh(call); err != nil && ctx.Err() == nil {
		k.config.Log.Warn().Err(err).Msg("orders of roll-outs not listed")
	}
}

func (k *Keeper) isFollowing() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.followedAt > 0
}

// begin makes this host follow the orders. Orders may have been written since it last did.
func (k *Keeper) begin() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.followedAt = max(k.config.Boot.SinceBoot(), 1)
	for _, s := range k.services {
		s.restart(k.followedAt)
	}
	k.config.Log.Info().Msg("following the orders of roll-outs")
}

// end drops the orders: another owner decides them. What is reserved and was not used is lost.
func (k *Keeper) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.followedAt = 0
	clear(k.known)
	for _, s := range k.services {
		s.drop()
	}
	k.config.Log.Info().Msg("no longer following the orders of roll-outs")
}

// lacksOrders reports whether a version was listed after the orders.
func (k *Keeper) lacksOrders() bool {
	confirmed := k.confirmedAt()
	return slices.ContainsFunc(k.all(), func(s *Service) bool { return s.lacksOrders(confirmed) })
}

// confirmedAt returns the time since boot as of which the orders are known; 0 if this host does not follow them.
func (k *Keeper) confirmedAt() swclock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	if confirmed := k.follower.ConfirmedAt(); k.followedAt > 0 && confirmed >= k.followedAt {
		return confirmed
	}
	return 0
}

func (k *Keeper) all() []*Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	services := slices.Collect(maps.Values(k.services))
	slices.SortFunc(services, func(a, b *Service) int { return strings.Compare(string(a.id), string(b.id)) })
	return services
}

// Service returns the roll-outs of a service.
func (k *Keeper) Service(id swid.ServiceID) *Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service(id)
}

// service returns the roll-outs of a service. k.mu must be held.
func (k *Keeper) service(id swid.ServiceID) *Service {
	s := k.services[id]
	if s == nil {
		s = newService(k, id)
		k.services[id] = s
	}
	return s
}

// Changed takes the orders in the store. It does not block.
func (k *Keeper) Changed(items []swwatch.Item[swcatalog.Rollout]) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.followedAt == 0 {
		return
	}
	ordered := make(map[swid.ServiceID]bool)
	for _, item := range items {
		ordered[item.Value.Order.Service] = true
		k.service(item.Value.Order.Service).take(item)
	}
	for id, s := range k.services {
		if !ordered[id] {
			s.withdraw()
		}
	}
}

// SetTargets takes the listed targets of all services.
func (k *Keeper) SetTargets(targets []swcatalog.Target) {
	now := max(k.config.Boot.SinceBoot(), 1)
	byService := make(map[swid.ServiceID][]swcatalog.Target)
	for _, t := range targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	k.mu.Lock()
	for id := range byService {
		k.service(id)
	}
	for id, s := range k.services {
		s.setTargets(byService[id], now)
	}
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default: // already woken
	}
}

// ObserveReported takes the answers that a process reports to this host as a new owner: those of a process once.
func (k *Keeper) ObserveReported(from Process, answers map[swid.ServiceID][]swrollout.Answer) {
	now := k.config.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, known := k.known[from]; known {
		return
	}
	k.known[from] = struct{}{}
	for service, reported := range answers {
		k.service(service).takeReported(reported, now)
	}
}

// IsOpen reports whether there is an order for a service that is not decided yet.
func (k *Keeper) IsOpen(service swid.ServiceID) bool { return k.Service(service).isOpen() }

// FailedWrites returns the number of writes to the store that failed.
func (k *Keeper) FailedWrites() uint64 { return k.failures.Load() }

// Evidence returns what is known of each order.
func (k *Keeper) Evidence() []swrollout.Evidence {
	now := k.config.Clock.Now()
	var evidence []swrollout.Evidence
	for _, s := range k.all() {
		if e, ok := s.evidence(now); ok {
			evidence = append(evidence, e)
		}
	}
	return evidence
}

// step reviews the orders, and begins to write the records that have to be.
func (k *Keeper) step(ctx context.Context, now swclock.Millis) {
	alone := k.config.Alone()
	for _, s := range k.all() {
		if w := s.step(alone, now); w != nil {
			k.calls.Go(func() { k.write(ctx, w) })
		}
	}
}

// write writes a record, unless the store cannot be reached. If that fails, the orders are listed again: another owner may have written one.
func (k *Keeper) write(ctx context.Context, w *pendingWrite) {
	if !k.config.Reachable() {
		w.service.written(w, 0, swobject.ErrUnavailable, k.config.Clock.Now())
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	revision, err := k.config.Write(call, w.name, w.record, w.expected)
	w.service.written(w, revision, err, k.config.Clock.Now())
	if err == nil && revision != 0 || ctx.Err() != nil {
		return
	}
	k.failures.Add(1)
	k.refresh(ctx)
}
