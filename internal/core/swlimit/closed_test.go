package swlimit

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// TestClosed checks until when a target that is leaving gets no requests.
func TestClosed(t *testing.T) {
	leaving := Statement{Heard: true, Leaving: true}
	listedAs := func(born int64) func(swid.TargetID) (int64, bool) {
		return func(swid.TargetID) (int64, bool) { return born, true }
	}
	unlisted := func(swid.TargetID) (int64, bool) { return 0, false }
	tests := []struct {
		name string
		run  func(c *Closed)
		want bool
	}{
		{"no answer", func(*Closed) {}, false},
		{"an answer", func(c *Closed) { c.Observe("a", 1, Statement{Heard: true}, 10) }, false},
		{"leaving", func(c *Closed) { c.Observe("a", 1, leaving, 10) }, true},
		{"another target", func(c *Closed) { c.Observe("b", 1, leaving, 10) }, false},
		{"a later answer that does not say so", func(c *Closed) {
			c.Observe("a", 1, leaving, 10)
			c.Observe("a", 1, Statement{Heard: true}, 20)
		}, true},
		{"listed", func(c *Closed) {
			c.Observe("a", 1, leaving, 10)
			c.Retain(listedAs(1), swclock.Hour)
		}, true},
		{"started anew", func(c *Closed) {
			c.Observe("a", 1, leaving, 10)
			c.Retain(listedAs(2), 20)
		}, false},
		{"gone for a moment", func(c *Closed) {
			c.Observe("a", 1, leaving, 10)
			c.Retain(unlisted, swclock.Second)
		}, true},
		{"gone", func(c *Closed) {
			c.Observe("a", 1, leaving, 10)
			c.Retain(unlisted, swclock.Hour)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewClosed()
			tt.run(c)
			if s, closed := c.Statement("a", 30); closed != tt.want || s.Leaving != tt.want {
				t.Errorf("closed %t with %+v, want %t", closed, s, tt.want)
			}
		})
	}
}

// TestPauses checks until when a target that wants a pause gets no requests.
func TestPauses(t *testing.T) {
	const hour = swclock.Hour
	tests := []struct {
		name string
		// pauses are those of answers 100 ms apart, the first of which arrives at 100.
		pauses []swclock.Millis
		at     swclock.Millis
		want   swclock.Millis
	}{
		{"none", []swclock.Millis{0}, 150, 0},
		{"within", []swclock.Millis{1000}, 600, 500},
		{"over", []swclock.Millis{1000}, 1100, 0},
		{"a shorter one afterwards", []swclock.Millis{1000, 100}, 600, 500},
		{"a longer one afterwards", []swclock.Millis{100, 1000}, 600, 600},
		{"without end", []swclock.Millis{1000 * hour}, 100, MaxPause},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewClosed()
			for i, pause := range tt.pauses {
				c.Observe("a", 1, Statement{Heard: true, Pause: pause}, swclock.Millis(100*(i+1)))
			}
			if s, closed := c.Statement("a", tt.at); s.Pause != tt.want || closed != (tt.want > 0) {
				t.Errorf("closed %t with %+v, want a pause of %d", closed, s, tt.want)
			}
		})
	}
}
