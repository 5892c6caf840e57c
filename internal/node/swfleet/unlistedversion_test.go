package swfleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// TestUnlistedVersion guards against streams that go on at another version than the one that began them, where engines of the only
// version that is listed are back under their ids at a second one, crash again, and could not be listed meanwhile. Those that other engines
// began go on.
func TestUnlistedVersion(t *testing.T) {
	const (
		// upTime is how long engines that are back run until they crash again.
		upTime = 8 * time.Second
		// away is for how long after the last crash the store is away.
		away = 200 * time.Millisecond
	)
	cases := []struct {
		name string
		next swid.SoftwareVersion
		// share is the share of the engines that crash.
		share float64
		// crashes is how often they come back while the store is away, each time at a later version if next is one.
		crashes int
		// seenByOne is set if the store is away at all hosts but one.
		seenByOne bool
		// ownerKilled is set if the owner is killed before the engines crash again.
		ownerKilled bool
	}{
		{name: "at another version", next: "v1.1", share: 0.5, crashes: 1},
		{name: "at another version, twice", next: "v1.1", share: 0.5, crashes: 2},
		{name: "at another version, one host reaches the store", next: "v1.1", share: 0.5, crashes: 1, seenByOne: true},
		{name: "at another version, owner killed", next: "v1.1", share: 0.5, crashes: 1, ownerKilled: true},
		{name: "at another version, owner killed, a quarter", next: "v1.1", share: 0.25, crashes: 1, ownerKilled: true},
		{name: "at the same version", next: "v1", share: 0.5, crashes: 1},
		{name: "at the same version, a quarter", next: "v1", share: 0.25, crashes: 1},
	}
	for _, size := range sizesOf(15) {
		for _, c := range cases {
			t.Run(fmt.Sprint(size, " hosts, ", c.name), func(t *testing.T) {
				clearPools()
				synctest.Test(t, func(t *testing.T) {
					defer clearPools()
					f := newVersionedFleet(t, size)
					f.startAll()
					f.observe(4)
					ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
					defer stop()
					var senders sync.WaitGroup
					senders.Go(func() { f.sendStreams(ctx) })
					time.Sleep(2 * time.Second)
					if c.seenByOne {
						for _, h := range f.hosts[1:] {
							h.store.set(storeFault{refused: true})
						}
					} else {
						f.deployment.store.setUnavailable(true)
					}
					crashing := f.engines[:int(c.share*float64(len(f.engines)))]
					version := c.next
					for range c.crashes {
						for _, e := range crashing {
							e.crash(version, time.Minute)
						}
						time.Sleep(downTime + upTime)
						if version != "v1" {
							version += ".1"
						}
					}
					if c.ownerKilled {
						f.restartOwner()
						time.Sleep(300 * time.Millisecond)
					}
					for _, e := range crashing {
						e.crash(c.next, away+time.Second)
					}
					time.Sleep(away)
					f.deployment.store.setUnavailable(false)
					for _, h := range f.hosts {
						h.store.set(storeFault{})
					}
					<-ctx.Done()
					senders.Wait()
					time.Sleep(time.Minute)
					f.killAll()
					f.checkVersions(t, false)
					if f.mixed > 0 {
						t.Errorf("%d streams have events of two versions", f.mixed)
					}
				})
			})
		}
	}
}
