package swcell

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// compareInterval is the least time between two comparisons of targets.
	compareInterval = 100 * swclock.Millis(1)
	// minIntervalSamples is the number of observations of a target that a comparison needs.
	minIntervalSamples = 3
	// recoveryShare is the share of the straggler factor below which the ratio of a
	// TrustSlow target must fall before the target gets TrustFull again.
	recoveryShare = 0.75
	// failureLimit is the number of consecutive failures from which a target is only probed.
	failureLimit = 2
	// minBackoff and maxBackoff bound the time until the next probe.
	minBackoff = 500 * swclock.Millis(1)
	maxBackoff = 10 * swclock.Second
)

// compareTokenIntervals compares each target's time between tokens with the median
// of the others of its generation. It starts to probe slow targets, and restores
// TrustFull to TrustSlow targets that have become fast enough.
func (c *Cell) compareTokenIntervals() {
	if c.now < c.intervalsComparedAt+compareInterval {
		return
	}
	c.intervalsComparedAt = c.now
	for _, t := range c.targets {
		ratio := c.tokenIntervalRatio(t)
		if ratio == 0 {
			continue
		}
		switch {
		case t.trust == TrustFull && ratio > c.cfg.StragglerFactor:
			c.startProbing(t, minBackoff)
		case t.trust == TrustSlow && ratio < c.cfg.StragglerFactor*recoveryShare:
			t.trust = TrustFull
		}
	}
}

// tokenIntervalRatio returns a target's time between tokens relative to the median
// of its peers, or 0 if there are too few observations.
func (c *Cell) tokenIntervalRatio(t *target) float64 {
	if t.tokenInterval.Samples() < minIntervalSamples {
		return 0
	}
	var peers []float64
	for _, o := range c.targets {
		if o != t && o.conf.Generation == t.conf.Generation && o.trust == TrustFull && o.tokenInterval.Samples() >= minIntervalSamples {
			peers = append(peers, o.tokenInterval.Value())
		}
	}
	if len(peers) == 0 {
		return 0
	}
	slices.Sort(peers)
	return t.tokenInterval.Value() / peers[len(peers)/2]
}

func (c *Cell) startProbing(t *target, wait swclock.Millis) {
	t.trust = TrustProbing
	t.probe = nil
	t.nextProbeAt = c.now + wait
	c.invalidateForecasts()
}

// recordSuccess records that a target answered, and ends its probing if the answer
// is that of the probe.
func (c *Cell) recordSuccess(t *target, probe bool) {
	t.failures = 0
	if t.trust != TrustProbing || !probe {
		return
	}
	t.trust = TrustFull
	if c.tokenIntervalRatio(t) > c.cfg.StragglerFactor {
		t.trust = TrustSlow
	}
	c.invalidateForecasts()
}

// recordFailure records that an attempt was not started, broke or got no answer.
// After failureLimit consecutive failures the target is only probed, with exponential
// backoff.
func (c *Cell) recordFailure(t *target) {
	t.failures++
	if t.failures >= failureLimit {
		c.startProbing(t, min(minBackoff<<min(t.failures-failureLimit, 10), maxBackoff))
	}
}

func (c *Cell) invalidateForecasts() {
	c.unpreempted.stale = true
	for _, t := range c.tiers {
		t.supply.stale = true
	}
}
