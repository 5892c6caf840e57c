package swvalue

import (
	"fmt"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
)

// TestContinuesAfterDoubt guards against the rejection of streams that may go on a moment later: all targets of their version
// have just broken off other streams, and one of them shows that it did not end.
func TestContinuesAfterDoubt(t *testing.T) {
	first, second := sworigin.Origin{Service: "s", Version: "v1"}, sworigin.Origin{Service: "s", Version: "v2"}
	for _, continues := range []bool{true, false} {
		register := sworigin.NewRegister(100)
		register.SetServing(map[swid.ServiceID][]sworigin.Origin{"s": {first, second}}, 0)
		b := &harness{cell: New(Config{Service: "s", Origins: register}, Fastest{}, ByWorth{}), now: 1000}
		b.step(swcell.Configure{Targets: []swcell.Target{
			{ID: "a", State: swcell.TargetActive, Slots: 2, Version: first.Version},
			{ID: "b", State: swcell.TargetActive, Slots: 2, Version: first.Version},
			{ID: "c", State: swcell.TargetActive, Slots: 2, Version: second.Version},
		}})
		run := func(exclude ...swid.TargetID) swcell.Grant {
			g, granted := grantOf(b.step(b.newGrantRequest(func(r *swcell.GrantRequest) { r.Resumable, r.Exclude = true, exclude })))
			if !granted {
				t.Fatal("a stream was not granted")
			}
			return g
		}
		broken := []swcell.Grant{run("b", "c"), run("a", "c")}
		going := run("a", "c")
		b.now += 50
		b.step(swcell.Progress{Key: going.Key, Attempt: going.Attempt, Produced: 5})
		b.now += 50
		for _, g := range broken {
			b.step(swcell.Done{Key: g.Key, Attempt: g.Attempt, Target: g.Target, Result: swcell.ResultBroken})
		}
		b.now += 10
		request := b.newGrantRequest(func(r *swcell.GrantRequest) {
			r.Resumable, r.Exclude = true, []swid.TargetID{"c"}
			if continues {
				r.Exclude, r.Continuation = nil, sworigin.Continuation{Continues: true, Stream: 7, Origin: first}
			}
		})
		for _, a := range b.step(request) {
			t.Errorf("continues: %t: %#v while the version of all targets is in doubt", continues, a)
		}
		b.now += 50
		if g, granted := grantOf(b.step(swcell.Progress{Key: going.Key, Attempt: going.Attempt, Produced: 10})); !granted || g.Target != "b" {
			t.Errorf("continues: %t: granted %t at %q, want b, which works on an earlier run", continues, granted, g.Target)
		}
	}
}

// TestContinuationPrecedes guards against streams that are taken up and rank behind new ones, as their own objective has
// passed or the new ones are as valuable: their callers have had the first output.
func TestContinuationPrecedes(t *testing.T) {
	first := sworigin.Origin{Service: "s", Version: "v1"}
	tests := []struct {
		name            string
		continues, late bool
		// wantNew is set if the new request is to be granted first.
		wantNew bool
		// lower is set if the stream's tier and that of its organisation are lower than those of the new request.
		lower bool
		// pending is set if the origin of the stream becomes known only after both requests came.
		pending bool
	}{
		{"late", true, true, false, false, false},
		{"in time, after the new one", true, false, false, false, false},
		{"late, but no continuation", false, true, true, false, false},
		{"no continuation, after the new one", false, false, true, false, false},
		{"of lower tiers", true, false, false, true, false},
		{"of lower tiers, origin not known at first", true, false, false, true, true},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			register := sworigin.NewRegister(100)
			register.SetServing(map[swid.ServiceID][]sworigin.Origin{"s": {first}}, 0)
			b := &harness{cell: New(Config{Service: "s", Origins: register}, Fastest{}, ByWorth{}), now: 1000}
			b.step(swcell.Configure{Targets: []swcell.Target{{ID: "a", State: swcell.TargetActive, Slots: 1, Version: first.Version}}})
			running, _ := grantOf(b.step(b.newGrantRequest(nil)))
			send := func(continues, late bool) swcell.Key {
				request := b.newGrantRequest(func(r *swcell.GrantRequest) {
					r.Objective = b.now + 9000
					if late {
						r.Objective = b.now + 10
					}
					if continues {
						r.Continuation = sworigin.Continuation{Continues: true, Stream: 7, Origin: first}
						if e.lower {
							r.Tier, r.OrgTier = 2, 2
						}
						if e.pending {
							r.Continuation.Origin = sworigin.Origin{}
						}
					}
				})
				b.step(request)
				return request.Key
			}
			var taken, fresh swcell.Key
			if e.late {
				taken = send(e.continues, true)
				b.now += 100
				fresh = send(false, false)
			} else {
				fresh = send(false, false)
				b.now += 100
				taken = send(e.continues, false)
			}
			if e.pending {
				register.Confirm(b.now)
				b.step(swcell.Tick{})
			}
			g, granted := grantOf(b.end(running, swcell.ResultAnswered))
			if got := g.Key == fresh; !granted || got != e.wantNew {
				t.Errorf("granted %t to request %d, of %d (taken up) and %d (new)", granted, g.Key.Seq, taken.Seq, fresh.Seq)
			}
		})
	}
}

// TestContinuationNeedsTheRest guards against streams that are taken up and rejected because there is no time for the whole answer.
func TestContinuationNeedsTheRest(t *testing.T) {
	first := sworigin.Origin{Service: "s", Version: "v1"}
	const expected = 2000
	whole := swclock.Millis(expected * priorDecode * shortOutputShare)
	tests := []struct {
		name      string
		continues bool
		time      swclock.Millis
		admitted  bool
	}{
		{"new, time for the whole", false, whole + swclock.Second, true},
		{"new, time for most", false, whole * 3 / 4, false},
		{"continued, time for most", true, whole * 3 / 4, true},
		{"continued, time for a tenth", true, whole / 10, false},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			register := sworigin.NewRegister(100)
			register.SetServing(map[swid.ServiceID][]sworigin.Origin{"s": {first}}, 0)
			b := &harness{cell: New(Config{Service: "s", Origins: register}, Fastest{}, ByWorth{}), now: 1000}
			b.step(swcell.Configure{Targets: []swcell.Target{{ID: "a", State: swcell.TargetActive, Slots: 1, Version: first.Version}}})
			_, granted := grantOf(b.step(b.newGrantRequest(func(r *swcell.GrantRequest) {
				r.Deadline, r.ExpectedTokens, r.OutputTokens = b.now+e.time, expected, 2*expected
				if e.continues {
					r.Continuation = sworigin.Continuation{Continues: true, Stream: 7, Origin: first}
				}
			})))
			if granted != e.admitted {
				t.Errorf("admitted: %t, want %t", granted, e.admitted)
			}
		})
	}
}

// TestContinuationUsesReserve guards against streams that are taken up and rejected for quota while requests of higher tiers
// would still be admitted.
func TestContinuationUsesReserve(t *testing.T) {
	const rate, window = 1000, 8 * swclock.Second
	first := sworigin.Origin{Service: "s", Version: "v1"}
	tests := []struct {
		name      string
		continues bool
		tier      swid.Tier
		// used is the share of the quota that is used up.
		used     float64
		admitted bool
	}{
		{"new, lower tier, within its part", false, 2, 0.7, true},
		{"new, lower tier, beyond its part", false, 2, 0.85, false},
		{"continued, lower tier, beyond its part", true, 2, 0.85, true},
		{"new, highest tier", false, 0, 0.85, true},
		{"continued, beyond the quota", true, 2, 1, false},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			ledger := swquota.New(window)
			ledger.Configure(map[swid.OrgID]swquota.Limit{"o": {Rate: rate, Burst: rate}})
			register := sworigin.NewRegister(100)
			register.SetServing(map[swid.ServiceID][]sworigin.Origin{"s": {first}}, 0)
			b := &harness{cell: New(Config{Service: "s", Origins: register, Ledger: ledger}, Fastest{}, ByWorth{}), now: 10_000}
			b.step(swcell.Configure{Targets: []swcell.Target{{ID: "a", State: swcell.TargetActive, Slots: 1, Version: first.Version}}})
			if _, ok := ledger.Take(swquota.Process{Host: "other", Incarnation: 1}, "o", e.used*rate, 0, b.now); !ok {
				t.Fatal("the use before was refused")
			}
			_, granted := grantOf(b.step(b.newGrantRequest(func(r *swcell.GrantRequest) {
				r.Org, r.Tier, r.Charge = "o", e.tier, rate/20
				if e.continues {
					r.Continuation = sworigin.Continuation{Continues: true, Stream: 7, Origin: first}
				}
			})))
			if granted != e.admitted {
				t.Errorf("admitted: %t, want %t", granted, e.admitted)
			}
		})
	}
}

// TestQuotaOfRepeatedAttempts guards against requests that are not charged to the quota because their first attempt did not run.
func TestQuotaOfRepeatedAttempts(t *testing.T) {
	const rate, charge = 1000, 100
	tests := []struct {
		name string
		// end ends the first attempt.
		end func(g swcell.Grant) swcell.Event
	}{
		{"rejected by the target", func(g swcell.Grant) swcell.Event {
			return swcell.Done{Key: g.Key, Attempt: g.Attempt, Target: g.Target, Result: swcell.ResultNotStarted, Statement: swlimit.Statement{Heard: true}}
		}},
		{"the target is not listed by the holder", func(g swcell.Grant) swcell.Event {
			return swcell.Done{Key: g.Key, Attempt: g.Attempt, Target: g.Target, Result: swcell.ResultNotStarted}
		}},
		{"declined by the holder", func(g swcell.Grant) swcell.Event { return swcell.Withdraw{Key: g.Key, Attempt: g.Attempt} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ledger := swquota.New(8 * swclock.Second)
			ledger.Configure(map[swid.OrgID]swquota.Limit{"o": {Rate: rate, Burst: rate}})
			b := &harness{cell: New(Config{Service: "s", Ledger: ledger}, Fastest{}, ByWorth{}), now: 10_000}
			var targets []swcell.Target
			for i := range 60 {
				targets = append(targets, swcell.Target{ID: swid.TargetID(fmt.Sprint("t", i)), State: swcell.TargetActive, Slots: 100})
			}
			b.step(swcell.Configure{Targets: targets})
			ran := 0
			for range 30 {
				r := b.newGrantRequest(func(r *swcell.GrantRequest) { r.Org, r.Charge = "o", charge })
				first, granted := grantOf(b.step(r))
				if !granted {
					break
				}
				b.step(tt.end(first))
				r.Attempt, r.Exclude = 2, []swid.TargetID{first.Target}
				if _, granted := grantOf(b.step(r)); granted {
					ran++
				}
			}
			if want := rate / charge; ran != want {
				t.Errorf("%d requests ran at an instant, the quota is for %d", ran, want)
			}
		})
	}
}

// TestUnlistedStartLast guards against streams that begin at a start of a target that is not listed, where nobody can continue them,
// although another target has room; and against targets that get none then although the others are full, or after they are listed.
func TestUnlistedStartLast(t *testing.T) {
	first := sworigin.Origin{Service: "s", Version: "v1"}
	register := sworigin.NewRegister(100)
	register.SetServing(map[swid.ServiceID][]sworigin.Origin{"s": {first}}, 0)
	b := &harness{cell: New(Config{Service: "s", Origins: register}, Fastest{}, ByWorth{}), now: 1000}
	configure := func(born int64) {
		b.step(swcell.Configure{Targets: []swcell.Target{
			{ID: "a", State: swcell.TargetActive, Slots: 6, Version: first.Version, Born: born},
			{ID: "b", State: swcell.TargetActive, Slots: 4, Version: first.Version, Born: born},
		}})
	}
	run := func(resumable bool, exclude ...swid.TargetID) swcell.Grant {
		b.now += 10
		g, granted := grantOf(b.step(b.newGrantRequest(func(r *swcell.GrantRequest) { r.Resumable, r.Exclude = resumable, exclude })))
		if !granted {
			t.Fatal("a stream was not granted")
		}
		return g
	}
	end := func(g swcell.Grant) {
		b.step(swcell.Done{Key: g.Key, Attempt: g.Attempt, Target: g.Target, Result: swcell.ResultAnswered})
	}
	configure(1)
	began, others := run(true, "b"), []swcell.Grant{run(true, "a")}
	b.step(swcell.Progress{
		Key: began.Key, Attempt: began.Attempt, Produced: 5,
		Begun: sworigin.Begun{Stream: 7, Origin: sworigin.Unlisted("s"), Retention: sworigin.MaxRetention},
	})
	for range 3 {
		others = append(others, run(true))
	}
	for _, g := range others {
		if g.Target != "b" {
			t.Errorf("a stream was granted at %q while b had room", g.Target)
		}
	}
	g := run(true)
	if g.Target != "a" {
		t.Errorf("a stream was granted at %q, want a, as b is full", g.Target)
	}
	end(g)
	end(others[0])
	if g = run(false); g.Target != "a" {
		t.Errorf("a request that nobody continues was granted at %q, want a, which runs less", g.Target)
	}
	end(g)
	end(others[1])
	configure(2)
	if rejected := rejectionOf(b.step(b.newGrantRequest(func(r *swcell.GrantRequest) {
		r.Continuation = sworigin.Continuation{Continues: true, Stream: 7}
	}))); rejected.Reason != swcell.ReasonVersionUnknown {
		t.Errorf("the stream was rejected for reason %v, want %v", rejected.Reason, swcell.ReasonVersionUnknown)
	}
	if rejected := rejectionOf(b.step(b.newGrantRequest(func(r *swcell.GrantRequest) {
		r.Continuation = sworigin.Continuation{Continues: true, Stream: 8, Origin: sworigin.Unlisted("s")}
	}))); rejected.Reason != swcell.ReasonVersionUnknown {
		t.Errorf("a stream of no listed origin was rejected for reason %v, want %v", rejected.Reason, swcell.ReasonVersionUnknown)
	}
	if b.cell.byID["a"].unlisted {
		t.Error("a is granted last although it has been listed anew")
	}
}

func rejectionOf(actions []swcell.Action) swcell.Reject {
	for _, a := range actions {
		if r, ok := a.(swcell.Reject); ok {
			return r
		}
	}
	return swcell.Reject{}
}
