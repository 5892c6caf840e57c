package swrollout

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

// Reasons of verdicts, and what open ones wait for.
const (
	reasonAnswers   = "waitsForAnswers"
	reasonRoutes    = "waitsForRoutes"
	reasonLoad      = "waitsForLoad"
	reasonTime      = "waitsForLaterAnswers"
	reasonTargets   = "waitsForNewTargets"
	reasonDoubt     = "waitsAsAnswersAreBad"
	reasonBad       = "answersBad"
	reasonSlow      = "answersSlow"
	reasonSound     = "answersSound"
	reasonFewAll    = "tooFewAnswers"
	reasonFewRoutes = "tooFewAnswersOfARoute"
	reasonFewLoad   = "tooFewAnswersUnderLoad"
	reasonDoubted   = "answersDoubtful"
	reasonNoTargets = "newTargetsMissing"
	reasonDeadline  = "deadlinePassed"
	reasonStored    = "decidedByEarlierOwner"
)

// shortOf are the reasons for which a version is rolled back in the last moment, by what was waited for.
var shortOf = map[string]string{reasonAnswers: reasonFewAll, reasonRoutes: reasonFewRoutes, reasonLoad: reasonFewLoad, reasonDoubt: reasonDoubted}

const (
	// loadedShare is the share of the old versions' answers from loaded targets from which the new version has to be seen
	// under load.
	loadedShare = 0.15
	// pauseAnswers is the number of spoilt answers from which the time runs after which a version has to be rolled back, less those
	// that are not known yet.
	pauseAnswers = 45
	// pauseMargin is how much earlier than that time the version gets nothing more, until it is clear that it is sound, and pauseThreshold
	// the log-likelihood ratio from which it is.
	pauseMargin    = 1500 * swclock.Millis(1)
	pauseThreshold = 8
	// minRouteShare is the divisor of all requests from which a route has to be seen.
	minRouteShare = 50
	// routeLead is the number of requests by which a route may be ahead of the one that was seen least.
	routeLead = 8
	// soundThreshold is the log-likelihood ratio against a bad version from which a sound one may be completed at the planned
	// time, and lastThreshold the one that does in the last moment.
	soundThreshold, lastThreshold = 4, 1
	// lastUnsure is the latter where targets of old versions differ, so that little more can be known.
	lastUnsure = 0.4
	// lastPartUnsure is the corresponding one of a route.
	lastPartUnsure = 4
	// partThreshold and lastPart are those against a version that is bad on one route, or under load only; in the last moment, a bad
	// answer of a route is borne.
	partThreshold, lastPart = 4, 0
	// minRouteAnswers is the number of answers that a route needs at least, and lastRouteAnswers in the last moment.
	minRouteAnswers, lastRouteAnswers = 20, 5
	// doubtThreshold is the ratio for a version that has turned bad from which it is not completed, and lastDoubt the one in the
	// last moment.
	doubtThreshold, lastDoubt = 3, 5
)

// trialEnd returns when the trial should end so that there is time for the traffic to move, and the last moment at which it may.
func (r *Rollout) trialEnd() (planned, last swclock.Millis) {
	end := r.plannedEnd()
	last = end - lastTrialTime
	longest := 0.0
	for _, s := range r.routes {
		if r.active(s) {
			longest = max(longest, s.mayLast)
		}
	}
	move := max(swclock.Millis(moveDurations*longest), minMoveTime)
	earliest := r.startedAt + swclock.Millis(minTrialShare*float64(r.order.Duration))
	return min(max(end-move, earliest), last), last
}

// review renews the verdict.
func (r *Rollout) review(now swclock.Millis) {
	if r.verdict == VerdictBad {
		return
	}
	if r.baseline == nil || r.old.total >= 2*r.baselineTotal && r.old.total > 0 || now-r.baselineAt >= baselineInterval && r.old.total != r.baselineTotal {
		r.baseline, r.baselineAt, r.baselineTotal = newBaseline(&r.names, r.old.sorted()), now, r.old.total
	}
	if r.last == nil || r.changed && now-r.judgedAt >= judgeInterval || now-r.judgedAt >= baselineInterval {
		threshold := float64(badThreshold)
		if r.verdict == VerdictSound {
			threshold = movingThreshold
		}
		if r.baseline.deviation > 0 {
			threshold += unsureThreshold
		}
		r.last = r.judge(threshold)
		r.judgedAt, r.changed = now, false
		if !r.manyBad && r.last.spoilt >= pauseAnswers {
			r.manyBad, r.manyBadAt = true, now
		}
	}
	if r.last.isBad && (r.baseline.answers >= minOldAnswers || now-r.startedAt >= minOldTime) {
		r.verdict, r.reason = VerdictBad, reasonBad
		if r.last.slowMost {
			r.reason = reasonSlow
		}
		return
	}
	if r.verdict == VerdictSound {
		if now < r.deadline-rollbackMargin || r.ending {
			return
		}
		switch {
		case !r.hasRoom():
			r.verdict, r.reason = VerdictBad, reasonNoTargets
		case r.paused(now):
			r.verdict, r.reason = VerdictBad, reasonDoubted
		}
		return
	}
	planned, last := r.trialEnd()
	if r.situation.NewTargets == 0 {
		r.reason = reasonTargets
		if now >= r.deadline-rollbackMargin {
			r.verdict, r.reason = VerdictBad, reasonNoTargets
		}
		return
	}
	missing := r.missing(now, planned, last)
	switch {
	case missing == "" && now >= planned:
		r.verdict, r.reason, r.soundAt = VerdictSound, reasonSound, now
	case now >= last:
		r.verdict, r.reason = VerdictBad, shortOf[missing]
	case missing == "":
		r.reason = reasonTime
	default:
		r.reason = missing
	}
}

// paused reports whether so many answers were bad that the new version gets nothing before more is known.
func (r *Rollout) paused(now swclock.Millis) bool {
	return r.last != nil && r.manyBad && now >= r.manyBadAt+r.config.RollbackWithin-pauseMargin && r.last.test(cellAll).sums[0] > -pauseThreshold
}

// missing returns what has to be seen before the version is sound, empty if nothing. Less is asked for as the last moment comes.
func (r *Rollout) missing(now, planned, last swclock.Millis) string {
	late := 0.0
	if now > planned && last > planned {
		late = min(float64(now-planned)/float64(last-planned), 1)
	} else if now >= last {
		late = 1
	}
	threshold := soundThreshold + late*(lastThreshold-soundThreshold)
	doubt := doubtThreshold + late*(lastDoubt-doubtThreshold)
	answers := minRouteAnswers + late*(lastRouteAnswers-minRouteAnswers)
	part := -partThreshold + late*(partThreshold+lastPart)
	if r.baseline.deviation > 0 {
		threshold -= late * (lastThreshold - lastUnsure)
		doubt += late * unsureThreshold
		part += late * (lastPartUnsure - lastPart)
	}
	all := r.last.test(cellAll)
	if all.answers < answers || all.sums[0] > -threshold {
		return reasonAnswers
	}
	if highestRise(r.last.tests) >= doubt {
		return reasonDoubt
	}
	for route, s := range r.routes {
		// A route whose requests cannot end before the decision cannot be seen.
		if !r.active(s) || r.startedAt+swclock.Millis(s.mayLast) > last {
			continue
		}
		if !r.last.seen(cellOf(r.names.route(route), false), answers, part) {
			return reasonRoutes
		}
	}
	if r.baseline.loaded >= loadedShare && late < 1 && !r.last.seen(cellAllLoaded, answers, part) {
		return reasonLoad
	}
	return ""
}
