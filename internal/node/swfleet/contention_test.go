package swfleet

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// TestContendedScheduling guards against plain services that stay with each host while their targets turn requests away, or with the owner for
// good, beside failures of the owner and the store.
func TestContendedScheduling(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(f *simulatedFleet)
	}{
		{"undisturbed", func(*simulatedFleet) {}},
		{"owner killed", func(f *simulatedFleet) { f.restartOwner() }},
		{"store away", func(f *simulatedFleet) { f.disturbAll(storeFault{refused: true}) }},
		{"hosts cut in two", func(f *simulatedFleet) { f.cutInTwo(2 * time.Second) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clearPools()
			synctest.Test(t, func(t *testing.T) {
				defer clearPools()
				testContendedScheduling(t, tt.disturb)
			})
		})
	}
}

func testContendedScheduling(t *testing.T, disturb func(f *simulatedFleet)) {
	const (
		// The targets take 8 * 7 requests at once, for 100 ms each.
		interval  = time.Millisecond
		burstTime = 8 * time.Second
		// settleTime is what it takes to go back: the time without contention, that for which a new owner goes on, and two registrations.
		settleTime = 18 * time.Second
	)
	f := newMixedFleet(t, 15)
	f.setAdapters(func(id swid.TargetID) swtarget.Adapter {
		// One that becomes brittle long after the test turns requests away, and nothing else.
		return &brittleTarget{slots: 7, duration: 100 * time.Millisecond, from: time.Now().Add(time.Hour), fallen: make(chan struct{})}
	})
	f.startAll()
	f.observe(4)
	check := func(when string, want bool) {
		t.Helper()
		for _, h := range f.hosts {
			if host := h.current.Load(); host != nil && (host.view.scheduling() == swmsg.SchedulingShared) != want {
				t.Errorf("%s: host %d has its requests scheduled by the owner: %t", when, h.number, !want)
			}
		}
	}
	check("before", false)
	ctx, cancel := context.WithTimeout(context.Background(), burstTime)
	defer cancel()
	var sent outcomes
	go f.sendEvery(ctx, interval, "/plain/x", func() string { return fmt.Sprint(time.Now().UnixNano()) }, &sent)
	time.Sleep(time.Second)
	check("a second after the burst began", true)
	disturb(f)
	<-ctx.Done()
	check("at the end of the burst", true)
	f.disturbAll(storeFault{})
	time.Sleep(settleTime)
	check("long after the burst", false)
	sent.mu.Lock()
	t.Logf("%d of %d requests answered", sent.answered, sent.sent)
	sent.mu.Unlock()
	f.killAll()
}
