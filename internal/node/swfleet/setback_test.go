package swfleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

const (
	// setBackTime is the time after the return of a store that was set back until which what is
	// written to it has to be in force, as at any other time.
	setBackTime = 2 * time.Second
	// hiddenTime is the time in which the entries of targets lapse that are not renewed.
	hiddenTime = missedHeartbeats * time.Second
)

// TestStoreSetBack guards against hosts that ignore what is written to a store that was set back to an
// earlier copy, and against ones that believe the copy in what they know better.
func TestStoreSetBack(t *testing.T) {
	for _, size := range sizesOf(15) {
		clearPools()
		synctest.Test(t, func(t *testing.T) {
			defer clearPools()
			f := newMixedFleet(t, size)
			store := f.deployment.store
			f.startAll()
			f.observe(4)
			earlier := store.copy()
			// After the copy was made, one target drains, one drains and goes, one appears, and a host
			// restarts, whose new process does not know of the one that has gone.
			drain := func(id swid.TargetID) {
				target := store.targets.items[string(id)].Value
				target.Draining = true
				store.targets.put(string(id), target)
			}
			drain("model-1")
			drain("model-2")
			time.Sleep(time.Second)
			store.targets.remove("model-2")
			f.deployment.addTarget("model-8", "model", 7)
			restarted := f.hosts[3]
			restarted.stop()
			<-restarted.ended
			restarted.start()
			for range 1000 {
				store.values.put("other", nil) // takes the revision far ahead of the copy
			}
			time.Sleep(4 * time.Second)
			incarnation := restarted.current.Load().self.Incarnation
			store.setBack(earlier, "model-1")
			f.deployment.addTarget("model-9", "model", 7)
			next := *store.catalogs.items["main"].Value
			next.Version++
			store.catalogs.put("main", &next)
			time.Sleep(setBackTime)
			for _, h := range f.hosts {
				view := h.current.Load().view
				if got := h.current.Load().gate.Table().Catalog().Version; got != next.Version {
					t.Errorf("host %d has configuration %d %v after the store's return, want %d", h.number, got, setBackTime, next.Version)
				}
				for _, id := range []swid.TargetID{"model-8", "model-9"} {
					if _, listed := view.target(id); !listed {
						t.Errorf("host %d does not list %s %v after the store's return", h.number, id, setBackTime)
					}
				}
				if target, _ := view.target("model-1"); !target.Draining {
					t.Errorf("host %d takes %s for active, which had been draining", h.number, "model-1")
				}
				if _, listed := view.target("model-2"); listed && h != restarted {
					t.Errorf("host %d lists %s, which had gone", h.number, "model-2")
				}
			}
			time.Sleep(hiddenTime)
			for _, h := range f.hosts {
				host := h.current.Load()
				if target, listed := host.view.target("model-2"); listed && !target.Draining && h != restarted {
					t.Errorf("host %d takes %s for active, which had gone", h.number, "model-2")
				}
				if n := len(host.view.Members()); n != size {
					t.Errorf("host %d knows %d hosts, want %d", h.number, n, size)
				}
			}
			entry := string(restarted.current.Load().self.Host)
			f.killAll()
			if got := store.hosts.items[entry].Value.Incarnation; got != incarnation {
				t.Errorf("the entry of a restarted host has incarnation %d, want %d", got, incarnation)
			}
		})
	}
}

// remove removes an object and records the change.
func (s *fakeSource[T]) remove(name string) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.revision++
	item := s.items[name]
	item.Revision = s.store.revision
	delete(s.items, name)
	s.changeLog = append(s.changeLog, swwatch.Change[T]{Item: item, Removed: true})
	s.store.notifyWatchers()
}
