package swfleet

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// rateLimitChanged logs that an answer to a request that this host scheduled changed a rate limit.
func (h *Host) rateLimitChanged(cell swid.CellID, target swid.TargetID, limit swid.RequestRate) {
	h.log.Info().Str("target", string(target)).Str("cell", string(cell)).Float64("perSecond", float64(limit)).
		Msg("rate limit of a target changed")
}

// rejectionsRestricted logs that an answer changed how many requests its target may have to reject.
func (h *Host) rejectionsRestricted(target swid.TargetID, s swlimit.Statement) {
	h.log.Info().Str("target", string(target)).Bool("brittle", s.Brittle).Int("maxRejections", s.MaxRejections).
		Msg("rejections of a target restricted")
}

// recordStatement records what an answer to a request of this host says of the requests that its target
// takes.
func (h *Host) recordStatement(r *swholder.Request, target swid.TargetID, s swlimit.Statement, sent swclock.Millis) {
	if s.Leaving || s.Pause > 0 {
		h.recordClosed(r.ID, r.Cell, target, s)
	}
	limited, brittle := h.observeStatement(target, s, sent)
	if limited {
		h.log.Info().Str("target", string(target)).Str("cell", string(r.Cell)).Float64("perSecond", float64(s.PerSecond)).
			Str("requestId", string(r.ID)).Int64("sentAgeMillis", int64(h.clock.Now()-sent)).Msg("rate limit of a target changed")
	}
	if (limited || brittle) && h.view.scheduledByEachHost(r.Cell) {
		h.requestRegistration()
	}
}

// observeStatement records what an answer says of the requests that its target takes from all hosts, and reports
// whether its rate limit changed, and whether it did say otherwise before of how many requests it may have to reject.
func (h *Host) observeStatement(target swid.TargetID, s swlimit.Statement, sent swclock.Millis) (limited, brittle bool) {
	now := h.clock.Now()
	brittle = h.brittle.Observe(target, s, sent, now)
	if brittle {
		h.rejectionsRestricted(target, s)
	}
	return h.limits.Observe(target, s, sent, now), brittle
}

// recordClosed records that a target takes no new requests from this host.
func (h *Host) recordClosed(request swid.RequestID, cell swid.CellID, target swid.TargetID, s swlimit.Statement) {
	born, _ := h.view.bornOf(target)
	if h.closed.Observe(target, born, s, h.clock.Now()) {
		h.log.Info().Str("target", string(target)).Str("cell", string(cell)).Str("requestId", string(request)).
			Bool("leaving", s.Leaving).Int64("pauseMillis", int64(s.Pause)).Msg("target takes no requests from this host")
	}
}

// limitReportTime is how long a limit is reported after the latest answer that named it. Others may know
// by then that it has ended.
const limitReportTime = 5 * swclock.Second

// rateLimitsToReport returns the rate limits for a registration: all of them if complete is set, so that
// a new owner knows them, and otherwise the recent ones of targets that the owner of the shared cells
// does not schedule.
func (h *Host) rateLimitsToReport(complete bool) []swmsg.RateLimit {
	var reported []swmsg.RateLimit
	now := h.clock.Now()
	add := func(statedAt swclock.Millis, l swmsg.RateLimit) {
		l.Age = max(now-statedAt, 0)
		due := complete || l.Age < limitReportTime && h.view.targetScheduledByEachHost(l.Target)
		if due && len(reported) < swcodec.MaxRateLimits {
			reported = append(reported, l)
		}
	}
	for _, l := range h.limits.Limits() {
		add(l.StatedAt, swmsg.RateLimit{Target: l.Target, PerSecond: l.PerSecond})
	}
	for _, b := range h.brittle.Targets() {
		add(b.StatedAt, swmsg.RateLimit{Target: b.Target, Brittle: true, MaxRejections: b.MaxRejections})
	}
	return reported
}

// receiveRateLimits records the rate limits of a registration.
func (h *Host) receiveRateLimits(from swlink.Peer, limits []swmsg.RateLimit) {
	now := h.clock.Now()
	for _, l := range limits {
		s := swlimit.Statement{Heard: true, PerSecond: l.PerSecond, Brittle: l.Brittle, MaxRejections: l.MaxRejections}
		if h.brittle.Observe(l.Target, s, 0, now-l.Age) {
			h.rejectionsRestricted(l.Target, s)
		}
		if h.limits.Observe(l.Target, s, 0, now-l.Age) {
			h.log.Info().Str("target", string(l.Target)).Float64("perSecond", float64(l.PerSecond)).Str("peer", string(from.Host)).
				Int64("ageMillis", int64(l.Age)).Msg("rate limit of a target reported")
		}
	}
}

// limitsPlainTargets reports whether a target of a plain service has a rate limit, or may have to reject a few requests
// only, so that requests to it have to be counted over all hosts.
func (h *Host) limitsPlainTargets() bool {
	return slices.ContainsFunc(h.limits.Limits(), func(l swlimit.Limit) bool { return h.view.isPlainTarget(l.Target) }) ||
		slices.ContainsFunc(h.brittle.Targets(), func(b swlimit.BrittleTarget) bool { return h.view.isPlainTarget(b.Target) })
}
