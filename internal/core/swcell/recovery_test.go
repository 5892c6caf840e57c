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
