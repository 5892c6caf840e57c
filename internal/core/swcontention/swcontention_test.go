package swcontention

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

func TestRegister(t *testing.T) {
	type report struct {
		at     swclock.Millis
		counts Counts
	}
	tests := []struct {
		name    string
		reports []report
		at      swclock.Millis
		want    bool
	}{
		{name: "nothing reported", at: 1000},
		{name: "room for all", reports: []report{{1000, Counts{Granted: 500}}}, at: 1000},
		{name: "a few of many", reports: []report{{1000, Counts{Granted: 500, Contended: 9}}}, at: 1000},
		{name: "too few to tell", reports: []report{{1000, Counts{Granted: 3, Contended: 3}}}, at: 1000},
		{name: "contended", reports: []report{{1000, Counts{Granted: 500, Contended: 10}}}, at: 1000, want: true},
		{name: "over several hosts", reports: []report{{1000, Counts{5, 1}}, {1001, Counts{5, 1}}, {1002, Counts{5, 1}}, {1003, Counts{5, 2}}}, at: 1003, want: true},
		{name: "over a long time", reports: []report{{1000, Counts{5, 1}}, {5000, Counts{5, 1}}, {9000, Counts{5, 1}}, {13000, Counts{5, 1}}}, at: 13000},
		{name: "held for a while", reports: []report{{1000, Counts{Granted: 500, Contended: 10}}}, at: 1000 + holdTime - 1, want: true},
		{name: "ended", reports: []report{{1000, Counts{Granted: 500, Contended: 10}}}, at: 1000 + holdTime},
		{name: "a report of the past", reports: []report{{1000, Counts{Granted: 50}}, {900, Counts{Granted: 50, Contended: 4}}}, at: 1000, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r Register
			for _, p := range tt.reports {
				r.Add(p.counts, p.at)
			}
			if got := r.Contended(tt.at); got != tt.want {
				t.Errorf("contended %v, want %v", got, tt.want)
			}
		})
	}
}

func TestMeter(t *testing.T) {
	calls, shared := 0, false
	m := NewMeter(func() bool { return shared }, func() { calls++ })
	m.Granted(minWait)
	if got, want := m.Take(), (Counts{Granted: 1}); got != want || calls != 0 {
		t.Errorf("%+v after a wait at a host, %d calls, want %+v and none", got, calls, want)
	}
	shared = true
	m.Granted(0)
	m.Granted(minWait)
	m.TurnedAway()
	if got, want := m.Take(), (Counts{Granted: 2, Contended: 2}); got != want || calls != 2 {
		t.Errorf("%+v after %d calls, want %+v after 2", got, calls, want)
	}
	if got := m.Take(); got != (Counts{}) {
		t.Errorf("%+v after the counts were taken", got)
	}
	var none *Meter
	none.Granted(minWait)
	none.TurnedAway()
}

func TestEarly(t *testing.T) {
	var e Early
	due := 0
	for now := swclock.Millis(1); now <= 20*swclock.Second; now++ {
		if e.Due(now) {
			due++
		}
	}
	// 0, 0.1, 0.3, 0.7, 1.5, 3.1, 6.3, 12.7 s, as contention goes on.
	if due != 8 {
		t.Errorf("%d early reports in 20 s of contention, want 8", due)
	}
	if !e.Due(40*swclock.Second) || !e.Due(40*swclock.Second+minEarlyInterval*2) {
		t.Error("no early reports after a quiet time")
	}
}
