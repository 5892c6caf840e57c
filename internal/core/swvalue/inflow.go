package swvalue

import (
	"math"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// inflowWindow is the time constant of the average of arriving work: several
	// times the usual work of a request, and shorter than a burst.
	inflowWindow = 5 * swclock.Second
	// rankClasses is the number of classes of rank by which arriving work is counted.
	// Each begins at rankStep times the rank of the one below. Together they cover
	// the ranks of all usual requests.
	rankClasses = 56
	rankStep    = 1.4
	// lowestRank is the rank at which the lowest class begins.
	lowestRank = 1e-5
)

// inflow is the work of arriving requests by their rank, as an exponentially decaying sum.
type inflow struct {
	// work is the decayed sum of the work that arrived in each class, as of the instant at.
	work [rankClasses]float64
	at   swclock.Millis
}

func rankClass(rank float64) int {
	if rank <= lowestRank {
		return 0
	}
	return min(int(math.Log(rank/lowestRank)/math.Log(rankStep)), rankClasses-1)
}

// add records the work of a request that arrived.
func (f *inflow) add(rank, work float64, now swclock.Millis) {
	f.decay(now)
	f.work[rankClass(rank)] += work
}

// rateAbove returns the work that arrives per millisecond in the classes above that of rank.
func (f *inflow) rateAbove(rank float64, now swclock.Millis) float64 {
	f.decay(now)
	sum := 0.0
	for _, w := range f.work[rankClass(rank)+1:] {
		sum += w
	}
	return sum / float64(inflowWindow)
}

func (f *inflow) decay(now swclock.Millis) {
	if now <= f.at {
		return
	}
	share := math.Exp(-float64(now-f.at) / float64(inflowWindow))
	for i := range f.work {
		f.work[i] *= share
	}
	f.at = now
}
