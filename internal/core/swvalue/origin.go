package swvalue

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
)

const (
	// originTimeout is how long a request waits at most until it is found out which software version began the
	// stream that it continues.
	originTimeout = swclock.Second
	// versionDoubtTime is how long after a sign that a target has ended its software version is in doubt, unless
	// it is listed as started anew or shows that it still is the same process: an engine may be back under its
	// id at another version before it is listed as such.
	versionDoubtTime = 3 * swclock.Second
)

// resolveOrigin finds out which software version began the stream that a request continues. It returns
// the reason for a rejection, or 0 if the request may wait for a target.
func (c *Cell[P, O]) resolveOrigin(r *request) swcell.RejectReason {
	continuation := &r.grantRequest.Continuation
	if !continuation.Continues {
		return 0
	}
	if !r.origin.Known() {
		origin, verdict := c.cfg.Origins.Resolve(c.cfg.Service, continuation.Stream, r.requestedAt, c.now)
		r.originPending = verdict == sworigin.VerdictPending
		switch {
		case verdict == sworigin.VerdictKnown:
			r.origin = origin
		case r.originPending && c.now-r.requestedAt < originTimeout && c.cfg.StoreReachable():
			c.awaitsOrigins = true
			c.cfg.OnOriginWanted()
			return 0
		default:
			return swcell.ReasonVersionUnknown
		}
		r.forgetTargets(c.now)
	}
	if r.origin.IsUnlisted() {
		return swcell.ReasonVersionUnknown
	}
	if !slices.ContainsFunc(c.targets, func(t *target) bool { return t.listed && c.originOf(t) == r.origin }) {
		return swcell.ReasonVersionGone
	}
	return 0
}

// originOf returns the origin of the streams that a target begins.
func (c *Cell[P, O]) originOf(t *target) sworigin.Origin {
	return sworigin.Origin{Service: c.cfg.Service, Version: t.conf.Version}
}

// fitsOrigin reports whether a target may run a request because of its software version: one that continues a
// stream runs at the version that began it only. Where several versions serve, a stream that may be continued
// does not begin at a target whose version is in doubt.
func (c *Cell[P, O]) fitsOrigin(r *request, t *target) bool {
	switch {
	case r.grantRequest.Continuation.Continues:
		return r.origin.Known() && c.originOf(t) == r.origin && !(c.isMixed() && t.versionInDoubt(c.now))
	case r.grantRequest.Resumable:
		return !(t.versionInDoubt(c.now) && c.isMixed())
	default:
		return true
	}
}

// awaitsVersion reports whether the request may run on a target once it is certain which version that has.
func (c *Cell[P, O]) awaitsVersion(r *request) bool {
	return c.isMixed() && slices.ContainsFunc(c.targets, func(t *target) bool {
		continues := r.grantRequest.Continuation.Continues
		fits := continues && c.originOf(t) == r.origin || !continues && r.grantRequest.Resumable
		return fits && t.active() && t.versionInDoubt(c.now) && !slices.Contains(r.grantRequest.Exclude, t.conf.ID)
	})
}

// isMixed reports whether the cell's service may have streams of several software versions.
func (c *Cell[P, O]) isMixed() bool {
	if c.mixedAt != c.now || c.mixedListing != c.listing {
		c.mixedAt, c.mixedListing, c.mixed = c.now, c.listing, c.cfg.Origins.Mixed(c.cfg.Service, c.now)
	}
	return c.mixed
}

// versionInDoubt reports whether the target may have been started anew since it was listed.
func (t *target) versionInDoubt(now swclock.Millis) bool {
	return t.doubtedAt > 0 && now-t.doubtedAt < versionDoubtTime
}

// doubtVersion records a sign that the target has ended.
func (t *target) doubtVersion(now swclock.Millis) { t.doubtedAt = max(now, 1) }

// vouchForVersion records that the target works on a run that was granted before the latest sign that it had ended.
func (t *target) vouchForVersion(r *run) {
	if r.grantedAt < t.doubtedAt && r.firstOutputAt > 0 {
		t.doubtedAt = 0
	}
}

// rejectWithoutOrigin rejects a request that cannot be continued, or not before the store has been read.
func (c *Cell[P, O]) rejectWithoutOrigin(r *request, reason swcell.RejectReason) {
	wait := swclock.Millis(0)
	if reason == swcell.ReasonVersionUnknown && r.originPending {
		wait = c.retryAfter(minRetryAfter)
	}
	c.reject(r, reason, wait)
}

// reviewOrigins finds out the origins of the streams that waiting requests continue, and rejects the requests
// that cannot be continued.
func (c *Cell[P, O]) reviewOrigins() {
	c.awaitsOrigins = false
	for _, r := range slices.Clone(c.waiting) {
		if reason := c.resolveOrigin(r); reason != 0 {
			c.remove(r)
			c.rejectWithoutOrigin(r, reason)
		}
	}
}

// awaitsOrigin reports whether it is not known yet which software version began the stream that the request
// continues.
func (r *request) awaitsOrigin() bool {
	return r.grantRequest.Continuation.Continues && !r.origin.Known()
}
