package swrollout

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// maxSamples is the number of answers that are kept of the old versions, and of the new one.
	maxSamples = 2048
	// maxRoutes is the number of routes that are judged by themselves; further ones are judged with the last of them.
	maxRoutes = 64
	// timeOffset is added to measured times, so that small differences between short ones do not count.
	timeOffset = 10 * swclock.Millis(1)
	// paceOffset does so for times per token, in milliseconds.
	paceOffset = 0.5
	// minPaceTokens is the number of output tokens from which the time per token is compared.
	minPaceTokens = 4
	// highLoad is the share of a target's slots from which it counts as loaded.
	highLoad = 0.7
)

// levels is the number of load levels that are compared by themselves.
const levels = 4

// Kinds of measured times.
const (
	timeFirst = iota
	timePace
	timeTotal
	timeKinds
)

// sample is an answer as it is kept.
type sample struct {
	at swclock.Millis
	// target and route are indices of the names.
	target, route int
	level         int
	loaded        bool
	warming       bool
	bad           bool
	// late is set for a run that has not ended and may be sound.
	late  bool
	total swclock.Millis
	// times are logarithms, and NaN where nothing was measured. series are the indices of the times that they are compared with.
	times  [timeKinds]float64
	series [timeKinds]int
}

// seriesKey identifies times that are compared with each other.
type seriesKey struct {
	kind int
	// size classes the time to the first output by the length of the prompt.
	size  int
	route int
}

// names assigns indices to what answers name.
type names struct {
	targets map[swid.TargetID]int
	routes  map[Route]int
	series  map[seriesKey]int
	// byIndex are the targets.
	byIndex []swid.TargetID
}

func newNames() names {
	return names{targets: make(map[swid.TargetID]int), routes: make(map[Route]int), series: make(map[seriesKey]int)}
}

func index[K comparable](m map[K]int, key K) int {
	i, found := m[key]
	if !found {
		i = len(m)
		m[key] = i
	}
	return i
}

// target returns the index of a target.
func (n *names) target(target swid.TargetID) int {
	i := index(n.targets, target)
	if i == len(n.byIndex) {
		n.byIndex = append(n.byIndex, target)
	}
	return i
}

// route returns the index of a route.
func (n *names) route(route Route) int {
	if i, found := n.routes[route]; found || len(n.routes) >= maxRoutes {
		return min(i, maxRoutes-1)
	}
	return index(n.routes, route)
}

func loadLevel(running, slots int) (level int, loaded bool) {
	if slots <= 0 {
		return 0, false
	}
	share := float64(running) / float64(slots)
	switch {
	case share <= 0.4:
		level = 0
	case share < highLoad:
		level = 1
	case share < 0.95:
		level = 2
	default:
		level = 3
	}
	return level, share >= highLoad
}

// sample returns an answer as it is kept.
func (n *names) sample(a Answer, now swclock.Millis) sample {
	level, loaded := loadLevel(a.Running, a.Slots)
	s := sample{at: now - max(a.SinceEnd, 0), target: n.target(a.Target), route: n.route(a.Route), level: level, loaded: loaded,
		warming: a.Warming, bad: a.Bad, total: a.Total}
	none := math.NaN()
	s.times = [timeKinds]float64{none, none, none}
	set := func(kind, size int, ms float64) {
		s.times[kind] = math.Log(ms)
		s.series[kind] = index(n.series, seriesKey{kind: kind, size: size, route: s.route})
	}
	switch {
	case a.Bad:
	case a.OutputTokens == 0:
		set(timeTotal, 0, float64(max(a.Total, 0)+timeOffset))
	default:
		if a.First > 0 {
			set(timeFirst, bits.Len64(uint64(max(a.PromptTokens, 0))), float64(a.First+timeOffset))
		}
		if a.OutputTokens >= minPaceTokens && a.Total > a.First {
			set(timePace, 0, float64(a.Total-a.First)/float64(a.OutputTokens)+paceOffset)
		}
	}
	return s
}

// samples is a ring of the latest answers.
type samples struct {
	ring []sample
	next int
	// total and bad count all answers, also those no longer kept.
	total, bad uint64
}

func (s *samples) add(a sample) {
	s.total++
	if a.bad {
		s.bad++
	}
	if len(s.ring) < maxSamples {
		s.ring = append(s.ring, a)
		return
	}
	s.ring[s.next] = a
	s.next = (s.next + 1) % maxSamples
}

// sorted returns the answers in the order in which they ended.
func (s *samples) sorted() []*sample {
	all := make([]*sample, len(s.ring))
	for i := range s.ring {
		all[i] = &s.ring[(s.next+i)%len(s.ring)]
	}
	slices.SortStableFunc(all, func(a, b *sample) int { return cmp.Compare(a.at, b.at) })
	return all
}
