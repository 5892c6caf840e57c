// Package swsuspect counts strikes: how often the content of a request was running
// when its target crashed. Content with too many strikes is refused.
package swsuspect

import (
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

// aloneStrikes is the number of strikes for a crash while nothing else ran on the target.
const aloneStrikes = 2

// Register holds strikes by fingerprint. It is bounded and evicts the least
// recently updated entry first.
type Register struct {
	entries   *simplelru.LRU[swid.Fingerprint, entry]
	limit     int
	retention swclock.Millis
}

// entry holds the strikes of the content with one fingerprint.
type entry struct {
	strikes int
	// expires is when the strikes expire.
	expires swclock.Millis
	// clearedUntil is the time until which an earlier answer counts as evidence that
	// the content does not crash targets.
	clearedUntil swclock.Millis
}

// New returns an empty register of at most size entries. Content is refused at limit
// strikes, unless its last answer is more recent than retention. Its strikes expire when
// no further strike follows within retention.
func New(size, limit int, retention swclock.Millis) *Register {
	entries, err := simplelru.NewLRU[swid.Fingerprint, entry](size, nil)
	if err != nil {
		panic(err) // fails only if size is not positive
	}
	return &Register{entries: entries, limit: limit, retention: retention}
}

// Strike records a crash of a target that ran the content, and returns the content's number
// of strikes. alone is set if the target ran nothing else.
func (r *Register) Strike(f swid.Fingerprint, alone bool, now swclock.Millis) int {
	e, ok := r.entries.Get(f)
	if ok && e.expires <= now {
		e.strikes = 0
	}
	e.strikes++
	if alone {
		e.strikes += aloneStrikes - 1
	}
	e.expires = now + r.retention
	r.entries.Add(f, e)
	return e.strikes
}

// Report merges the number of strikes that another register has counted: the larger of
// that number and the register's own is kept. The report is ignored for content that was
// answered recently.
func (r *Register) Report(f swid.Fingerprint, strikes int, now swclock.Millis) {
	e, ok := r.entries.Peek(f)
	if ok && e.expires <= now {
		e.strikes = 0
	}
	if strikes <= e.strikes || now < e.clearedUntil {
		return
	}
	e.strikes, e.expires = strikes, now+r.retention
	r.entries.Add(f, e)
}

// RecordAnswer deletes the strikes of content that was answered. For the retention time
// after the answer, the content is not refused and reports about it are ignored.
// RecordAnswer returns the number of deleted strikes.
func (r *Register) RecordAnswer(f swid.Fingerprint, now swclock.Millis) int {
	e, _ := r.entries.Peek(f)
	r.entries.Add(f, entry{clearedUntil: now + r.retention})
	if e.expires <= now {
		return 0
	}
	return e.strikes
}

// Verdict returns whether and how the content may run, and the time until its strikes
// expire, or 0 if it has none.
func (r *Register) Verdict(f swid.Fingerprint, now swclock.Millis) (Verdict, swclock.Millis) {
	e, ok := r.entries.Peek(f)
	switch {
	case !ok || e.expires <= now:
		return Clear, 0
	case e.strikes >= r.limit && now >= e.clearedUntil:
		return Refused, e.expires - now
	default:
		return Suspect, e.expires - now
	}
}
