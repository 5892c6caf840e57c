package swcell

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// TestOnlyTargetRegainsTrust breaks the calls of a plain service's only target
// for a moment; later calls are granted again, also if all have the same
// content, which was answered before.
func TestOnlyTargetRegainsTrust(t *testing.T) {
	tests := []struct {
		name        string
		fingerprint func(n int) swid.Fingerprint
	}{
		{"own content", func(n int) swid.Fingerprint { return swid.Fingerprint(n) }},
		{"same content", func(int) swid.Fingerprint { return 7 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { testRegainsTrust(t, tt.fingerprint) })
	}
}

func testRegainsTrust(t *testing.T, fingerprint func(n int) swid.Fingerprint) {
	t.Helper()
	c := New(Config{Tiers: 3}, WithViolationHook(func(v Violation) { t.Errorf("%+v", v) }))
	now := swclock.Millis(0)
	c.Step(now, Configure{Targets: []Target{{ID: "a", State: TargetActive, Slots: 16, ServiceTime: 20}}}, nil)
	const first, last, calls = 100, 110, 300
	granted := make([]bool, calls)
	end := func(n int) Result {
		if n >= first && n < last {
			return ResultBroken
		}
		return ResultAnswered
	}
	for n := range calls {
		now += 33
		key := Key{Holder: "h", Incarnation: 1, Seq: swid.Seq(n + 1)}
		for _, a := range c.Step(now, Ask{Key: key, Attempt: 1, Tier: 1, Org: "o", Deadline: now + 5000, Fingerprint: fingerprint(n)}, nil) {
			if g, ok := a.(Grant); ok && g.Key == key {
				granted[n] = true
				c.Step(now+20, Done{Key: key, Attempt: 1, Target: g.Target, Result: end(n), FirstToken: 20, Total: 20}, nil)
			}
		}
		c.Step(now+21, Tick{}, nil)
	}
	late := 0
	for _, g := range granted[calls/2:] {
		if g {
			late++
		}
	}
	if late < calls/2 {
		t.Errorf("%d of the last %d calls were granted at once", late, calls/2)
	}
}

// TestStrikesOutliveOwner reports strikes to a new owner's cell, which knows
// nothing of the breaks that it did not see.
func TestStrikesOutliveOwner(t *testing.T) {
	reported := func(n swid.Seq, strikes uint8) Ask {
		a := long(int(n), 0, 90000)
		a.Fingerprint, a.Strikes = 77, strikes
		return a
	}
	inFlight := func(n swid.Seq, strikes uint8) InFlight {
		a := reported(n, strikes)
		a.Attempt = 4
		return InFlight{Ask: a, Target: "t2"}
	}
	beside := long(1, 0, 90000)
	tests := []struct {
		name   string
		events []Event
		// refused, else granted only if alone is not wanted.
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
			c := newCell(t, engine("t1", 4), engine("t2", 4))
			c.Step(0, beside, nil)
			c.Step(0, long(8, 0, 90000), nil)
			for i, e := range tt.events {
				c.Step(swclock.Millis(i+1), e, nil)
			}
			got := c.Step(10, reported(9, 0), nil)
			granted, refused := false, false
			for _, a := range got {
				if g, ok := a.(Grant); ok {
					granted = granted || g.Key == key(9)
				}
				if g, ok := a.(GiveUp); ok {
					refused = refused || (g.Key == key(9) && g.Reason == ReasonSuspect)
				}
			}
			if refused != tt.refused || granted != (!tt.refused && !tt.alone) {
				t.Errorf("got %+v", got)
			}
		})
	}
}
