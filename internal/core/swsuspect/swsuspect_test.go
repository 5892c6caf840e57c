package swsuspect

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
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

// TestRefusedContentIsKept guards against refused content that is forgotten because many other
// contents have strikes.
func TestRefusedContentIsKept(t *testing.T) {
	const refused, size = 1, 100
	r := New(size, 3, swclock.Minute)
	for at := range swclock.Millis(3) {
		r.Strike(refused, false, at)
	}
	for i := range 10 * size {
		r.Strike(swid.Fingerprint(i+2), false, 4)
	}
	if got, _ := r.Verdict(refused, 5); got != Refused {
		t.Errorf("verdict %d after strikes of %d other contents, want %d", got, 10*size, Refused)
	}
}
