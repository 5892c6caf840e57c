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

// rolloutFleet is a fleet during a roll-out. It plays the operator and the platform too.
type rolloutFleet struct {
	*versionedFleet
	// fault is how the new version answers from badAfter the order on.
	fault    func() answerFault
	badAfter time.Duration

	mu sync.Mutex
	// ordered is set from the order to its deadline. arrived and exposed count the requests that reached a host, and those that
	// reached the new version, since. bad counts its bad answers, of which the 50th was sent at spentAt.
	ordered               bool
	arrived, exposed, bad int
	spentAt, lastSent     time.Time
	decidedAt             time.Time
	state                 swrollout.State
	orderedAt             time.Time
}

func newRolloutFleet(t *testing.T, size int, fault func() answerFault, badAfter time.Duration) *rolloutFleet {
	f := &rolloutFleet{versionedFleet: newVersionedFleet(t, size), fault: fault, badAfter: badAfter}
	f.rollout = rolloutBounds
	f.pick = func(bool) *simulatedHost {
		f.mu.Lock()
		defer f.mu.Unlock()
		h := f.hosts[rand.IntN(len(f.hosts))]
		if f.ordered && h.current.Load() != nil {
			f.arrived++
		}
		return h
	}
	if os.Getenv("ROLLOUT_LOG") != "" {
		f.log = os.Stderr
	}
	return f
}

// observeStart counts a request that a new engine runs.
func (f *rolloutFleet) observeStart(swid.SoftwareVersion) answerFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSent = time.Now()
	if f.ordered {
		f.exposed++
	}
	var fault answerFault
	if time.Since(f.orderedAt) >= f.badAfter {
		fault = f.fault()
	}
	if fault != (answerFault{}) {
		if f.bad++; f.bad == badAnswers {
			f.spentAt = time.Now()
		}
	}
	return fault
}

// order writes the order, and starts the new engines a moment later.
func (f *rolloutFleet) order() {
	f.mu.Lock()
	f.ordered, f.orderedAt = true, time.Now()
	f.mu.Unlock()
	f.deployment.store.rollouts.put("model", swcatalog.Rollout{Order: swrollout.Order{
		ID: "1", Service: "model", To: newVersion, Duration: swclock.Millis(rolloutSpan / time.Millisecond),
	}})
	time.Sleep(500 * time.Millisecond)
	for _, e := range f.join(newEngines, newVersion) {
		e.observe = f.observeStart
	}
}

// operate carries out what the status of the order says, until ctx ends.
func (f *rolloutFleet) operate(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		f.deployment.store.mu.Lock()
		state := f.deployment.store.rollouts.items["model"].Value.Record.State
		f.deployment.store.mu.Unlock()
		f.mu.Lock()
		decided := state.Final() && !f.state.Final()
		if decided {
			f.state, f.decidedAt = state, time.Now()
		}
		f.mu.Unlock()
		switch {
		case !decided:
		case state == swrollout.StateCompleted:
			f.stop("v1")
		default:
			time.Sleep(time.Second)
			f.stop(newVersion)
		}
	}
}

// stop stops the engines of a version at once.
func (f *rolloutFleet) stop(version swid.SoftwareVersion) {
	f.versionedFleet.mu.Lock()
	engines := slices.Clone(f.engines)
	f.versionedFleet.mu.Unlock()
	for _, e := range engines {
		e.mu.Lock()
		if e.version == version && !e.down {
			e.down = true
			close(e.crashed)
		}
		e.mu.Unlock()
		if e.version == version {
			f.deployment.store.targets.remove(string(e.id))
		}
	}
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
						running.Go(func() { f.operate(ctx) })
						time.Sleep(2 * time.Second)
						orderedAt := time.Now()
						f.order()
						time.Sleep(time.Until(orderedAt.Add(v.eventAfter)))
						e.run(f)
						time.Sleep(time.Until(orderedAt.Add(rolloutSpan)))
						f.mu.Lock()
						f.ordered = false
						f.mu.Unlock()
						running.Wait()
						f.killAll()
						f.check(t, orderedAt, v.sound, e.forgets)
					})
				})
			}
		}
	}
}

// check checks the roll-out.
func (f *rolloutFleet) check(t *testing.T, orderedAt time.Time, sound, forgets bool) {
	bound := rolloutBounds.MaxShare*float64(f.arrived) + float64(rolloutBounds.Slack)
	last := time.Duration(0)
	if !f.spentAt.IsZero() {
		last = f.lastSent.Sub(f.spentAt)
	}
	t.Logf("%v %v after the order; %d requests, exposure %d, bound %.0f; %d bad answers, last request %v after the 50th; %d calls of the store; begun %d of %d, mixed %d",
		f.state, f.decidedAt.Sub(orderedAt), f.arrived, f.exposed, bound, f.bad, last, f.deployment.store.rolloutCalls, f.fresh.begun, f.fresh.sent, f.mixed)
	want := swrollout.StateRolledBack
	if sound {
		want = swrollout.StateCompleted
	}
	if f.state != want || f.decidedAt.After(orderedAt.Add(rolloutSpan)) {
		t.Errorf("%v %v after the order, want %v within %v", f.state, f.decidedAt.Sub(orderedAt), want, rolloutSpan)
	}
	if !sound && float64(f.exposed) > bound {
		t.Errorf("%d requests of %d reached a bad version, want at most %.0f", f.exposed, f.arrived, bound)
	}
	if limit := rolloutBounds.RollbackWithin.Duration(); last > limit {
		t.Errorf("a bad version got a request %v after its 50th bad answer, want at most %v", last, limit)
	}
	f.checkVersions(t, !sound || forgets)
}
