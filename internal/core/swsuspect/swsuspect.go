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
	// Suspect requests run alone on their target.
	Suspect
	// Refused requests do not run.
	Refused
)

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
	limit     int
	retention swclock.Millis

	mu sync.Mutex
	// refused holds the entries with limit strikes or more, and others the remaining ones.
	refused *simplelru.LRU[swid.Fingerprint, entry]
	others  *simplelru.LRU[swid.Fingerprint, entry]
	// activeUntil is the instant until which Active reports true.
	activeUntil swclock.Millis
	// changes counts the changes of entries.
	changes uint64
}

// Content is refused content.
type Content struct {
	Fingerprint swid.Fingerprint
	// Remaining is the time until it is no longer refused.
	Remaining swclock.Millis
}

// entry holds the strikes of the content with one fingerprint.
type entry struct {
	// crashes holds the crashes that the register counted itself, as long as there are fewer
	// strikes than the limit.
	crashes []Crash
	// reported is the number of strikes that only other registers counted.
	reported int
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

// New returns an empty register of at most size refused contents and as many others with
// strikes. Content is refused at limit strikes. Its strikes expire when no further strike
// follows within retention.
func New(size, limit int, retention swclock.Millis) *Register {
	return &Register{refused: newEntries(size), others: newEntries(size), limit: limit, retention: retention}
}

func newEntries(size int) *simplelru.LRU[swid.Fingerprint, entry] {
	entries, err := simplelru.NewLRU[swid.Fingerprint, entry](size, nil)
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
		e.crashes, e.reported = nil, 0
	}
	return e
}

// put stores the entry of content. The caller must hold r.mu.
func (r *Register) put(f swid.Fingerprint, e entry, now swclock.Millis) {
	r.changes++
	switch {
	case e.strikes() >= r.limit:
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
// strikes. Runs of the same content that end with the same crash count once.
func (r *Register) Strike(f swid.Fingerprint, c Crash, now swclock.Millis) int {
	return r.strike(f, c, r.limit, now)
}

// ReportStrike does the same for a crash that was recorded where not all answers to the content
// are known. Such crashes alone do not make content refused.
func (r *Register) ReportStrike(f swid.Fingerprint, c Crash, now swclock.Millis) int {
	return r.strike(f, c, r.limit-1, now)
}

// strike records a crash unless the content has as many strikes as given by most.
func (r *Register) strike(f swid.Fingerprint, c Crash, most int, now swclock.Millis) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.get(f, now)
	known := slices.ContainsFunc(e.crashes, func(o Crash) bool { return c.same(&o) })
	if !known && e.strikes() < most {
		e.crashes = append(slices.Clip(e.crashes), c)
	}
	e.expires = now + r.retention
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
	e.expires = now + r.retention
	r.put(f, e, now)
}

// Load refuses a content that another register refused, for as long as that one does. It is ignored
// for content that was answered recently.
func (r *Register) Load(c Content, now swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.get(c.Fingerprint, now)
	if e.strikes() >= r.limit || now < e.reportsIgnoredUntil {
		return
	}
	e.reported += r.limit - e.strikes()
	e.expires = max(e.expires, now+min(c.Remaining, r.retention))
	r.put(c.Fingerprint, e, now)
}

// Contents returns the refused contents, the latest first, but at most the given number.
func (r *Register) Contents(most int, now swclock.Millis) []Content {
	r.mu.Lock()
	defer r.mu.Unlock()
	var contents []Content
	for _, f := range slices.Backward(r.refused.Keys()) {
		e := r.get(f, now)
		if len(contents) < most && e.strikes() >= r.limit {
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
	e := r.get(f, now)
	strikes := e.strikes()
	if strikes > 0 {
		r.put(f, entry{reportsIgnoredUntil: now + r.retention}, now)
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
	case strikes >= r.limit:
		return Refused, e.expires - now
	default:
		return Suspect, e.expires - now
	}
}
