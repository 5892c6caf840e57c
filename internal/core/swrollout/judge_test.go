package swrollout

import (
	"math/rand/v2"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// TestJudge checks what is taken for badness of a version: 900 answers of ten targets of an old version on three routes, with the load
// from 1 to 7 of 7 slots, beside 120 answers of four targets of the new one.
func TestJudge(t *testing.T) {
	const span = 6 * swclock.Second
	overdue := func(n int) []Running {
		runs := make([]Running, n)
		for i := range runs {
			runs[i] = Running{Target: swid.TargetID("new-" + string(rune('0'+i%4))), Since: 3 * swclock.Second, Running: 2, Slots: 7}
		}
		return runs
	}
	tests := []struct {
		name string
		// change changes the answer of number i of the new version, and old that of an old one.
		change, old func(i int, a *Answer)
		running     []Running
		bad         bool
		// suspect is the target that may be ill.
		suspect swid.TargetID
	}{
		{name: "alike"},
		{name: "a seventh fails", change: func(i int, a *Answer) { a.Bad = i%7 == 3 }, bad: true},
		{name: "a seventh fails at either", change: func(i int, a *Answer) { a.Bad = i%7 == 3 }, old: func(i int, a *Answer) { a.Bad = i%7 == 3 }},
		{name: "a half fails, a seventh at the old one", change: func(i int, a *Answer) { a.Bad = i/4%2 == 0 }, old: func(i int, a *Answer) { a.Bad = i%7 == 3 }, bad: true},
		{name: "a route fails at either", change: func(i int, a *Answer) { a.Bad = a.Route == 1 }, old: func(i int, a *Answer) { a.Bad = a.Route == 1 }},
		{name: "a route fails", change: func(i int, a *Answer) { a.Bad = a.Route == 1 && i%2 == 0 }, bad: true},
		{name: "fails under load", change: func(i int, a *Answer) { a.Bad = a.Running >= 6 && i%2 == 0 }, bad: true},
		{name: "fails at the end", change: func(i int, a *Answer) { a.Bad = i > 100 && i%2 == 0 }, bad: true},
		{name: "one target fails", change: func(i int, a *Answer) { a.Bad = a.Target == "new-2" && i%8 < 4 }, suspect: "new-2"},
		{name: "one target crashes", change: func(i int, a *Answer) {
			if a.Target == "new-2" && i >= 40 && i < 68 {
				a.Bad, a.SinceEnd = true, 3*swclock.Second
			}
		}},
		{name: "a slow generation", change: func(i int, a *Answer) { a.First, a.Total = 4*a.First, 4*a.Total }},
		{name: "one slow target", change: func(i int, a *Answer) {
			if a.Target == "new-1" {
				a.First, a.Total = 5*a.First, 5*a.Total
			}
		}},
		{name: "a third is slow", change: func(i int, a *Answer) {
			if i%3 == 0 {
				a.First, a.Total = 4*a.First, 4*a.Total
			}
		}, bad: true},
		{name: "a third is slow at either", change: func(i int, a *Answer) {
			if i%3 == 0 {
				a.First, a.Total = 4*a.First, 4*a.Total
			}
		}, old: func(i int, a *Answer) {
			if i%3 == 0 {
				a.First, a.Total = 4*a.First, 4*a.Total
			}
		}},
		{name: "a third is slow from its first output on", change: func(i int, a *Answer) {
			if i%3 == 0 {
				a.Total *= 4
			}
		}, bad: true},
		{name: "slow while cold", change: func(i int, a *Answer) {
			if i%3 == 0 {
				a.First, a.Total, a.Warming = 4*a.First, 4*a.Total, true
			}
		}},
		{name: "long answers", change: func(i int, a *Answer) {
			if i%3 == 0 {
				a.Total, a.OutputTokens = a.First+6*(a.Total-a.First), 6*a.OutputTokens
			}
		}},
		{name: "long prompts", change: func(i int, a *Answer) {
			if i%3 == 0 {
				a.Total, a.First, a.PromptTokens = a.Total+7*a.First, 8*a.First, 8*a.PromptTokens
			}
		}},
		{name: "plain answers, a fifth is slow", change: func(i int, a *Answer) {
			a.OutputTokens, a.PromptTokens = 0, 0
			if i%5 == 0 {
				a.Total *= 4
			}
		}, old: func(i int, a *Answer) { a.OutputTokens, a.PromptTokens = 0, 0 }, bad: true},
		{name: "runs that do not end", running: overdue(20), bad: true},
		{name: "runs that are late", running: func() []Running {
			runs := overdue(6)
			for i := range runs {
				runs[i].Since = 1100
			}
			return runs
		}()},
		{name: "a run that does not end", running: overdue(1)},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			r := New(playConfig, testOrder, Record{}, 0, 1000)
			answer := func(i, n int, version swid.SoftwareVersion, targets int, change func(int, *Answer)) {
				at := span * swclock.Millis(i) / swclock.Millis(n)
				running := 1 + rng.IntN(7)
				factor := (0.9 + 0.2*rng.Float64()) * (1 + 0.1*float64(max(running-4, 0)))
				route := Route(rng.IntN(3))
				a := Answer{Version: version, Target: swid.TargetID(string(version) + "-" + string(rune('0'+i%targets))), Route: route, Running: running, Slots: 7,
					First: swclock.Millis(100 * factor), Total: swclock.Millis(400 * factor), PromptTokens: 1000, OutputTokens: 30}
				if change != nil {
					change(i, &a)
				}
				if a.SinceEnd != 0 {
					at = a.SinceEnd
					a.SinceEnd = 0
				}
				r.Observe(a, at)
			}
			for i := range 900 {
				answer(i, 900, "old", 10, e.old)
			}
			for i := range 120 {
				answer(i, 120, "new", 4, e.change)
			}
			r.running, r.steppedAt = e.running, span
			r.baseline = newBaseline(&r.names, r.old.sorted())
			j := r.judge(badThreshold)
			if j.isBad != e.bad {
				t.Errorf("bad: %t, want %t; %+v", j.isBad, e.bad, j.tests[cellAll])
			}
			var suspect swid.TargetID
			if j.suspect >= 0 {
				suspect = r.names.byIndex[j.suspect]
			}
			if !e.bad && e.suspect != suspect {
				t.Errorf("%q may be ill, want %q", suspect, e.suspect)
			}
		})
	}
}

// BenchmarkJudge shows what a look at 1,000 answers of the new version beside 2,048 of old ones costs.
func BenchmarkJudge(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	r := New(playConfig, testOrder, Record{}, 0, 1000)
	for i := range 4096 {
		a := Answer{Version: "old", Target: swid.TargetID(rune('a' + i%100)), Route: Route(i % 3), Running: i % 8, Slots: 7,
			First: swclock.Millis(50 + rng.IntN(100)), Total: swclock.Millis(300 + rng.IntN(200)), PromptTokens: 1000, OutputTokens: 30}
		if i%4 == 0 {
			a.Version, a.Target = "new", swid.TargetID(rune('A'+i%20))
		}
		r.Observe(a, swclock.Millis(i))
	}
	r.baseline = newBaseline(&r.names, r.old.sorted())
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			r.judge(badThreshold)
		}
	})
	b.Run("old", func(b *testing.B) {
		for b.Loop() {
			r.baseline = newBaseline(&r.names, r.old.sorted())
		}
	})
}
