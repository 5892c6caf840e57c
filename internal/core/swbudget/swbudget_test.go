package swbudget

import "testing"

func TestRetriesFollowSuccesses(t *testing.T) {
	b := New(0.5, 2)
	for i, want := range []bool{true, true, false} {
		if got := b.Take(); got != want {
			t.Errorf("retry %d: %v, want %v", i, got, want)
		}
	}
	b.Success()
	b.Success()
	if !b.Take() || b.Take() {
		t.Error("two successes do not allow exactly one retry")
	}
}
