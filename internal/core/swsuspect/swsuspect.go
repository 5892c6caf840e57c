// Package swsuspect counts how often content was running when a target broke.
package swsuspect

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Verdict says how a request is treated.
type Verdict uint8

// Verdicts on a request.
const (
	// Clear requests run beside others.
	Clear Verdict = iota
	// Suspect requests run alone on their target.
	Suspect
	// Refused requests do not run.
	Refused
)

const (
	// aloneStrikes counts a break during which nothing else ran on the target.
	aloneStrikes = 2
	// firstRefusal is how long content is refused when it reaches the limit. It
	// doubles with each further strike. Between two refusals the content runs
	// alone once, which clears content that was struck by a failure of the target.
	firstRefusal = 10 * swclock.Second
	// maxDoublings bounds the doubling; the register's span bounds it as well.
	maxDoublings = 10
)

// Register holds strikes by fingerprint. It is bounded: the oldest entry is forgotten first.
type Register struct {
	entries *simplelru.LRU[swid.Fingerprint, entry]
	limit   int
	span    swclock.Millis
}

type entry struct {
	strikes int
	// refused is until when the content does not run; until is when the entry is forgotten.
	refused swclock.Millis
	until   swclock.Millis
}

// New returns an empty register. Content is refused for a while at limit strikes
// and at each later one; strikes are forgotten when none follows within span.
func New(size, limit int, span swclock.Millis) *Register {
	entries, err := simplelru.NewLRU[swid.Fingerprint, entry](size, nil)
	if err != nil {
		panic(err) // only a size that is not positive fails
	}
	return &Register{entries: entries, limit: limit, span: span}
}

// Strike counts a break of a target that ran the content. alone tells that it ran nothing else.
func (r *Register) Strike(f swid.Fingerprint, alone bool, now swclock.Millis) {
	e, ok := r.entries.Get(f)
	if ok && e.until <= now {
		e = entry{}
	}
	e.strikes++
	if alone {
		e.strikes += aloneStrikes - 1
	}
	e.until = now + r.span
	if e.strikes >= r.limit {
		e.refused = now + min(firstRefusal<<min(e.strikes-r.limit, maxDoublings), r.span)
	}
	r.entries.Add(f, e)
}

// Absolve forgets the strikes of content that ran to its end.
func (r *Register) Absolve(f swid.Fingerprint) {
	if r.entries.Len() > 0 {
		r.entries.Remove(f)
	}
}

// Verdict returns how the content is treated, and for how long if nothing happens meanwhile.
func (r *Register) Verdict(f swid.Fingerprint, now swclock.Millis) (Verdict, swclock.Millis) {
	if r.entries.Len() == 0 {
		return Clear, 0
	}
	e, ok := r.entries.Peek(f)
	switch {
	case !ok || e.until <= now:
		return Clear, 0
	case now < e.refused:
		return Refused, e.refused - now
	default:
		return Suspect, e.until - now
	}
}
