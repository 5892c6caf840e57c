package swbudget

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// TestWindow draws requests, retries and ones that are given back, and checks that the others in any window
// are at most the ratio of the requests in it plus the reserve.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 1000
		ratio := float64(rapid.IntRange(0, 10).Draw(t, "tenths")) / 10
		reserve := float64(rapid.IntRange(0, 5).Draw(t, "reserve"))
		w := NewWindow(span, ratio, reserve)
		var requests, retries []swclock.Millis
		now := swclock.Millis(1)
		// within counts the times in the window that ends now.
		within := func(times []swclock.Millis) (n int) {
			for _, at := range times {
				if at > now-span {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += swclock.Millis(rapid.IntRange(0, 120).Draw(t, "time"))
			if rapid.Bool().Draw(t, "request") {
				w.Request(now)
				requests = append(requests, now)
				continue
			}
			if len(retries) > 0 && rapid.IntRange(0, 3).Draw(t, "give back") == 0 {
				i := rapid.IntRange(0, len(retries)-1).Draw(t, "retry")
				w.GiveBack(retries[i])
				retries = slices.Delete(retries, i, i+1)
				continue
			}
			if !w.Take(now) {
				continue
			}
			retries = append(retries, now)
			if n, limit := within(retries), ratio*float64(within(requests))+reserve; float64(n) > limit {
				t.Fatalf("%d retries in the window that ends at %d, at most %.1f are allowed", n, now, limit)
			}
		}
	})
}

// TestWindowRefills checks that retries are allowed up to the reserve and the ratio
// of the requests, and again up to the reserve after the window has passed.
func TestWindowRefills(t *testing.T) {
	w := NewWindow(1000, 0.5, 1)
	now := swclock.Millis(5000)
	for range 4 {
		w.Request(now)
	}
	for i, want := range []bool{true, true, true, false} {
		if got := w.Take(now); got != want {
			t.Errorf("retry %d: allowed is %v", i+1, got)
		}
	}
	w.GiveBack(now)
	if !w.Take(now) || w.Take(now) {
		t.Error("a retry that was given back does not allow exactly one")
	}
	w.SetReserve(2)
	if !w.Take(now) {
		t.Error("a larger reserve allows no further retry")
	}
	now += 1100
	for i, want := range []bool{true, true, false} {
		if got := w.Take(now); got != want {
			t.Errorf("retry %d after the window: allowed is %v", i+1, got)
		}
	}
	w.GiveBack(now - 1100)
	if w.Take(now) {
		t.Error("a retry of an earlier window that was given back allows another one")
	}
}
