package swcell

import (
	"slices"
	"strings"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swqueue"
)

// Cell is the queue and the accounts of one cell. It is not safe for concurrent use.
type Cell struct {
	cfg Config
	now swclock.Millis
	// targets is sorted by id, so that decisions do not depend on map order.
	targets []*target
	byID    map[swid.TargetID]*target
	// weights holds the organisations of the latest configuration.
	weights map[swid.OrgID]float64
	tiers   []*swqueue.Tier[*request]
	// waiting holds at most one attempt of each request.
	waiting map[Key]*request
	running map[runKey]*run
	history *lru.Cache[Key, past]
	actions []Action

	onViolation func(Violation)
	violations  int
}

// New returns a cell without targets; Configure adds them.
func New(cfg Config, options ...Option) *Cell {
	c := &Cell{
		cfg:     cfg.withDefaults(),
		byID:    make(map[swid.TargetID]*target),
		weights: make(map[swid.OrgID]float64),
		waiting: make(map[Key]*request),
		running: make(map[runKey]*run),
	}
	history, err := lru.New[Key, past](c.cfg.HistorySize)
	if err != nil {
		panic(err) // the size is positive by withDefaults, unless the caller set a negative one
	}
	c.history = history
	for range c.cfg.Tiers {
		c.tiers = append(c.tiers, swqueue.New[*request](c.weight))
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Step takes one event and appends the actions that follow from it. now never
// decreases from one call to the next.
func (c *Cell) Step(now swclock.Millis, e Event, actions []Action) []Action {
	c.now = max(c.now, now)
	c.actions = actions
	c.apply(e)
	c.dispatch()
	actions = c.actions
	c.actions = nil
	return actions
}

func (c *Cell) apply(e Event) {
	switch e := e.(type) {
	case Ask:
		c.ask(e)
	case Withdraw:
		c.withdraw(e)
	case InFlight:
		c.inFlight(e)
	case Done:
		c.done(e)
	case Configure:
		c.configure(e)
	case TargetSeen:
		c.targetSeen(e)
	case HolderGone:
		c.holderGone(e)
	case LoadReport:
	case CacheReport:
	case Progress:
	case Tick:
		c.tick()
	}
}

func (c *Cell) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Cell) weight(org swid.OrgID) float64 {
	if w := c.weights[org]; w > 0 {
		return w
	}
	return 1
}

func (c *Cell) tierOf(a *Ask) int { return min(int(a.Tier), len(c.tiers)-1) }

func (c *Cell) configure(e Configure) {
	clear(c.weights)
	for _, o := range e.Organisations {
		c.weights[o.ID] = o.Weight
	}
	for _, t := range c.targets {
		t.listed = false
	}
	for _, conf := range e.Targets {
		t := c.byID[conf.ID]
		if t == nil {
			t = newTarget(conf)
			c.byID[conf.ID] = t
			c.targets = append(c.targets, t)
		}
		t.conf = conf
		t.listed = true
	}
	c.targets = slices.DeleteFunc(c.targets, c.forget)
	slices.SortFunc(c.targets, func(a, b *target) int {
		return strings.Compare(string(a.conf.ID), string(b.conf.ID))
	})
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
	if t := c.byID[e.Target]; t != nil {
		t.reachable = e.Reachable
	}
}

func (c *Cell) holderGone(e HolderGone) {
	gone := func(k Key) bool { return k.Holder == e.Holder && k.Incarnation <= e.Incarnation }
	for k, r := range c.waiting {
		if gone(k) {
			c.unqueue(r)
		}
	}
	for k, r := range c.running {
		if gone(k.key) && r.orphanedAt == 0 {
			r.orphanedAt = max(c.now, 1)
		}
	}
}

func (c *Cell) tick() {
	c.expire()
	c.freeOrphans()
}

// freeOrphans ends the runs of dead holders that are past their bound.
func (c *Cell) freeOrphans() {
	for k, r := range c.running {
		if r.orphanedAt > 0 && c.now > max(r.orphanedAt, r.expectedEnd)+c.cfg.OrphanBound {
			c.endRun(k, r)
		}
	}
}
