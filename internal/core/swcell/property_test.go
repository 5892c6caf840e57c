package swcell

import (
	"testing"

	"pgregory.net/rapid"
)

// rapidSource draws the choices of a model with rapid.
type rapidSource struct{ t *rapid.T }

func (d rapidSource) intn(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	grants, rejections := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapidSource{t})
		m.run(150)
		if m.failure != "" {
			t.Fatal(m.failure)
		}
		grants += m.grants
		rejections += m.rejections
	})
	if grants == 0 || rejections == 0 {
		t.Errorf("%d grants and %d rejections, want some of each", grants, rejections)
	}
}

// bytesSource reads the choices of a model from a fuzzer's input.
type bytesSource struct{ data []byte }

func (b *bytesSource) intn(n int) int {
	v := 0
	for range 2 {
		if len(b.data) > 0 {
			v, b.data = v<<8|int(b.data[0]), b.data[1:]
		}
	}
	return v % n
}

func FuzzStep(f *testing.F) {
	f.Add([]byte("a few requests and their ends, in any order at all, with repeats"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &bytesSource{data}
		m := newModel(s)
		for len(s.data) > 0 && m.failure == "" {
			m.randomStep()
		}
		m.run(0)
		if m.failure != "" {
			t.Fatal(m.failure)
		}
	})
}
