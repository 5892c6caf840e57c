package swsuspect

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

func TestVerdicts(t *testing.T) {
	const content = 7
	r := New(10, 3, swclock.Minute)
	check := func(now swclock.Millis, want Verdict) {
		t.Helper()
		if got, _ := r.Verdict(content, now); got != want {
			t.Errorf("verdict %d at %d, want %d", got, now, want)
		}
	}
	check(0, Clear)
	r.Strike(content, false, 0)
	check(1, Suspect)
	r.Strike(content, true, 4)
	check(5, Refused)
	check(4+swclock.Minute, Clear)
	r.Strike(content, false, 5+swclock.Minute)
	check(6+swclock.Minute, Suspect)
	r.RecordAnswer(content, 7+swclock.Minute)
	check(8+swclock.Minute, Clear)
	r.Strike(content, false, 9+swclock.Minute)
	r.Strike(content, true, 10+swclock.Minute)
	check(11+swclock.Minute, Suspect) // answered less than a minute ago
	r.Strike(content, true, 8+2*swclock.Minute)
	check(9+2*swclock.Minute, Refused)
}
