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
	r.Absolve(content)
	check(2, Clear)
	r.Strike(content, false, 3)
	r.Strike(content, true, 4)
	check(5, Refused)
	check(4+swclock.Minute, Clear)
	r.Strike(content, false, 5+swclock.Minute)
	check(6+swclock.Minute, Suspect)
}
