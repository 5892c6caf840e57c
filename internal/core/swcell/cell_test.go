package swcell

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func key(seq int) Key { return Key{Holder: "h", Incarnation: 1, Seq: swid.Seq(seq)} }

func engineTarget(id swid.TargetID, slots int) Target {
	return Target{ID: id, Generation: "g", State: TargetActive, Slots: slots, PrefillRate: 4000, DecodeRate: 50}
}

func newRequest(seq int, tier swid.Tier, deadline swclock.Millis) GrantRequest {
	return GrantRequest{Key: key(seq), Attempt: 1, Tier: tier, Org: "a", Deadline: deadline, PromptTokens: 100, OutputTokens: 50, Fingerprint: swid.Fingerprint(seq)}
}

func newCell(t *testing.T, targets ...Target) *Cell {
	c := New(Config{}, WithViolationHook(func(v Violation) { t.Errorf("violation: %+v", v) }))
	c.Step(0, Configure{Targets: targets}, nil)
	return c
}

func TestSlotsAndTierOrder(t *testing.T) {
	c := newCell(t, engineTarget("t1", 1))
	onlyAction[Grant](t, c.Step(0, newRequest(1, 1, 60000), nil))
	for _, a := range []GrantRequest{newRequest(2, 2, 60000), newRequest(3, 1, 60000)} {
		if got := c.Step(1, a, nil); len(got) != 0 {
			t.Fatalf("got %+v on a full target", got)
		}
	}
	g := onlyAction[Grant](t, c.Step(2, Done{Key: key(1), Attempt: 1, Target: "t1", Result: ResultAnswered}, nil))
	if g.Key != key(3) {
		t.Errorf("granted %v, want the higher tier", g.Key)
	}
}

func TestExcludedTargetIsNotGranted(t *testing.T) {
	c := newCell(t, engineTarget("t1", 1), engineTarget("t2", 1))
	a := newRequest(1, 0, 60000)
	first := onlyAction[Grant](t, c.Step(0, a, nil))
	c.Step(1, Done{Key: a.Key, Attempt: 1, Target: first.Target, Result: ResultNotStarted}, nil)
	a.Attempt = 2
	second := onlyAction[Grant](t, c.Step(2, a, nil))
	if second.Target == first.Target {
		t.Errorf("granted %s twice", second.Target)
	}
	c.Step(3, Done{Key: a.Key, Attempt: 2, Target: second.Target, Result: ResultNotStarted}, nil)
	a.Attempt = 3
	if g := onlyAction[Reject](t, c.Step(4, a, nil)); g.Reason != ReasonNoTarget {
		t.Errorf("reason %d, want no target", g.Reason)
	}
}

func TestRepeatedEventsAreHarmless(t *testing.T) {
	c := newCell(t, engineTarget("t1", 1))
	a := newRequest(1, 0, 60000)
	first := onlyAction[Grant](t, c.Step(0, a, nil))
	if again := onlyAction[Grant](t, c.Step(1, a, nil)); again != first {
		t.Errorf("repeated grant request gave %+v, want %+v", again, first)
	}
	done := Done{Key: a.Key, Attempt: 1, Target: "t1", Result: ResultAnswered}
	for _, e := range []Event{done, done, Withdraw{Key: a.Key, Attempt: 1}, a, Done{Key: key(9), Attempt: 1, Target: "t1"}} {
		if got := c.Step(2, e, nil); len(got) != 0 {
			t.Errorf("%T gave %+v", e, got)
		}
	}
	if n := c.Snapshot().Targets[0].Running; n != 0 {
		t.Errorf("%d running, want none", n)
	}
}
