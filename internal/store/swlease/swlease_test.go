package swlease

import (
	"context"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

const (
	term     = 10 * swclock.Second
	delivery = 2 * swclock.Second
)

func newLease(store swobject.Store, clock swclock.Clock) *Lease {
	return New(Config{Key: "lease", Term: term, DeliveryTimeout: delivery}, store, clock)
}

// TestOneHolder checks that no process acquires the lease before the term of the
// last holder and the delivery time of its orders have ended, and that fencing
// numbers never decrease. Processes pause at random, their clocks run at different
// rates, and the store loses responses and has outages.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := swmemstore.New(rapid.Uint64().Draw(rt, "seed"))
		clocks := make([]swclock.Manual, 3)
		var leases []*Lease
		for i := range clocks {
			leases = append(leases, newLease(store, &clocks[i]))
		}
		var highest Fencing
		ends := make([]swclock.Millis, len(leases)) // when each process's last term ends, in true time
		var now swclock.Millis
		steps := rapid.IntRange(20, 120).Draw(rt, "steps")
		for range steps {
			span := swclock.Millis(rapid.IntRange(1, 6000).Draw(rt, "span"))
			now += span
			for i := range clocks {
				// The clock rates differ by less than 1/clockRateBound.
				clocks[i].Advance(span + span*swclock.Millis(i)/250)
			}
			store.SetFaults(swmemstore.Faults{
				LostResponseRate: rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(rt, "lose"),
				Outage:           rapid.IntRange(0, 9).Draw(rt, "outage") == 0,
			})
			i := rapid.IntRange(0, len(leases)-1).Draw(rt, "lease") // the other processes are paused
			_ = leases[i].AcquireOrRenew(context.Background())
			for j, l := range leases {
				tenure, held := l.Held()
				if !held {
					continue
				}
				for k := range leases {
					if k != j && ends[k] > 0 && now < ends[k]+delivery {
						rt.Fatalf("%d holds the lease %d before the delivery time of %d ended", j, ends[k]+delivery-now, k)
					}
				}
				ends[j] = now + (tenure.Until-clocks[j].Now())*250/(250+swclock.Millis(j))
				if tenure.Fencing < highest {
					rt.Fatalf("fencing number %d after %d", tenure.Fencing, highest)
				}
				highest = tenure.Fencing
			}
		}
	})
}

func TestTakeOver(t *testing.T) {
	store, clock := swmemstore.New(1), &swclock.Manual{}
	a, b := newLease(store, clock), newLease(store, clock)
	step := func(l *Lease) bool {
		t.Helper()
		if err := l.AcquireOrRenew(context.Background()); err != nil {
			t.Fatal(err)
		}
		_, held := l.Held()
		return held
	}
	if !step(a) || step(b) {
		t.Fatal("the first process does not hold the lease alone")
	}
	clock.Advance(term)
	if _, held := a.Held(); held {
		t.Error("lease held after its term")
	}
	if step(b) {
		t.Error("lease taken before the wait ended")
	}
	clock.Advance(delivery + swclock.Second)
	if !step(b) || step(a) {
		t.Error("lease not taken after the wait")
	}
	if err := b.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !step(a) {
		t.Error("released lease not taken at once")
	}
}
