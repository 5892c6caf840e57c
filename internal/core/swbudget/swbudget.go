// Package swbudget limits retries to a ratio of successes or of requests.
package swbudget

// Budget is a token bucket of retries: every success adds a fraction of a retry, up
// to the reserve.
type Budget struct {
	ratio   float64
	reserve float64
	// left is the number of retries left, between 0 and reserve.
	left float64
}

// New returns a budget with all of its reserve left.
func New(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, left: reserve}
}

// Success adds the fraction of a retry that one success allows.
func (b *Budget) Success() { b.left = min(b.left+b.ratio, b.reserve) }

// Take uses one retry and reports whether one was left.
func (b *Budget) Take() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Left returns the number of retries left.
func (b *Budget) Left() float64 { return b.left }
