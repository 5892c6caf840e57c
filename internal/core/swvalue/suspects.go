package swvalue

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// soundTime is how long a target must have produced output for a request until it is certain that it
// can answer it: a target that a request crashes ends when it begins the answer, and its last
// output may arrive first.
const soundTime = 150 * swclock.Millis(1)

func promptOf(e *swcell.GrantRequest) swsuspect.Prompt {
	prompt := swsuspect.Prompt{Scope: e.Scope, Content: e.Fingerprint}
	for _, p := range swcell.SharedParts(e.Parts) {
		prompt.Parts = append(prompt.Parts, p.ID)
	}
	return prompt
}

// refused reports whether a request is refused because of its content or the parts of its prompt, and
// for how long. Otherwise it records how the request is to run.
func (c *Cell[P, O]) refused(r *request) (swclock.Millis, bool) {
	content := r.grantRequest.Fingerprint
	if verdict, wait := c.cfg.Strikes.Verdict(content, c.now); verdict == swsuspect.Refused {
		return wait, true
	}
	r.apart = c.cfg.Strikes.RunsApart(content, c.now)
	if c.cfg.OthersSchedule() {
		return 0, false
	}
	verdict, wait, suspects := c.cfg.Parts.Verdict(&r.prompt, c.now)
	r.suspects, r.vouched = suspects, c.cfg.Parts.Vouched(&r.prompt, c.now)
	return wait, verdict == swsuspect.Refused
}

// isTrial reports whether the request is to run apart because of parts of its prompt.
func (r *request) isTrial() bool { return len(r.suspects) > 0 }

// mayCrash reports whether the request may still crash its target because of parts of its prompt.
func (r *run) mayCrash(now swclock.Millis) bool {
	return !r.sound && (r.firstOutputAt == 0 || now-r.firstOutputAt < soundTime)
}

// isTrial reports whether the request runs apart because of parts of its prompt, and may still crash
// the target.
func (c *Cell[P, O]) isTrial(r *run) bool { return len(r.suspects) > 0 && r.mayCrash(c.now) }

// isUnvouched reports whether the request may crash its target and does not run apart.
func (c *Cell[P, O]) isUnvouched(r *run) bool {
	return len(r.suspects) == 0 && r.mayCrash(c.now) && !c.cfg.Parts.Vouched(&r.prompt, c.now)
}

// isApart reports whether the request runs apart.
func (c *Cell[P, O]) isApart(r *run) bool { return r.apart || c.isTrial(r) }

// mayShare reports whether a request may run beside what the target runs. Of the requests that are to
// run apart, a target runs one at a time. Beside one that does because of parts of its prompt, it
// runs no other that may crash it as well.
func (c *Cell[P, O]) mayShare(r *request, t *target) bool {
	switch {
	case (r.apart || r.isTrial()) && slices.ContainsFunc(t.runs, c.isApart):
		return false
	case r.isTrial():
		return !c.runsUnvouched(t) && !t.mayBeDown(c.now)
	default:
		return r.vouched || !slices.ContainsFunc(t.runs, c.isTrial)
	}
}

// runsUnvouched reports whether the target runs a request that may crash it and does not run apart.
func (c *Cell[P, O]) runsUnvouched(t *target) bool {
	if cached := &t.unvouched; cached.at != c.now || cached.changes != t.runChanges {
		*cached = cachedUnvouched{at: c.now, changes: t.runChanges, found: slices.ContainsFunc(t.runs, c.isUnvouched)}
	}
	return t.unvouched.found
}

// cachedUnvouched is the result of Cell.runsUnvouched at an instant and after a number of changes.
type cachedUnvouched struct {
	at      swclock.Millis
	changes uint64
	found   bool
}

// runsElsewhere reports whether a request has to wait for the run of another one with the same content
// or the same part.
func (c *Cell[P, O]) runsElsewhere(r *request) bool {
	if r.apart && c.apart[r.grantRequest.Fingerprint] != nil {
		return true
	}
	return slices.ContainsFunc(r.suspects, func(s swsuspect.SuspectPart) bool { return s.Serial && c.isTried(s.ID) })
}

// isTried reports whether a request runs apart because of a part of its prompt, or did and it is not yet
// known whether its target ended.
func (c *Cell[P, O]) isTried(part swid.PrefixHash) bool {
	if c.tried.parts == nil || c.tried.at != c.now {
		c.tried = triedParts{at: c.now, parts: make(map[swid.PrefixHash]struct{})}
		for _, t := range c.targets {
			for _, r := range t.runs {
				c.tried.add(r, c.isTrial(r))
			}
			for _, s := range t.silent {
				c.tried.add(s.run, c.isTrial(s.run) && c.now-s.ended < silentRunTime)
			}
		}
	}
	_, tried := c.tried.parts[part]
	return tried
}

// triedParts holds the parts of prompts because of which requests run apart, as of an instant.
type triedParts struct {
	at    swclock.Millis
	parts map[swid.PrefixHash]struct{}
}

// add adds the parts because of which a request runs apart.
func (p *triedParts) add(r *run, isTrial bool) {
	if !isTrial {
		return
	}
	for _, s := range r.suspects {
		p.parts[s.ID] = struct{}{}
	}
}

// recordApart records the run of a request that runs apart.
func (c *Cell[P, O]) recordApart(r *run) {
	if r.apart {
		c.apart[r.grantRequest.Fingerprint] = r
		c.cfg.Strikes.Verify(r.grantRequest.Fingerprint, c.now)
	}
	if len(r.suspects) > 0 {
		c.tried.parts = nil
		c.cfg.Parts.Verify(r.suspects, c.now)
	}
}

// recordAnswer records that a run was answered.
func (c *Cell[P, O]) recordAnswer(r *run) {
	content := r.grantRequest.Fingerprint
	if cleared := c.cfg.Strikes.RecordAnswer(content, c.now); cleared > 0 {
		c.cfg.OnStrikes(StrikeChange{Content: content, Crash: swsuspect.Crash{Target: r.target.conf.ID}, Cleared: cleared})
	}
	c.recordSound(r)
}

// recordSound records that a target can answer the prompt of a run.
func (c *Cell[P, O]) recordSound(r *run) {
	if r.sound || c.cfg.OthersSchedule() {
		return
	}
	r.sound = true
	c.partsChanged(r.target, c.cfg.Parts.RecordAnswer(&r.prompt, r.grantedAt, c.now))
	if len(r.suspects) > 0 {
		c.changed(r.target) // it may run others apart
	}
}

func (c *Cell[P, O]) partsChanged(t *target, changes []swsuspect.PartChange) {
	for _, change := range changes {
		c.cfg.OnPartChange(t.conf.ID, change)
	}
}

// recordBreak counts the crash of the target against a run that broke, unless the target may break
// whatever it runs.
func (c *Cell[P, O]) recordBreak(r *run) {
	t := r.target
	if !t.breaks.Broke(r.grantedAt, c.now) {
		return
	}
	// The target worked when the run began.
	t.silent = slices.DeleteFunc(t.silent, func(s silentRun) bool { return r.grantedAt >= s.ended })
	c.recordCrash(r, c.now)
}

// heardOf records that the target answered a run or produced output for it. Runs that ended without an
// answer before that did not end with the target, unless it has been started anew meanwhile.
func (t *target) heardOf(r *run, now swclock.Millis) {
	t.heardAt = now
	t.unanswered = 0
	t.reach.heard(r.sender(), now)
	t.silent = slices.DeleteFunc(t.silent, func(s silentRun) bool { return r.grantedAt <= s.ended+minRestartTime })
}

// mayBeDown reports whether a run ended without an answer a moment ago and nothing was heard of the
// target since.
func (t *target) mayBeDown(now swclock.Millis) bool {
	return slices.ContainsFunc(t.silent, func(s silentRun) bool { return now-s.ended < minRestartTime })
}

// recordSilentRun counts the crash of the target against a run without an answer if the target is
// known to have ended meanwhile. Otherwise it keeps the run in case that is noticed later.
func (c *Cell[P, O]) recordSilentRun(r *run) {
	t := r.target
	if t.endedDuring(r.grantedAt, c.now) {
		c.recordCrash(r, max(t.restartedAt, t.removedAt))
		return
	}
	if len(t.silent) == maxSilentRuns {
		t.silent = slices.Delete(t.silent, 0, 1)
	}
	t.silent = append(t.silent, silentRun{run: r, ended: c.now})
}

// reviewSilentRuns counts the runs that ended without an answer shortly before it was noticed that
// their target had ended.
func (c *Cell[P, O]) reviewSilentRuns(t *target) {
	// Any of the runs may be the one during which the target ended.
	for _, s := range t.silent {
		if c.now-s.ended <= silentRunTime && t.endedDuring(s.grantedAt, s.ended) {
			c.recordCrash(s.run, s.ended)
		}
	}
	t.silent = nil
}

// recordCrash counts a crash of the target during a run against the content and the parts of the
// prompt, unless another request is known to have caused it: one that ran apart because of its parts,
// beside others that are vouched for.
func (c *Cell[P, O]) recordCrash(r *run, ended swclock.Millis) {
	t, trial, unvouched := r.target, c.isTrial(r), c.isUnvouched(r)
	switch {
	case trial:
		t.trialBrokeAt = c.now
	case unvouched:
		t.unvouchedBrokeAt = c.now
	case !r.apart && t.endedWith(r, t.trialBrokeAt, c.isTrial):
		return
	}
	crash := swsuspect.Crash{Target: t.conf.ID, Started: r.grantedAt, Ended: ended, Apart: r.apart}
	c.strike(r.grantRequest.Fingerprint, crash)
	if !r.mayCrash(c.now) || c.cfg.OthersSchedule() {
		return
	}
	crash.Apart = trial && !t.endedWith(r, t.unvouchedBrokeAt, func(o *run) bool { return c.isTrial(o) || c.isUnvouched(o) })
	c.partsChanged(t, c.cfg.Parts.Crash(swsuspect.PromptCrash{Crash: crash, Prompt: r.prompt}, c.now))
}

// endedWith reports whether another run that matches ends or ended with the same crash as r. brokeAt is
// when the latest crash of such a run was recorded.
func (t *target) endedWith(r *run, brokeAt swclock.Millis, matches func(*run) bool) bool {
	if brokeAt > r.grantedAt || slices.ContainsFunc(t.runs, func(o *run) bool { return o != r && matches(o) }) {
		return true
	}
	return slices.ContainsFunc(t.silent, func(s silentRun) bool { return s.run != r && matches(s.run) })
}

// strike counts the crash of a target against content.
func (c *Cell[P, O]) strike(content swid.Fingerprint, crash swsuspect.Crash) {
	// Where others schedule too, this cell knows neither all runs of the content nor all answers.
	crash.Apart = crash.Apart && !c.cfg.OthersSchedule()
	strikes := c.cfg.Strikes.Strike(content, crash, c.now)
	c.cfg.OnStrikes(StrikeChange{Content: content, Crash: crash, Strikes: strikes})
}
