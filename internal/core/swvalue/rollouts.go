package swvalue

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
)

const (
	// outlastFactor is how much longer than expected a request is assumed to take at most. Callers' estimates of their output are
	// off by a factor of 1.6 for one in six.
	outlastFactor = 1.6
	// arrivalGrace is how long after a holder came from another owner its requests are not counted as arrivals, as the other
	// owner may have counted them.
	arrivalGrace = swclock.Second
)

// Rollouts decides at which software versions the requests of a cell may run. Its methods must not block.
type Rollouts interface {
	// Arrived counts a request that reached the service: once for each request of a caller.
	Arrived(now swclock.Millis)
	// Standing returns what holds for the service at this instant.
	Standing(now swclock.Millis) Standing
	// Versions returns at which versions a request may begin that is expected to take mayLast at an old version. It is called while there
	// is an order, and last for a request that is granted.
	Versions(route swrollout.Route, mayLast, now swclock.Millis) swrollout.Versions
	// Granted records that a request was granted to a version, and Returned that such a request was certainly not sent.
	Granted(version swid.SoftwareVersion, now swclock.Millis)
	Returned(version swid.SoftwareVersion, now swclock.Millis)
	// Observe takes the end of an attempt.
	Observe(a swrollout.Answer, now swclock.Millis)
	// Report tells the state of the cell while there is an order.
	Report(s swrollout.Situation, now swclock.Millis)
}

// Standing is what holds for all requests of a service. Its zero value restricts nothing.
type Standing struct {
	// Ordered is set if there is an order for the version To, and Open while it is not decided.
	Ordered, Open bool
	To            swid.SoftwareVersion
	// Trial is set while requests at To need exposure.
	Trial bool
	// OldServes and NewServes say whether requests in general may begin at old versions and at To.
	OldServes, NewServes bool
	// Withheld has the versions that may be those of an order which is not known yet.
	Withheld []swid.SoftwareVersion
	// Barred has the versions that get nothing because an order was decided. Requests do not wait for them.
	Barred []swid.SoftwareVersion
}

// restricts reports whether any version may be excluded.
func (s *Standing) restricts() bool { return s.Ordered || len(s.Withheld) > 0 || len(s.Barred) > 0 }

// excludes reports whether no request may begin at a version.
func (s *Standing) excludes(v swid.SoftwareVersion) bool {
	return slices.Contains(s.Withheld, v) || slices.Contains(s.Barred, v)
}

// admission says at which software versions a request may run, as of an instant and a number of changes.
type admission struct {
	versions swrollout.Versions
	mayLast  swclock.Millis
	known    bool
	at       swclock.Millis
	changes  uint64
}

// cachedStanding is a Standing as of an instant and a number of changes.
type cachedStanding struct {
	Standing
	known   bool
	at      swclock.Millis
	changes uint64
}

// standing returns what holds for the service now.
func (c *Cell[P, O]) standing() *Standing {
	if s := &c.lastStanding; !s.known || s.at != c.now || s.changes != c.admissionChanges {
		*s = cachedStanding{c.cfg.Rollouts.Standing(c.now), true, c.now, c.admissionChanges}
	}
	return &c.lastStanding.Standing
}

// versionsFor returns at which versions a request may run while there is an order.
func (c *Cell[P, O]) versionsFor(r *request) *swrollout.Versions {
	if a := &r.admission; !a.known || a.at != c.now || a.changes != c.admissionChanges {
		last := c.mayLast(r, c.standing().To)
		*a = admission{c.cfg.Rollouts.Versions(routeOf(&r.grantRequest), last, c.now), last, true, c.now, c.admissionChanges}
	}
	return &r.admission.versions
}

// allows reports whether a request may run at a version.
func (c *Cell[P, O]) allows(r *request, v swid.SoftwareVersion) bool {
	s := c.standing()
	switch {
	case s.excludes(v):
		return false
	case !s.Ordered:
		return true
	case v == s.To:
		return c.versionsFor(r).New
	default:
		return c.versionsFor(r).Old
	}
}

// routeOf returns the kind of a request: its route and model.
func routeOf(a *swcell.GrantRequest) swrollout.Route { return swrollout.Route(a.Scope) }

// mayLast returns the time that a request may take at a target of another version than to.
func (c *Cell[P, O]) mayLast(r *request, to swid.SoftwareVersion) swclock.Millis {
	longest := 0.0
	for _, t := range c.targets {
		if t.active() && t.conf.Version != to {
			longest = max(longest, c.estimateNow(t, r).total)
		}
	}
	return max(min(swclock.Millis(longest*outlastFactor), r.grantRequest.Deadline-c.now), 0)
}

// isAdmitted reports whether a request may run at the version of a target.
func (c *Cell[P, O]) isAdmitted(r *request, t *target) bool {
	return c.cfg.Rollouts == nil || !c.standing().restricts() || c.allows(r, t.conf.Version)
}

// awaitsAdmission reports whether the request may run on a target once a version is allowed that is not yet.
func (c *Cell[P, O]) awaitsAdmission(r *request) bool {
	if c.cfg.Rollouts == nil || !c.standing().restricts() {
		return false
	}
	s := c.standing()
	return slices.ContainsFunc(c.targets, func(t *target) bool {
		later := slices.Contains(s.Withheld, t.conf.Version) || s.Trial && t.conf.Version == s.To
		return later && !slices.Contains(s.Barred, t.conf.Version) && t.active() && c.fitsOrigin(r, t) && !slices.Contains(r.grantRequest.Exclude, t.conf.ID)
	})
}

// preference returns how much a request is to be granted a target before others: 0 if it is not.
func (c *Cell[P, O]) preference(r *request, t *target) int {
	if c.cfg.Rollouts == nil {
		return 0
	}
	s := c.standing()
	if !s.Ordered || t.conf.Version != s.To {
		return 0
	}
	switch v := c.versionsFor(r); {
	case !v.New || !v.PreferNew:
		return 0
	case t.conf.ID == v.Avoid:
		return 1
	case v.Fill:
		return 2 + len(t.runs)
	default:
		return 2
	}
}

// isSupply reports whether requests in general may be granted a target. A version on trial is supply if there is no other.
func (c *Cell[P, O]) isSupply(t *target) bool {
	if c.cfg.Rollouts == nil || !c.standing().restricts() {
		return true
	}
	s := c.standing()
	switch {
	case s.excludes(t.conf.Version):
		return false
	case !s.Ordered:
		return true
	case t.conf.Version != s.To:
		return s.OldServes
	case s.Trial:
		return !slices.ContainsFunc(c.targets, func(o *target) bool { return o.active() && o.conf.Version != s.To })
	default:
		return s.NewServes
	}
}

// recordArrival counts the first attempt of a request, unless another owner may have.
func (c *Cell[P, O]) recordArrival(e *swcell.GrantRequest) {
	if c.cfg.Rollouts == nil || e.Attempt != 1 || c.now-c.beganAt < arrivalGrace {
		return
	}
	if joined, known := c.joinedAt[e.Key.Holder]; known && c.now-joined < arrivalGrace {
		return
	}
	c.cfg.Rollouts.Arrived(c.now)
	c.admissionChanges++
}

// recordJoined records that a holder comes from another owner.
func (c *Cell[P, O]) recordJoined(holder swid.HostID) {
	if c.cfg.Rollouts != nil {
		c.joinedAt[holder] = c.now
	}
}

// atGrant is what has to be known of a target when a request was granted to it.
type atGrant struct {
	version swid.SoftwareVersion
	born    int64
	// running counts the runs, the granted one included.
	running, slots int
	warming        bool
	// counted is set if the grant was recorded with Rollouts.
	counted bool
}

func (t *target) atGrant(now swclock.Millis) atGrant {
	return atGrant{version: t.conf.Version, born: t.conf.Born, running: len(t.runs) + 1, slots: t.conf.Slots, warming: now < t.warmUntil}
}

// recordGranted records that a request was granted here.
func (c *Cell[P, O]) recordGranted(r *request, started *run) {
	if c.cfg.Rollouts == nil || !c.standing().Ordered || started.atGrant.version != c.standing().To {
		return
	}
	c.cfg.Rollouts.Versions(routeOf(&r.grantRequest), r.admission.mayLast, c.now)
	started.atGrant.counted = true
	c.cfg.Rollouts.Granted(started.atGrant.version, c.now)
	c.admissionChanges++
}

// recordUnsent records that the request of a run was certainly not sent.
func (c *Cell[P, O]) recordUnsent(r *run) {
	if c.cfg.Rollouts != nil && r.atGrant.counted {
		r.atGrant.counted = false
		c.cfg.Rollouts.Returned(r.atGrant.version, c.now)
		c.admissionChanges++
	}
}

// observeAnswer passes the end of a run to Rollouts if it says something of its version.
func (c *Cell[P, O]) observeAnswer(r *run, e *swcell.Done) {
	if c.cfg.Rollouts == nil {
		return
	}
	if e.Result == swcell.ResultNotStarted && e.Unsent {
		c.recordUnsent(r)
	}
	bad, counts := Judge(e, r.grantRequest.Continuation.Continues)
	if !counts || r.apart || len(r.suspects) > 0 {
		return
	}
	a := swrollout.Answer{
		Version: r.atGrant.version, Target: e.Target, Born: r.atGrant.born, Route: routeOf(&r.grantRequest),
		Running: r.atGrant.running, Slots: r.atGrant.slots, Warming: r.atGrant.warming, Bad: bad, First: e.FirstToken, Total: e.Total,
	}
	if !r.target.plain() {
		a.PromptTokens, a.OutputTokens = swid.Tokens(r.expected.uncached), e.OutputTokens
		if e.PromptTokens > 0 {
			a.PromptTokens = max(e.PromptTokens-e.CachedTokens, 0)
		}
	}
	c.cfg.Rollouts.Observe(a, c.now)
	c.admissionChanges++
}

// Judge reports whether the end of an attempt is bad, and whether it says something of the target's version at all: not if the path to
// the target may be the cause, or a target without room. continues is set if the attempt continues a stream.
func Judge(e *swcell.Done, continues bool) (bad, counts bool) {
	if e.PathLost || e.CarrierLost || e.Statement.Leaving || e.Statement.Pause > 0 {
		return false, false
	}
	switch e.Result {
	case swcell.ResultAnswered:
		return e.TargetFault, true
	case swcell.ResultRejected:
		return true, e.TargetFault
	case swcell.ResultBroken, swcell.ResultNoAnswer:
		return true, true
	case swcell.ResultFailed:
		// A stream that a target does not continue is no fault of its version.
		return true, e.TargetFault || !continues
	default:
		return false, false
	}
}

// reportLoad tells Rollouts the state of the cell.
func (c *Cell[P, O]) reportLoad() {
	if c.cfg.Rollouts == nil || !c.standing().Open {
		return
	}
	to := c.standing().To
	situation := swrollout.Situation{Waiting: len(c.waiting)}
	for _, t := range c.targets {
		switch {
		case !t.active() || t.probing():
		case t.conf.Version == to:
			situation.NewTargets, situation.NewSlots = situation.NewTargets+1, situation.NewSlots+t.conf.Slots
		default:
			situation.OldTargets, situation.OldSlots = situation.OldTargets+1, situation.OldSlots+t.conf.Slots
		}
		for _, r := range t.runs {
			if r.atGrant.version != to {
				situation.OldRunning++
				continue
			}
			situation.NewRunning = append(situation.NewRunning, swrollout.Running{
				Target: t.conf.ID, Route: routeOf(&r.grantRequest), Since: c.now - r.grantedAt,
				Running: r.atGrant.running, Slots: r.atGrant.slots, Warming: r.atGrant.warming,
			})
		}
	}
	c.cfg.Rollouts.Report(situation, c.now)
}
