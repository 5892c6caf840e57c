package swlimit

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// TestBrittle checks which answers begin, change and end what is known of a target.
func TestBrittle(t *testing.T) {
	brittle := func(n int) Statement { return Statement{Heard: true, Brittle: true, MaxRejections: n} }
	sound := Statement{Heard: true}
	type answer struct {
		statement     Statement
		sent, arrived swclock.Millis
		changed       bool
	}
	tests := []struct {
		name    string
		answers []answer
		want    int
		found   bool
	}{
		{"none", []answer{{sound, 10, 20, false}}, 0, false},
		{"said", []answer{{brittle(3), 10, 20, true}, {brittle(3), 15, 30, false}}, 3, true},
		{"none at all", []answer{{brittle(0), 10, 20, true}}, 0, true},
		{"changed", []answer{{brittle(3), 10, 20, true}, {brittle(1), 15, 30, true}}, 1, true},
		{"an older answer", []answer{{brittle(3), 10, 30, true}, {brittle(1), 15, 20, false}}, 3, true},
		{"ended", []answer{{brittle(3), 10, 20, true}, {sound, 20, 30, true}}, 0, false},
		{"an answer to an earlier request", []answer{{brittle(3), 10, 20, true}, {sound, 15, 30, false}}, 3, true},
		{"no answer", []answer{{brittle(3), 10, 20, true}, {Statement{}, 25, 30, false}}, 3, true},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			b := NewBrittle()
			for _, a := range e.answers {
				if changed := b.Observe("t", a.statement, a.sent, a.arrived); changed != a.changed {
					t.Errorf("the answer at %d changed it: %t, want %t", a.arrived, changed, a.changed)
				}
			}
			if got, found := b.MaxRejections("t"); got != e.want || found != e.found {
				t.Errorf("known %d, %t, want %d, %t", got, found, e.want, e.found)
			}
			if _, found := b.MaxRejections("other"); found {
				t.Error("another target is known as brittle")
			}
		})
	}
}

// TestRetainBrittle checks that targets are forgotten a while after they are gone.
func TestRetainBrittle(t *testing.T) {
	b := NewBrittle()
	for _, target := range []swid.TargetID{"gone", "listed"} {
		b.Observe(target, Statement{Heard: true, Brittle: true}, 0, 0)
	}
	listed := func(target swid.TargetID) bool { return target == "listed" }
	b.Retain(listed, swclock.Second)
	if n := len(b.Targets()); n != 2 {
		t.Errorf("%d targets known a second after one is gone, want 2", n)
	}
	b.Retain(listed, forgetTime+1)
	if targets := b.Targets(); len(targets) != 1 || targets[0].Target != "listed" {
		t.Errorf("known %v, want the listed one", targets)
	}
}
