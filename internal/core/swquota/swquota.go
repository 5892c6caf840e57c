// Package swquota keeps organisations within their quotas, each of which holds
// for all hosts together.
//
// One host at a time accounts for most of an organisation's use: the owner of
// the cells. It admits at the full rate. A host that decides alone admits at a
// share of the rate. A bucket may be overdrawn by one request, so that one that
// is larger than the burst is not refused for ever. Over any window an owner
// admits at most rate x window + burst + one request.
package swquota

import (
	"math"
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

// firstLevel is the part of the burst that a new bucket holds. What an earlier
// owner admitted just before is not known, and a full bucket would allow the
// burst twice.
const firstLevel = 0.5

// Ledger accounts for the use of organisations. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	limits map[swid.OrgID]Limit
	// share is the part of each rate and burst that this ledger admits, in (0, 1].
	share   float64
	buckets map[swid.OrgID]*bucket
}

// bucket is what an organisation may use now.
type bucket struct {
	// level is at most share x burst; it is below 0 by at most one request.
	level float64
	// at is when level was true.
	at swclock.Millis
}

// New returns a ledger that admits everything until it is configured.
func New() *Ledger {
	return &Ledger{share: 1, buckets: make(map[swid.OrgID]*bucket)}
}

// Configure replaces the limits. Levels above a lower burst are cut.
func (l *Ledger) Configure(limits map[swid.OrgID]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	for org := range l.buckets {
		if limits[org].Rate == 0 {
			delete(l.buckets, org)
		}
	}
}

// SetShare sets the part of each quota that this ledger admits.
func (l *Ledger) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// Take charges a request to its organisation. It is refused while the level is
// not above reserve, a part of the burst that is kept for requests of higher
// tiers; wait is then when to come back.
func (l *Ledger) Take(org swid.OrgID, amount, reserve float64, now swclock.Millis) (wait swclock.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[org]
	if limit.Rate <= 0 {
		return 0, true
	}
	rate, burst := limit.Rate*l.share, limit.Burst*l.share
	b := l.fill(org, rate, burst, now)
	if missing := reserve*burst - b.level; missing >= 0 {
		return max(1, swclock.Millis(math.Ceil(missing/rate*float64(swclock.Second)))), false
	}
	b.level -= amount
	return 0, true
}

// fill needs l.mu.
func (l *Ledger) fill(org swid.OrgID, rate, burst float64, now swclock.Millis) *bucket {
	b, known := l.buckets[org]
	if !known {
		b = &bucket{level: burst * firstLevel, at: now}
		l.buckets[org] = b
	}
	if now > b.at {
		b.level += rate * float64(now-b.at) / float64(swclock.Second)
		b.at = now
	}
	b.level = min(b.level, burst)
	return b
}

// Return takes back the charge of a request that did not run.
func (l *Ledger) Return(org swid.OrgID, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, known := l.buckets[org]; known {
		b.level += amount
	}
}
