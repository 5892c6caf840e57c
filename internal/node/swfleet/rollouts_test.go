package swfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
)

const (
	// rolloutSpan is the time from an order to its deadline, and rolloutLinger how long a case goes on after it.
	rolloutSpan   = 40 * time.Second
	rolloutLinger = 4 * time.Second
	// newEngines is the number of engines of the new version.
	newEngines = 8
	// badAnswers is the number of bad answers after which a version may get requests for RollbackWithin.
	badAnswers = 50
	newVersion = "v2"
)

var rolloutBounds = swsettings.Rollout{MaxShare: 0.1, Slack: 50, RollbackWithin: 5 * swclock.Second}

// rolloutFleet is a fleet during roll-outs, of which trial is that of the engines.
type rolloutFleet struct {
	*versionedFleet
	trial *trial
}

func newRolloutFleet(t *testing.T, size int, fault func() answerFault, badAfter time.Duration) *rolloutFleet {
	f := &rolloutFleet{versionedFleet: newVersionedFleet(t, size)}
	f.trial = &trial{fleet: f.versionedFleet, service: "model", to: newVersion, fault: fault, badAfter: badAfter}
	f.rollout = rolloutBounds
	f.pick = func(bool) *simulatedHost {
		h := f.hosts[rand.IntN(len(f.hosts))]
		if h.current.Load() != nil {
			f.trial.arrive()
		}
		return h
	}
	if os.Getenv("ROLLOUT_LOG") != "" {
		f.log = os.Stderr
	}
	return f
}

// trial is a roll-out as the operator and the platform see it, which it plays too.
type trial struct {
	fleet   *versionedFleet
	service swid.ServiceID
	to      swid.SoftwareVersion
	// fault is how the new version answers from badAfter the order on.
	fault    func() answerFault
	badAfter time.Duration

	mu sync.Mutex
	// ordered is set from the order to its deadline. arrived and exposed count the requests that reached a host, and those that
	// reached the new version, since. bad counts its bad answers, of which the 50th was sent at spentAt.
	ordered               bool
	arrived, exposed, bad int
	spentAt, lastSent     time.Time
	orderedAt, decidedAt  time.Time
	state                 swrollout.State
	// cut counts the requests that ran at targets of the old versions when these stopped.
	cut int64
}

// arrive counts a request that reaches a host.
func (r *trial) arrive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ordered {
		r.arrived++
	}
}

// observe counts a request that a target of the new version runs, and returns how it is answered.
func (r *trial) observe(version swid.SoftwareVersion) answerFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version != r.to {
		return answerFault{}
	}
	r.lastSent = time.Now()
	if r.ordered {
		r.exposed++
	}
	var fault answerFault
	if time.Since(r.orderedAt) >= r.badAfter {
		fault = r.fault()
	}
	if fault != (answerFault{}) {
		if r.bad++; r.bad == badAnswers {
			r.spentAt = time.Now()
		}
	}
	return fault
}

// order writes the order, and starts targets of the new version a moment later.
func (r *trial) order(id swrollout.OrderID) []*versionedEngine {
	r.mu.Lock()
	r.ordered, r.orderedAt = true, time.Now()
	r.mu.Unlock()
	r.fleet.deployment.store.rollouts.put(string(r.service), swcatalog.Rollout{Order: swrollout.Order{
		ID: id, Service: r.service, To: r.to, Duration: swclock.Millis(rolloutSpan / time.Millisecond),
	}})
	time.Sleep(500 * time.Millisecond)
	joined := r.fleet.joinService(newEngines, r.service, r.to)
	for _, e := range joined {
		e.mu.Lock()
		e.observe = r.observe
		e.mu.Unlock()
	}
	return joined
}

// end ends the count of requests at the deadline.
func (r *trial) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ordered = false
}

// operate carries out what the status of the order says, until ctx ends.
func (r *trial) operate(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s := r.fleet.deployment.store
		s.mu.Lock()
		item := s.rollouts.items[string(r.service)].Value
		s.mu.Unlock()
		state := item.Record.State
		r.mu.Lock()
		decided := item.Order.To == r.to && state.Final() && !r.state.Final()
		if decided {
			r.state, r.decidedAt = state, time.Now()
		}
		r.mu.Unlock()
		switch {
		case !decided:
		case state == swrollout.StateCompleted:
			r.stop(func(v swid.SoftwareVersion) bool { return v != r.to })
		default:
			time.Sleep(time.Second)
			r.stop(func(v swid.SoftwareVersion) bool { return v == r.to })
		}
	}
}

// stop stops the targets of some versions at once.
func (r *trial) stop(stops func(swid.SoftwareVersion) bool) {
	f := r.fleet
	f.mu.Lock()
	engines := slices.Clone(f.engines)
	f.mu.Unlock()
	for _, e := range engines {
		e.mu.Lock()
		stopped := stops(e.version) && f.deployment.store.serviceOf(string(e.id)) == r.service
		if stopped && !e.down {
			if e.version != r.to {
				r.cut += e.running.Load()
			}
			e.down = true
			close(e.crashed)
		}
		e.mu.Unlock()
		if stopped {
			f.deployment.store.targets.remove(string(e.id))
		}
	}
}

// serviceOf returns the service of a target.
func (s *fakeStore) serviceOf(target string) swid.ServiceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.items[target].Value.Service
}

// cutThird cuts the links between a third of the hosts, without the owner, and the others for a time.
func (f *rolloutFleet) cutThird(span time.Duration) {
	owner := f.owner()
	third := make(map[string]bool)
	for i, h := range f.hosts {
		third[h.address()] = i%3 == (owner.number+1)%3
	}
	cut := func(from, to string) bool { return third[from] != third[to] }
	f.network.cut.Store(&cut)
	time.Sleep(span)
	f.network.cut.Store(nil)
}

// TestRollouts guards against a bad version that gets more than its share, or gets requests after it was found bad, and against a sound
// one that is not completed in time, or cuts streams when it is.
func TestRollouts(t *testing.T) {
	sometimes := func(share float64, fault answerFault) func() answerFault {
		return func() answerFault {
			if rand.Float64() < share {
				return fault
			}
			return answerFault{}
		}
	}
	// eventAfter is the time from the order to an event, and badLater that from which some versions are bad.
	const eventAfter, badLater = 8 * time.Second, 10 * time.Second
	versions := []struct {
		name     string
		sound    bool
		fault    func() answerFault
		badAfter time.Duration
		// eventAfter is the time from the order to the event.
		eventAfter time.Duration
	}{
		{name: "sound", sound: true, fault: func() answerFault { return answerFault{} }, eventAfter: eventAfter},
		{name: "fails at once", fault: sometimes(0.4, answerFault{fails: true})},
		{name: "fails", fault: sometimes(0.2, answerFault{fails: true}), badAfter: badLater, eventAfter: eventAfter},
		{name: "cuts", fault: sometimes(0.2, answerFault{cut: true}), badAfter: badLater, eventAfter: eventAfter},
		{name: "slow", fault: sometimes(0.4, answerFault{slowdown: 5}), badAfter: badLater, eventAfter: eventAfter},
	}
	events := []struct {
		name string
		run  func(f *rolloutFleet)
		// forgets is set if streams cannot be taken up that were held by the host that alone knew which version began them.
		forgets bool
	}{
		{name: "undisturbed", run: func(*rolloutFleet) {}},
		{name: "owner killed", forgets: true, run: func(f *rolloutFleet) {
			for range 3 {
				f.restartOwner()
				time.Sleep(3 * time.Second)
			}
		}},
		{name: "owner leaves", run: func(f *rolloutFleet) {
			for range 3 {
				owner := f.owner()
				owner.leave()
				<-owner.ended
				owner.start()
				time.Sleep(time.Second)
			}
		}},
		{name: "all hosts killed", run: func(f *rolloutFleet) {
			for range 2 {
				f.restartAll()
				time.Sleep(5 * time.Second)
			}
		}},
		{name: "all hosts killed, store away", run: func(f *rolloutFleet) {
			f.deployment.store.setUnavailable(true)
			go func() {
				time.Sleep(3 * time.Second)
				f.deployment.store.setUnavailable(false)
			}()
			f.restartAll()
		}},
		{name: "all hosts killed, orders listed late", run: func(f *rolloutFleet) {
			f.deployment.store.hideRollouts(true)
			f.restartAll()
			time.Sleep(15 * time.Second)
			f.deployment.store.hideRollouts(false)
		}},
		{name: "a third cut off", run: func(f *rolloutFleet) { f.cutThird(10 * time.Second) }},
		{name: "store away", run: func(f *rolloutFleet) {
			f.deployment.store.setUnavailable(true)
			time.Sleep(8 * time.Second)
			f.deployment.store.setUnavailable(false)
		}},
		{name: "store slow", run: func(f *rolloutFleet) {
			f.disturbAll(storeFault{latency: 250 * time.Millisecond})
			time.Sleep(15 * time.Second)
			f.disturbAll(storeFault{})
		}},
		{name: "store answers late", run: func(f *rolloutFleet) {
			f.disturbAll(storeFault{latency: 900 * time.Millisecond})
			time.Sleep(10 * time.Second)
			f.disturbAll(storeFault{})
		}},
		{name: "store set back", run: func(f *rolloutFleet) {
			earlier := f.deployment.store.copy()
			time.Sleep(3 * time.Second)
			f.deployment.store.setBack(earlier)
		}},
	}
	for _, size := range sizesOf(15) {
		for _, v := range versions {
			for _, e := range events {
				t.Run(fmt.Sprint(size, " hosts, ", v.name, ", ", e.name), func(t *testing.T) {
					clearPools()
					synctest.Test(t, func(t *testing.T) {
						defer clearPools()
						f := newRolloutFleet(t, size, v.fault, v.badAfter)
						f.startAll()
						f.observe(4)
						ctx, stop := context.WithTimeout(context.Background(), 2*time.Second+rolloutSpan+rolloutLinger)
						defer stop()
						var running sync.WaitGroup
						running.Go(func() { f.sendStreams(ctx) })
						running.Go(func() { f.trial.operate(ctx) })
						time.Sleep(2 * time.Second)
						f.trial.order("1")
						time.Sleep(time.Until(f.trial.orderedAt.Add(v.eventAfter)))
						e.run(f)
						time.Sleep(time.Until(f.trial.orderedAt.Add(rolloutSpan)))
						f.trial.end()
						running.Wait()
						f.killAll()
						f.trial.check(t, v.sound)
						f.checkVersions(t, !v.sound || e.forgets)
					})
				})
			}
		}
	}
}

// check checks the roll-out.
func (r *trial) check(t *testing.T, sound bool) {
	bound := rolloutBounds.MaxShare*float64(r.arrived) + float64(rolloutBounds.Slack)
	last := time.Duration(0)
	if !r.spentAt.IsZero() {
		last = r.lastSent.Sub(r.spentAt)
	}
	decided := r.decidedAt.Sub(r.orderedAt)
	t.Logf("%s: %v %v after the order; %d requests, exposure %d, bound %.0f; %d bad answers, last request %v after the 50th; %d calls of the store",
		r.service, r.state, decided, r.arrived, r.exposed, bound, r.bad, last, r.fleet.deployment.store.rolloutCalls)
	want := swrollout.StateRolledBack
	if sound {
		want = swrollout.StateCompleted
	}
	if r.state != want || decided > rolloutSpan {
		t.Errorf("%s: %v %v after the order, want %v within %v", r.service, r.state, decided, want, rolloutSpan)
	}
	if !sound && float64(r.exposed) > bound {
		t.Errorf("%s: %d requests of %d reached a bad version, want at most %.0f", r.service, r.exposed, r.arrived, bound)
	}
	if r.cut > 0 {
		t.Errorf("%s: %d requests were cut off at the completion", r.service, r.cut)
	}
	if limit := rolloutBounds.RollbackWithin.Duration(); last > limit {
		t.Errorf("%s: a bad version got a request %v after its 50th bad answer, want at most %v", r.service, last, limit)
	}
}

// sendPlain sends requests of the plain service until ctx ends, and counts them for its roll-out.
func (f *rolloutFleet) sendPlain(ctx context.Context, r *trial, o *outcomes) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		h := f.hosts[rand.IntN(len(f.hosts))]
		if h.current.Load() != nil {
			r.arrive()
			calls.Go(func() { f.sendCallTo(ctx, h, newCall("/plain/x", uniqueBody()), discardSink{}, o) })
		}
		time.Sleep(streamInterval)
	}
}

// TestRolloutOrders guards against orders that disturb each other or the service, and against requests at a version whose order was
// removed, replaced or cannot be carried out.
func TestRolloutOrders(t *testing.T) {
	sound := func() answerFault { return answerFault{} }
	fails := func() answerFault { return answerFault{fails: rand.Float64() < 0.4} }
	// pause is the time from an order to what happens to it, and settled the time after which that is in force.
	const pause, settled = 8 * time.Second, time.Second
	cases := []struct {
		name string
		run  func(t *testing.T, ctx context.Context, f *rolloutFleet)
	}{
		{"a plain service beside the engines, both fail", func(t *testing.T, ctx context.Context, f *rolloutFleet) {
			f.trial.fault = fails
			f.playBeside(t, ctx, fails, false)
		}},
		{"a sound plain service beside engines that fail", func(t *testing.T, ctx context.Context, f *rolloutFleet) {
			f.trial.fault = fails
			f.playBeside(t, ctx, sound, true)
		}},
		{"order removed", func(t *testing.T, ctx context.Context, f *rolloutFleet) {
			f.trial.order("1")
			time.Sleep(pause)
			f.deployment.store.rollouts.remove("model")
			removed := time.Now()
			<-ctx.Done()
			if f.trial.exposed == 0 || f.trial.lastSent.Sub(removed) > settled {
				t.Errorf("%d requests at the new version, the last one %v after its order was removed", f.trial.exposed, f.trial.lastSent.Sub(removed))
			}
		}},
		{"order replaced", func(t *testing.T, ctx context.Context, f *rolloutFleet) {
			f.trial.order("1")
			time.Sleep(pause)
			replaced := time.Now()
			next := &trial{fleet: f.versionedFleet, service: "model", to: "v3", fault: sound}
			next.order("2")
			next.operate(ctx)
			if f.trial.lastSent.Sub(replaced) > settled {
				t.Errorf("a request at the former version %v after its order was replaced", f.trial.lastSent.Sub(replaced))
			}
			next.check(t, true)
		}},
		{"order repeated after a roll-back", func(t *testing.T, ctx context.Context, f *rolloutFleet) {
			f.trial.fault = fails
			f.trial.order("1")
			operating, stop := context.WithCancel(ctx)
			time.AfterFunc(pause, stop)
			f.trial.operate(operating)
			f.trial.check(t, false)
			f.trial.state, f.trial.bad, f.trial.exposed, f.trial.arrived, f.trial.spentAt = 0, 0, 0, 0, time.Time{}
			f.trial.fault = sound
			f.trial.order("2")
			f.trial.operate(ctx)
			f.trial.check(t, true)
		}},
		{"no such version", func(t *testing.T, ctx context.Context, f *rolloutFleet) {
			f.deployment.store.rollouts.put("model", swcatalog.Rollout{Order: swrollout.Order{
				ID: "1", Service: "model", To: "v9", Duration: swclock.Millis(pause / time.Millisecond),
			}})
			f.trial.to, f.trial.orderedAt = "v9", time.Now()
			f.trial.operate(ctx)
			f.trial.check(t, false)
		}},
		{"no such service", func(_ *testing.T, ctx context.Context, f *rolloutFleet) {
			f.deployment.store.rollouts.put("none", swcatalog.Rollout{Order: swrollout.Order{
				ID: "1", Service: "none", To: "v9", Duration: swclock.Millis(pause / time.Millisecond),
			}})
			<-ctx.Done()
		}},
		{"engines crash", func(t *testing.T, ctx context.Context, f *rolloutFleet) {
			f.trial.order("1")
			crashing, stop := context.WithTimeout(ctx, rolloutSpan/2)
			defer stop()
			var operating sync.WaitGroup
			operating.Go(func() { f.trial.operate(ctx) })
			f.crashEngines(crashing, engineCrashInterval, func(v swid.SoftwareVersion) swid.SoftwareVersion { return v }, 0)
			operating.Wait()
			f.trial.check(t, true)
		}},
		{"an engine of the new version rejoins at the old one", func(t *testing.T, ctx context.Context, f *rolloutFleet) {
			joined := f.trial.order("1")
			time.AfterFunc(pause, func() {
				joined[0].crash("v1", 300*time.Millisecond) // the others have room for the load
			})
			f.trial.operate(ctx)
			f.trial.check(t, true)
		}},
	}
	for _, size := range sizesOf(15) {
		for _, c := range cases {
			t.Run(fmt.Sprint(size, " hosts, ", c.name), func(t *testing.T) {
				clearPools()
				synctest.Test(t, func(t *testing.T) {
					defer clearPools()
					f := newRolloutFleet(t, size, sound, 0)
					f.startAll()
					f.observe(4)
					ctx, stop := context.WithTimeout(context.Background(), 2*time.Second+pause+rolloutSpan+rolloutLinger)
					defer stop()
					var running sync.WaitGroup
					running.Go(func() { f.sendStreams(ctx) })
					time.Sleep(2 * time.Second)
					c.run(t, ctx, f)
					running.Wait()
					f.killAll()
					f.checkVersions(t, true)
				})
			})
		}
	}
}

// playBeside plays a roll-out of the plain service beside one of the engines that fail.
func (f *rolloutFleet) playBeside(t *testing.T, ctx context.Context, fault func() answerFault, sound bool) {
	plain := &trial{fleet: f.versionedFleet, service: "plain", to: "p2", fault: fault}
	var o outcomes
	var running sync.WaitGroup
	running.Go(func() { f.sendPlain(ctx, plain, &o) })
	running.Go(func() { f.trial.operate(ctx) })
	running.Go(func() { plain.operate(ctx) })
	f.trial.order("1")
	plain.order("2")
	running.Wait()
	f.trial.check(t, false)
	plain.check(t, sound)
	t.Logf("%d of %d plain requests answered", o.answered, o.sent)
	if float64(o.answered) < minServed*float64(o.sent) {
		t.Errorf("%d of %d plain requests answered", o.answered, o.sent)
	}
}

// TestRolloutsNotInForce guards against calls of the store, and requests kept from a version, where roll-outs are not in force. In calm a
// few of the equal engines get most requests of a play, by chance, so that the share is that of several plays.
func TestRolloutsNotInForce(t *testing.T) {
	const plays = 10
	exposed, arrived := 0, 0
	for range plays {
		clearPools()
		synctest.Test(t, func(t *testing.T) {
			defer clearPools()
			f := newRolloutFleet(t, 15, func() answerFault { return answerFault{} }, 0)
			f.rollout = swsettings.Rollout{}
			f.startAll()
			f.observe(4)
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			f.trial.order("1")
			f.sendStreams(ctx)
			f.killAll()
			if calls := f.deployment.store.rolloutCalls; calls > 0 {
				t.Errorf("%d calls of the store", calls)
			}
			exposed, arrived = exposed+f.trial.exposed, arrived+f.trial.arrived
		})
	}
	if exposed < arrived/4 {
		t.Errorf("%d of %d requests at the new version", exposed, arrived)
	}
}
