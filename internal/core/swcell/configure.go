package swcell

import (
	"slices"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func (c *Cell) configure(e Configure) {
	clear(c.weights)
	for _, o := range e.Organisations {
		c.weights[o.ID] = o.Weight
	}
	for _, t := range c.targets {
		t.listed = false
	}
	for _, conf := range e.Targets {
		c.configureTarget(conf)
	}
	c.targets = slices.DeleteFunc(c.targets, c.removeIfUnused)
	c.applyTargetChange()
}

func (c *Cell) configureTarget(conf Target) {
	t := c.byID[conf.ID]
	if t == nil {
		t = c.addTarget(conf)
	}
	changed := conf.PrefillRate != t.conf.PrefillRate || conf.DecodeRate != t.conf.DecodeRate ||
		conf.ServiceTime != t.conf.ServiceTime || conf.Generation != t.conf.Generation
	if conf.Born != t.conf.Born {
		t.breaks.Restarted()
	}
	t.conf = conf
	t.listed = true
	if changed {
		t.resetRates()
	}
}

// addTarget adds a target without marking it as listed in the configuration.
func (c *Cell) addTarget(conf Target) *target {
	t := newTarget(conf, c.cfg.PrefixHashes)
	c.byID[conf.ID] = t
	i, _ := slices.BinarySearchFunc(c.targets, conf.ID, func(t *target, id swid.TargetID) int {
		return strings.Compare(string(t.conf.ID), string(id))
	})
	c.targets = slices.Insert(c.targets, i, t)
	return t
}

// removeIfUnused removes a target from the index if the configuration does not
// list it and nothing runs on it, and reports whether it did.
func (c *Cell) removeIfUnused(t *target) bool {
	if t.listed || len(t.runs) > 0 {
		return false
	}
	delete(c.byID, t.conf.ID)
	return true
}

func (c *Cell) handleTargetReachability(e TargetReachability) {
	t := c.byID[e.Target]
	if t == nil || t.reachable == e.Reachable {
		return
	}
	t.reachable = e.Reachable
	t.reachabilityChangedAt = c.now
	if t.reachable {
		// The target may have restarted, which empties its prefix cache.
		t.prefixes.Gap()
		t.breaks.Restarted()
	}
	c.applyTargetChange()
}

// expireUnreachable rejects the requests that no target may take any more, if the
// returnTimeout of an unreachable target ended since the previous tick.
func (c *Cell) expireUnreachable() {
	for _, t := range c.targets {
		if t.listed && !t.reachable && c.lastTick < t.reachabilityChangedAt+returnTimeout && c.now >= t.reachabilityChangedAt+returnTimeout {
			c.applyTargetChange()
			break
		}
	}
	c.lastTick = c.now
}

// applyTargetChange updates everything that is derived from the set of targets,
// and rejects the waiting requests that no target may take any more.
func (c *Cell) applyTargetChange() {
	c.updateTypicalTimes()
	c.invalidateForecasts()
	var withoutTarget []*request
	for _, t := range c.tiers {
		t.queue.Urgent(func(i *item) bool {
			if !c.anyTarget(i.Value) {
				withoutTarget = append(withoutTarget, i.Value)
			}
			return true
		})
	}
	for _, r := range withoutTarget {
		c.reject(r, ReasonNoTarget)
	}
}

func (c *Cell) handleCacheReport(e CacheReport) {
	t := c.byID[e.Target]
	if t == nil {
		return
	}
	if e.Gap {
		t.prefixes.Gap()
	}
	t.prefixes.Remove(e.Removed)
	t.prefixes.Add(e.Added)
}
