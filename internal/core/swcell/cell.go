package swcell

import (
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swbudget"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swcost"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swqueue"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// Cell holds the queues of one cell and the state of its targets and running
// attempts. It is not safe for concurrent use.
type Cell struct {
	cfg Config
	now swclock.Millis
	// targets is sorted by ID, so that decisions do not depend on map order.
	targets []*target
	byID    map[swid.TargetID]*target
	// weights holds the organisations' weights of the latest configuration.
	weights map[swid.OrgID]float64
	// served is the total cost that each organisation was charged for its runs.
	served map[swid.OrgID]float64
	tiers  []*tier
	// waiting holds at most one attempt of each request.
	waiting map[Key]*request
	running map[runKey]*run
	history *lru.LRU[Key, historyEntry]
	// output estimates how many output tokens requests produce.
	output      swcost.Output
	strikes     *swsuspect.Register
	retryBudget *swbudget.Budget
	// typical holds the mean times of the active targets.
	typical typicalTimes
	// slots is the number of slots of the active targets.
	slots float64
	// unpreempted is the forecast in which no further run is preempted.
	unpreempted supply
	// pass numbers the dispatch passes.
	pass                uint64
	intervalsComparedAt swclock.Millis
	// lastTick is the time of the latest Tick.
	lastTick swclock.Millis
	actions  []Action

	onViolation func(Violation)
	violations  int
}

// tier is the state of one tier.
type tier struct {
	rank  int
	queue *swqueue.Queue[*request]
	// cursor is the item that reviewWaiting checked last.
	cursor *swqueue.Item[*request]
	// closedUntil is the time before which the tier is granted nothing, because a
	// higher tier shed requests.
	closedUntil swclock.Millis
	supply      supply
}

// New returns a cell without targets; Configure adds them.
func New(cfg Config, options ...Option) *Cell {
	cfg = cfg.withDefaults()
	c := &Cell{
		cfg:         cfg,
		byID:        make(map[swid.TargetID]*target),
		weights:     make(map[swid.OrgID]float64),
		served:      make(map[swid.OrgID]float64),
		waiting:     make(map[Key]*request),
		running:     make(map[runKey]*run),
		strikes:     swsuspect.New(cfg.HistorySize, swsuspect.Limits{Strikes: cfg.StrikeLimit, Retention: cfg.StrikeLifetime}),
		retryBudget: swbudget.New(cfg.RetryRatio, cfg.RetryReserve),
	}
	history, err := lru.NewLRU[Key, historyEntry](cfg.HistorySize, nil)
	if err != nil {
		panic(err) // only a negative size fails
	}
	c.history = history
	for rank := range cfg.Tiers {
		c.tiers = append(c.tiers, &tier{rank: rank, queue: swqueue.New[*request](c.weight)})
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Step applies one event and appends the resulting actions to actions. If now is
// before the instant of an earlier call, the latest such instant is used.
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
	case GrantRequest:
		c.handleGrantRequest(e)
	case Withdraw:
		c.handleWithdraw(e)
	case InFlight:
		c.handleInFlight(e)
	case Progress:
		c.handleProgress(e)
	case Done:
		c.handleDone(e)
	case LoadReport:
		c.handleLoadReport(e)
	case CacheReport:
		c.handleCacheReport(e)
	case Configure:
		c.configure(e)
	case TargetReachability:
		c.handleTargetReachability(e)
	case HolderDied:
		c.handleHolderDied(e)
	case Tick:
		c.tick()
	}
}

func (c *Cell) tick() {
	c.endLostRuns()
	c.expireUnreachable()
	c.expireLoad()
	c.compareTokenIntervals()
	c.updateTypicalTimes()
	c.rejectExpired()
	c.reviewWaiting()
	c.preemptForUrgent()
}

func (c *Cell) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Cell) weight(org swid.OrgID) float64 {
	if w := c.weights[org]; w > 0 {
		return w
	}
	return 1
}

func (c *Cell) tierOf(a *GrantRequest) *tier { return c.tiers[min(int(a.Tier), len(c.tiers)-1)] }
