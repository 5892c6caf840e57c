package swvalue

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swreach"
)

// newReachHarness returns a harness with hosts "h", "i" and "j", whose requests may be carried, and targets with many
// slots.
func newReachHarness(targets ...swid.TargetID) *harness {
	carriers := swreach.NewDirectory()
	b := &harness{cell: New(Config{Carriers: carriers, Service: "s"}, Fastest{}, ByWorth{}), now: 1000}
	for _, host := range []swid.HostID{"h", "i", "j"} {
		carriers.Update(host, swreach.Report{Zone: "z", Carries: true}, b.now)
	}
	b.configure(4, targets...)
	return b
}

func heldBy(host swid.HostID) func(*swcell.GrantRequest) {
	return func(a *swcell.GrantRequest) { a.Key.Holder = host }
}

func cutOff(a *swcell.GrantRequest) { a.Carry = true }

// TestCarrier checks when a request is carried, and by whom.
func TestCarrier(t *testing.T) {
	// runAll has every request of a host end with a result at each of the targets.
	runAll := func(b *harness, host swid.HostID, targets int, result swcell.Result) {
		for range targets {
			b.run(b.newGrantRequest(heldBy(host)), result)
		}
	}
	tests := []struct {
		name    string
		prepare func(b *harness)
		change  func(*swcell.GrantRequest)
		// want are the hosts that may carry the request: "" for none.
		want []swid.HostID
	}{
		{"the holder reaches targets", func(*harness) {}, nil, []swid.HostID{""}},
		{"the holder says that it reaches none", func(*harness) {}, cutOff, []swid.HostID{"i", "j"}},
		{"the holder could connect to no target", func(b *harness) { runAll(b, "h", 2, swcell.ResultNotStarted) }, nil, []swid.HostID{"i", "j"}},
		{"the holder could connect to no target some time ago", func(b *harness) {
			runAll(b, "h", 2, swcell.ResultNotStarted)
			b.now += maxUnreachableTime
			for _, host := range []swid.HostID{"h", "i", "j"} {
				b.cell.cfg.Carriers.(*swreach.Directory).Update(host, swreach.Report{Zone: "z", Carries: true}, b.now)
			}
		}, nil, []swid.HostID{""}},
		{"another host could connect to no target", func(b *harness) { runAll(b, "i", 2, swcell.ResultNotStarted) }, cutOff, []swid.HostID{"j"}},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			b := newReachHarness("a", "b")
			e.prepare(b)
			g, ok := grantOf(b.step(b.newGrantRequest(e.change)))
			if !ok {
				t.Fatal("not granted")
			}
			found := false
			for _, host := range e.want {
				found = found || g.Carrier == host
			}
			if !found {
				t.Errorf("carried by %q, want one of %q", g.Carrier, e.want)
			}
		})
	}
}

// TestLostCarrier checks that a carrier that a host could not reach carries its next requests no more.
func TestLostCarrier(t *testing.T) {
	b := newReachHarness("a")
	first, _ := grantOf(b.step(b.newGrantRequest(cutOff)))
	b.step(swcell.Done{Key: first.Key, Attempt: 1, Target: "a", Result: swcell.ResultNotStarted, CarrierLost: true})
	second, ok := grantOf(b.step(b.newGrantRequest(cutOff)))
	if !ok || second.Carrier == "" || second.Carrier == first.Carrier {
		t.Errorf("granted %t with carrier %q, want another one than %q", ok, second.Carrier, first.Carrier)
	}
}

// TestNoCarrier checks that a request is rejected at once if no host reaches a target.
func TestNoCarrier(t *testing.T) {
	b := newReachHarness("a")
	carriers := b.cell.cfg.Carriers.(*swreach.Directory)
	for _, host := range []swid.HostID{"h", "i", "j"} {
		carriers.Update(host, swreach.Report{Zone: "z", Carries: true, Cut: []swid.ServiceID{"s"}}, b.now)
	}
	rejected := false
	for _, a := range b.step(b.newGrantRequest(cutOff)) {
		r, ok := a.(swcell.Reject)
		rejected = rejected || ok && r.RetryAfter > 0
	}
	if !rejected {
		t.Error("a request that no host can send is not rejected with the time to come back")
	}
}

// TestPathFailures checks which failures of hosts count against a target.
func TestPathFailures(t *testing.T) {
	tests := []struct {
		name string
		run  func(b *harness)
		want bool
	}{
		{"one host fails, and the target is not heard from", func(b *harness) {
			for range unansweredLimit {
				b.run(b.newGrantRequest(nil), swcell.ResultNoAnswer)
			}
		}, true},
		{"one host fails, and another one hears from the target", func(b *harness) {
			for range 2 * unansweredLimit {
				b.run(b.newGrantRequest(heldBy("i")), swcell.ResultAnswered)
				b.run(b.newGrantRequest(nil), swcell.ResultNoAnswer)
			}
		}, false},
		{"one host fails, and another one heard from the target long ago", func(b *harness) {
			b.run(b.newGrantRequest(heldBy("i")), swcell.ResultAnswered)
			b.now += otherSignTime + 1
			for range unansweredLimit {
				b.run(b.newGrantRequest(nil), swcell.ResultNoAnswer)
			}
		}, true},
		{"two hosts fail after a third one heard from the target", func(b *harness) {
			b.run(b.newGrantRequest(heldBy("j")), swcell.ResultAnswered)
			b.now += 10
			b.run(b.newGrantRequest(nil), swcell.ResultNoAnswer)
			b.run(b.newGrantRequest(heldBy("i")), swcell.ResultNoAnswer)
		}, true},
		{"the host says that it reaches no target", func(b *harness) {
			for range 2 * unansweredLimit {
				g, _ := grantOf(b.step(b.newGrantRequest(nil)))
				b.step(swcell.Done{Key: g.Key, Attempt: 1, Target: g.Target, Result: swcell.ResultNoAnswer, PathLost: true})
			}
		}, false},
		{"the carrier is lost", func(b *harness) {
			for range 2 * unansweredLimit {
				g, _ := grantOf(b.step(b.newGrantRequest(nil)))
				b.step(swcell.Done{Key: g.Key, Attempt: 1, Target: g.Target, Result: swcell.ResultNoAnswer, CarrierLost: true})
			}
		}, false},
		{"a host hears from the target by a probe afterwards", func(b *harness) {
			for range unansweredLimit {
				b.run(b.newGrantRequest(nil), swcell.ResultNoAnswer)
			}
			b.step(swcell.TargetHeard{Target: "a", Host: "i"})
		}, false},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			b := newReachHarness("a")
			e.run(b)
			if got := b.cell.byID["a"].probing(); got != e.want {
				t.Errorf("the target is being probed: %t, want %t", got, e.want)
			}
		})
	}
}

// TestUnreachableBackoff checks that a host that cannot connect to a target is granted it at growing intervals.
func TestUnreachableBackoff(t *testing.T) {
	b := newReachHarness("a")
	reach := &b.cell.byID["a"].reach
	for _, want := range []swclock.Millis{unreachableTime, 2 * unreachableTime, maxUnreachableTime, maxUnreachableTime} {
		reach.lost("h", b.now)
		if reach.reachableFrom("h", b.now+want-1) || !reach.reachableFrom("h", b.now+want) || !reach.reachableFrom("i", b.now) {
			t.Errorf("the host is not kept from the target for %d ms", want)
		}
		b.now += want
	}
	reach.heard("h", b.now)
	reach.lost("h", b.now)
	if !reach.reachableFrom("h", b.now+unreachableTime) {
		t.Error("the interval is not reset after the target was heard from")
	}
}

// TestCarriedInFlight checks that a new owner knows the carrier of a running request.
func TestCarriedInFlight(t *testing.T) {
	b := newReachHarness("a")
	request := b.newGrantRequest(cutOff)
	b.step(swcell.InFlight{GrantRequest: request, Target: "a", Carrier: "i"})
	if r := b.cell.running[runKey{request.Key, request.Attempt}]; r == nil || r.sender() != "i" {
		t.Errorf("the run is %+v, want it carried by i", r)
	}
}
