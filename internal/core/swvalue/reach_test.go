package swvalue

import (
	"fmt"
	"slices"
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

// report has the hosts report once, all of which can carry requests and reach the service or not.
func (b *harness) report(reaches bool, hosts ...swid.HostID) {
	r := swreach.Report{Zone: "z", Carries: true}
	if !reaches {
		r.Cut = []swid.ServiceID{"s"}
	}
	for _, host := range hosts {
		b.cell.cfg.Carriers.(*swreach.Directory).Update(host, r, b.now)
	}
}

// TestNoCarrier checks that a request that no host can send is rejected at once if that is not expected to change in a moment.
func TestNoCarrier(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(b *harness)
		change  func(*swcell.GrantRequest)
	}{
		{"no host has reached the service for some time", func(b *harness) {
			b.report(false, "h", "i", "j")
			b.now += outageWait
			b.report(false, "h", "i", "j")
		}, nil},
		{"hosts came and went meanwhile", func(b *harness) {
			b.report(false, "h", "i", "j")
			b.now += outageWait
			b.report(false, "h", "k")
			b.cell.cfg.Carriers.(*swreach.Directory).Remove("i")
		}, nil},
		{"a host reaches the service, but cannot carry", func(b *harness) {
			b.report(false, "h", "i")
			b.cell.cfg.Carriers.(*swreach.Directory).Update("j", swreach.Report{Zone: "z"}, b.now)
		}, nil},
		{"it has tried all targets", func(b *harness) { b.report(false, "h", "i", "j") }, func(r *swcell.GrantRequest) { r.Exclude = []swid.TargetID{"a"} }},
		{"no target is active", func(b *harness) {
			b.report(false, "h", "i", "j")
			b.configure(4)
		}, nil},
		{"no host reports", func(b *harness) { b.now += swclock.Minute }, nil},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			b := newReachHarness("a")
			e.prepare(b)
			rejected := false
			for _, a := range b.step(b.newGrantRequest(func(r *swcell.GrantRequest) {
				r.Carry = true
				if e.change != nil {
					e.change(r)
				}
			})) {
				r, ok := a.(swcell.Reject)
				rejected = rejected || ok && r.Reason == swcell.ReasonNoTarget && r.RetryAfter > 0
			}
			if !rejected {
				t.Error("a request that no host can send is not rejected with the time to come back")
			}
		})
	}
}

// TestWaitForReach guards against requests that are rejected because no host reaches the service for a moment.
func TestWaitForReach(t *testing.T) {
	const (
		before = 500 // the time from the begin of the outage to the request
		back   = 800 // the time from the request until hosts reach the service again, if they do
	)
	tests := []struct {
		name    string
		targets []swid.TargetID
		// prepare may change what is known of the hosts before the request, when they all have reported that they reach nothing.
		prepare func(b *harness)
		change  func(*swcell.GrantRequest)
		// back is called back after the request; nil if no host reaches the service again.
		back func(b *harness, r swcell.GrantRequest) []swcell.Action
		// granted is set if the request is to be granted, by carrier if that is set, and decided is when it is to be granted or
		// rejected, after the request.
		granted bool
		carrier swid.HostID
		decided swclock.Millis
	}{
		{"no host reaches the service again", []swid.TargetID{"a"}, nil, nil, nil, false, "", outageWait - before},
		{"its host has not reported that yet", []swid.TargetID{"a"}, func(b *harness) { b.report(true, "h") }, nil, nil, false, "", outageWait - before},
		{"a host has not reported that yet, but failed to carry", []swid.TargetID{"a"}, func(b *harness) {
			b.report(true, "i")
			b.run(b.newGrantRequest(cutOff), swcell.ResultNotStarted)
		}, nil, nil, true, "i", unreachableTime},
		{"it has little time", []swid.TargetID{"a"}, nil, func(r *swcell.GrantRequest) { r.Deadline -= 18 * swclock.Second }, nil, false, "", maxWaitShare*2000 + reviewInterval},
		{"its caller would leave", []swid.TargetID{"a"}, nil, func(r *swcell.GrantRequest) { r.Abandon = r.Deadline - 18*swclock.Second }, nil, false, "", maxWaitShare*2000 + reviewInterval},
		{"its last target goes", []swid.TargetID{"a"}, nil, nil, func(b *harness, r swcell.GrantRequest) []swcell.Action {
			b.configure(4)
			return nil
		}, false, "", swclock.Second},
		{"another host reaches the service", []swid.TargetID{"a", "b"}, nil, nil, func(b *harness, r swcell.GrantRequest) []swcell.Action {
			b.report(true, "i")
			return b.step(swcell.TargetHeard{Target: "a", Host: "i"})
		}, true, "i", back},
		{"its host reaches the service", []swid.TargetID{"a", "b"}, nil, nil, func(b *harness, r swcell.GrantRequest) []swcell.Action {
			b.report(true, "h")
			actions := b.step(swcell.TargetHeard{Target: "a", Host: "h"})
			r.Carry = false
			return append(actions, b.step(r)...)
		}, true, "", back + reviewInterval},
		{"all do", []swid.TargetID{"a", "b"}, nil, nil, func(b *harness, r swcell.GrantRequest) []swcell.Action {
			b.report(true, "h", "i", "j")
			actions := b.step(swcell.TargetHeard{Target: "a", Host: "i"})
			r.Carry = false
			return append(actions, b.step(r)...)
		}, true, "", back},
		{"an attempt was not answered before", []swid.TargetID{"a", "b"}, nil, func(r *swcell.GrantRequest) { r.Attempt, r.Exclude = 2, []swid.TargetID{"a"} },
			func(b *harness, r swcell.GrantRequest) []swcell.Action {
				b.report(true, "i")
				return b.step(swcell.TargetHeard{Target: "a", Host: "i"})
			}, true, "i", back},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			b := newReachHarness(e.targets...)
			b.report(false, "h", "i", "j")
			b.now += before
			if e.prepare != nil {
				e.prepare(b)
			}
			request := b.newGrantRequest(func(r *swcell.GrantRequest) {
				r.Carry = true
				if e.change != nil {
					e.change(r)
				}
			})
			sent := b.now
			actions := b.step(request)
			if len(actions) > 0 {
				t.Fatalf("decided at once: %+v", actions)
			}
			var decided swclock.Millis
			for ; b.now <= sent+2*swclock.Second; b.now += reviewInterval {
				if b.now == sent+back && e.back != nil {
					actions = append(actions, e.back(b, request)...)
				}
				actions = append(actions, b.step(swcell.Tick{})...)
				if len(actions) > 0 && decided == 0 {
					decided = b.now - sent
				}
			}
			actions = slices.Compact(actions) // a grant that may be lost is repeated
			if len(actions) != 1 || decided > e.decided || decided < e.decided-reviewInterval {
				t.Fatalf("decided after %d ms by %+v, want one decision after %d ms", decided, actions, e.decided)
			}
			g, granted := actions[0].(swcell.Grant)
			if granted != e.granted || e.carrier != "" && g.Carrier != e.carrier {
				t.Errorf("decided %+v, want granted %t, carried by %q", actions[0], e.granted, e.carrier)
			}
		})
	}
}

// TestCarryChanges checks that a waiting request is carried if its host has lost its targets since it was sent, and only then.
func TestCarryChanges(t *testing.T) {
	for _, carry := range []bool{false, true} {
		b := newReachHarness("a")
		var running []swcell.Grant
		for range 4 {
			g, _ := grantOf(b.step(b.newGrantRequest(nil)))
			running = append(running, g)
		}
		request := b.newGrantRequest(func(r *swcell.GrantRequest) { r.Carry = !carry })
		b.step(request)
		request.Carry = carry
		b.step(request)
		g, granted := grantOf(b.end(running[0], swcell.ResultAnswered))
		if !granted || g.Key != request.Key || (g.Carrier != "") != carry {
			t.Errorf("granted %t to request %d by way of %q, want carried: %t", granted, g.Key.Seq, g.Carrier, carry)
		}
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
		{"the carrier has no room", func(b *harness) {
			for range 2 * unansweredLimit {
				g, _ := grantOf(b.step(b.newGrantRequest(nil)))
				b.step(swcell.Done{Key: g.Key, Attempt: 1, Target: g.Target, Result: swcell.ResultNotStarted, CarrierLost: true})
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

// countingCarriers counts the calls of Pick.
type countingCarriers struct {
	*swreach.Directory
	picks int
}

func (c *countingCarriers) Pick(holder swid.HostID, service swid.ServiceID, now swclock.Millis, reaches func(swid.HostID) bool) (swid.HostID, bool) {
	c.picks++
	return c.Directory.Pick(holder, service, now, reaches)
}

// TestCarrierLooks guards against an owner that looks for a carrier for each waiting request and target.
func TestCarrierLooks(t *testing.T) {
	const requests = 300
	holders := []swid.HostID{"h", "i", "j"}
	var targets []swid.TargetID
	for i := range 20 {
		targets = append(targets, swid.TargetID(fmt.Sprint("t", i)))
	}
	b := newReachHarness(targets...)
	b.report(false, holders...)
	counting := &countingCarriers{Directory: b.cell.cfg.Carriers.(*swreach.Directory)}
	b.cell.cfg.Carriers = counting
	for n := range requests {
		b.step(b.newGrantRequest(func(r *swcell.GrantRequest) { r.Carry, r.Key.Holder = true, holders[n%len(holders)] }))
	}
	if counting.picks > 0 {
		t.Errorf("looked for a carrier %d times while no host reaches the service, want never", counting.picks)
	}
	counting.Update("i", swreach.Report{Zone: "z", Carries: true}, b.now)
	actions := b.step(swcell.TargetHeard{Target: targets[0], Host: "i"})
	b.now += reviewInterval
	actions = append(actions, b.step(swcell.Tick{})...)
	if limit := 2*len(actions) + 2*len(holders); counting.picks > limit || len(actions) == 0 {
		t.Errorf("looked for a carrier %d times for %d grants, want %d times at most", counting.picks, len(actions), limit)
	}
}
