package swfleet

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

// storeFault is what disturbs the calls of the store that one host makes.
type storeFault struct {
	// refused makes calls fail at once, also those that are waiting.
	refused bool
	// silent delays all answers until the fault ends.
	silent bool
	// latency is how much longer answers take.
	latency time.Duration
}

// storePath is the way from one host to the store.
type storePath struct {
	// calls counts the calls of the store.
	calls atomic.Int64
	mu    sync.Mutex
	fault storeFault
	// changed is closed when fault changes, and then replaced.
	changed chan struct{}
}

func newStorePath() *storePath { return &storePath{changed: make(chan struct{})} }

func (p *storePath) set(fault storeFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *storePath) current() (storeFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

// pass returns when a packet has arrived at the other end.
func (p *storePath) pass(ctx context.Context) error {
	for {
		fault, changed := p.current()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case fault.refused:
			return swobject.ErrUnavailable
		case fault.silent:
			select {
			case <-changed:
			case <-ctx.Done():
			}
		default:
			select {
			case <-time.After(fault.latency):
			case <-ctx.Done():
			}
			return ctx.Err()
		}
	}
}

// call makes a call of the store.
func call[R any](ctx context.Context, p *storePath, do func(context.Context) (R, error)) (R, error) {
	var none R
	p.calls.Add(1)
	if err := p.pass(ctx); err != nil {
		return none, err
	}
	calling, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for {
			fault, changed := p.current()
			if fault.refused {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-calling.Done():
				return
			}
		}
	}()
	answer, err := do(calling)
	if passed := p.pass(ctx); passed != nil {
		return none, passed
	}
	return answer, err
}

// pathSource is a source that is reached over a storePath.
type pathSource[T any] struct {
	swwatch.Source[T]
	path *storePath
}

// List implements swwatch.Source.
func (s pathSource[T]) List(ctx context.Context) (swwatch.Listing[T], error) {
	return call(ctx, s.path, s.Source.List)
}

// Watch implements swwatch.Source.
func (s pathSource[T]) Watch(ctx context.Context, after swwatch.Revision, wait swclock.Millis) (swwatch.Changes[T], error) {
	return call(ctx, s.path, func(ctx context.Context) (swwatch.Changes[T], error) { return s.Source.Watch(ctx, after, wait) })
}

// pathObjects are objects that are reached over a storePath.
type pathObjects struct {
	swobject.Objects
	path *storePath
}

// Get implements swobject.Objects.
func (o pathObjects) Get(ctx context.Context, key string) (swobject.Object, error) {
	return call(ctx, o.path, func(ctx context.Context) (swobject.Object, error) { return o.Objects.Get(ctx, key) })
}

// Put implements swobject.Objects.
func (o pathObjects) Put(ctx context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
	return call(ctx, o.path, func(ctx context.Context) (swobject.Version, error) {
		return o.Objects.Put(ctx, key, value, expected)
	})
}

// List implements swobject.Objects.
func (o pathObjects) List(ctx context.Context) ([]swobject.Object, error) {
	return call(ctx, o.path, o.Objects.List)
}

func (p simulatedPlatform) Catalogs() swwatch.Source[*swcatalog.Catalog] {
	return pathSource[*swcatalog.Catalog]{p.fakePlatform.Catalogs(), p.path()}
}

func (p simulatedPlatform) Targets() swwatch.Source[swcatalog.Target] {
	return pathSource[swcatalog.Target]{p.fakePlatform.Targets(), p.path()}
}

func (p simulatedPlatform) Rollouts() swwatch.Source[swcatalog.Rollout] {
	return pathSource[swcatalog.Rollout]{countedRollouts{p.fakePlatform.Rollouts(), p.deployment.store}, p.path()}
}

// countedRollouts counts the calls for orders.
type countedRollouts struct {
	swwatch.Source[swcatalog.Rollout]
	store *fakeStore
}

// count returns an error while the orders are hidden.
func (c countedRollouts) count() error {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.rolloutCalls++
	if c.store.rolloutsHidden {
		return errUnavailable
	}
	return nil
}

// hideRollouts makes calls for orders fail, or answers them again.
func (s *fakeStore) hideRollouts(hidden bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rolloutsHidden = hidden
}

// List implements swwatch.Source.
func (c countedRollouts) List(ctx context.Context) (swwatch.Listing[swcatalog.Rollout], error) {
	if err := c.count(); err != nil {
		return swwatch.Listing[swcatalog.Rollout]{}, err
	}
	return c.Source.List(ctx)
}

// Watch implements swwatch.Source.
func (c countedRollouts) Watch(ctx context.Context, after swwatch.Revision, wait swclock.Millis) (swwatch.Changes[swcatalog.Rollout], error) {
	if err := c.count(); err != nil {
		return swwatch.Changes[swcatalog.Rollout]{}, err
	}
	return c.Source.Watch(ctx, after, wait)
}

func (p simulatedPlatform) WriteRollout(ctx context.Context, name string, record swrollout.Record, expected swwatch.Revision) (swwatch.Revision, error) {
	return call(ctx, p.path(), func(ctx context.Context) (swwatch.Revision, error) {
		return p.fakePlatform.WriteRollout(ctx, name, record, expected)
	})
}

func (p simulatedPlatform) Hosts() swwatch.Source[swcatalog.Host] {
	return pathSource[swcatalog.Host]{p.fakePlatform.Hosts(), p.path()}
}

func (p simulatedPlatform) Objects() swobject.Objects {
	return pathObjects{p.fakePlatform.Objects(), p.path()}
}

func (p simulatedPlatform) Streams() swobject.Objects {
	return pathObjects{p.fakePlatform.Streams(), p.path()}
}

func (p simulatedPlatform) path() *storePath { return p.fleet.hosts[p.host].store }

// join adds engines of a version to the service "model".
func (f *versionedFleet) join(n int, version swid.SoftwareVersion) (joined []*versionedEngine) {
	return f.joinService(n, "model", version)
}

// joinService adds engines of a version to a service.
func (f *versionedFleet) joinService(n int, service swid.ServiceID, version swid.SoftwareVersion) (joined []*versionedEngine) {
	for i := range n {
		e := &versionedEngine{
			id: swid.TargetID(fmt.Sprint("joined-", version, "-", i)), fleet: f.simulatedFleet, version: version, born: 1, crashed: make(chan struct{}),
		}
		f.addEngine(e)
		f.deployment.store.targets.put(string(e.id), swcatalog.Target{
			ID: e.id, Service: service, Zone: "z", Address: string(e.id), Slots: 7, Born: e.born, Version: version,
		})
		joined = append(joined, e)
	}
	return joined
}

// isolate cuts a host from all others.
func (f *simulatedFleet) isolate(h *simulatedHost) {
	address := h.address()
	cut := func(from, to string) bool { return (from == address) != (to == address) }
	f.network.cut.Store(&cut)
}

// TestHostOutOfStep guards against streams that go on at another version because a host takes an old list of targets for
// that of the store: while it is out of step, engines of a second version join, begin streams through other hosts and crash.
func TestHostOutOfStep(t *testing.T) {
	const (
		settleTime  = 2 * time.Second
		joinedCount = 4
		// ownerLossTime is how long it takes until a host that is cut off from all others is its own owner.
		ownerLossTime = 2600 * time.Millisecond
		// firstCrashAfter is the time after which all engines that have joined crash, and crashInterval that between two
		// crashes.
		firstCrashAfter, crashInterval = 500 * time.Millisecond, 2400 * time.Millisecond
	)
	faults := []struct {
		name  string
		fault storeFault
		// still is set if the host's callers wait for the end of the fault too, and lag is how long after it the
		// answers of the store come.
		still bool
		lag   time.Duration
	}{
		{name: "silent", fault: storeFault{silent: true}},
		{name: "refused", fault: storeFault{refused: true}},
		{name: "slow", fault: storeFault{latency: 200 * time.Millisecond}},
		{name: "stands still", fault: storeFault{silent: true}, still: true, lag: 50 * time.Millisecond},
	}
	// Shorter and longer than what it takes to find out that the store is silent, and than targets are given to be listed again.
	spans := []time.Duration{time.Second, 3 * time.Second, 12 * time.Second}
	for _, size := range sizesOf(15) {
		for _, c := range faults {
			for _, span := range spans {
				for _, role := range []string{"cut off", "the owner"} {
					t.Run(fmt.Sprint(size, " hosts, ", role, ", ", c.name, ", ", span), func(t *testing.T) {
						clearPools()
						synctest.Test(t, func(t *testing.T) {
							defer clearPools()
							f := newVersionedFleet(t, size)
							f.startAll()
							f.observe(4)
							out := f.owner()
							if role == "cut off" {
								out = f.hosts[(out.number+1)%size]
							}
							var mu sync.Mutex
							var ended chan struct{}
							f.pick = func(resumes bool) *simulatedHost {
								h := f.hosts[rand.IntN(len(f.hosts))]
								if resumes {
									h = out
								}
								mu.Lock()
								wait := ended
								mu.Unlock()
								if h == out && c.still && wait != nil {
									<-wait
								}
								return h
							}
							ctx, stop := context.WithTimeout(context.Background(), settleTime+ownerLossTime+span+8*time.Second+crashMargin)
							defer stop()
							var senders sync.WaitGroup
							senders.Go(func() { f.sendStreams(ctx) })
							time.Sleep(settleTime)
							f.outOfStep.Store(out)
							if role == "cut off" || c.still {
								f.isolate(out)
							}
							if role == "cut off" && !c.still {
								time.Sleep(ownerLossTime)
							}
							mu.Lock()
							ended = make(chan struct{})
							mu.Unlock()
							out.store.set(c.fault)
							time.Sleep(100 * time.Millisecond)
							joined := f.join(joinedCount, "v1.1")
							crashAll := func() {
								for _, e := range joined {
									e.crash("v1.1", 0)
								}
							}
							end := time.Now().Add(span)
							for wait := firstCrashAfter; time.Now().Add(wait).Before(end); wait = crashInterval {
								time.Sleep(wait)
								crashAll()
							}
							time.Sleep(time.Until(end))
							f.network.cut.Store(nil)
							out.store.set(storeFault{latency: c.lag})
							mu.Lock()
							close(ended)
							ended = nil
							mu.Unlock()
							time.Sleep(stableTime)
							out.store.set(storeFault{})
							f.outOfStep.Store(nil)
							f.crashEngines(ctx, engineCrashInterval, func(v swid.SoftwareVersion) swid.SoftwareVersion { return v }, 0)
							senders.Wait()
							time.Sleep(downTime)
							f.killAll()
							f.checkVersions(t, false)
						})
					})
				}
			}
		}
	}
}

// TestRejoined guards against streams that are joined from two versions after all hosts were killed while two versions serve, or
// when one has just left.
func TestRejoined(t *testing.T) {
	const joinedCount = 8
	cases := []struct {
		name string
		// pause is the time after the new version has joined; 0 stands for 1.5 s.
		pause time.Duration
		// before happens before the hosts are killed, while they are away, and after they are back.
		before, away, after func(f *versionedFleet)
	}{
		{name: "two versions"},
		{name: "two versions, store slow", after: func(f *versionedFleet) {
			f.disturbAll(storeFault{latency: 200 * time.Millisecond})
			time.Sleep(2 * time.Second)
			f.disturbAll(storeFault{})
		}},
		{name: "two versions, store away", after: func(f *versionedFleet) {
			f.deployment.store.setUnavailable(true)
			time.Sleep(2 * time.Second)
			f.deployment.store.setUnavailable(false)
		}},
		{name: "the old version has just left", before: func(f *versionedFleet) { f.remove("v1") }},
		{name: "the old version leaves while the hosts are away", away: func(f *versionedFleet) { f.remove("v1") }},
		{name: "the new version leaves while the hosts are away", away: func(f *versionedFleet) { f.remove("v1.1") }},
		{name: "killed just after the new version joined", pause: 150 * time.Millisecond},
		{name: "killed just after the new version joined, which leaves", pause: 150 * time.Millisecond, away: func(f *versionedFleet) { f.remove("v1.1") }},
		{name: "killed just after a third version joined", before: func(f *versionedFleet) {
			f.join(joinedCount, "v1.2")
			time.Sleep(150 * time.Millisecond)
		}, away: func(f *versionedFleet) { f.remove("v1.1") }},
		{name: "store set back to before the new version joined", away: func(f *versionedFleet) {
			f.deployment.store.setBackBefore("joined-v1.1-0", 1500*time.Millisecond)
		}},
		{name: "three versions", before: func(f *versionedFleet) {
			f.join(joinedCount, "v1.2")
			time.Sleep(2 * time.Second)
			f.remove("v1")
		}},
	}
	for _, size := range sizesOf(15) {
		for _, c := range cases {
			t.Run(fmt.Sprint(size, " hosts, ", c.name), func(t *testing.T) {
				clearPools()
				synctest.Test(t, func(t *testing.T) {
					defer clearPools()
					f := newVersionedFleet(t, size)
					f.retryPause = 300 * time.Millisecond
					f.startAll()
					f.observe(4)
					f.deployment.store.keepCopy("joined-v1.1-0")
					ctx, stop := context.WithTimeout(context.Background(), 14*time.Second)
					defer stop()
					var senders sync.WaitGroup
					senders.Go(func() { f.sendStreams(ctx) })
					time.Sleep(2 * time.Second)
					f.join(joinedCount, "v1.1")
					time.Sleep(cmp.Or(c.pause, 1500*time.Millisecond))
					run := func(do func(*versionedFleet)) {
						if do != nil {
							do(f)
						}
					}
					run(c.before)
					f.killAll()
					run(c.away)
					f.startAll()
					run(c.after)
					<-ctx.Done()
					senders.Wait()
					f.killAll()
					f.checkVersions(t, false)
				})
			})
		}
	}
}

// disturbAll disturbs the calls of the store that all hosts make.
func (f *simulatedFleet) disturbAll(fault storeFault) {
	for _, h := range f.hosts {
		h.store.set(fault)
	}
}

// remove ends the engines of a version and removes their entries.
func (f *versionedFleet) remove(version swid.SoftwareVersion) {
	f.mu.Lock()
	engines := slices.Clone(f.engines)
	f.mu.Unlock()
	for _, e := range engines {
		if e.serves(version) {
			e.end()
			f.deployment.store.targets.remove(string(e.id))
		}
	}
}

// end ends the engine for good.
func (v *versionedEngine) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = true
	close(v.crashed)
}

// sendStreams begins a stream each f.streamInterval until ctx ends, and waits for their ends.
func (f *versionedFleet) sendStreams(ctx context.Context) {
	var streams sync.WaitGroup
	defer streams.Wait()
	for ctx.Err() == nil {
		streams.Go(func() { f.stream(ctx) })
		time.Sleep(f.streamInterval)
	}
}

// keptCopy is a copy of a store from before a target was listed.
type keptCopy struct {
	target string
	store  *fakeStore
}

// keepCopy keeps a copy of the store, without an entry, for setBackBefore.
func (s *fakeStore) keepCopy(target string) {
	c := s.copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = keptCopy{target, c}
}

// setBackBefore sets the store back to the kept copy. The targets write their entries again after a time.
func (s *fakeStore) setBackBefore(target string, rewrittenAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept.target != target {
		panic("no copy from before " + target)
	}
	targets := s.targets.items
	s.revision = s.kept.store.revision
	s.targets.restore(&s.kept.store.targets)
	s.hosts.restore(&s.kept.store.hosts)
	s.values.restore(&s.kept.store.values)
	s.streams.restore(&s.kept.store.streams)
	s.era++
	s.notifyWatchers()
	time.AfterFunc(rewrittenAfter, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.targets.rewrite(targets)
		s.notifyWatchers()
	})
}
