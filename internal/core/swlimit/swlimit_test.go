package swlimit

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// TestRate draws instants at which requests want to be sent, and checks that those that may be stay
// within the limit in every span, with the burst, and that the limit is used.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.2, 100).Draw(t, "rate")
		l := New()
		l.Observe("t", Statement{Heard: true, PerSecond: swid.RequestRate(rate)}, 0, 0)
		var sent []swclock.Millis
		now := swclock.Millis(0)
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			now += swclock.Millis(rapid.IntRange(0, 60).Draw(t, "pause"))
			if l.Wait("t", now) == 0 {
				l.Take("t", now)
				sent = append(sent, now)
			}
		}
		burst := max(minBurst, rate*float64(burstSpan)/float64(swclock.Second))
		for i, from := range sent {
			for j := i; j < len(sent); j++ {
				if n, allowed := float64(j-i+1), rate*float64(sent[j]-from)/1000+burst; n > allowed+1e-6 {
					t.Fatalf("%.0f requests in %d ms, at most %.1f are allowed", n, sent[j]-from, allowed)
				}
			}
		}
		if rate < 5 && float64(len(sent)) < rate*float64(now)/1000*0.8-2 {
			t.Fatalf("%d requests in %d ms at %.1f a second", len(sent), now, rate)
		}
	})
}

// TestObserve checks what makes, changes and ends a limit.
func TestObserve(t *testing.T) {
	named := func(rate swid.RequestRate) Statement { return Statement{Heard: true, PerSecond: rate} }
	none := Statement{Heard: true}
	type answer struct {
		statement     Statement
		sent, arrived swclock.Millis
	}
	tests := []struct {
		name    string
		answers []answer
		want    swid.RequestRate
	}{
		{"none", []answer{{none, 10, 20}}, 0},
		{"named", []answer{{named(3), 10, 20}}, 3},
		{"rises", []answer{{named(3), 10, 20}, {named(5), 15, 30}}, 5},
		{"falls", []answer{{named(3), 10, 20}, {named(1.5), 15, 30}}, 1.5},
		{"an older statement", []answer{{named(3), 10, 30}, {named(5), 15, 20}}, 3},
		{"ends", []answer{{named(3), 10, 20}, {none, 20, 30}}, 0},
		{"ends, by an answer to an earlier request", []answer{{named(3), 10, 20}, {none, 15, 30}}, 3},
		{"no answer", []answer{{named(3), 10, 20}, {Statement{}, 25, 30}}, 3},
		{"again after its end", []answer{{named(3), 10, 20}, {none, 20, 30}, {named(2), 31, 40}}, 2},
		{"next to nothing", []answer{{named(0.001), 10, 20}}, MinRate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New()
			for _, a := range tt.answers {
				l.Observe("t", a.statement, a.sent, a.arrived)
			}
			if got, known := l.PerSecond("t"); got != tt.want || known != (tt.want > 0) {
				t.Errorf("limit %v, %t; want %v", got, known, tt.want)
			}
			if wait := l.Wait("other", 100); wait > 0 {
				t.Errorf("another target waits for %v", wait)
			}
		})
	}
}

// TestRetain checks that the limits of targets that are gone are dropped, after a while.
func TestRetain(t *testing.T) {
	l := New()
	for _, target := range []swid.TargetID{"gone", "listed"} {
		l.Observe(target, Statement{Heard: true, PerSecond: 1}, 0, 0)
	}
	listed := func(target swid.TargetID) bool { return target == "listed" }
	l.Retain(listed, swclock.Second)
	if n := len(l.Limits()); n != 2 {
		t.Errorf("%d limits a second after the list lacks a target, want 2", n)
	}
	l.Retain(listed, 2*forgetTime)
	if limits := l.Limits(); len(limits) != 1 || limits[0].Target != "listed" {
		t.Errorf("limits %+v", limits)
	}
}
