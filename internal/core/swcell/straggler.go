package swcell

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const (
	// paceInterval is the time between two comparisons of targets.
	paceInterval = 100 * swclock.Millis(1)
	// paceSamples is the number of observations that a comparison needs.
	paceSamples = 3
	// recoveredShare of the straggler factor is the pace at which trust returns.
	recoveredShare = 0.75
	// failureLimit is the number of failures in a row that make a target be probed.
	failureLimit = 2
	// minBackoff and maxBackoff bound the time to the next probe.
	minBackoff = 500 * swclock.Millis(1)
	maxBackoff = 10 * swclock.Second
)

// judgePace compares each target with the median of its generation's others.
func (c *Cell) judgePace() {
	if c.now < c.paceAt+paceInterval {
		return
	}
	c.paceAt = c.now
	for _, t := range c.targets {
		ratio := c.paceRatio(t)
		if ratio == 0 {
			continue
		}
		switch {
		case t.trust == TrustFull && ratio > c.cfg.StragglerFactor:
			c.distrust(t, minBackoff)
		case t.trust == TrustSlow && ratio < c.cfg.StragglerFactor*recoveredShare:
			t.trust = TrustFull
		}
	}
}

// paceRatio returns a target's time between tokens relative to its peers', or 0 if too little is known.
func (c *Cell) paceRatio(t *target) float64 {
	if t.pace.Samples() < paceSamples {
		return 0
	}
	var peers []float64
	for _, o := range c.targets {
		if o != t && o.conf.Generation == t.conf.Generation && o.trust == TrustFull && o.pace.Samples() >= paceSamples {
			peers = append(peers, o.pace.Value())
		}
	}
	if len(peers) == 0 {
		return 0
	}
	slices.Sort(peers)
	return t.pace.Value() / peers[len(peers)/2]
}

func (c *Cell) distrust(t *target, wait swclock.Millis) {
	t.trust = TrustProbing
	t.probe = nil
	t.retryAt = c.now + wait
	c.suppliesChanged()
}

// succeeded takes in that a target answered.
func (c *Cell) succeeded(t *target, probe bool) {
	t.failures = 0
	if t.trust != TrustProbing || !probe {
		return
	}
	t.trust = TrustFull
	if c.paceRatio(t) > c.cfg.StragglerFactor {
		t.trust = TrustSlow
	}
	c.suppliesChanged()
}

// failed takes in that a target refused or broke an attempt.
func (c *Cell) failed(t *target) {
	t.failures++
	if t.failures >= failureLimit {
		c.distrust(t, min(minBackoff<<min(t.failures-failureLimit, 10), maxBackoff))
	}
}

func (c *Cell) suppliesChanged() {
	c.natural.stale = true
	for _, t := range c.tiers {
		t.supply.stale = true
	}
}
