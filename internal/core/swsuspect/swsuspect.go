// Package swsuspect counts strikes: the crashes of targets that were running the content of a
// request. Content with too many strikes is refused.
package swsuspect

import (
	"slices"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Verdict is the decision whether and how a request may run.
type Verdict uint8

// Verdicts.
const (
	// Clear requests may share a target with others.
	Clear Verdict = iota
	// Suspect requests run alone on their target, or apart from others.
	Suspect
	// Refused requests do not run.
	Refused
)

var verdictNames = [...]string{Clear: "clear", Suspect: "suspect", Refused: "refused"}

// String returns the verdict's name in logs.
func (v Verdict) String() string { return verdictNames[v] }

const (
	// aloneStrikes is the number of strikes for a crash while nothing else ran on the target.
	aloneStrikes = 2
	// suspicionTime is how long content that several targets crashed with, but that is not
	// refused, is expected to return.
	suspicionTime = 30 * swclock.Second
)

// Register holds strikes by fingerprint. It is bounded: it evicts the least recently updated
// entry first, and refused content only for other refused content. It is safe for concurrent
// use.
type Register struct {
	limits Limits

	mu sync.Mutex
	// refused holds the entries of refused contents, and others the remaining ones.
	refused *simplelru.LRU[swid.Fingerprint, entry]
	others  *simplelru.LRU[swid.Fingerprint, entry]
	// answered holds the contents that were answered last.
	answered *simplelru.LRU[swid.Fingerprint, struct{}]
	// activeUntil is the instant until which Active reports true.
	activeUntil swclock.Millis
	// changes counts the changes of entries.
	changes uint64
}

// Limits tells when content is refused.
type Limits struct {
	// Strikes is the number of strikes from which content is refused.
	Strikes int
	// VerifyAfter is the time after which refused content that was answered before may run once
	// more, apart, in case that something else crashed its targets; 0 means never.
	VerifyAfter swclock.Millis
	// Retention is the time after which strikes expire if no further one follows.
	Retention swclock.Millis
}

// Content is refused content.
type Content struct {
	Fingerprint swid.Fingerprint
	// Remaining is the time until it is no longer refused.
	Remaining swclock.Millis
}

// entry holds the strikes of the content with one fingerprint.
type entry struct {
	// crashes holds the crashes that the register counted itself, at most as many as the limit.
	crashes []Crash
	// reported is the number of strikes that only other registers counted.
	reported int
	// refusedAt is when the content was refused. verified is set once it needs not run again to
	// verify that: it did, or another register refused it.
	refusedAt swclock.Millis
	verified  bool
	// expires is when the strikes expire.
	expires swclock.Millis
	// reportsIgnoredUntil is set when an answer deletes strikes. Until then, reports may still
	// include these.
	reportsIgnoredUntil swclock.Millis
}

// several reports whether several targets crashed with the content.
func (e *entry) several() bool { return len(e.crashes)+e.reported > 1 }

func (e *entry) strikes() int {
	strikes := e.reported
	for i := range e.crashes {
		strikes += e.crashes[i].strikes()
	}
	return strikes
}

// New returns an empty register of at most size refused contents, as many others with strikes, and
// as many that were answered.
func New(size int, limits Limits) *Register {
	return &Register{refused: newLRU[swid.Fingerprint, entry](size), others: newLRU[swid.Fingerprint, entry](size), answered: newLRU[swid.Fingerprint, struct{}](size), limits: limits}
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	entries, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // fails only if size is not positive
	}
	return entries
}

// get returns the entry of content. It has no strikes if they have expired. The caller must
// hold r.mu.
func (r *Register) get(f swid.Fingerprint, now swclock.Millis) entry {
	e, known := r.refused.Peek(f)
	if !known {
		e, _ = r.others.Peek(f)
	}
	if e.expires <= now {
		e.crashes, e.reported, e.verified = nil, 0, false
	}
	return e
}

// put stores the entry of content. The caller must hold r.mu.
func (r *Register) put(f swid.Fingerprint, e entry, now swclock.Millis) {
	r.changes++
	switch {
	case e.strikes() >= r.limits.Strikes:
		if !r.refused.Contains(f) {
			e.refusedAt = now
		}
		r.others.Remove(f)
		r.refused.Add(f, e)
		r.activeUntil = max(r.activeUntil, e.expires)
		return
	case e.several():
		r.activeUntil = max(r.activeUntil, now+suspicionTime)
	}
	r.refused.Remove(f)
	r.others.Add(f, e)
}

// Active reports whether content is refused, or several targets crashed with it a short while
// ago, so that further strikes are to be counted in one place.
func (r *Register) Active(now swclock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now < r.activeUntil
}

// Strike records the crash of a target that ran the content, and returns the content's number of
// strikes. Runs of the same content that end with the same crash count once. Only a conclusive
// crash makes content refused.
func (r *Register) Strike(f swid.Fingerprint, c Crash, now swclock.Millis) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.get(f, now)
	known := slices.ContainsFunc(e.crashes, func(o Crash) bool { return c.same(&o) })
	if !known && e.strikes() < r.limits.Strikes && (c.conclusive() || e.strikes()+1 < r.limits.Strikes) {
		e.crashes = append(slices.Clip(e.crashes), c)
	}
	e.expires = now + r.limits.Retention
	r.put(f, e, now)
	return e.strikes()
}

// Report merges the number of strikes that another register has counted: the larger of
// that number and the register's own is kept. The report is ignored for content that was
// answered recently.
func (r *Register) Report(f swid.Fingerprint, strikes int, now swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.get(f, now)
	if strikes <= e.strikes() || now < e.reportsIgnoredUntil {
		return
	}
	e.reported += strikes - e.strikes()
	e.expires = now + r.limits.Retention
	r.put(f, e, now)
}

// Load refuses a content that another register refused, for as long as that one does. It is ignored
// for content that was answered recently.
func (r *Register) Load(c Content, now swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.get(c.Fingerprint, now)
	if e.strikes() >= r.limits.Strikes || now < e.reportsIgnoredUntil {
		return
	}
	e.reported += r.limits.Strikes - e.strikes()
	e.verified = true
	e.expires = max(e.expires, now+min(c.Remaining, r.limits.Retention))
	r.put(c.Fingerprint, e, now)
}

// Contents returns the refused contents, the latest first, but at most the given number.
func (r *Register) Contents(most int, now swclock.Millis) []Content {
	r.mu.Lock()
	defer r.mu.Unlock()
	var contents []Content
	for _, f := range slices.Backward(r.refused.Keys()) {
		e := r.get(f, now)
		if len(contents) < most && e.strikes() >= r.limits.Strikes {
			contents = append(contents, Content{Fingerprint: f, Remaining: e.expires - now})
		}
	}
	return contents
}

// Changes returns a number that grows with each change of the register, except that strikes expire.
func (r *Register) Changes() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// RecordAnswer deletes the strikes of content that was answered, and returns their number. For
// the retention time after it, reports of other registers are ignored, as they may include the
// deleted strikes.
func (r *Register) RecordAnswer(f swid.Fingerprint, now swclock.Millis) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered.Add(f, struct{}{})
	e := r.get(f, now)
	strikes := e.strikes()
	if strikes > 0 {
		r.put(f, entry{reportsIgnoredUntil: now + r.limits.Retention}, now)
	}
	return strikes
}

// Verdict returns whether and how the content may run, and the time until its strikes
// expire, or 0 if it has none.
func (r *Register) Verdict(f swid.Fingerprint, now swclock.Millis) (Verdict, swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.get(f, now)
	switch strikes := e.strikes(); {
	case strikes == 0:
		return Clear, 0
	case strikes >= r.limits.Strikes && !r.verifiable(f, &e, now):
		return Refused, e.expires - now
	default:
		return Suspect, e.expires - now
	}
}

// verifiable reports whether refused content may run once more.
func (r *Register) verifiable(f swid.Fingerprint, e *entry, now swclock.Millis) bool {
	return r.limits.VerifyAfter > 0 && !e.verified && now-e.refusedAt >= r.limits.VerifyAfter && r.answered.Contains(f)
}

// Verify records that refused content runs once more, as Verdict allowed.
func (r *Register) Verify(f swid.Fingerprint, now swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.get(f, now); e.strikes() >= r.limits.Strikes {
		e.verified = true
		r.put(f, e, now)
	}
}

// RunsApart reports whether content is to run once at a time, and not beside other such content,
// because several targets crashed with it.
func (r *Register) RunsApart(f swid.Fingerprint, now swclock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.get(f, now)
	return e.several()
}
