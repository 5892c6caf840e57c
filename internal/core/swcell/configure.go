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
	c.targets = slices.DeleteFunc(c.targets, c.forget)
	c.targetsChanged()
}

func (c *Cell) configureTarget(conf Target) {
	t := c.byID[conf.ID]
	if t == nil {
		t = c.addTarget(conf)
	}
	changed := conf.PrefillRate != t.conf.PrefillRate || conf.DecodeRate != t.conf.DecodeRate ||
		conf.ServiceTime != t.conf.ServiceTime || conf.Generation != t.conf.Generation
	t.conf = conf
	t.listed = true
	if changed {
		t.resetRates()
	}
}

// addTarget adds a target that is not listed.
func (c *Cell) addTarget(conf Target) *target {
	t := newTarget(conf, c.cfg.PrefixHashes)
	c.byID[conf.ID] = t
	i, _ := slices.BinarySearchFunc(c.targets, conf.ID, func(t *target, id swid.TargetID) int {
		return strings.Compare(string(t.conf.ID), string(id))
	})
	c.targets = slices.Insert(c.targets, i, t)
	return t
}

// forget drops a target that is not configured and runs nothing.
func (c *Cell) forget(t *target) bool {
	if t.listed || len(t.runs) > 0 {
		return false
	}
	delete(c.byID, t.conf.ID)
	return true
}

func (c *Cell) targetSeen(e TargetSeen) {
	t := c.byID[e.Target]
	if t == nil || t.reachable == e.Reachable {
		return
	}
	t.reachable = e.Reachable
	t.downSince = c.now
	if t.reachable {
		// The target may have restarted, which empties its cache.
		t.prefixes.Gap()
	}
	c.targetsChanged()
}

// giveUpLost ends the requests that waited for a target which is not expected back any more.
func (c *Cell) giveUpLost() {
	for _, t := range c.targets {
		if t.listed && !t.reachable && c.lastTick < t.downSince+returnTime && c.now >= t.downSince+returnTime {
			c.targetsChanged()
			break
		}
	}
	c.lastTick = c.now
}

// targetsChanged ends the waiting requests that no target may take any more.
func (c *Cell) targetsChanged() {
	c.updateTypical()
	c.suppliesChanged()
	var stranded []*request
	for _, t := range c.tiers {
		t.queue.Urgent(func(i *item) bool {
			if !c.anyTarget(i.Value) {
				stranded = append(stranded, i.Value)
			}
			return true
		})
	}
	for _, r := range stranded {
		c.giveUp(r, ReasonNoTarget)
	}
}

func (c *Cell) cacheReport(e CacheReport) {
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
