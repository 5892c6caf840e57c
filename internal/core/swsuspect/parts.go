package swsuspect

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// suspectCrashes is the number of crashes from which a part is suspect.
	suspectCrashes = 2
	// apartCrashes is the number of crashes, of requests that ran apart, from which a part is
	// refused, and apartCrashesAnswered that of a part with which requests were answered before:
	// those may have run on several targets that failed together.
	apartCrashes         = 2
	apartCrashesAnswered = 4
	// differentContents is the number of different requests that must have crashed targets. Those
	// of a single request are counted against its content.
	differentContents = 2
	// maxPartCrashes bounds the crashes that are kept for one part, maxSoundScopes the scopes for
	// which it is known when the part was last answered.
	maxPartCrashes = 16
	maxSoundScopes = 8
)

// PartLimits tells for how long parts are refused.
type PartLimits struct {
	// VerifyAfter is the time after which a refused part may run once more, apart, in case that
	// something else crashed its targets.
	VerifyAfter swclock.Millis
	// Retention is the time after which crashes expire if no further one follows.
	Retention swclock.Millis
}

// Prompt describes the prompt of a request.
type Prompt struct {
	// Scope is that of the route and the model. A part may crash targets in one scope and not in another.
	Scope   swid.PromptScope
	Content swid.Fingerprint
	// Parts are the parts that other prompts may have as well.
	Parts []swid.PrefixHash
}

// PromptCrash is the end of a target before it was certain that it could answer a prompt. Crash.Apart is
// set if the request ran apart because of the prompt.
type PromptCrash struct {
	Crash
	Prompt
}

// PartChange is a change of the verdict on a part in one scope.
type PartChange struct {
	Part    swid.PrefixHash
	Before  Verdict
	Verdict Verdict
	// Crashes is the number of crashes that count.
	Crashes int
}

// SuspectPart is a part for which a request is to run apart from other such requests on its target.
type SuspectPart struct {
	ID swid.PrefixHash
	// Refused is set if the request runs to verify that the part is refused rightly.
	Refused bool
	// Serial is set if no other request with the part may run before it is certain that the
	// target can answer this one.
	Serial bool
}

// PartCrashes sums up crashes that have the same possible causes.
type PartCrashes struct {
	// Parts are the parts of prompts that may have caused them, sorted.
	Parts []swid.PrefixHash
	Scope swid.PromptScope
	// Apart is set if the requests ran apart. Then a request that has all parts is refused from Needed
	// crashes on.
	Apart  bool
	Count  int
	Needed int
	// Remaining is the time until the crashes expire.
	Remaining swclock.Millis
}

// Key returns a text that is equal if all but the time is.
func (c *PartCrashes) Key() string {
	return fmt.Sprint(c.Parts, c.Scope, c.Apart, c.Count, c.Needed)
}

// Parts counts crashes of targets against the parts of prompts. A part that crashes targets is in
// different requests, and each of these has other parts as well, which sound requests have too.
// So any crash blames all parts of all requests that ran on the target and that it had not begun to
// answer; with several crashes a part is suspect, and requests with it run apart. Requests that were
// answered excuse all their parts from the crashes before them. A request is refused once several
// requests that ran apart have crashed their targets all of whose remaining parts it has as well.
//
// Parts is bounded like Register, and safe for concurrent use.
type Parts struct {
	limits PartLimits
	// count is the number of parts with an entry.
	count atomic.Int64

	mu sync.Mutex
	// refusedParts holds the entries of the parts that are refused in a scope, and others the remaining
	// ones.
	refusedParts *simplelru.LRU[swid.PrefixHash, partEntry]
	others       *simplelru.LRU[swid.PrefixHash, partEntry]
	// answered holds the parts of prompts that were answered last.
	answered *simplelru.LRU[swid.PrefixHash, struct{}]
	changes  uint64
}

// partEntry holds the crashes that are blamed on one part.
type partEntry struct {
	// crashes has at most maxPartCrashes entries, the oldest first.
	crashes []PromptCrash
	// sound has the latest run in each scope that was answered, at most maxSoundScopes entries.
	sound []soundRun
	// needed is the number of crashes of requests that ran apart from which the part is refused. It is
	// set when the part becomes suspect.
	needed int
	// refusedAt is when the part was refused. verified is set once it need not run again to verify that.
	refusedAt swclock.Millis
	verified  bool
	expires   swclock.Millis
}

type soundRun struct {
	scope   swid.PromptScope
	started swclock.Millis
}

// NewParts returns an empty register of at most size refused parts, as many others, and as many that
// were answered.
func NewParts(size int, limits PartLimits) *Parts {
	return &Parts{
		limits: limits, refusedParts: newLRU[swid.PrefixHash, partEntry](size),
		others: newLRU[swid.PrefixHash, partEntry](size), answered: newLRU[swid.PrefixHash, struct{}](size),
	}
}

// get returns the entry of a part, and whether there is one. The caller must hold p.mu.
func (p *Parts) get(id swid.PrefixHash, now swclock.Millis) (partEntry, bool) {
	e, known := p.refusedParts.Peek(id)
	if !known {
		e, known = p.others.Peek(id)
	}
	if known && e.expires <= now {
		e.crashes, e.needed, e.verified = nil, 0, false
	}
	return e, known
}

// put stores the entry of a part that replaces another one. The caller must hold p.mu.
func (p *Parts) put(id swid.PrefixHash, before *partEntry, e partEntry, now swclock.Millis) {
	suspect := func(e *partEntry) bool {
		return slices.ContainsFunc(e.crashes, func(c PromptCrash) bool { return e.suspect(c.Scope) })
	}
	if suspect(before) || suspect(&e) {
		p.changes++
	}
	if slices.ContainsFunc(e.crashes, func(c PromptCrash) bool { return p.refused(&e, c.Scope, now) }) {
		if !p.refusedParts.Contains(id) {
			e.refusedAt = now
		}
		p.others.Remove(id)
		p.refusedParts.Add(id, e)
	} else {
		p.refusedParts.Remove(id)
		p.others.Add(id, e)
	}
	p.count.Store(int64(p.refusedParts.Len() + p.others.Len()))
}

// crashesIn returns the number of crashes of a part that matter in a scope.
func (e *partEntry) crashesIn(scope swid.PromptScope) int {
	crashes := 0
	for i := range e.crashes {
		if !e.excused(&e.crashes[i], scope) {
			crashes++
		}
	}
	return crashes
}

// excused reports whether a request in a scope that was answered began after the crash.
func (e *partEntry) excused(c *PromptCrash, scope swid.PromptScope) bool {
	i := e.soundIndex(scope)
	return i >= 0 && e.sound[i].started >= c.Ended
}

func (e *partEntry) soundIndex(scope swid.PromptScope) int {
	return slices.IndexFunc(e.sound, func(s soundRun) bool { return s.scope == scope })
}

// suspect reports whether a part is suspect in a scope.
func (e *partEntry) suspect(scope swid.PromptScope) bool { return e.crashesIn(scope) >= suspectCrashes }

// causes returns the parts that may have caused a crash: those of the prompt that were not answered
// since. The caller must hold p.mu.
func (p *Parts) causes(c *PromptCrash, scope swid.PromptScope, now swclock.Millis) []swid.PrefixHash {
	var causes []swid.PrefixHash
	for _, id := range c.Parts {
		if e, known := p.get(id, now); known && !e.excused(c, scope) {
			causes = append(causes, id)
		}
	}
	return causes
}

// refuses reports whether requests in a scope that have all the given parts are refused because of the
// part with an entry. The caller must hold p.mu.
func (p *Parts) refuses(e *partEntry, scope swid.PromptScope, parts []swid.PrefixHash, now swclock.Millis) bool {
	crashes, own := 0, false
	var contents []swid.Fingerprint
	for i := range e.crashes {
		c := &e.crashes[i]
		if !c.Apart || e.excused(c, scope) || !containsAll(parts, p.causes(c, scope, now)) {
			continue
		}
		crashes++
		own = own || c.Scope == scope
		if !slices.Contains(contents, c.Content) {
			contents = append(contents, c.Content)
		}
	}
	return own && e.needed > 0 && crashes >= e.needed && len(contents) >= differentContents
}

func containsAll(parts, wanted []swid.PrefixHash) bool {
	return !slices.ContainsFunc(wanted, func(id swid.PrefixHash) bool { return !slices.Contains(parts, id) })
}

// refused reports whether requests in a scope are refused because of the part with an entry. The caller
// must hold p.mu.
func (p *Parts) refused(e *partEntry, scope swid.PromptScope, now swclock.Millis) bool {
	return slices.ContainsFunc(e.crashes, func(c PromptCrash) bool {
		return c.Apart && c.Scope == scope && !e.excused(&c, scope) && p.refuses(e, scope, p.causes(&c, scope, now), now)
	})
}

// verdict returns the verdict on the part with an entry in a scope. The caller must hold p.mu.
func (p *Parts) verdict(e *partEntry, scope swid.PromptScope, now swclock.Millis) Verdict {
	switch {
	case !e.suspect(scope):
		return Clear
	case p.refused(e, scope, now):
		return Refused
	default:
		return Suspect
	}
}

// Crash records the crash of a target that ran a prompt. If the request ran apart, parts that are
// vouched for are not blamed. Requests that end with the same crash count once for each part.
func (p *Parts) Crash(c PromptCrash, now swclock.Millis) []PartChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.Apart {
		c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(id swid.PrefixHash) bool { return p.vouched(id, c.Scope, now) })
	}
	var changes []PartChange
	for _, id := range c.Parts {
		before, _ := p.get(id, now)
		e, verdict := before, p.verdict(&before, c.Scope, now)
		e.add(c, p.answered.Contains(id))
		e.expires = now + p.limits.Retention
		p.put(id, &before, e, now)
		changes = p.appendChange(changes, id, c.Scope, verdict, now)
	}
	return changes
}

// add adds a crash, or replaces the record of the same crash if that is less conclusive.
func (e *partEntry) add(c PromptCrash, answered bool) {
	e.crashes = slices.Clone(e.crashes)
	if i := slices.IndexFunc(e.crashes, func(o PromptCrash) bool { return c.same(&o.Crash) }); i >= 0 {
		if c.Apart && !e.crashes[i].Apart {
			e.crashes[i] = c
		}
	} else {
		if len(e.crashes) == maxPartCrashes {
			e.crashes = slices.Delete(e.crashes, 0, 1)
		}
		e.crashes = append(e.crashes, c)
	}
	if e.needed == 0 && len(e.crashes) >= suspectCrashes {
		e.needed = apartCrashes
		if answered {
			e.needed = apartCrashesAnswered
		}
	}
}

// appendChange appends the change of a part whose verdict was another one before. The caller must
// hold p.mu.
func (p *Parts) appendChange(changes []PartChange, id swid.PrefixHash, scope swid.PromptScope, before Verdict, now swclock.Millis) []PartChange {
	e, _ := p.get(id, now)
	verdict := p.verdict(&e, scope, now)
	if verdict == before {
		return changes
	}
	return append(changes, PartChange{Part: id, Before: before, Verdict: verdict, Crashes: e.crashesIn(scope)})
}

// RecordAnswer records that a target answered a prompt, or was certain to, in a run that began at
// started. It deletes the crashes before that instant in the same scope from the parts.
func (p *Parts) RecordAnswer(prompt *Prompt, started, now swclock.Millis) []PartChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []PartChange
	for _, id := range prompt.Parts {
		p.answered.Add(id, struct{}{})
		before, known := p.get(id, now)
		if !known {
			continue
		}
		e, verdict := before, p.verdict(&before, prompt.Scope, now)
		if !e.recordAnswer(prompt.Scope, started) {
			continue
		}
		p.put(id, &before, e, now)
		changes = p.appendChange(changes, id, prompt.Scope, verdict, now)
	}
	return changes
}

// recordAnswer reports whether the entry changed.
func (e *partEntry) recordAnswer(scope swid.PromptScope, started swclock.Millis) bool {
	i := e.soundIndex(scope)
	if i >= 0 && e.sound[i].started >= started {
		return false
	}
	e.sound = slices.Clone(e.sound)
	if i >= 0 {
		e.sound = slices.Delete(e.sound, i, i+1)
	} else if len(e.sound) == maxSoundScopes {
		e.sound = slices.Delete(e.sound, 0, 1)
	}
	e.sound = append(e.sound, soundRun{scope, started})
	e.crashes = slices.DeleteFunc(slices.Clone(e.crashes), func(c PromptCrash) bool { return c.Scope == scope && c.Ended <= started })
	if len(e.crashes) == 0 {
		e.needed, e.verified = 0, false
	}
	return true
}

// Verdict returns whether and how a request may run. If it is refused, it returns the time until it is
// no longer; if it is suspect, the parts for which it is.
func (p *Parts) Verdict(prompt *Prompt, now swclock.Millis) (v Verdict, wait swclock.Millis, suspects []SuspectPart) {
	if p.count.Load() == 0 {
		return Clear, 0, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range prompt.Parts {
		e, _ := p.get(id, now)
		if !e.suspect(prompt.Scope) {
			continue
		}
		refused := p.refuses(&e, prompt.Scope, prompt.Parts, now)
		if refused && !p.verifiable(&e, now) {
			return Refused, e.expires - now, nil
		}
		suspects = append(suspects, SuspectPart{ID: id, Refused: refused, Serial: refused || e.needed != apartCrashesAnswered})
	}
	if len(suspects) > 0 {
		return Suspect, 0, suspects
	}
	return Clear, 0, nil
}

// Vouched reports whether requests with each part of a prompt were answered before, and no crash since
// is blamed on one. While no crash is known, it vouches for all.
func (p *Parts) Vouched(prompt *Prompt, now swclock.Millis) bool {
	if p.count.Load() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !slices.ContainsFunc(prompt.Parts, func(id swid.PrefixHash) bool { return !p.vouched(id, prompt.Scope, now) })
}

// vouched reports whether requests with a part were answered before and no crash since is blamed on it.
// The caller must hold p.mu.
func (p *Parts) vouched(id swid.PrefixHash, scope swid.PromptScope, now swclock.Millis) bool {
	e, _ := p.get(id, now)
	return e.crashesIn(scope) == 0 && p.answered.Contains(id)
}

// verifiable reports whether a refused part may run once more.
func (p *Parts) verifiable(e *partEntry, now swclock.Millis) bool {
	return !e.verified && now-e.refusedAt >= p.limits.VerifyAfter
}

// Verify records that a request runs for which Verdict returned suspects. Those that are refused do not
// run once more.
func (p *Parts) Verify(suspects []SuspectPart, now swclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range suspects {
		if s.Refused {
			before, _ := p.get(s.ID, now)
			e := before
			e.verified = true
			p.put(s.ID, &before, e, now)
		}
	}
}

// Crashes returns the crashes that are blamed on refused and suspect parts, those of the parts that were
// refused last first, but at most the given number of entries.
func (p *Parts) Crashes(most int, now swclock.Millis) []PartCrashes {
	p.mu.Lock()
	defer p.mu.Unlock()
	var crashes []PartCrashes
	known := make(map[string]bool)
	for _, parts := range []*simplelru.LRU[swid.PrefixHash, partEntry]{p.refusedParts, p.others} {
		for _, id := range slices.Backward(parts.Keys()) {
			e, _ := p.get(id, now)
			for _, c := range p.sumUp(id, &e, now) {
				if key := c.Key(); len(crashes) < most && !known[key] {
					known[key] = true
					crashes = append(crashes, c)
				}
			}
		}
	}
	return crashes
}

// sumUp returns the crashes that are blamed on a part, in the scopes in which it is suspect. The caller
// must hold p.mu.
func (p *Parts) sumUp(id swid.PrefixHash, e *partEntry, now swclock.Millis) []PartCrashes {
	var crashes []PartCrashes
	var contents []map[swid.Fingerprint]bool
	for i := range e.crashes {
		c := &e.crashes[i]
		if e.excused(c, c.Scope) || !e.suspect(c.Scope) {
			continue
		}
		parts := []swid.PrefixHash{id}
		if c.Apart {
			parts = p.causes(c, c.Scope, now)
			slices.Sort(parts)
		}
		k := slices.IndexFunc(crashes, func(o PartCrashes) bool {
			return o.Scope == c.Scope && o.Apart == c.Apart && slices.Equal(o.Parts, parts)
		})
		if k < 0 {
			k = len(crashes)
			crashes = append(crashes, PartCrashes{Parts: parts, Scope: c.Scope, Apart: c.Apart, Needed: e.needed, Remaining: e.expires - now})
			contents = append(contents, make(map[swid.Fingerprint]bool))
		}
		crashes[k].Count++
		contents[k][c.Content] = true
	}
	for i := range crashes {
		c := &crashes[i]
		switch {
		case c.Apart && len(contents[i]) >= differentContents:
			c.Count = min(c.Count, c.Needed)
		case c.Apart:
			// The crashes of one request refuse nothing, but keep the part suspect.
			single := *c
			single.Parts, single.Apart, single.Count = []swid.PrefixHash{id}, false, min(c.Count, suspectCrashes)
			c.Count = 1
			crashes = append(crashes, single)
		default:
			c.Count = min(c.Count, suspectCrashes)
		}
	}
	return crashes
}

// Load records crashes that another register knows, unless the parts were answered since.
func (p *Parts) Load(c PartCrashes, now swclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := min(c.Remaining, p.limits.Retention)
	crashedAt := now + remaining - p.limits.Retention
	for _, id := range c.Parts {
		before, _ := p.get(id, now)
		e := before
		if i := e.soundIndex(c.Scope); i >= 0 && e.sound[i].started >= crashedAt {
			continue
		}
		e.load(&c, crashedAt, func(o *PromptCrash) bool {
			return o.Scope == c.Scope && o.Apart == c.Apart && (!c.Apart || containsAll(c.Parts, p.causes(o, c.Scope, now)))
		})
		refused := p.refuses(&e, c.Scope, c.Parts, now)
		if e.verified = e.verified || refused; len(e.crashes) == len(before.crashes) && e.verified == before.verified {
			continue
		}
		e.expires = max(e.expires, now+remaining)
		p.put(id, &before, e, now)
	}
}

// load adds as many crashes as the entry lacks of those that match.
func (e *partEntry) load(c *PartCrashes, crashedAt swclock.Millis, matches func(*PromptCrash) bool) {
	e.crashes = slices.Clone(e.crashes)
	missing := c.Count
	for i := range e.crashes {
		if matches(&e.crashes[i]) {
			missing--
		}
	}
	for i := range min(missing, maxPartCrashes) {
		e.crashes = append(e.crashes, PromptCrash{
			Crash:  Crash{Started: crashedAt, Ended: crashedAt, Apart: c.Apart},
			Prompt: Prompt{Scope: c.Scope, Content: swid.Fingerprint(i), Parts: c.Parts},
		})
	}
	e.crashes = e.crashes[max(len(e.crashes)-maxPartCrashes, 0):]
	if e.needed == 0 && len(e.crashes) >= suspectCrashes {
		e.needed = c.Needed
	}
}

// Changes returns a number that grows with each change of suspect or refused parts, except that crashes
// expire.
func (p *Parts) Changes() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changes
}
