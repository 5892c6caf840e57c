// Package swvalue decides which request of a cell runs on which target by what
// its answer is worth, and which are refused.
//
// It answers a load above what the targets can process in time: requests of
// very different size and worth on targets of very different speed that admit
// in order of arrival and know no priorities. The queue is therefore kept here,
// and a request is sent to a target only when that has room for it.
//
// Like swcell, whose events and actions it shares, a Cell is pure and
// deterministic: it reads no clock, socket or file and starts no goroutine.
package swvalue

import (
	"math/rand/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// Cell is the queue and the accounts of one cell. It is not safe for concurrent use.
type Cell[P Placement, O Order] struct {
	cfg       Config
	placement P
	order     O
	now       swclock.Millis
	// targets is sorted by id, so that decisions do not depend on map order.
	targets []*target
	byID    map[swid.TargetID]*target
	// typical are the mean rates of the active targets, and typicalSlots the mean of their places.
	typical      typical
	typicalSlots int
	sizes        sizes
	inflow       inflow
	// waiting holds at most one attempt of each request, in order of arrival.
	waiting []*request
	running map[runKey]*run
	// ended has the latest attempt of requests that are no longer known otherwise.
	ended   history
	strikes *swsuspect.Register
	random  *rand.Rand
	actions []swcell.Action
}

// Config holds a cell's figures; zero fields get the defaults.
type Config struct {
	// TierValues is what an answer of mean size is worth in each tier; lower tiers
	// count as the last. Default 16, 4, 1: the users' tables value their three
	// tiers in about these ratios.
	TierValues []float64
	// LateShare is what remains of the value of an answer that begins after its
	// objective. Default 0.35, between the two users' 0.3 and 0.5.
	LateShare float64
	// Ledger accounts for quotas; nil sets none.
	Ledger *swquota.Ledger
	// Seed makes the choices among equal targets differ from host to host.
	Seed uint64
}

// Figures that are not configured.
const (
	// reviewInterval is the time between two checks of what waits.
	reviewInterval = 50 * swclock.Millis(1)
	// historySize bounds the ended requests that are remembered, for messages that arrive twice.
	historySize = 4096
	// strikeLimit is the number of broken targets from which content is refused,
	// and strikeSpan how long that is remembered: a crashing request is told from
	// an unlucky one by the third.
	strikeLimit = 3
	strikeSpan  = 10 * swclock.Minute
)

func (c Config) withDefaults() Config {
	if len(c.TierValues) == 0 {
		c.TierValues = []float64{16, 4, 1}
	}
	if c.LateShare == 0 {
		c.LateShare = 0.35
	}
	return c
}

// New returns a cell without targets; a Configure event adds them.
func New[P Placement, O Order](cfg Config, placement P, order O) *Cell[P, O] {
	cfg = cfg.withDefaults()
	return &Cell[P, O]{
		cfg:       cfg,
		placement: placement,
		order:     order,
		byID:      make(map[swid.TargetID]*target),
		typical:   priors, typicalSlots: 1,
		running: make(map[runKey]*run),
		ended:   newHistory(historySize),
		strikes: swsuspect.New(historySize, strikeLimit, strikeSpan),
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Step takes one event and appends the actions that follow from it. An instant
// before that of the previous call counts as the same instant.
func (c *Cell[P, O]) Step(now swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action {
	c.now = max(c.now, now)
	c.actions = actions
	c.apply(e)
	c.dispatch()
	actions = c.actions
	c.actions = nil
	return actions
}

func (c *Cell[P, O]) apply(e swcell.Event) {
	switch e := e.(type) {
	case swcell.Ask:
		c.ask(e)
	case swcell.Withdraw:
		c.withdraw(e)
	case swcell.InFlight:
		c.inFlight(e)
	case swcell.Progress:
		c.progress(e)
	case swcell.Done:
		c.done(e)
	case swcell.LoadReport:
		c.loadReport(e)
	case swcell.Configure:
		c.configure(e)
	case swcell.TargetSeen:
		c.targetSeen(e)
	case swcell.HolderGone:
		c.holderGone(e)
	case swcell.Tick:
		c.tick()
	}
}

// Idle reports whether nothing waits or runs.
func (c *Cell[P, O]) Idle() bool { return len(c.waiting) == 0 && len(c.running) == 0 }

// TickInterval returns the time after which the cell needs a Tick.
func (c *Cell[P, O]) TickInterval() swclock.Millis {
	if len(c.waiting) == 0 {
		return swclock.Second
	}
	return reviewInterval
}

func (c *Cell[P, O]) emit(a swcell.Action) { c.actions = append(c.actions, a) }

// Snapshot returns the cell's present state.
func (c *Cell[P, O]) Snapshot() swcell.Snapshot {
	s := swcell.Snapshot{Tiers: make([]swcell.TierStatus, len(c.cfg.TierValues))}
	for _, r := range c.waiting {
		s.Tiers[c.tier(r.ask.Tier)].Waiting++
	}
	for _, r := range c.running {
		s.Tiers[c.tier(r.ask.Tier)].Running++
	}
	for _, t := range c.targets {
		s.Targets = append(s.Targets, t.status(c.now))
	}
	return s
}

// tier returns the place of a tier among the configured values.
func (c *Cell[P, O]) tier(t swid.Tier) int { return min(int(t), len(c.cfg.TierValues)-1) }
