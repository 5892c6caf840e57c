package swqueue

import "math"

const (
	// bucketsPerOctave bounds the relative error of an estimate: all organisations
	// of a bucket are treated as if their work took the same virtual time.
	bucketsPerOctave = 4
	bucketCount      = 160
)

// backlog groups organisations by the virtual time that their work takes, so that
// the work served within a span of virtual time is found without a loop over all of
// them.
type backlog struct {
	// work and weight are the sums of the organisations of each bucket.
	work   [bucketCount]float64
	weight [bucketCount]float64
	count  [bucketCount]int
}

// bucketOf returns the bucket of an organisation whose work takes the given virtual time.
func bucketOf(span float64) int {
	if span <= 1 {
		return 0
	}
	return min(int(math.Log2(span)*bucketsPerOctave)+1, bucketCount-1)
}

func (b *backlog) add(bucket int, work, weight float64) {
	b.work[bucket] += work
	b.weight[bucket] += weight
	b.count[bucket]++
}

func (b *backlog) remove(bucket int, work, weight float64) {
	b.count[bucket]--
	if b.count[bucket] == 0 {
		// Resetting an empty bucket to zero keeps rounding errors from accumulating.
		b.work[bucket], b.weight[bucket] = 0, 0
		return
	}
	b.work[bucket] -= work
	b.weight[bucket] -= weight
}

// servedWithin returns the total work of the organisations that is served within a span of virtual time.
func (b *backlog) servedWithin(span float64) float64 {
	var served float64
	for i := range b.work {
		served += min(b.work[i], span*b.weight[i])
	}
	return max(served, 0)
}
