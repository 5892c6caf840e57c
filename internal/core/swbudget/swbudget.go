// Package swbudget bounds retries to a ratio of successes.
package swbudget

// Budget allows a number of retries that grows with every success up to a reserve.
type Budget struct {
	ratio   float64
	reserve float64
	// left is never negative and never above reserve.
	left float64
}

// New returns a budget whose reserve is full.
func New(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, left: reserve}
}

// Success adds the ratio of one success.
func (b *Budget) Success() { b.left = min(b.left+b.ratio, b.reserve) }

// Take uses one retry up and reports whether one was left.
func (b *Budget) Take() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Left returns the retries that are left.
func (b *Budget) Left() float64 { return b.left }
