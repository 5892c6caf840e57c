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

// Cell is the queue and the accounts of one cell. It is not safe for concurrent use.
type Cell struct {
	cfg Config
	now swclock.Millis
	// targets is sorted by id, so that decisions do not depend on map order.
	targets []*target
	byID    map[swid.TargetID]*target
	// weights holds the organisations of the latest configuration.
	weights map[swid.OrgID]float64
	// served sums the cost of each organisation's granted requests.
	served map[swid.OrgID]float64
	tiers  []*tier
	// waiting holds at most one attempt of each request.
	waiting map[Key]*request
	running map[runKey]*run
	history *lru.LRU[Key, past]
	output  swcost.Output
	strikes *swsuspect.Register
	retries *swbudget.Budget
	// typical is the mean of the active targets' rates.
	typical typicalRates
	// slots is the number of slots of the active targets.
	slots float64
	// natural forecasts the ends of runs without any cancellation.
	natural supply
	// pass numbers the dispatch passes.
	pass   uint64
	paceAt swclock.Millis
	// lastTick is when time passed last.
	lastTick swclock.Millis
	actions  []Action

	onViolation func(Violation)
	violations  int
}

// tier is the state of one tier.
type tier struct {
	rank  int
	queue *swqueue.Tier[*request]
	// cursor is the item that the check for overload looked at last.
	cursor *swqueue.Item[*request]
	// closedUntil is when the tier takes requests again, after a higher tier shed some.
	closedUntil swclock.Millis
	supply      supply
}

// New returns a cell without targets; Configure adds them.
func New(cfg Config, options ...Option) *Cell {
	cfg = cfg.withDefaults()
	c := &Cell{
		cfg:     cfg,
		byID:    make(map[swid.TargetID]*target),
		weights: make(map[swid.OrgID]float64),
		served:  make(map[swid.OrgID]float64),
		waiting: make(map[Key]*request),
		running: make(map[runKey]*run),
		strikes: swsuspect.New(cfg.HistorySize, cfg.StrikeLimit, cfg.StrikeSpan),
		retries: swbudget.New(cfg.RetryRatio, cfg.RetryReserve),
	}
	history, err := lru.NewLRU[Key, past](cfg.HistorySize, nil)
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

// Step takes one event and appends the actions that follow from it. An instant
// before that of the previous call counts as the same instant.
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
	case Progress:
		c.progress(e)
	case Done:
		c.done(e)
	case LoadReport:
		c.loadReport(e)
	case CacheReport:
		c.cacheReport(e)
	case Configure:
		c.configure(e)
	case TargetSeen:
		c.targetSeen(e)
	case HolderGone:
		c.holderGone(e)
	case Tick:
		c.tick()
	}
}

func (c *Cell) tick() {
	c.freeLost()
	c.giveUpLost()
	c.expireLoad()
	c.judgePace()
	c.updateTypical()
	c.expire()
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

func (c *Cell) tierOf(a *Ask) *tier { return c.tiers[min(int(a.Tier), len(c.tiers)-1)] }
