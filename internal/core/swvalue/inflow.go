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
	share := decayShare(now - f.at)
	for i := range f.work {
		f.work[i] *= share
	}
	f.at = now
}

// decayShare returns the share of arrived work that is left in its average after a time.
func decayShare(elapsed swclock.Millis) float64 {
	return math.Exp(-float64(elapsed) / float64(inflowWindow))
}

// workRate is the work of some arriving requests, as an exponentially decaying sum.
type workRate struct {
	work float64
	at   swclock.Millis
}

// add records the work of a request that arrived.
func (w *workRate) add(work float64, now swclock.Millis) {
	w.work, w.at = w.rate(now)*float64(inflowWindow)+work, now
}

// rate returns the work that arrives per millisecond.
func (w *workRate) rate(now swclock.Millis) float64 {
	return w.work * decayShare(now-w.at) / float64(inflowWindow)
}
