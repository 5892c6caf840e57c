package swrollout

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// TestBlock checks how much exposure an owner reserves.
func TestBlock(t *testing.T) {
	const duration = 12 * swclock.Second
	tests := []struct {
		name          string
		record        Record
		arrived, left uint64
		rate          float64
		elapsed       swclock.Millis
		want          uint64
	}{
		{"the first one", Record{}, 0, 0, 0, 0, 25},
		{"no requests since", Record{Reserved: 25}, 0, 0, 0, 100, 0},
		{"more of the slack", Record{Reserved: 25}, 0, 0, 0, duration / 2, 16},
		{"all of the slack", Record{Reserved: 45}, 0, 0, 0, duration / 2, 0},
		{"a share of the requests", Record{Reserved: 45, Requests: 400}, 500, 0, 100, duration / 2, 16},
		{"a high rate", Record{Reserved: 45, Requests: 2000}, 500, 0, 800, duration / 2, 80},
		{"enough left", Record{Reserved: 45, Requests: 400}, 500, 12, 100, duration / 2, 0},
		{"more reserved than allowed", Record{Reserved: 60}, 20, 0, 100, duration / 2, 0},
		{"more reserved than allowed, far more used", Record{Reserved: 1000, Requests: 20}, 20, 0, 100, duration, 0},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			l := newLedger(Config{MaxShare: 0.1, Slack: 50}, duration)
			l.arrived, l.left, l.rate = e.arrived, e.left, e.rate
			if got := l.block(e.record, e.elapsed, 10); got != e.want {
				t.Errorf("%d units, want %d", got, e.want)
			}
		})
	}
}

// TestSaving checks that units are saved up once all were used.
func TestSaving(t *testing.T) {
	l := newLedger(Config{MaxShare: 0.1, Slack: 50}, 12*swclock.Second)
	l.left = 2
	for i, want := range []bool{true, true, false} {
		if got := l.open(4); got != want {
			t.Errorf("%t with %d left after %d uses", got, l.left, i)
		}
		l.use()
	}
	if l.used != 3 || l.left != 0 {
		t.Errorf("%d used, %d left", l.used, l.left)
	}
	l.left = 3
	if l.open(4) {
		t.Error("open with 3 units")
	}
	if l.left = 4; !l.open(4) {
		t.Error("not open with 4 units")
	}
	l.use()
	if l.giveBack(); l.left != 4 || !l.open(4) {
		t.Errorf("%d left after one was given back", l.left)
	}
}
