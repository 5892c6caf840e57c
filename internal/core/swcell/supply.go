package swcell

import (
	"cmp"
	"slices"
	"sort"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// supplyInterval is the least time between two periodic forecasts of a tier.
	supplyInterval = 10 * swclock.Millis(1)
	// runsPerMilli is the number of runs that lengthen the interval by a millisecond,
	// since a forecast takes longer the more runs there are.
	runsPerMilli = 20
)

// supply forecasts when slots become free, and how much slot time for new work
// there is by then.
type supply struct {
	builtAt swclock.Millis
	stale   bool
	built   bool
	slots   []slotForecast
}

// slotForecast describes one slot. A supply holds its slots in order of freeAfter.
type slotForecast struct {
	// freeAfter is the time from the forecast until the slot is free.
	freeAfter float64
	// speed is the target's speed relative to a typical one.
	speed float64
	// totalSpeed is the sum of the speeds of this slot and of those free earlier.
	totalSpeed float64
	// slotTime is the slot time, weighted by speed, that is available before freeAfter.
	slotTime float64
}

func (s *supply) reset() { s.slots = s.slots[:0] }

func (s *supply) add(freeAfter, speed float64) {
	s.slots = append(s.slots, slotForecast{freeAfter: freeAfter, speed: speed})
}

// finish sorts the slots and computes their totalSpeed and slotTime.
func (s *supply) finish(now swclock.Millis) {
	slices.SortFunc(s.slots, func(a, b slotForecast) int { return cmp.Compare(a.freeAfter, b.freeAfter) })
	var totalSpeed, slotTime, previous float64
	for i := range s.slots {
		f := &s.slots[i]
		slotTime += totalSpeed * (f.freeAfter - previous)
		totalSpeed += f.speed
		previous = f.freeAfter
		f.slotTime, f.totalSpeed = slotTime, totalSpeed
	}
	s.builtAt, s.built, s.stale = now, true, false
}

// startAfter returns the time after which all of the given work has been started
// and a request behind it can start. Without any slot it returns an hour.
func (s *supply) startAfter(work float64) float64 {
	n := sort.Search(len(s.slots), func(i int) bool { return s.slots[i].slotTime > work })
	if n == 0 {
		if len(s.slots) == 0 {
			return float64(swclock.Hour)
		}
		return s.slots[0].freeAfter
	}
	f := &s.slots[n-1]
	return f.freeAfter + (work-f.slotTime)/f.totalSpeed
}

// supplyOf returns the forecast for a tier, which assumes that all cancellable runs
// of lower tiers are preempted for that tier.
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

// forecast recomputes a supply in which cancellable runs of tiers below rank end now.
func (c *Cell) forecast(s *supply, rank int) {
	s.reset()
	meanTokens := c.meanRunTokens()
	for _, t := range c.targets {
		speed := c.speed(t)
		if t.mayReturn(c.now) {
			for range t.conf.Slots {
				s.add(t.expectedReturn(c.now), speed)
			}
		}
		if !t.active() {
			continue
		}
		for _, r := range t.runs {
			freeAfter := r.remaining(c.now)
			if r.preempted || (c.tierOf(&r.grantRequest).rank > rank && r.cancellable()) {
				freeAfter = 0
			}
			s.add(freeAfter, speed)
		}
		if t.exclusive != nil {
			continue
		}
		for range t.spareSlots(meanTokens, c.now) {
			s.add(0, speed)
		}
	}
	s.finish(c.now)
}

// spareSlots returns the number of free slots, bounded by the number of requests
// of mean size that fit into the free memory.
func (t *target) spareSlots(meanTokens swid.Tokens, now swclock.Millis) int {
	n := max(t.freeSlots(now), 0)
	if t.conf.KVTokens > 0 && meanTokens > 0 {
		n = min(n, max(0, int((t.conf.KVTokens-t.tokens)/meanTokens)))
	}
	return n
}

// meanRunTokens returns the mean size of the running requests, or 0 if none runs.
func (c *Cell) meanRunTokens() swid.Tokens {
	if len(c.running) == 0 {
		return 0
	}
	var sum swid.Tokens
	for _, t := range c.targets {
		sum += t.tokens
	}
	return sum / swid.Tokens(len(c.running))
}

// speed returns a target's speed relative to a typical one, by the time for a
// plain call or for an output token.
func (c *Cell) speed(t *target) float64 {
	const minSpeed, maxSpeed = 0.05, 20
	if t.rates.Plain() {
		return clamp(c.typical.service/max(t.rates.Service.Value(), 1), minSpeed, maxSpeed)
	}
	return clamp(c.typical.decode/max(t.rates.Decode.Value(), 1e-6), minSpeed, maxSpeed)
}

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }
