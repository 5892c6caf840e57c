package swfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
)

// addSuccessors adds an engine for each one, which is not listed yet.
func (f *simulatedFleet) addSuccessors() {
	for i := range f.hosts {
		former := f.deployment.targets[swid.TargetID(fmt.Sprint("engine-", i))]
		id := swid.TargetID(fmt.Sprint("successor-", i))
		f.deployment.targets[id] = &fakeTarget{id: id, slots: former.slots, duration: former.duration, runs: make(map[swid.RequestID]int)}
	}
}

// replaceEngines has all engines drain, and lists their successors at the same time. The former are no longer listed after a while.
func (f *simulatedFleet) replaceEngines(drain time.Duration) {
	targets := &f.deployment.store.targets
	for i := range f.hosts {
		targets.update(fmt.Sprint("engine-", i), func(t *swcatalog.Target) { t.Draining = true })
		id := swid.TargetID(fmt.Sprint("successor-", i))
		targets.put(string(id), swcatalog.Target{ID: id, Service: "model", Zone: "z", Address: string(id), Slots: f.deployment.targets[id].slots, Born: 1})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(drain)
	for i := range f.hosts {
		targets.remove(fmt.Sprint("engine-", i))
	}
}

// TestOwnerWithoutStore guards against an owner that cannot reach the store and schedules by an old list of targets, although other
// hosts have a later one: it grants engines that are leaving, again and again, and none that have come.
func TestOwnerWithoutStore(t *testing.T) {
	const (
		perSecond = 4
		span      = 12 * time.Second
		// settled is the time after which those hosts know the engines that have come.
		settled = 4 * time.Second
		// maxAttempts bounds the attempts for each answer in the mean: grants that a holder cannot use are the exception.
		maxAttempts = 1.1
	)
	cases := []struct {
		name  string
		fault storeFault
		// share is the share of the other hosts that cannot reach the store either.
		share float64
	}{
		{"refused", storeFault{refused: true}, 0},
		{"silent", storeFault{silent: true}, 0},
		{"refused, also at a third of the others", storeFault{refused: true}, 1.0 / 3},
	}
	for _, size := range sizesOf(15) {
		for _, c := range cases {
			t.Run(fmt.Sprint(size, " hosts, ", c.name), func(t *testing.T) {
				clearPools()
				synctest.Test(t, func(t *testing.T) {
					defer clearPools()
					f := newSimulatedFleet(t, size)
					f.requestsPerHost = 0
					f.addSuccessors()
					f.startAll()
					f.observe(8)
					owner := f.owner()
					owner.store.set(c.fault)
					for _, h := range f.hosts {
						if h != owner && rand.Float64() < c.share {
							h.store.set(c.fault)
						}
					}
					time.Sleep(2 * time.Second)
					go f.replaceEngines(3 * time.Second)
					began := time.Now()
					var mu sync.Mutex
					var asked, answered, attempts int
					var callers sync.WaitGroup
					for time.Since(began) < span {
						time.Sleep(time.Second / time.Duration(perSecond*size))
						callers.Go(func() {
							late := time.Since(began) > settled
							call := newCall("/model/x", uniqueBody())
							call.Deadline = swclock.FromDuration(patience)
							result := f.hosts[rand.IntN(size)].current.Load().gate.Serve(context.Background(), call, discardSink{})
							if !late {
								return
							}
							mu.Lock()
							defer mu.Unlock()
							asked++
							if result.Report.End.Outcome == swlife.OutcomeAnswered {
								answered++
								attempts += int(result.Report.Attempts)
							}
						})
					}
					callers.Wait()
					if float64(answered) < minServed*float64(asked) {
						t.Errorf("%d of %d requests were answered", answered, asked)
					}
					if float64(attempts) > maxAttempts*float64(answered) {
						t.Errorf("%d attempts for %d answers", attempts, answered)
					}
					f.killAll()
				})
			})
		}
	}
}
