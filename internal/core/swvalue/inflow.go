package swvalue

import (
	"math"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// inflowSpan is the time over which arriving work is averaged: some times the
	// usual work of a request, and shorter than a burst.
	inflowSpan = 5 * swclock.Second
	// rankClasses are the classes of rank in which arriving work is counted, each
	// rankStep times the one below. They cover all ranks of usual requests.
	rankClasses = 56
	rankStep    = 1.4
	// lowestRank is the rank of the lowest class.
	lowestRank = 1e-5
)

// inflow is the work that arrives, by the rank of the requests that bring it.
type inflow struct {
	// work is what arrived of each class in the last span, with older work fading out.
	work [rankClasses]float64
	at   swclock.Millis
}

func rankClass(rank float64) int {
	if rank <= lowestRank {
		return 0
	}
	return min(int(math.Log(rank/lowestRank)/math.Log(rankStep)), rankClasses-1)
}

// add takes in the work of a request that arrived.
func (f *inflow) add(rank, work float64, now swclock.Millis) {
	f.fade(now)
	f.work[rankClass(rank)] += work
}

// above returns the work of higher rank that arrives in a ms.
func (f *inflow) above(rank float64, now swclock.Millis) float64 {
	f.fade(now)
	sum := 0.0
	for _, w := range f.work[rankClass(rank)+1:] {
		sum += w
	}
	return sum / float64(inflowSpan)
}

func (f *inflow) fade(now swclock.Millis) {
	if now <= f.at {
		return
	}
	share := math.Exp(-float64(now-f.at) / float64(inflowSpan))
	for i := range f.work {
		f.work[i] *= share
	}
	f.at = now
}
