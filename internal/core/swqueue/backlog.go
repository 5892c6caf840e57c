package swqueue

import "math"

const (
	// bucketsPerDoubling is the number of buckets for each doubling of the virtual time.
	// It bounds the relative error of servedWithin, which treats all organisations of a
	// bucket as if their work took the same virtual time. The first and the last bucket
	// have no such bound, because they hold all shorter and all longer times.
	bucketsPerDoubling = 4
	bucketCount        = 160
)

// backlog groups organisations by the virtual time that their work takes, so that
// the work served within a span of virtual time is found without a loop over all of
// them.
type backlog struct {
	// work and weight are the total work and weight of the organisations in each bucket.
	work          [bucketCount]float64
	weight        [bucketCount]float64
	organisations [bucketCount]int
}

// bucketOf returns the bucket of an organisation whose work takes the given virtual time.
func bucketOf(span float64) int {
	if span <= 1 {
		return 0
	}
	return min(int(math.Log2(span)*bucketsPerDoubling)+1, bucketCount-1)
}

func (b *backlog) add(bucket int, work, weight float64) {
	b.work[bucket] += work
	b.weight[bucket] += weight
	b.organisations[bucket]++
}

func (b *backlog) remove(bucket int, work, weight float64) {
	b.organisations[bucket]--
	if b.organisations[bucket] == 0 {
		// Resetting an empty bucket to zero keeps rounding errors from accumulating.
		b.work[bucket], b.weight[bucket] = 0, 0
		return
	}
	b.work[bucket] -= work
	b.weight[bucket] -= weight
}

// servedWithin estimates how much of the organisations' work is served within a span of virtual time.
func (b *backlog) servedWithin(span float64) float64 {
	var served float64
	for i := range b.work {
		served += min(b.work[i], span*b.weight[i])
	}
	return max(served, 0)
}
