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

// aloneStrikes counts a break during which nothing else ran on the target.
const aloneStrikes = 2

// Register holds strikes by fingerprint. It is bounded: the oldest entry is forgotten first.
type Register struct {
	entries *simplelru.LRU[swid.Fingerprint, entry]
	limit   int
	span    swclock.Millis
}

type entry struct {
	strikes int
	// until is when the strikes are forgotten.
	until swclock.Millis
	// answered is until when an earlier answer shows that the content is not what breaks targets.
	answered swclock.Millis
}

// New returns an empty register. Content is refused at limit strikes, unless it
// was answered within span; a strike is forgotten when none follows it within span.
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
		e.strikes = 0
	}
	e.strikes++
	if alone {
		e.strikes += aloneStrikes - 1
	}
	e.until = now + r.span
	r.entries.Add(f, e)
}

// Report takes in strikes that were counted elsewhere: the more of them and of
// the register's own count. Content that was answered lately is not accused anew.
func (r *Register) Report(f swid.Fingerprint, strikes int, now swclock.Millis) {
	e, ok := r.entries.Peek(f)
	if ok && e.until <= now {
		e.strikes = 0
	}
	if strikes <= e.strikes || now < e.answered {
		return
	}
	e.strikes, e.until = strikes, now+r.span
	r.entries.Add(f, e)
}

// Absolve forgets the strikes of content that ran to its end, and remembers that it did.
func (r *Register) Absolve(f swid.Fingerprint, now swclock.Millis) {
	r.entries.Add(f, entry{answered: now + r.span})
}

// Verdict returns how the content is treated, and for how long if nothing happens meanwhile.
func (r *Register) Verdict(f swid.Fingerprint, now swclock.Millis) (Verdict, swclock.Millis) {
	e, ok := r.entries.Peek(f)
	switch {
	case !ok || e.until <= now:
		return Clear, 0
	case e.strikes >= r.limit && now >= e.answered:
		return Refused, e.until - now
	default:
		return Suspect, e.until - now
	}
}
