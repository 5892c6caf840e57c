package swfleet

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// TestConfirmedByOwner guards against hosts that accept a removed key, act on an old configuration or deny sound keys because the
// owner of the shared cells confirms their configuration for them, and against the calls of the store that this saves.
func TestConfirmedByOwner(t *testing.T) {
	const (
		revokeWithin = 5 * swclock.Second
		// applyWithin is how long hosts that reach the store may act on the former configuration.
		applyWithin = 2 * time.Second
		quietSpan   = 20 * time.Second
		// maxCallsPerHost bounds the calls of the store in quietSpan in the mean; they are 9 if each host confirms for itself.
		maxCallsPerHost = 4
		faultSpan       = 10 * time.Second
		interval        = 50 * time.Millisecond
	)
	const (
		owner = iota
		another
	)
	silent, refused, slow := storeFault{silent: true}, storeFault{refused: true}, storeFault{latency: 250 * time.Millisecond}
	cases := []struct {
		name string
		// store is the fault of the store at the disturbed hosts, which are isolated from others if isolated is set.
		store     storeFault
		isolated  bool
		disturbed []int
		// all is set if the fault is that of all hosts.
		all bool
		// killed is set if the owner is killed when the configuration changes.
		killed bool
	}{
		{name: "undisturbed"},
		{name: "store of the owner silent", store: silent, disturbed: []int{owner}},
		{name: "store of the owner refused", store: refused, disturbed: []int{owner}},
		{name: "store of the owner slow", store: slow, disturbed: []int{owner}},
		{name: "owner cut off from all", store: silent, isolated: true, disturbed: []int{owner}},
		{name: "owner cut off from the hosts", isolated: true, disturbed: []int{owner}},
		{name: "owner killed", killed: true},
		{name: "store of a host silent", store: silent, disturbed: []int{another}},
		{name: "host cut off from all", store: silent, isolated: true, disturbed: []int{another}},
		{name: "store of the owner and a host silent", store: silent, disturbed: []int{owner, another}},
		{name: "store slow", store: slow, all: true},
	}
	for _, size := range sizesOf(15) {
		for _, c := range cases {
			t.Run(fmt.Sprint(size, " hosts, ", c.name), func(t *testing.T) {
				clearPools()
				synctest.Test(t, func(t *testing.T) {
					defer clearPools()
					f := newSimulatedFleet(t, size)
					f.requestsPerHost, f.revokeWithin = 0, revokeWithin
					f.startAll()
					f.observe(8)
					before := f.storeCalls()
					time.Sleep(quietSpan)
					if calls := float64(f.storeCalls()-before) / float64(size); calls > maxCallsPerHost {
						t.Errorf("%.1f calls of the store by each host in %v, want at most %d", calls, quietSpan, maxCallsPerHost)
					}
					first := f.owner()
					var disturbed []*simulatedHost
					for _, which := range c.disturbed {
						h := first
						if which == another {
							h = f.hosts[(first.number+1)%size]
						}
						disturbed = append(disturbed, h)
						h.store.set(c.store)
						if c.isolated {
							f.isolate(h)
						}
					}
					if c.all {
						f.disturbAll(c.store)
					}
					time.Sleep(100 * time.Millisecond)
					if c.killed {
						first.stop()
						<-first.ended
					}
					changed := *catalogOf(2)
					changed.Organisations = changed.Organisations[:1]
					f.deployment.store.catalogs.put("main", &changed)
					var accepted, late, stale int
					for passed := time.Duration(0); passed < faultSpan; passed += interval {
						for _, h := range f.hosts {
							host := h.current.Load()
							if host == nil {
								continue
							}
							_, known := host.gate.Table().Organisation("limited")
							fresh, sound := host.gate.ConfigFresh(), !slices.Contains(disturbed, h)
							if known && fresh && passed > revokeWithin.Duration() {
								accepted++
							}
							if known && sound && passed > applyWithin {
								late++
							}
							if !fresh && sound {
								stale++
							}
						}
						time.Sleep(interval)
					}
					if accepted > 0 {
						t.Errorf("the removed key was accepted %d times", accepted)
					}
					if late > 0 {
						t.Errorf("hosts had the former configuration %d times later than %v after the change", late, applyWithin)
					}
					if stale > 0 {
						t.Errorf("hosts that reach the store denied all keys %d times", stale)
					}
					f.killAll()
				})
			})
		}
	}
}

// storeCalls returns the number of calls of the store that the hosts have made.
func (f *simulatedFleet) storeCalls() (n int64) {
	for _, h := range f.hosts {
		n += h.store.calls.Load()
	}
	return n
}

// TestTargetsAskedOfAll guards against an owner that asks the same hosts for the targets again and again, although they cannot read
// the store either.
func TestTargetsAskedOfAll(t *testing.T) {
	const (
		span = 20 * swclock.Second
		// maxPerSecond bounds the questions in the mean.
		maxPerSecond = 4
	)
	tests := []struct {
		name  string
		hosts int
		// behind is the share of the hosts that say that they hold no later targets.
		behind float64
		// minAsked is how many different hosts are asked at least.
		minAsked int
	}{
		{"one host", 1, 0, 1},
		{"two hosts", 2, 0, 2},
		{"15 hosts", 15, 0, 15},
		{"15 hosts, a third without the store", 15, 1.0 / 3, 10},
		{"137 hosts", 137, 0, 40},
		{"137 hosts, most without the store", 137, 0.95, 7},
		{"300 hosts, a third without the store", 300, 1.0 / 3, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var questions targetQuestions
			asked := make(map[int]int)
			total, behind := 0, int(tt.behind*float64(tt.hosts))
			for now := swclock.Second; now < span; now += swquota.RegistrationInterval {
				for host := range tt.hosts {
					var r swmsg.Registration
					if host < behind {
						r.TargetsAfter, r.TargetsEra = 8, 2
					}
					at := now + swclock.Millis(host)*swquota.RegistrationInterval/swclock.Millis(tt.hosts)
					if questions.mayAsk(at, 8, 2, swid.HostID(fmt.Sprint(host)), &r) {
						total++
						asked[host]++
					}
				}
			}
			for host := range behind {
				if asked[host] > 0 {
					t.Errorf("host %d was asked, which holds no later targets", host)
				}
			}
			if len(asked) < tt.minAsked {
				t.Errorf("%d different hosts were asked, want at least %d", len(asked), tt.minAsked)
			}
			if total > int(maxPerSecond*span/swclock.Second) {
				t.Errorf("%d questions in %v", total, span.Duration())
			}
		})
	}
}
