package swcell

import (
	"cmp"
	"slices"
	"sort"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// supplyInterval is the least time between two forecasts of a tier.
	supplyInterval = 10 * swclock.Millis(1)
	// runsPerMilli stretches the interval as the number of runs grows.
	runsPerMilli = 20
)

// supply forecasts the slot time that gets free: when each slot in use is
// expected to end, and how much slot time there is by then.
type supply struct {
	builtAt swclock.Millis
	stale   bool
	built   bool
	slots   []slotForecast
}

// slotForecast is one slot. A supply holds them by free.
type slotForecast struct {
	// free is the time from the forecast until the slot is free.
	free float64
	// speed is the target's relative to a typical one.
	speed float64
	// total is the speed of this slot and of those free earlier.
	total float64
	// area is the slot time available before free.
	area float64
}

func (s *supply) reset() { s.slots = s.slots[:0] }

func (s *supply) add(free, speed float64) {
	s.slots = append(s.slots, slotForecast{free: free, speed: speed})
}

// finish sorts the slots and sums them up.
func (s *supply) finish(now swclock.Millis) {
	slices.SortFunc(s.slots, func(a, b slotForecast) int { return cmp.Compare(a.free, b.free) })
	var total, area, previous float64
	for i := range s.slots {
		f := &s.slots[i]
		area += total * (f.free - previous)
		total += f.speed
		previous = f.free
		f.area, f.total = area, total
	}
	s.builtAt, s.built, s.stale = now, true, false
}

// startAfter returns the time until the given work has been started, so that a
// request behind it starts.
func (s *supply) startAfter(work float64) float64 {
	n := sort.Search(len(s.slots), func(i int) bool { return s.slots[i].area > work })
	if n == 0 {
		if len(s.slots) == 0 {
			return float64(swclock.Hour)
		}
		return s.slots[0].free
	}
	f := &s.slots[n-1]
	return f.free + (work-f.area)/f.total
}

// supplyOf returns the forecast for a tier, for which all lower runs may be cancelled.
func (c *Cell) supplyOf(t *tier) *supply {
	if c.outdated(&t.supply) {
		c.forecast(&t.supply, t.rank)
	}
	return &t.supply
}

func (c *Cell) outdated(s *supply) bool {
	interval := supplyInterval + swclock.Millis(len(c.running)/runsPerMilli)
	return !s.built || s.stale || c.now >= s.builtAt+interval
}

// forecast fills a supply, in which cancellable runs of tiers below rank end now.
func (c *Cell) forecast(s *supply, rank int) {
	s.reset()
	usual := c.usualTokens()
	for _, t := range c.targets {
		speed := c.speed(t)
		if t.mayReturn(c.now) {
			for range t.conf.Slots {
				s.add(t.returnIn(c.now), speed)
			}
		}
		if !t.active() {
			continue
		}
		for _, r := range t.runs {
			free := r.remaining(c.now)
			if r.preempted || (c.tierOf(&r.ask).rank > rank && r.cancellable()) {
				free = 0
			}
			s.add(free, speed)
		}
		if t.exclusive != nil {
			continue
		}
		for range t.spare(usual, c.now) {
			s.add(0, speed)
		}
	}
	s.finish(c.now)
}

// spare returns the slots that are free, as far as the memory carries usual requests.
func (t *target) spare(usual swid.Tokens, now swclock.Millis) int {
	n := max(t.room(now), 0)
	if t.conf.KVTokens > 0 && usual > 0 {
		n = min(n, max(0, int((t.conf.KVTokens-t.tokens)/usual)))
	}
	return n
}

// usualTokens returns the mean size of the running requests.
func (c *Cell) usualTokens() swid.Tokens {
	if len(c.running) == 0 {
		return 0
	}
	var sum swid.Tokens
	for _, t := range c.targets {
		sum += t.tokens
	}
	return sum / swid.Tokens(len(c.running))
}

// speed returns how fast a target is relative to a typical one.
func (c *Cell) speed(t *target) float64 {
	const minSpeed, maxSpeed = 0.05, 20
	if t.rates.Plain() {
		return bounded(c.typical.service/max(t.rates.Service.Value(), 1), minSpeed, maxSpeed)
	}
	return bounded(c.typical.decode/max(t.rates.Decode.Value(), 1e-6), minSpeed, maxSpeed)
}

func bounded(v, low, high float64) float64 { return min(max(v, low), high) }
