// Package swvalue schedules the requests of one cell, which is the targets of one
// service in one region, by worth: it decides which request runs on which target
// and which are rejected, so that the targets' time goes to the answers that are
// worth most for each second of it.
//
// The package serves the fleet of hosts on the operators' platform (package swfleet): the
// shared cells, all of which one owner schedules for the whole fleet, and the cells
// of plain services, which each host schedules for itself unless a quota counts
// requests. These cells receive more load than their targets can process in time. The
// requests differ widely in size and worth, and the targets in speed. The targets admit
// requests in order of arrival and have no priorities. The queue is therefore kept here,
// and a request is sent to a target only when that target has a free slot.
//
// Package swcell schedules the cells of a document's services (package swnode) by
// strict tier instead: for lack of capacity it rejects and preempts the work of
// lower tiers first. Here the tier is one factor of the worth beside the size and
// the objective, and running requests are never preempted.
//
// Like swcell, whose events and actions it shares, a Cell is pure and
// deterministic: it reads no clock, socket or file and starts no goroutine.
package swvalue

import (
	"math/rand/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swcontention"
	"github.com/sassafraswing/sassafraswing/internal/core/swcost"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// Cell holds the queue, the running requests and the target statistics of one cell. It is not safe for concurrent use.
type Cell[P Placement, O Order] struct {
	cfg       Config
	placement P
	order     O
	now       swclock.Millis
	// targets is sorted by id, so that decisions do not depend on map order.
	targets []*target
	byID    map[swid.TargetID]*target
	// typical holds the mean rates of the active targets, and typicalSlots their mean number of slots.
	typical      typicalRates
	typicalSlots int
	sizes        sizes
	inflow       inflow
	// continued is the work of the streams that go on and precede new requests.
	continued workRate
	// waiting holds at most one attempt of each request, in order of arrival, and waitingByKey the same by request.
	waiting      []*request
	waitingByKey map[swcell.Key]*request
	arrivals     uint64
	queued       queued
	// open is where openTargets builds its result. compared and candidate are what the placement and the order were
	// last given: variables of their own would be allocated for each call.
	open      []*target
	compared  Offer
	candidate Candidate
	running   map[runKey]*run
	// handoverAt is when a holder last came from another owner or went to one; 0 for never.
	handoverAt swclock.Millis
	// apart holds the run of each content that runs apart, see swsuspect.Register.RunsApart.
	apart map[swid.Fingerprint]*run
	tried triedParts
	// decided holds the latest attempt of each request that was granted or rejected.
	decided   history
	uncharged unchargedRequests
	random    *rand.Rand
	actions   []swcell.Action
	// changes counts the changes by which a target may take requests that declined it, listing
	// those of the targets' configuration and reachability.
	changes, listing uint64
	lastSupply       cachedSupply
	// awaitsOrigins is set if a waiting request may have to wait until the origin of its stream is known.
	awaitsOrigins bool
	// mixed is the result of isMixed at an instant and for a listing.
	mixed        bool
	mixedAt      swclock.Millis
	mixedListing uint64
	// reaching is the result of lookForHosts, and carriers has those of anyCarrier. carrierChanges counts the changes of what
	// the hosts carry for this cell.
	reaching       reaching
	carriers       carriers
	carrierChanges uint64
	// shares has what organisations ask for and are granted.
	shares shares
	// lastStanding is the result of standing, and admissionChanges counts the changes after which Config.Rollouts may return others.
	lastStanding     cachedStanding
	admissionChanges uint64
	// beganAt is when the first event came, and joinedAt when each holder last came from another owner.
	beganAt  swclock.Millis
	joinedAt map[swid.HostID]swclock.Millis
	// meanWork is the mean work of the granted requests.
	meanWork swcost.Average
	effort   swcell.Effort
}

// Config holds a cell's settings; zero fields get the defaults.
type Config struct {
	// TierValues is what an answer of mean size is worth in each tier; lower tiers
	// count as the last. The default is 16, 4, 1: the users' tables value their
	// three tiers in about these ratios.
	TierValues []float64
	// LateShare is the share of its value that an answer keeps if its first output
	// comes after the objective. The default is 0.35, between the two users' 0.3 and 0.5.
	LateShare float64
	// Ledger accounts for the organisations' quotas; nil sets none.
	Ledger *swquota.Ledger
	// Seed makes the choices among equal targets differ from host to host.
	Seed uint64
	// Strikes counts the crashes of targets against content. Nil gives the cell a register of
	// its own.
	Strikes *swsuspect.Register
	// OnStrikes is called when the strikes of content change. It must not block.
	OnStrikes func(StrikeChange)
	// Parts counts the crashes of targets against parts of prompts. Nil gives the cell a register of
	// its own.
	Parts *swsuspect.Parts
	// OnPartChange is called when the verdict on a part changes because of a run on a target. It must
	// not block.
	OnPartChange func(swid.TargetID, swsuspect.PartChange)
	// Limits holds the rate limits that targets name. Nil gives the cell a limiter of its own.
	Limits *swlimit.Limiter
	// Brittle has the targets that end when they have to reject too many requests, as their answers say. Nil means
	// that there are none.
	Brittle *swlimit.Brittle
	// OnBrittle is called when an answer changed how many requests its target may have to reject.
	OnBrittle func(swid.TargetID, swlimit.Statement)
	// Grantable returns how many of the slots of a brittle target this cell may grant while other owners may grant the
	// rest. Nil means all.
	Grantable func(target swid.TargetID, slots int) int
	// OnRateLimit is called when the rate limit of a target changes, 0 if it ends. It must not block.
	OnRateLimit func(swid.TargetID, swid.RequestRate)
	// OnProbing is called when a target comes to be probed, or no longer is. It must not block.
	OnProbing func(ProbingChange)
	// OnLeaving is called when an answer of a target first says that it is leaving. It must not block.
	OnLeaving func(swid.TargetID)
	// Service is the service of the cell.
	Service swid.ServiceID
	// Origins records which software version began each stream. Nil gives the cell a register of its own.
	Origins *sworigin.Register
	// StoreReachable reports whether the store can be asked for the origins of streams. Nil means that it can.
	StoreReachable func() bool
	// OnOriginWanted is called while a request waits for the origin of its stream. It must not block.
	OnOriginWanted func()
	// Contention counts how requests of plain services find room. Nil counts nothing.
	Contention *swcontention.Meter
	// Carriers picks the hosts that carry requests. Nil means that none is carried.
	Carriers Carriers
	// OthersSchedule reports whether other hosts schedule their own requests on the same targets.
	// Nil means that none does.
	OthersSchedule func() bool
	// Rollouts decides at which software versions requests may run. Nil allows all.
	Rollouts Rollouts
}

// NewStrikes returns a register of strikes for cells.
func NewStrikes() *swsuspect.Register {
	return swsuspect.New(historySize, swsuspect.Limits{Strikes: strikeLimit, VerifyAfter: verificationDelay, Retention: strikeLifetime})
}

// NewParts returns a register of the parts of prompts for cells.
func NewParts() *swsuspect.Parts {
	return swsuspect.NewParts(historySize, swsuspect.PartLimits{VerifyAfter: verificationDelay, Retention: strikeLifetime})
}

// ProbingChange is a change of whether a target is probed.
type ProbingChange struct {
	Target  swid.TargetID
	Probing bool
	// Holder is the host whose attempt caused the change.
	Holder swid.HostID
	// SinceHeard is the time since anything was last heard of the target by any host, or -1 if nothing was.
	SinceHeard swclock.Millis
}

// StrikeChange is a change of the strikes of content: of the suspected crashes of targets that
// ran it.
type StrikeChange struct {
	Content swid.Fingerprint
	// Crash is the crash that was counted; only its target is set if strikes were cleared.
	Crash swsuspect.Crash
	// Strikes is the number of strikes after the change.
	Strikes int
	// Cleared is the number of strikes that were deleted because the content was answered.
	Cleared int
}

// notBegun is the value of Cell.beganAt before the first event.
const notBegun swclock.Millis = -1

// Constants that are not configured.
const (
	// reviewInterval is the time between two checks of the waiting requests.
	reviewInterval = 50 * swclock.Millis(1)
	// historySize is the maximum number of requests in the history, by which a message
	// that arrives twice is recognised, and also of fingerprints with strikes.
	historySize = 4096
	// strikeLimit is the number of strikes (suspected crashes of targets) from which
	// content is rejected, and strikeLifetime is how long they are retained. The third
	// strike distinguishes content that crashes targets from content that was running
	// by chance when one crashed.
	strikeLimit    = 3
	strikeLifetime = 10 * swclock.Minute
	// verificationDelay is how long content that was answered before, or a part of a prompt, is
	// rejected until it runs once more, in case that a target crashed by chance while it ran there
	// apart. It is longer than maxBackoff, so that the targets may be used again.
	verificationDelay = 2500 * swclock.Millis(1)
)

func (c Config) withDefaults() Config {
	if len(c.TierValues) == 0 {
		c.TierValues = []float64{16, 4, 1}
	}
	if c.LateShare == 0 {
		c.LateShare = 0.35
	}
	if c.Strikes == nil {
		c.Strikes = NewStrikes()
	}
	if c.OnStrikes == nil {
		c.OnStrikes = func(StrikeChange) {}
	}
	if c.Parts == nil {
		c.Parts = NewParts()
	}
	if c.OnPartChange == nil {
		c.OnPartChange = func(swid.TargetID, swsuspect.PartChange) {}
	}
	if c.Limits == nil {
		c.Limits = swlimit.New()
	}
	if c.Brittle == nil {
		c.Brittle = swlimit.NewBrittle()
	}
	if c.OnBrittle == nil {
		c.OnBrittle = func(swid.TargetID, swlimit.Statement) {}
	}
	if c.Grantable == nil {
		c.Grantable = func(_ swid.TargetID, slots int) int { return slots }
	}
	if c.OnRateLimit == nil {
		c.OnRateLimit = func(swid.TargetID, swid.RequestRate) {}
	}
	if c.OnProbing == nil {
		c.OnProbing = func(ProbingChange) {}
	}
	if c.OnLeaving == nil {
		c.OnLeaving = func(swid.TargetID) {}
	}
	if c.Origins == nil {
		c.Origins = sworigin.NewRegister(historySize)
	}
	if c.Carriers == nil {
		c.Carriers = noCarriers{}
	}
	if c.StoreReachable == nil {
		c.StoreReachable = func() bool { return true }
	}
	if c.OnOriginWanted == nil {
		c.OnOriginWanted = func() {}
	}
	if c.OthersSchedule == nil {
		c.OthersSchedule = func() bool { return false }
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
		waitingByKey: make(map[swcell.Key]*request), running: make(map[runKey]*run),
		shares:  shares{minFactor: minShareFactor},
		apart:   make(map[swid.Fingerprint]*run),
		beganAt: notBegun, joinedAt: make(map[swid.HostID]swclock.Millis),
		decided: newHistory(historySize), uncharged: newUnchargedRequests(historySize),
		random: rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Step applies one event and appends the actions that follow from it. If now is
// before the instant of the previous call, that instant is used.
func (c *Cell[P, O]) Step(now swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action {
	c.now = max(c.now, now)
	if c.beganAt == notBegun {
		c.beganAt = c.now
	}
	c.actions = actions
	c.apply(e)
	if c.awaitsOrigins {
		c.reviewOrigins()
	}
	c.dispatch()
	actions = c.actions
	c.actions = nil
	return actions
}

// apply calls the handler of the event.
func (c *Cell[P, O]) apply(e swcell.Event) {
	switch e := e.(type) {
	case swcell.GrantRequest:
		c.handleGrantRequest(e)
	case swcell.Withdraw:
		c.handleWithdraw(e)
	case swcell.InFlight:
		c.handleInFlight(e)
	case swcell.Progress:
		c.handleProgress(e)
	case swcell.Done:
		c.handleDone(e)
	case swcell.LoadReport:
		c.handleLoadReport(e)
	case swcell.Configure:
		c.configure(e)
	case swcell.TargetReachability:
		c.handleTargetReachability(e)
	case swcell.TargetHeard:
		c.handleTargetHeard(e)
	case swcell.HolderDied:
		c.handleHolderDied(e)
	case swcell.HolderJoined:
		c.recordHandover()
		c.recordJoined(e.Holder)
	case swcell.HolderLeft:
		c.handleHolderLeft(e)
	case swcell.Tick:
		c.tick()
	}
}

// Idle reports whether nothing waits or runs.
func (c *Cell[P, O]) Idle() bool { return len(c.waiting) == 0 && len(c.running) == 0 }

// TickInterval returns the time after which the cell needs a Tick.
func (c *Cell[P, O]) TickInterval() swclock.Millis {
	if len(c.waiting) == 0 && !c.lastStanding.Open {
		return swclock.Second
	}
	return reviewInterval
}

func (c *Cell[P, O]) emit(a swcell.Action) { c.actions = append(c.actions, a) }

// Effort returns what the cell has computed.
func (c *Cell[P, O]) Effort() swcell.Effort { return c.effort }

// Snapshot returns the cell's current state.
func (c *Cell[P, O]) Snapshot() swcell.Snapshot {
	s := swcell.Snapshot{Tiers: make([]swcell.TierStatus, len(c.cfg.TierValues)), Effort: c.effort}
	s.AboveShare = c.shares.above()
	for _, r := range c.waiting {
		s.Tiers[c.tierIndex(r.grantRequest.Tier)].Waiting++
	}
	for _, r := range c.running {
		s.Tiers[c.tierIndex(r.grantRequest.Tier)].Running++
	}
	for _, t := range c.targets {
		s.Targets = append(s.Targets, c.status(t))
	}
	return s
}

// tierIndex returns the index of a tier in Config.TierValues.
func (c *Cell[P, O]) tierIndex(t swid.Tier) int { return min(int(t), len(c.cfg.TierValues)-1) }
