package swprefix

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func TestMatch(t *testing.T) {
	prompt := []swid.PrefixHash{1, 2, 3, 4}
	x := New(8)
	x.Add(prompt[:2])
	if got := x.Match(prompt); got != 0.5 {
		t.Errorf("matched %.2f, want half", got)
	}
	x.Gap()
	if got := x.Match(prompt); got != 0.25 {
		t.Errorf("matched %.2f after a gap, want a quarter", got)
	}
	for range 40 {
		x.Observe(x.Match(prompt)*400, 200)
	}
	if got := x.Match(prompt); got < 0.45 {
		t.Errorf("matched %.2f after hits, want the accuracy to recover", got)
	}
	x.Remove(prompt[1:2])
	if got := x.Match(prompt); got > 0.26 {
		t.Errorf("matched %.2f after an eviction", got)
	}
}

func TestShortestPrefixesStayLongest(t *testing.T) {
	x := New(2)
	x.Add([]swid.PrefixHash{1, 2, 3, 4})
	if got := x.Match([]swid.PrefixHash{1, 2}); got != 1 || x.Len() != 2 {
		t.Errorf("matched %.2f of the shortest prefixes, %d prefixes held", got, x.Len())
	}
}
