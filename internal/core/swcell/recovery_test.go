package swcell

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// TestOnlyTargetRegainsTrust checks that a plain service's only target is used again
// after a few consecutive calls broke on it. Calls would be rejected for good if the
// target were never probed again, if only idempotent calls could be probes, or if
// content that was answered before were rejected as suspect.
func TestOnlyTargetRegainsTrust(t *testing.T) {
	tests := []struct {
		name          string
		nonIdempotent bool
		fingerprint   func(n int) swid.Fingerprint
	}{
		{"own content", false, func(n int) swid.Fingerprint { return swid.Fingerprint(n) }},
		{"same content", false, func(int) swid.Fingerprint { return 7 }},
		{"not idempotent", true, func(n int) swid.Fingerprint { return swid.Fingerprint(n) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { testRegainsTrust(t, tt.nonIdempotent, tt.fingerprint) })
	}
}

func testRegainsTrust(t *testing.T, nonIdempotent bool, fingerprint func(n int) swid.Fingerprint) {
	t.Helper()
	const firstBroken, firstRepaired, calls = 100, 110, 600
	const interval, span = 33, 20 // milliseconds between two calls, and for each call
	c := New(Config{Tiers: 3}, WithViolationHook(func(v Violation) { t.Errorf("%+v", v) }))
	c.Step(0, Configure{Targets: []Target{{ID: "a", State: TargetActive, Slots: 16, ServiceTime: span}}}, nil)
	var running []Grant
	lateRejections := 0
	apply := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Grant:
				running = append(running, a)
			case Reject:
				if a.Key.Seq > calls/2 {
					lateRejections++
				}
			}
		}
	}
	for n := range calls {
		now := swclock.Millis(n * interval)
		apply(c.Step(now, GrantRequest{
			Key: Key{Holder: "h", Incarnation: 1, Seq: swid.Seq(n)}, Attempt: 1, Tier: 1, Org: "o",
			Deadline: now + 5*swclock.Second, Fingerprint: fingerprint(n), NonIdempotent: nonIdempotent,
		}, nil))
		for len(running) > 0 {
			g := running[0]
			running = running[1:]
			result := ResultAnswered
			if g.Key.Seq >= firstBroken && g.Key.Seq < firstRepaired {
				result = ResultBroken
			}
			apply(c.Step(now+span, Done{Key: g.Key, Attempt: 1, Target: g.Target, Result: result, FirstToken: span, Total: span}, nil))
		}
		apply(c.Step(now+span, Tick{}, nil))
	}
	if lateRejections > 0 {
		t.Errorf("%d of the last %d calls were rejected", lateRejections, calls/2)
	}
}

// TestRetryAfterFailure checks RetryAfter when the only target is unreachable. Without
// any slot there is no forecast, so RetryAfter is maxBackoff, within which a failed
// target is probed again.
func TestRetryAfterFailure(t *testing.T) {
	c := New(Config{Tiers: 1})
	c.Step(0, Configure{Targets: []Target{{ID: "a", State: TargetActive, Slots: 4, ServiceTime: 20}}}, nil)
	c.Step(1, TargetReachability{Target: "a"}, nil)
	const now = 1 + returnTimeout
	request := GrantRequest{Key: Key{Holder: "h", Seq: 1}, Attempt: 1, Org: "o", Deadline: now + swclock.Minute}
	if g := onlyAction[Reject](t, c.Step(now, request, nil)); g.RetryAfter != maxBackoff {
		t.Errorf("RetryAfter is %d ms, want %d", g.RetryAfter, maxBackoff)
	}
}

// TestStrikesOutliveOwner checks that strikes reported by holders count at a new
// owner, which has no record of the broken attempts under earlier owners.
func TestStrikesOutliveOwner(t *testing.T) {
	reported := func(n swid.Seq, strikes uint8) GrantRequest {
		a := longRequest(int(n), 0, 90000)
		a.Fingerprint, a.Strikes = 77, strikes
		return a
	}
	inFlight := func(n swid.Seq, strikes uint8) InFlight {
		a := reported(n, strikes)
		a.Attempt = 4
		return InFlight{GrantRequest: a, Target: "t2"}
	}
	beside := longRequest(1, 0, 90000)
	tests := []struct {
		name   string
		events []Event
		// refused is set if the request must be rejected as suspect, and alone if it must
		// wait for a target that runs nothing else. If neither is set, it must be granted.
		refused bool
		alone   bool
	}{
		{"none", nil, false, false},
		{"one asked", []Event{reported(2, 1)}, false, true},
		{"limit asked", []Event{reported(2, 3)}, true, false},
		{"limit in flight", []Event{inFlight(2, 3)}, true, false},
		{"maximum, not sum", []Event{reported(2, 2), reported(3, 2)}, false, true},
		{"break after report", []Event{inFlight(2, 2), Done{Key: key(2), Attempt: 4, Target: "t2", Result: ResultBroken}}, true, false},
		{"answered meanwhile", []Event{
			inFlight(2, 1), Done{Key: key(2), Attempt: 4, Target: "t2", Result: ResultAnswered}, reported(3, 2),
		}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCell(t, engineTarget("t1", 4), engineTarget("t2", 4))
			c.Step(0, beside, nil)
			c.Step(0, longRequest(8, 0, 90000), nil)
			for i, e := range tt.events {
				c.Step(swclock.Millis(i+1), e, nil)
			}
			got := c.Step(10, reported(9, 0), nil)
			granted, refused := false, false
			for _, a := range got {
				if g, ok := a.(Grant); ok {
					granted = granted || g.Key == key(9)
				}
				if g, ok := a.(Reject); ok {
					refused = refused || (g.Key == key(9) && g.Reason == ReasonSuspect)
				}
			}
			if refused != tt.refused || granted != (!tt.refused && !tt.alone) {
				t.Errorf("got %+v", got)
			}
		})
	}
}

// TestStallsAreNoStrikes checks that content which gets no answer from one target
// after another is not rejected as suspect, while content that breaks targets is.
func TestStallsAreNoStrikes(t *testing.T) {
	tests := []struct {
		name    string
		result  Result
		refused bool
	}{
		{"no answer", ResultNoAnswer, false},
		{"broken", ResultBroken, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(Config{Tiers: 1})
			var targets []Target
			for _, id := range []swid.TargetID{"a", "b", "c", "d", "e"} {
				targets = append(targets, Target{ID: id, State: TargetActive, Slots: 4, ServiceTime: 20})
			}
			c.Step(0, Configure{Targets: targets}, nil)
			refused := false
			for n := range 4 {
				now := swclock.Millis(n * 100)
				request := GrantRequest{Key: Key{Holder: "h", Seq: swid.Seq(n)}, Attempt: 1, Org: "o", Deadline: now + swclock.Minute, Fingerprint: 7}
				for _, a := range c.Step(now, request, nil) {
					switch a := a.(type) {
					case Grant:
						c.Step(now+20, Done{Key: a.Key, Attempt: 1, Target: a.Target, Result: tt.result, Total: 20}, nil)
					case Reject:
						refused = refused || a.Reason == ReasonSuspect
					}
				}
			}
			if refused != tt.refused {
				t.Errorf("refused: %t, want %t", refused, tt.refused)
			}
		})
	}
}
