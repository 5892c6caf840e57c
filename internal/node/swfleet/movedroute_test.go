package swfleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// otherService is a second service of engines, to which routes are moved.
const otherService swid.ServiceID = "other"

// routeTo makes a configuration in which the streams go to services, each with the same share.
func (f *versionedFleet) routeTo(services ...swid.ServiceID) {
	c := *f.deployment.store.catalogs.items["main"].Value
	c.Version++
	c.Routes = slices.Clone(c.Routes)
	i := slices.IndexFunc(c.Routes, func(r swcatalog.Route) bool { return r.Resumable })
	c.Routes[i].Shares = nil
	for _, s := range services {
		c.Routes[i].Shares = append(c.Routes[i].Shares, swcatalog.Share{Service: s, Weight: 1})
	}
	f.deployment.store.catalogs.put("main", &c)
}

// TestMovedRoute guards against streams that are joined from two services, each with a single software version, after
// their route was moved from one to the other and all hosts were killed.
func TestMovedRoute(t *testing.T) {
	const engineCount = 8
	cases := []struct {
		name string
		run  func(f *versionedFleet)
	}{
		{"moved", func(f *versionedFleet) { f.routeTo(otherService) }},
		{"split", func(f *versionedFleet) { f.routeTo("model", otherService) }},
		{"moved and moved back", func(f *versionedFleet) {
			f.routeTo(otherService)
			time.Sleep(time.Second)
			f.routeTo("model")
		}},
		{"moved after the targets of the former service have left", func(f *versionedFleet) {
			f.remove("v1")
			time.Sleep(300 * time.Millisecond)
			f.routeTo(otherService)
		}},
		{"moved, the targets of the former service leave", func(f *versionedFleet) {
			f.routeTo(otherService)
			time.Sleep(300 * time.Millisecond)
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
					catalog := f.deployment.store.catalogs.items["main"].Value
					catalog.Services = append(catalog.Services, swcatalog.Service{ID: otherService, Engine: catalog.Services[0].Engine})
					f.joinService(engineCount, otherService, "o1")
					f.startAll()
					f.observe(4)
					ctx, stop := context.WithTimeout(context.Background(), 14*time.Second)
					defer stop()
					var senders sync.WaitGroup
					senders.Go(func() { f.sendStreams(ctx) })
					time.Sleep(2 * time.Second)
					c.run(f)
					time.Sleep(time.Second)
					f.restartAll()
					<-ctx.Done()
					senders.Wait()
					f.killAll()
					// A stream cannot go on at a service to which its route leads no more.
					const refused = true
					f.checkVersions(t, refused)
				})
			})
		}
	}
}
