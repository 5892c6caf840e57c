// Package swreach records which hosts reach which targets. Whether a target can be reached is a fact of a host
// and a target: a host that reaches no target of a service, though others do, has its requests carried by one
// of them.
package swreach

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// cutTargets is the number of targets that cannot be connected to, while nothing is heard of any, from which a
	// host is taken for cut off from them: a single one may have ended.
	cutTargets = 2
	// failureMemory is how long a failure counts.
	failureMemory = 5 * swclock.Second
	// minStall is the time without a sign from a target from which an exchange is overdue, and stallFactor the
	// multiple of the expected time that is added to it. Whether the path is lost is then found out by probes.
	minStall    = 250 * swclock.Millis(1)
	stallFactor = 2
	// pauseStall is the time without a sign from which an answer that has begun is overdue.
	pauseStall = 500 * swclock.Millis(1)
	// provenTime is how long a sign from a target proves the path to it, and serviceProvenTime how long one from any
	// target of its service does.
	provenTime        = 2 * swclock.Second
	serviceProvenTime = 500 * swclock.Millis(1)
	// lookAfter is the time without a sign from a target after which an overdue exchange there has it looked for, also if others of its
	// service are heard from.
	lookAfter = swclock.Second
	// connectionSilence is the time without a sign in an exchange after which its target is looked for even if it is heard from elsewhere:
	// the connection may be silent for good.
	connectionSilence = 3 * swclock.Second
	// deadTime is how long a target has to fail all looks to be taken for dead. A sound one may be silent for a second or two.
	deadTime = 2500 * swclock.Millis(1)
	// maxLookGap is the longest time between two looks that count as one series.
	maxLookGap = 2 * swclock.Second
)

// Paths records what one host observes of its paths to targets. It is safe for concurrent use.
type Paths struct {
	clock swclock.Clock
	hooks Hooks

	mu sync.Mutex
	// targets has the listed targets, and others while exchanges run there.
	targets map[swid.TargetID]*path
	// services has the services of the listed targets.
	services map[swid.ServiceID]*scope
	// all is the scope of all targets.
	all scope
	// exchanges has the requests that this host itself has at targets.
	exchanges map[*Exchange]struct{}
}

// path is what is known of the path to one target.
type path struct {
	service swid.ServiceID
	listed  bool
	// exchanges is the number of exchanges with the target.
	exchanges int
	// heardAt is when something was last heard from the target, and failedAt when it last could not be connected to;
	// 0 for never.
	heardAt, failedAt swclock.Millis
	// elsewhereAt is when another host was last known to reach the target, since heardAt; 0 if none was.
	elsewhereAt swclock.Millis
	// lost is set if a look that began after elsewhereAt has failed: the path is lost, and the target is not merely silent.
	lost bool
	// failingSince is when the first of the latest looks began, all of which have failed; 0 if there is none.
	failingSince swclock.Millis
}

// scope is a set of targets of which none may be reached.
type scope struct {
	targets int
	heardAt swclock.Millis
	// cut is set from the time that no target of the scope is taken for reachable until one is heard from, and
	// suspected from the first hint of that until the next sign.
	cut, suspected bool
	// failing is only used in review.
	failing int
	// wasCut is what Cut last returned for the service.
	wasCut bool
}

// Hooks are called by Paths. They must not block or call Paths.
type Hooks struct {
	// Changed is called after a change of what Cut returns for a service.
	Changed func(service swid.ServiceID, cut bool)
	// Doubted is called when an exchange is first found overdue. Review is to be called after ConfirmAfter.
	Doubted func()
	// Suspected is called when the targets of a service may be out of reach, so that ToProbe has targets.
	Suspected func()
}

// NewPaths returns the paths of a host to no targets.
func NewPaths(clock swclock.Clock, hooks Hooks) *Paths {
	return &Paths{
		clock: clock, hooks: hooks, targets: make(map[swid.TargetID]*path), services: make(map[swid.ServiceID]*scope),
		exchanges: make(map[*Exchange]struct{}),
	}
}

// Configure replaces the listed targets.
func (p *Paths) Configure(listed map[swid.TargetID]swid.ServiceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.targets {
		if _, found := listed[id]; !found {
			p.targets[id].listed = false
			p.forget(id)
		}
	}
	for _, s := range p.services {
		s.targets = 0
	}
	p.all.targets = len(listed)
	for id, service := range listed {
		known := p.targets[id]
		if known == nil {
			known = &path{}
			p.targets[id] = known
		}
		known.service, known.listed = service, true
		p.scope(service).targets++
	}
	for service, s := range p.services {
		if s.targets == 0 {
			delete(p.services, service)
		}
	}
}

// forget deletes a target that is not listed, and with which there is no exchange. p.mu must be held.
func (p *Paths) forget(target swid.TargetID) {
	if t := p.targets[target]; !t.listed && t.exchanges == 0 {
		delete(p.targets, target)
	}
}

// scope returns the scope of a service, creating it if needed. p.mu must be held.
func (p *Paths) scope(service swid.ServiceID) *scope {
	s := p.services[service]
	if s == nil {
		s = &scope{}
		p.services[service] = s
	}
	return s
}

// Exchange is a request that the host itself has at a target.
type Exchange struct {
	paths   *Paths
	target  swid.TargetID
	service swid.ServiceID
	// patience is the time without a sign from which the exchange is overdue.
	patience swclock.Millis
	// signAt is when the exchange began, or something was last heard in it.
	signAt swclock.Millis
	// doubtedAt is when the exchange was first found overdue, or 0.
	doubtedAt swclock.Millis
	// abort ends the exchange because its target cannot be reached, and reports whether it did; nil if the exchange must not be ended.
	abort func() bool
	look  func(context.Context, *Exchange) error
}

// Begin records that a request is sent to a target. expected is the time to the first part of its answer. abort ends
// the exchange and reports whether it did. It is called while the exchange is overdue and the path to the target is lost or the target
// is dead, until it did; nil if the exchange must not be ended. look looks for the target, see ToLookFor.
func (p *Paths) Begin(target swid.TargetID, expected swclock.Millis, abort func() bool, look func(context.Context, *Exchange) error) *Exchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	x := &Exchange{paths: p, target: target, patience: minStall + stallFactor*expected, signAt: p.clock.Now(), abort: abort, look: look}
	known := p.targets[target]
	if known == nil {
		known = &path{}
		p.targets[target] = known
	}
	known.exchanges++
	x.service = known.service
	p.exchanges[x] = struct{}{}
	return x
}

// Heard records that something was heard in the exchange.
func (x *Exchange) Heard() {
	x.paths.mu.Lock()
	defer x.paths.mu.Unlock()
	x.signAt, x.patience, x.doubtedAt = x.paths.clock.Now(), pauseStall, 0
	x.paths.heard(x.target, x.signAt)
}

// Ending is how an exchange ended.
type Ending uint8

// Endings.
const (
	// EndingSound means that nothing was wrong with the path, as far as is known.
	EndingSound Ending = iota
	// EndingBroken means that the connection was broken, or nothing arrived in time. The target may have ended.
	EndingBroken
	// EndingUnconnected means that the target could not be connected to.
	EndingUnconnected
)

// End records the end of the exchange.
func (x *Exchange) End(e Ending) {
	p := x.paths
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	delete(p.exchanges, x)
	defer p.forget(x.target)
	p.targets[x.target].exchanges--
	switch {
	case e == EndingUnconnected:
		p.failed(x.target, now)
	case e == EndingBroken || x.isLost(now):
		p.suspect(x.service)
	}
}

// Silence returns the time since the exchange began, or something was last heard in it.
func (x *Exchange) Silence() swclock.Millis {
	x.paths.mu.Lock()
	defer x.paths.mu.Unlock()
	return x.paths.clock.Now() - x.signAt
}

// ConnectionSuspect reports whether the exchange has been silent for so long that its connection may be.
func (x *Exchange) ConnectionSuspect() bool { return x.Silence() >= connectionSilence }

// overdue reports whether the target should have been heard from.
func (x *Exchange) overdue(now swclock.Millis) bool { return now-x.signAt >= x.patience }

// ConfirmAfter is how long an exchange is overdue at least until that counts: a process that was suspended finds
// all exchanges overdue until it has read what arrived meanwhile.
const ConfirmAfter = 50 * swclock.Millis(1)

// isLost reports whether the exchange has been overdue for ConfirmAfter.
func (x *Exchange) isLost(now swclock.Millis) bool {
	return x.doubtedAt > 0 && now-x.doubtedAt >= ConfirmAfter && x.overdue(now)
}

// Suspect has the paths to the targets of services looked at, unless one was heard from a moment ago: other hosts
// reach none.
func (p *Paths) Suspect(services []swid.ServiceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, service := range services {
		if s := p.services[service]; s != nil && (s.heardAt == 0 || now-s.heardAt >= serviceProvenTime) {
			p.suspect(service)
		}
	}
}

// suspect has the targets of a service probed until one is heard from. p.mu must be held.
func (p *Paths) suspect(service swid.ServiceID) {
	s := p.services[service]
	if s == nil || s.cut || s.suspected {
		return
	}
	s.suspected = true
	p.hooks.Suspected()
}

// Heard records that a target was heard from outside of an exchange.
func (p *Paths) Heard(target swid.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard(target, p.clock.Now())
}

// Failed records that a target could not be connected to, or did not answer a probe, outside of an exchange. began is when
// that was tried.
func (p *Paths) Failed(target swid.TargetID, began swclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[target]
	if t == nil {
		return
	}
	t.lost = t.lost || t.elsewhereAt > 0 && began >= t.elsewhereAt
	if t.failingSince == 0 || began-t.failedAt > maxLookGap {
		t.failingSince = max(began, 1)
	}
	p.failed(target, p.clock.Now())
}

// HeardElsewhere records that another host reaches a target. If this one still does not, its path is lost.
func (p *Paths) HeardElsewhere(target swid.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[target]; t != nil {
		t.elsewhereAt, t.lost = max(p.clock.Now(), 1), false
	}
}

// SinceHeard returns the time since the target was last heard from, and false if it never was.
func (p *Paths) SinceHeard(target swid.TargetID) (since swclock.Millis, heard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[target]
	if t == nil || t.heardAt == 0 {
		return 0, false
	}
	return p.clock.Now() - t.heardAt, true
}

// heard records a sign from a target. p.mu must be held.
func (p *Paths) heard(target swid.TargetID, now swclock.Millis) {
	known := p.targets[target]
	if known == nil {
		return
	}
	known.heardAt, known.elsewhereAt, known.lost, known.failingSince = max(now, 1), 0, false, 0
	if !known.listed {
		return
	}
	s := p.scope(known.service)
	changed := p.all.cut || s.cut
	p.all.heardAt, p.all.cut = known.heardAt, false
	s.heardAt, s.cut, s.suspected = known.heardAt, false, false
	if changed {
		p.notify()
	}
}

// failed records a failure at a target. p.mu must be held.
func (p *Paths) failed(target swid.TargetID, now swclock.Millis) {
	if known := p.targets[target]; known != nil {
		known.failedAt = max(now, 1)
		p.review(now)
	}
}

// Cut reports whether the host reaches no target of a service.
func (p *Paths) Cut(service swid.ServiceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return false
	}
	if !s.cut && !p.all.cut {
		p.review(p.clock.Now())
	}
	return s.cut || p.all.cut
}

// Review looks whether no target of a service is reached.
func (p *Paths) Review() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.review(p.clock.Now())
}

// reviewOverdue marks the exchanges that are overdue, and suspects the services of which nothing was heard since one
// has been. p.mu must be held.
func (p *Paths) reviewOverdue(now swclock.Millis) {
	for x := range p.exchanges {
		s := p.services[x.service] // nil if no target of the service is listed
		switch {
		case !x.overdue(now):
		case x.doubtedAt == 0:
			x.doubtedAt = max(now, 1)
			p.hooks.Doubted()
		case s != nil && x.isLost(now) && s.heardAt <= x.doubtedAt:
			p.suspect(x.service)
		}
	}
}

// review looks whether no target of a scope is reached. p.mu must be held.
func (p *Paths) review(now swclock.Millis) {
	p.reviewOverdue(now)
	all := 0
	for _, t := range p.targets {
		if !t.listed || t.failedAt <= t.heardAt || now-t.failedAt >= failureMemory {
			continue
		}
		if t.failedAt > p.all.heardAt {
			all++
		}
		if s := p.services[t.service]; t.failedAt > s.heardAt {
			s.failing++
		}
	}
	p.all.cut = p.all.cut || all > 0 && all >= min(cutTargets, p.all.targets)
	for service, s := range p.services {
		if s.failing > 0 {
			p.suspect(service)
			s.cut = s.cut || s.failing >= min(cutTargets, s.targets)
		}
		s.failing = 0
	}
	p.notify()
	p.abortOverdue(now)
}

// abortOverdue ends the overdue exchanges at targets that cannot be reached, where that is allowed. p.mu must be
// held.
func (p *Paths) abortOverdue(now swclock.Millis) {
	for x := range p.exchanges {
		if x.abort != nil && x.isLost(now) && x.isHopeless(p.targets[x.target], now) && x.abort() {
			x.abort = nil
		}
	}
}

// isHopeless reports whether the path to the target is lost, or the target is dead, since the last sign in the exchange. What
// was found longer than maxLookGap ago does not count: the target may have gone on since.
func (x *Exchange) isHopeless(t *path, now swclock.Millis) bool {
	if now-t.failedAt > maxLookGap {
		return false
	}
	return t.lost && t.elsewhereAt >= x.signAt || t.failingSince > 0 && t.failedAt-max(t.failingSince, x.signAt) >= deadTime
}

// Wanted is a target that is to be looked for.
type Wanted struct {
	Target swid.TargetID
	// Look looks for it, and reports what it found to Heard or Failed.
	Look func(context.Context) error
}

// ToLookFor returns the targets of overdue exchanges that may be ended if their target cannot be reached. Nothing was heard from them for
// lookAfter, or from any of their service, or in the exchange for connectionSilence: whether the path or the connection is lost, or the target is dead or only
// silent for a moment is not known. They are sorted by the time since they were last heard from or failed, the longest first, so that they take turns.
func (p *Paths) ToLookFor() []Wanted {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var wanted []Wanted
	for x := range p.exchanges {
		t, s := p.targets[x.target], p.services[x.service]
		cut := p.all.cut || s != nil && s.cut
		if x.abort != nil && x.isLost(now) && (cut || now-max(t.heardAt, x.signAt) >= lookAfter || now-x.signAt >= connectionSilence) &&
			!slices.ContainsFunc(wanted, func(w Wanted) bool { return w.Target == x.target }) {
			wanted = append(wanted, Wanted{x.target, func(ctx context.Context) error { return x.look(ctx, x) }})
		}
	}
	slices.SortFunc(wanted, func(a, b Wanted) int {
		return cmp.Or(cmp.Compare(p.targets[a.Target].lastSign(), p.targets[b.Target].lastSign()), strings.Compare(string(a.Target), string(b.Target)))
	})
	return wanted
}

// notify reports the services for which Cut returns something else than before. p.mu must be held.
func (p *Paths) notify() {
	for service, s := range p.services {
		if cut := s.cut || p.all.cut; cut != s.wasCut {
			s.wasCut = cut
			p.hooks.Changed(service, cut)
		}
	}
}

// CutServices returns the services of which the host reaches no target, sorted.
func (p *Paths) CutServices() []swid.ServiceID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var cut []swid.ServiceID
	for service, s := range p.services {
		if s.cut || p.all.cut {
			cut = append(cut, service)
		}
	}
	slices.Sort(cut)
	return cut
}

// ToProbe returns the targets that are to be asked whether they can be reached: of services that are cut, those first
// that were found to be out of reach the longest ago, and of others that may be, those first that were heard from the
// latest.
func (p *Paths) ToProbe() []swid.TargetID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var cut, suspected []swid.TargetID
	for id, t := range p.targets {
		switch s := p.services[t.service]; {
		case !t.listed:
		case p.all.cut || s.cut:
			cut = append(cut, id)
		case s.suspected && t.failedAt <= t.heardAt:
			suspected = append(suspected, id)
		}
	}
	slices.SortFunc(suspected, func(a, b swid.TargetID) int {
		return cmp.Or(cmp.Compare(p.targets[b].heardAt, p.targets[a].heardAt), strings.Compare(string(a), string(b)))
	})
	slices.SortFunc(cut, func(a, b swid.TargetID) int {
		return cmp.Or(cmp.Compare(p.targets[a].lastSign(), p.targets[b].lastSign()), strings.Compare(string(a), string(b)))
	})
	return append(suspected, cut...)
}

// lastSign returns when the path was last found to work or not.
func (t *path) lastSign() swclock.Millis { return max(t.heardAt, t.failedAt) }

// Proven reports whether the target, or another one of its service, was heard from a moment ago, and the target
// has not failed since it was last heard from. It does so only of listed targets.
func (p *Paths) Proven(target swid.TargetID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, now := p.targets[target], p.clock.Now()
	if t == nil || !t.listed || t.failedAt > t.heardAt {
		return false
	}
	s := p.services[t.service]
	return t.heardAt > 0 && now-t.heardAt < provenTime || s.heardAt > 0 && now-s.heardAt < serviceProvenTime
}
