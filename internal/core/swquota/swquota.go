// Package swquota keeps organisations within their quotas, each of which holds
// for all hosts together over any window of time.
//
// One host at a time accounts for most of an organisation's use: the owner of
// the cells. A host that has just become the owner does not know what was
// admitted before, and counts a steady use for that time. A host that other
// hosts do not reach admits at a share of the quota, and the owner leaves that
// share to it.
package swquota

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Limit is one organisation's quota.
type Limit struct {
	// Rate is in units a second; 0 sets no bound.
	Rate  float64
	Burst float64
}

const (
	// parts is the number of parts in which a window is counted.
	parts = 32
	// steadyUse is the share of its quota that an organisation is counted with
	// for the time before this ledger's own account. The rest is at hand at once.
	steadyUse = 0.8
	// pause is how long nothing must have been taken for another host to have
	// admitted requests meanwhile.
	pause = swclock.Second
)

// Ledger accounts for the use of organisations. It is safe for concurrent use.
type Ledger struct {
	window swclock.Millis

	mu     sync.Mutex
	limits map[swid.OrgID]Limit
	// share is the part of each quota that this ledger admits, in (0, 1].
	share float64
	uses  map[swid.OrgID]*use
	// since is when this ledger's own account began.
	since swclock.Millis
	// taken is when something was last taken.
	taken swclock.Millis
	began bool
}

// use is what an organisation used in the latest parts of time.
type use struct {
	// amounts is a ring; numbers has the part that each amount belongs to. A
	// window begins and ends within a part, and so touches one more.
	amounts [parts + 1]float64
	numbers [parts + 1]int64
}

// New returns a ledger that admits everything until it is configured.
func New(window swclock.Millis) *Ledger {
	return &Ledger{window: window, share: 1, uses: make(map[swid.OrgID]*use)}
}

// Configure replaces the limits.
func (l *Ledger) Configure(limits map[swid.OrgID]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	for org := range l.uses {
		if limits[org].Rate == 0 {
			delete(l.uses, org)
		}
	}
}

// SetShare sets the part of each quota that this ledger admits.
func (l *Ledger) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// TakeOver starts the account anew, because another host admitted requests
// until now. It does nothing if this ledger was in use all the while.
func (l *Ledger) TakeOver(now swclock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.began && now-l.taken < pause {
		return
	}
	l.began, l.since, l.taken = true, now, now
	clear(l.uses)
}

// Take charges a request to its organisation. It is refused if the use would
// exceed the quota less reserve, a share that is kept for requests of higher
// tiers; wait is then when to come back.
func (l *Ledger) Take(org swid.OrgID, amount, reserve float64, now swclock.Millis) (wait swclock.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[org]
	if limit.Rate <= 0 {
		return 0, true
	}
	quota := l.quota(limit)
	allowed := quota*(1-reserve) - amount
	u := l.use(org)
	if l.used(u, quota, now) > allowed {
		return l.wait(u, quota, allowed, now), false
	}
	part := l.part(now)
	i := part % (parts + 1)
	if u.numbers[i] != part {
		u.numbers[i], u.amounts[i] = part, 0
	}
	u.amounts[i] += amount
	l.taken = now
	return 0, true
}

// quota returns what may be used in a window. It needs l.mu.
func (l *Ledger) quota(limit Limit) float64 {
	return l.share * (limit.Rate*float64(l.window)/float64(swclock.Second) + limit.Burst)
}

func (l *Ledger) use(org swid.OrgID) *use {
	u, known := l.uses[org]
	if !known {
		u = &use{}
		l.uses[org] = u
	}
	return u
}

func (l *Ledger) part(now swclock.Millis) int64 { return int64(now) * parts / int64(l.window) }

// used returns what was used in the window that ends now. The part that the
// window begins in counts whole.
func (l *Ledger) used(u *use, quota float64, now swclock.Millis) float64 {
	present := l.part(now)
	sum := 0.0
	for i, number := range u.numbers {
		if present-number <= parts {
			sum += u.amounts[i]
		}
	}
	if before := l.window - (now - l.since); l.began && before > 0 {
		sum += quota * steadyUse * float64(before) / float64(l.window)
	}
	return sum
}

// wait returns the time until the use has fallen to what is allowed, at most a window.
func (l *Ledger) wait(u *use, quota, allowed float64, now swclock.Millis) swclock.Millis {
	step := l.window / parts
	for wait := step; wait < l.window; wait += step {
		if l.used(u, quota, now+wait) <= allowed {
			return wait
		}
	}
	return l.window
}

// Return takes back the charge of a request that did not run.
func (l *Ledger) Return(org swid.OrgID, amount float64, now swclock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, known := l.uses[org]
	if !known {
		return
	}
	part := l.part(now)
	for back := range int64(parts + 1) {
		i := (part - back) % (parts + 1)
		if part-back < 0 || u.numbers[i] != part-back {
			continue
		}
		taken := min(u.amounts[i], amount)
		u.amounts[i] -= taken
		if amount -= taken; amount <= 0 {
			return
		}
	}
}
