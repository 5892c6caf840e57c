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
	// Admission returns at which versions a request may run that is expected to take mayLast at an old version. The result holds
	// at this instant and until the next call of another method.
	Admission(route swrollout.Route, mayLast, now swclock.Millis) Admission
	// Granted records that a request was granted to a version, and Returned that such a request was certainly not sent.
	Granted(version swid.SoftwareVersion, now swclock.Millis)
	Returned(version swid.SoftwareVersion, now swclock.Millis)
	// Observe takes the end of an attempt.
	Observe(a swrollout.Answer, now swclock.Millis)
	// Report tells the state of the cell as of the latest review. oldRunning counts the runs at old versions.
	Report(oldRunning, waiting int, now swclock.Millis)
}

// Admission says at which software versions a request may run. Its zero value allows all.
type Admission struct {
	// Ordered is set if there is an order for the version To, and Versions says what it allows.
	Ordered  bool
	To       swid.SoftwareVersion
	Versions swrollout.Versions
	// Trial is set while requests at To need exposure, so that its targets are no supply.
	Trial bool
	// Withheld has the versions that may be those of an order which is not known yet.
	Withheld []swid.SoftwareVersion
}

// allows reports whether a request may run at a version.
func (a *Admission) allows(v swid.SoftwareVersion) bool {
	switch {
	case slices.Contains(a.Withheld, v):
		return false
	case !a.Ordered:
		return true
	case v == a.To:
		return a.Versions.New
	default:
		return a.Versions.Old
	}
}

// mayAllowLater reports whether requests may come to be allowed at a version that the admission does not allow.
func (a *Admission) mayAllowLater(v swid.SoftwareVersion) bool {
	return slices.Contains(a.Withheld, v) || a.Ordered && v == a.To && a.Trial
}

// restricts reports whether any version may be excluded.
func (a *Admission) restricts() bool { return a.Ordered || len(a.Withheld) > 0 }

// cachedAdmission is an Admission as of an instant and a number of changes.
type cachedAdmission struct {
	Admission
	known   bool
	at      swclock.Millis
	changes uint64
}

func (a *cachedAdmission) isCurrent(now swclock.Millis, changes uint64) bool {
	return a.known && a.at == now && a.changes == changes
}

// cellAdmission returns what holds for a request that takes no time.
func (c *Cell[P, O]) cellAdmission() *Admission {
	if a := &c.admission; !a.isCurrent(c.now, c.admissionChanges) {
		*a = cachedAdmission{c.cfg.Rollouts.Admission(0, 0, c.now), true, c.now, c.admissionChanges}
	}
	return &c.admission.Admission
}

// admissionOf returns at which versions a request may run.
func (c *Cell[P, O]) admissionOf(r *request) *Admission {
	cell := c.cellAdmission()
	if !cell.restricts() {
		return cell
	}
	if a := &r.admission; !a.isCurrent(c.now, c.admissionChanges) {
		*a = cachedAdmission{c.cfg.Rollouts.Admission(routeOf(&r.grantRequest), c.mayLast(r, cell.To), c.now), true, c.now, c.admissionChanges}
	}
	return &r.admission.Admission
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
	return c.cfg.Rollouts == nil || c.admissionOf(r).allows(t.conf.Version)
}

// awaitsAdmission reports whether the request may run on a target once a version is allowed that is not yet.
func (c *Cell[P, O]) awaitsAdmission(r *request) bool {
	if c.cfg.Rollouts == nil {
		return false
	}
	a := c.admissionOf(r)
	return slices.ContainsFunc(c.targets, func(t *target) bool {
		return a.mayAllowLater(t.conf.Version) && t.active() && c.fitsOrigin(r, t) && !slices.Contains(r.grantRequest.Exclude, t.conf.ID)
	})
}

// isPreferred reports whether a request is to be granted a target before those of other versions.
func (c *Cell[P, O]) isPreferred(r *request, t *target) bool {
	if c.cfg.Rollouts == nil {
		return false
	}
	a := c.admissionOf(r)
	return a.Ordered && a.Versions.New && a.Versions.PreferNew && t.conf.Version == a.To
}

// isSupply reports whether new requests in general may be granted a target. A version on trial is supply if there is no other.
func (c *Cell[P, O]) isSupply(t *target) bool {
	if c.cfg.Rollouts == nil {
		return true
	}
	a := c.cellAdmission()
	if a.Trial && t.conf.Version == a.To {
		return a.Versions.New && !slices.ContainsFunc(c.targets, func(o *target) bool { return o.active() && o.conf.Version != a.To })
	}
	return a.allows(t.conf.Version)
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

// recordGranted records that a run was granted here.
func (c *Cell[P, O]) recordGranted(r *run) {
	if c.cfg.Rollouts != nil {
		r.atGrant.counted = true
		c.cfg.Rollouts.Granted(r.atGrant.version, c.now)
		c.admissionChanges++
	}
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
	if c.cfg.Rollouts == nil || !c.cellAdmission().Ordered {
		return
	}
	running := 0
	for _, r := range c.running {
		if r.atGrant.version != c.admission.To {
			running++
		}
	}
	c.cfg.Rollouts.Report(running, len(c.waiting), c.now)
}
