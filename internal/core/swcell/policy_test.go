package swcell

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// longRequest takes 100 ms for its prompt and 20 s for its output on an engineTarget.
func longRequest(seq int, tier swid.Tier, deadline swclock.Millis) GrantRequest {
	a := newRequest(seq, tier, deadline)
	a.PromptTokens, a.OutputTokens = 400, 1000
	return a
}

func newDone(a GrantRequest, target swid.TargetID, r Result) Done {
	return Done{Key: a.Key, Attempt: a.Attempt, Target: target, Result: r, PromptTokens: a.PromptTokens,
		OutputTokens: a.OutputTokens, FirstToken: 100, Total: 100 + swclock.Millis(a.OutputTokens)*20}
}

func onlyAction[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	if len(actions) == 1 {
		if a, ok := actions[0].(T); ok {
			return a
		}
	}
	t.Fatalf("got %+v, want one %T", actions, *new(T))
	return *new(T)
}

func TestImpossibleDeadlineIsNotShedding(t *testing.T) {
	c := newCell(t, engineTarget("t1", 2))
	onlyAction[Grant](t, c.Step(0, longRequest(1, 2, 60000), nil))
	g := onlyAction[Reject](t, c.Step(0, longRequest(2, 0, 5000), nil))
	if g.Reason != ReasonDeadline {
		t.Errorf("reason %d, want deadline", g.Reason)
	}
}

func TestHopelessRequestIsGivenUpAtOnce(t *testing.T) {
	c := newCell(t, engineTarget("t1", 1))
	onlyAction[Grant](t, c.Step(0, longRequest(1, 0, 60000), nil))
	for seq := 2; seq < 4; seq++ {
		if got := c.Step(swclock.Millis(seq), longRequest(seq, 0, 63000), nil); len(got) > 0 {
			t.Fatalf("got %+v, want request %d to wait", got, seq)
		}
	}
	g := onlyAction[Reject](t, c.Step(20, longRequest(4, 0, 64000), nil))
	if g.Key != key(4) || g.Reason != ReasonOverload || g.RetryAfter < swclock.Second {
		t.Errorf("got %+v, want the last to be rejected with a RetryAfter", g)
	}
}

func TestPreemptionOnlyWhenNeeded(t *testing.T) {
	tests := []struct {
		name     string
		deadline swclock.Millis
		wanted   bool
	}{
		{"a natural end is in time", 60000, false},
		{"only a cancellation is in time", 6000, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCell(t, engineTarget("t1", 1))
			batch := longRequest(1, 2, 90000)
			onlyAction[Grant](t, c.Step(0, batch, nil))
			c.Step(1000, newRequest(2, 0, tt.deadline), nil)
			var got []Action
			for now := swclock.Millis(1010); now < 4000; now += 10 {
				got = c.Step(now, Tick{}, got)
			}
			if (len(got) > 0) != tt.wanted {
				t.Fatalf("got %+v", got)
			}
			if !tt.wanted {
				return
			}
			onlyAction[Preempt](t, got)
			g := onlyAction[Grant](t, c.Step(4010, newDone(batch, "t1", ResultCancelled), nil))
			if g.Key != key(2) {
				t.Errorf("granted %v, want the urgent request", g.Key)
			}
		})
	}
}

func TestLeastWorkIsCancelledFirst(t *testing.T) {
	c := newCell(t, engineTarget("t1", 1), engineTarget("t2", 1))
	onlyAction[Grant](t, c.Step(0, longRequest(1, 2, 90000), nil))
	onlyAction[Grant](t, c.Step(900, longRequest(2, 2, 90000), nil))
	c.Step(901, Progress{Key: key(1), Attempt: 1, Produced: 40}, nil)
	c.Step(910, newRequest(3, 0, 3500), nil)
	if p := onlyAction[Preempt](t, c.Step(920, Tick{}, nil)); p.Key != key(2) {
		t.Errorf("cancelled %v, want the one that started last", p.Key)
	}
}

func TestPrefixDecidesBetweenTargets(t *testing.T) {
	c := newCell(t, engineTarget("t1", 2), engineTarget("t2", 2))
	prompt := []swid.PrefixHash{1, 2, 3, 4}
	c.Step(0, CacheReport{Target: "t2", Added: prompt}, nil)
	a := longRequest(1, 0, 60000)
	a.Prefix = prompt
	if g := onlyAction[Grant](t, c.Step(1, a, nil)); g.Target != "t2" {
		t.Errorf("granted %s, want the target with the prefix", g.Target)
	}
}

func TestSuspectWaitsForIdleTargetAndKeepsIt(t *testing.T) {
	c := newCell(t, engineTarget("t1", 2))
	broken := newRequest(1, 0, 90000)
	onlyAction[Grant](t, c.Step(0, broken, nil))
	c.Step(1, newDone(broken, "t1", ResultBroken), nil)
	other := longRequest(2, 1, 90000)
	onlyAction[Grant](t, c.Step(2, other, nil))
	again := newRequest(3, 0, 90000)
	again.Fingerprint = broken.Fingerprint
	if got := c.Step(3, again, nil); len(got) > 0 {
		t.Fatalf("got %+v beside another request", got)
	}
	if got := c.Step(4, newRequest(4, 1, 90000), nil); len(got) > 0 {
		t.Fatalf("got %+v on a target reserved for a suspect request", got)
	}
	if g := onlyAction[Grant](t, c.Step(5, newDone(other, "t1", ResultAnswered), nil)); g.Key != again.Key {
		t.Fatalf("granted %v, want the suspect request", g.Key)
	}
	c.Step(6, newDone(again, "t1", ResultBroken), nil)
	again.Key = key(5)
	if got := c.Step(7, again, nil); len(got) != 1 || got[0].(Reject).Reason != ReasonSuspect {
		t.Errorf("got %+v, want a rejection", got)
	}
}

func TestRetryBudget(t *testing.T) {
	c := New(Config{RetryReserve: 1}, nil...)
	c.Step(0, Configure{Targets: []Target{engineTarget("t1", 4), engineTarget("t2", 4)}}, nil)
	for seq, want := range []RejectReason{0, ReasonRetryBudget} {
		a := newRequest(seq, 0, 60000)
		a.Attempt, a.Exclude = 2, []swid.TargetID{"t1"}
		got := c.Step(1, a, nil)
		if g, refused := got[0].(Reject); refused != (want != 0) || g.Reason != want {
			t.Errorf("retry %d: got %+v", seq, got)
		}
	}
}

func TestStaleLoadReports(t *testing.T) {
	c := newCell(t, engineTarget("t1", 2))
	a := longRequest(1, 0, 90000)
	c.Step(1000, a, nil)
	c.Step(2000, newDone(a, "t1", ResultAnswered), nil)
	// The target measured its load while the request ran, so the report counts only the
	// cell's own run.
	c.Step(2100, LoadReport{Target: "t1", Running: 1, Age: 500}, nil)
	if n := c.Snapshot().Targets[0].External; n != 0 {
		t.Errorf("%d external requests by an old report, want none", n)
	}
	c.Step(2200, LoadReport{Target: "t1", Running: 1, Age: 10}, nil)
	if n := c.Snapshot().Targets[0].External; n != 1 {
		t.Errorf("%d external requests by a fresh report, want 1", n)
	}
}

func TestOrphanIsFreedByReportOrBound(t *testing.T) {
	for _, reported := range []bool{true, false} {
		c := newCell(t, engineTarget("t1", 1))
		c.Step(0, longRequest(1, 0, 30000), nil)
		c.Step(1000, HolderDied{Holder: "h", Incarnation: 1}, nil)
		if n := c.Snapshot().Targets[0].Running; n != 1 {
			t.Fatalf("%d running after the holder died, want 1", n)
		}
		if reported {
			c.Step(3000, LoadReport{Target: "t1", Age: 100}, nil)
		} else {
			c.Step(100000, Tick{}, nil)
		}
		if n := c.Snapshot().Targets[0].Running; n != 0 {
			t.Errorf("%d running (by report: %v), want none", n, reported)
		}
	}
}

func TestStragglerIsProbed(t *testing.T) {
	c := newCell(t, engineTarget("t1", 4), engineTarget("t2", 4), engineTarget("t3", 4))
	now := swclock.Millis(0)
	for round := range 3 {
		var ends []Done
		for seq := range 12 {
			a := longRequest(round*12+seq+1, 0, now+10*swclock.Minute)
			for _, got := range c.Step(now, a, nil) {
				target := got.(Grant).Target
				d := newDone(a, target, ResultAnswered)
				if target == "t1" {
					d.Total *= 4
				}
				ends = append(ends, d)
			}
		}
		now += 300
		for _, d := range ends {
			c.Step(now, d, nil)
		}
		now += 300
		c.Step(now, Tick{}, nil)
	}
	if s := c.Snapshot().Targets; s[0].Trust == TrustFull || s[1].Trust != TrustFull {
		t.Errorf("trust %d of the slow target and %d of another, want full trust only of the other", s[0].Trust, s[1].Trust)
	}
}

func TestFailingTargetIsProbed(t *testing.T) {
	c := newCell(t, engineTarget("t1", 8), engineTarget("t2", 8))
	refused := 0
	for seq := range 20 {
		now := swclock.Millis(seq)
		a := newRequest(seq+1, 0, 60000)
		g := onlyAction[Grant](t, c.Step(now, a, nil))
		result := ResultAnswered
		if g.Target == "t1" {
			refused++
			result = ResultNotStarted
		}
		c.Step(now, newDone(a, g.Target, result), nil)
	}
	if refused != failureLimit {
		t.Errorf("%d requests went to a target that refuses all, want %d", refused, failureLimit)
	}
}

func TestLostTargetsEndWhatWaitsForThem(t *testing.T) {
	c := newCell(t, engineTarget("t1", 1))
	a := longRequest(1, 0, 90000)
	onlyAction[Grant](t, c.Step(0, a, nil))
	c.Step(1, longRequest(2, 0, 300000), nil)
	c.Step(2, newDone(a, "another", ResultAnswered), nil)
	if n := c.Snapshot().Targets[0].Running; n != 1 {
		t.Errorf("%d running after an end on another target, want 1", n)
	}
	if actions := c.Step(3, TargetReachability{Target: "t1"}, nil); len(actions) > 0 {
		t.Errorf("%+v although the target may return", actions)
	}
	if actions := c.Step(2+returnTimeout, Tick{}, nil); len(actions) > 0 {
		t.Errorf("%+v although the target may return", actions)
	}
	if g := onlyAction[Reject](t, c.Step(3+returnTimeout, Tick{}, nil)); g.Reason != ReasonNoTarget {
		t.Errorf("reason %d, want no target", g.Reason)
	}
}

func TestRemovedTargetsEndWhatWaitsForThem(t *testing.T) {
	c := newCell(t, engineTarget("t1", 1))
	onlyAction[Grant](t, c.Step(0, longRequest(1, 0, 90000), nil))
	c.Step(1, longRequest(2, 0, 90000), nil)
	if g := onlyAction[Reject](t, c.Step(2, Configure{}, nil)); g.Reason != ReasonNoTarget {
		t.Errorf("reason %d, want no target", g.Reason)
	}
}

func TestWaitsForTargetThatReturns(t *testing.T) {
	c := newCell(t, engineTarget("t1", 1))
	c.Step(0, TargetReachability{Target: "t1"}, nil)
	if actions := c.Step(1, longRequest(1, 0, 90000), nil); len(actions) > 0 {
		t.Errorf("%+v although the target may return", actions)
	}
	if g := onlyAction[Grant](t, c.Step(30000, TargetReachability{Target: "t1", Reachable: true}, nil)); g.Target != "t1" {
		t.Errorf("granted %s", g.Target)
	}
}

// TestUnreachableIsNoDeadline checks that a request whose only target stays unreachable
// is rejected for overload. The deadline is not the reason, since an idle target could
// have met it.
func TestUnreachableIsNoDeadline(t *testing.T) {
	c := newCell(t, engineTarget("t1", 1))
	c.Step(0, TargetReachability{Target: "t1"}, nil)
	var ends []Action
	ends = c.Step(1, longRequest(1, 0, 30000), ends)
	for now := swclock.Millis(1000); now <= 30000; now += 1000 {
		ends = c.Step(now, Tick{}, ends)
	}
	if g := onlyAction[Reject](t, ends); g.Reason != ReasonOverload {
		t.Errorf("reason %d, want overload", g.Reason)
	}
}

func TestSuspectThatWaitsTooLongIsNotShed(t *testing.T) {
	c := newCell(t, engineTarget("t1", 2))
	broken := newRequest(1, 0, 90000)
	onlyAction[Grant](t, c.Step(0, broken, nil))
	c.Step(1, newDone(broken, "t1", ResultBroken), nil)
	onlyAction[Grant](t, c.Step(2, longRequest(2, 1, 90000), nil))
	again := newRequest(3, 0, 4000)
	again.Fingerprint, again.NonIdempotent = broken.Fingerprint, true
	var got []Action
	got = c.Step(3, again, got)
	for now := swclock.Millis(10); now < 5000; now += 10 {
		got = c.Step(now, Tick{}, got)
	}
	if g := onlyAction[Reject](t, got); g.Key != again.Key || g.Reason != ReasonSuspect {
		t.Errorf("got %+v, want the suspect request rejected with ReasonSuspect", g)
	}
}
