package swfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/caller/swgate"
	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
)

const (
	// changeInterval is the time between two changes of the configuration, and changeSpan how long it changes.
	changeInterval = 120 * time.Millisecond
	changeSpan     = 8 * time.Second
	// endsWithin is the time after its deadline in which a request has to end.
	endsWithin = 500 * time.Millisecond
	// shortestTimeout is the shortest that a change sets for a route.
	shortestTimeout swclock.Millis = 300
)

// changeEnds counts how requests ended while the configuration changes.
type changeEnds struct {
	mu sync.Mutex
	// denied requests were refused by the gate, refused ones by the scheduler; neither has run. late ones ended at their deadline.
	answered, denied, refused, late int
	// faults has the other ends by path and cause.
	faults map[string]int
}

// callThroughChanges sends a request to a host and counts its end. Its deadline does not pass before least.
func (f *partitionedFleet) callThroughChanges(h *simulatedHost, path string, least time.Duration, e *changeEnds) {
	call := newCall(path, uniqueBody())
	call.Deadline = swclock.FromDuration(longStreamPatience)
	// The body arrives while the configuration changes.
	arrives := time.Duration(rand.Int64N(int64(2 * changeInterval)))
	var read time.Time
	call.ReadBody = func(swcatalog.Limits, swid.OrgID) ([]byte, error) {
		time.Sleep(arrives)
		read = time.Now()
		return []byte(call.ID), nil
	}
	sink := &checkedSink{f: f, id: call.ID}
	result := h.current.Load().gate.Serve(f.deployment.t.Context(), call, sink)
	end, took := result.Report.End, time.Since(read)
	events := map[string]int{"/model/x": streamEvents, "/stream/x": streamEvents, "/long/x": longStream}[path]
	whole := strings.Repeat(string(call.ID)+"\n", max(events, 1))
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := ""
	switch {
	case result.Denial != swgate.DeniedNone:
		e.denied++
	case end.Outcome == swlife.OutcomeAnswered && string(sink.data) == whole:
		e.answered++
	case end.Outcome == swlife.OutcomeAnswered:
		fault = fmt.Sprintf("answered with %d of %d bytes", len(sink.data), len(whole))
	case end.Cause == swlife.CauseDeadline && took > least-time.Millisecond: // the unit of the hosts' clocks
		e.late++
	case !result.Report.Begun && end.Outcome == swlife.OutcomeNotRun && end.Cause != swlife.CauseCallerGone:
		e.refused++
	default:
		fault = fmt.Sprintf("begun %t, %s, %s", result.Report.Begun, end.Outcome, end.Cause)
	}
	if !read.IsZero() && took > longStreamPatience+endsWithin {
		fault = fmt.Sprintf("ended after %v", took)
	}
	if fault != "" {
		e.faults[path+": "+fault]++
	}
}

// catalogChange is a kind of change of the configuration. change changes a copy whose routes and services it may write to; n counts
// the changes.
type catalogChange struct {
	name   string
	change func(c *swcatalog.Catalog, n int)
}

// changeRoutes changes all routes that have a name.
func changeRoutes(c *swcatalog.Catalog, change func(r *swcatalog.Route), names ...string) {
	for i := range c.Routes {
		if r := &c.Routes[i]; slices.Contains(names, r.Name) {
			change(r)
		}
	}
}

// catalogChanges are the kinds of changes. Each goes back and forth.
var catalogChanges = []catalogChange{
	{"route moved", func(c *swcatalog.Catalog, n int) {
		service := []swid.ServiceID{"model", otherService}[n%2]
		changeRoutes(c, func(r *swcatalog.Route) { r.Shares = []swcatalog.Share{{Service: service, Weight: 1}} }, "model", "stream", "long")
	}},
	{"weights", func(c *swcatalog.Catalog, n int) {
		changeRoutes(c, func(r *swcatalog.Route) {
			r.Shares = []swcatalog.Share{{Service: "model", Weight: float64(n % 3)}, {Service: otherService, Weight: 1}}
		}, "model", "stream", "long")
	}},
	{"route dropped", func(c *swcatalog.Catalog, n int) {
		c.Routes = slices.DeleteFunc(c.Routes, func(r swcatalog.Route) bool { return n%2 == 0 && (r.Name == "long" || r.Name == "once") })
	}},
	{"service dropped", func(c *swcatalog.Catalog, n int) {
		c.Services = slices.DeleteFunc(c.Services, func(s swcatalog.Service) bool { return n%2 == 0 && s.ID != "plain" })
	}},
	{"all services dropped", func(c *swcatalog.Catalog, n int) {
		if n%2 == 0 {
			c.Services = nil
		}
	}},
	{"engines become plain", func(c *swcatalog.Catalog, n int) {
		for i := range c.Services {
			if n%2 == 0 {
				c.Services[i].Engine = nil
			}
		}
	}},
	{"plain become engines", func(c *swcatalog.Catalog, n int) {
		for i := range c.Services {
			if c.Services[i].Engine == nil && n%2 == 0 {
				c.Services[i].Engine = c.Services[0].Engine
			}
		}
	}},
	{"fewer tokens", func(c *swcatalog.Catalog, n int) {
		for i := range c.Services {
			if engine := c.Services[i].Engine; engine != nil && n%2 == 0 {
				small := *engine
				small.KVTokens, small.Slots, small.EventTokens = 1, 1, 0
				c.Services[i].Engine = &small
			}
		}
	}},
	{"timeouts", func(c *swcatalog.Catalog, n int) {
		timeout := []swclock.Millis{0, 3000, shortestTimeout, 10 * swclock.Second}[n%4]
		for i := range c.Routes {
			c.Routes[i].Timeout, c.Routes[i].Objective, c.Routes[i].Tier = timeout, timeout/4, swid.Tier(n%3)
		}
	}},
	{"attempts", func(c *swcatalog.Catalog, n int) {
		for i := range c.Routes {
			c.Routes[i].Attempts = 1 + n%3
		}
	}},
	{"key revoked", func(c *swcatalog.Catalog, n int) {
		if n%2 == 0 {
			c.Organisations = []swcatalog.Organisation{{ID: "org", Keys: []string{"another"}}}
		}
	}},
	{"key given to another organisation", func(c *swcatalog.Catalog, n int) {
		if n%2 == 0 {
			c.Organisations = []swcatalog.Organisation{{ID: "second", Keys: []string{"key"}, HasTier: true, Tier: 2}}
		}
	}},
	{"quotas", func(c *swcatalog.Catalog, n int) {
		quota := []swcatalog.Quota{{}, {Rate: 1, Burst: 1}, {Rate: 1, Burst: 1, CountsTokens: true, DefaultTokens: 100}, {Rate: 1e6, Burst: 1e6}}[n%4]
		c.Organisations = []swcatalog.Organisation{{ID: "org", Keys: []string{"key"}, Quota: quota}}
	}},
	{"limits", func(c *swcatalog.Catalog, n int) {
		c.Limits = swcatalog.Limits{BodyBytes: 1 + n%2<<20, IdleTimeout: swclock.Millis(n%2) * swclock.Hour}
	}},
}

// changeTargets lets a target drain, leave the list and come back as another start.
func (f *partitionedFleet) changeTargets(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		for _, service := range []swid.ServiceID{"model", otherService, "plain"} {
			id := fmt.Sprint(service, "-", n%8)
			entry := f.deployment.store.targets.items[id].Value
			f.deployment.store.targets.update(id, func(t *swcatalog.Target) { t.Draining = true })
			time.Sleep(2 * changeInterval)
			f.deployment.store.targets.remove(id)
			time.Sleep(2 * changeInterval)
			entry.Born++
			f.deployment.store.targets.put(id, entry)
		}
	}
}

// TestChangesEndNoRequest guards against changes of the configuration, and of the targets beside them, that end requests which
// wait or run without an answer or a refusal.
func TestChangesEndNoRequest(t *testing.T) {
	cases := append(slices.Clone(catalogChanges), catalogChange{"all", func(c *swcatalog.Catalog, n int) {
		for range 3 {
			catalogChanges[rand.IntN(len(catalogChanges))].change(c, rand.IntN(12))
		}
	}})
	for _, size := range sizesOf(15) {
		for _, c := range cases {
			t.Run(fmt.Sprint(size, " hosts, ", c.name), func(t *testing.T) {
				clearPools()
				synctest.Test(t, func(t *testing.T) {
					defer clearPools()
					f := newPartitionedFleet(t, size)
					f.addLongStreams()
					f.addOtherService()
					base := f.deployment.store.catalogs.items["main"].Value
					f.startAll()
					f.observe(4)
					ctx, stop := context.WithTimeout(context.Background(), changeSpan)
					defer stop()
					ends, least := &changeEnds{faults: make(map[string]int)}, longStreamPatience
					if c.name == "timeouts" || c.name == "all" {
						least = shortestTimeout.Duration()
					}
					var tasks sync.WaitGroup
					for _, path := range []string{"/model/x", "/stream/x", "/long/x", "/plain/x", "/once/x", "/single/x"} {
						tasks.Go(func() {
							order := hostOrder{hosts: f.hosts}
							for ctx.Err() == nil {
								h := order.next()
								tasks.Go(func() { f.callThroughChanges(h, path, least, ends) })
								time.Sleep(30 * time.Millisecond * usualSize / time.Duration(max(size, usualSize)))
							}
						})
					}
					tasks.Go(func() { f.changeTargets(ctx) })
					version := base.Version
					for n := 0; ctx.Err() == nil; n++ {
						changed := *base
						changed.Routes, changed.Services = slices.Clone(base.Routes), slices.Clone(base.Services)
						c.change(&changed, n)
						version++
						changed.Version = version
						f.deployment.store.catalogs.put("main", &changed)
						time.Sleep(changeInterval)
					}
					tasks.Wait()
					f.killAll()
					t.Logf("%d answered, %d denied, %d refused, %d late; %d changes", ends.answered, ends.denied, ends.refused, ends.late, version-base.Version)
					if len(ends.faults) > 0 || ends.answered == 0 {
						t.Errorf("%d answered; ended in other ways: %v", ends.answered, ends.faults)
					}
				})
			})
		}
	}
}

// addOtherService adds otherService with eight targets.
func (f *partitionedFleet) addOtherService() {
	c := *f.deployment.store.catalogs.items["main"].Value
	c.Services = append(slices.Clone(c.Services), swcatalog.Service{ID: otherService, Engine: c.Services[0].Engine})
	c.Version++
	f.deployment.store.catalogs.put("main", &c)
	for i := range 8 {
		id := swid.TargetID(fmt.Sprint(otherService, "-", i))
		entry := f.deployment.store.targets.items["model-0"].Value
		entry.ID, entry.Service, entry.Address = id, otherService, string(id)
		f.deployment.store.targets.put(string(id), entry)
		f.targets[id] = &sharedTarget{silence: newPartition(), runs: make(map[swid.RequestID]int), ended: make(map[swid.RequestID]time.Time)}
	}
}
