// Package swquota keeps organisations within their quotas, each of which holds
// for all hosts together: over any span of time an organisation uses at most its
// rate times the span and its burst.
//
// Each host remembers what its own requests used, and tells the owner of the
// cells when it begins to ask it. So an owner knows the use of all hosts that
// ask it, however often owners change. What a host used before its process started
// is assumed, unless the owner accounted for the process before. Where several
// owners exist, because hosts do not reach each other or learn of a change at
// different times, each admits the share of the quota of those hosts that ask it.
package swquota

import (
	"maps"
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

// within returns what may be used in a span of time.
func (l Limit) within(span swclock.Millis) float64 {
	return l.Rate*float64(span)/float64(swclock.Second) + l.Burst
}

// times returns a share of the limit.
func (l Limit) times(share float64) Limit {
	return Limit{Rate: l.Rate * share, Burst: l.Burst * share}
}

const (
	// gatherTime is how long a new owner admits gatherShare of the quota or more,
	// while hosts still find out that they have to ask it: the use of the first
	// few hosts may be far from even.
	gatherTime  = 400 * swclock.Millis(1)
	gatherShare = 0.3
	// AttachInterval is the time between two messages by which a host stays
	// attached to its owner, and attachTimeout how long it counts as attached
	// after one, so that one of them may be lost or late.
	AttachInterval = 500 * swclock.Millis(1)
	attachTimeout  = 1200 * swclock.Millis(1)
)

// Process is one process of a host. A later one does not know what an earlier one used.
type Process struct {
	Host        swid.HostID
	Incarnation swid.Incarnation
}

// Ledger accounts for the use of organisations by the hosts that ask its owner.
// It is safe for concurrent use.
type Ledger struct {
	window swclock.Millis

	mu     sync.Mutex
	limits map[swid.OrgID]Limit
	// hosts is the number of hosts that may ask anyone, at least 1.
	hosts int
	// attached has when each host was last heard to ask this owner.
	attached map[swid.HostID]swclock.Millis
	// first is when the first of the attached hosts came, or -1 if there is none.
	first swclock.Millis
	// uses has the accounts of each organisation by the process that holds its requests.
	uses map[swid.OrgID]map[Process]*use
	// young has the start of each process whose host may have used something in
	// the window before that nobody accounts for.
	young map[Process]swclock.Millis
	// known has the latest process of each host, if this ledger knows all that it used.
	known map[swid.HostID]attachment
}

// attachment is a process, and when it last said that it asks this owner.
type attachment struct {
	process Process
	heard   swclock.Millis
}

// New returns a ledger that admits everything until it is configured.
func New(window swclock.Millis) *Ledger {
	return &Ledger{
		window: window, hosts: 1, first: -1,
		attached: make(map[swid.HostID]swclock.Millis),
		uses:     make(map[swid.OrgID]map[Process]*use),
		young:    make(map[Process]swclock.Millis),
		known:    make(map[swid.HostID]attachment),
	}
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

// SetHosts sets the number of hosts that may ask anyone.
func (l *Ledger) SetHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = max(n, 1)
}

// Attach notes that a host asks this owner, by a process of some age. Amounts are
// what the requests of the process used: in place of all that was known of it if
// they are fresh, and in addition otherwise.
func (l *Ledger) Attach(from Process, age swclock.Millis, fresh bool, amounts []Amount, now swclock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.present(now) == 0 {
		l.first = now
	}
	l.attached[from.Host] = now
	maps.DeleteFunc(l.young, func(_ Process, started swclock.Millis) bool { return now-started > l.window+l.window/parts })
	if fresh {
		l.forget(from)
		if started := now - age; age < l.window && !l.knowsBefore(from, started) {
			l.young[from] = started
		}
	}
	if fresh || l.known[from.Host].process == from {
		l.known[from.Host] = attachment{from, now}
	}
	for _, a := range amounts {
		if l.limits[a.Org].Rate > 0 {
			l.account(a.Org, from).add(a.Value, now-a.Age, l.window)
		}
	}
}

// Detach notes that a host asks another owner from now on, which accounts for its use.
func (l *Ledger) Detach(from Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.attached, from.Host)
	delete(l.known, from.Host)
	l.forget(from)
}

// knownGap is how long before the start of a process its predecessor was last
// heard at most, if that asked this owner to its end: the time between two
// messages, and that of a restart.
const knownGap = 2 * swclock.Second

// knowsBefore reports whether the ledger accounts for all that the process before
// one used. It needs l.mu.
func (l *Ledger) knowsBefore(p Process, started swclock.Millis) bool {
	last, known := l.known[p.Host]
	return known && last.process.Incarnation+1 == p.Incarnation && last.heard >= started-knownGap
}

// forget drops the accounts of a process. It needs l.mu.
func (l *Ledger) forget(p Process) {
	for _, accounts := range l.uses {
		delete(accounts, p)
	}
	delete(l.young, p)
}

// Share returns the part of each quota that this ledger admits, and the number
// of hosts that ask this owner.
func (l *Ledger) Share(now swclock.Millis) (share float64, hosts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share(now), l.present(now)
}

// present returns the number of hosts that ask this owner. It needs l.mu.
func (l *Ledger) present(now swclock.Millis) int {
	count := 0
	for host, heard := range l.attached {
		if now-heard > attachTimeout {
			delete(l.attached, host)
			continue
		}
		count++
	}
	return count
}

// share needs l.mu.
func (l *Ledger) share(now swclock.Millis) float64 {
	present := l.present(now)
	share := min(1, float64(max(present, 1))/float64(l.hosts))
	if present > 0 && now-l.first < gatherTime {
		share = max(share, gatherShare)
	}
	return share
}

// Take charges a request of a process to its organisation. It is refused if the use
// would exceed the quota less reserve, a share that is kept for requests of
// higher tiers; wait is then when to come back.
func (l *Ledger) Take(holder Process, org swid.OrgID, amount, reserve float64, now swclock.Millis) (wait swclock.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[org]
	if limit.Rate <= 0 {
		return 0, true
	}
	share := l.share(now)
	limit = limit.times(share * (1 - reserve))
	fits := l.fits
	if share < majority {
		fits = l.fitsWindow
	}
	if !fits(org, limit, amount, now) {
		return l.wait(fits, org, limit, amount, now), false
	}
	l.account(org, holder).add(amount, now, l.window)
	return 0, true
}

// account needs l.mu.
func (l *Ledger) account(org swid.OrgID, holder Process) *use {
	accounts, known := l.uses[org]
	if !known {
		accounts = make(map[Process]*use)
		l.uses[org] = accounts
	}
	u, known := accounts[holder]
	if !known {
		u = &use{}
		accounts[holder] = u
	}
	return u
}

// unknownUse is the share of its even part of a quota that a host is taken to have
// used before its process started. With all of it the lower tiers, which leave a
// reserve, would be refused for a window after each restart.
const unknownUse = 0.5

// recent returns what was used in the latest parts, the present one first. What a
// host used before its process started is not known if this owner did not account
// for it; it is taken to be a share of the host's even part of the rate, and of
// the burst at the end. It needs l.mu.
func (l *Ledger) recent(org swid.OrgID, at swclock.Millis) (recent [parts + 1]float64) {
	for _, u := range l.uses[org] {
		u.addRecent(&recent, at, l.window)
	}
	before := l.limits[org].times(unknownUse / float64(l.hosts))
	present := partOf(at, l.window)
	for _, started := range l.young {
		age := present - partOf(started, l.window)
		if age < 0 || age > parts {
			continue // not in the window that is asked for
		}
		recent[age] += before.Burst
		for back := age + 1; back <= parts; back++ {
			recent[back] += before.Rate * float64(l.window/parts) / float64(swclock.Second)
		}
	}
	return recent
}

// majority is the share below which an owner has no burst to overdraw: the
// shares of many owners are each smaller than one large request.
const majority = 0.5

// fitsWindow reports whether an amount may be used at an instant by what a whole
// window may have. It needs l.mu.
func (l *Ledger) fitsWindow(org swid.OrgID, limit Limit, amount float64, at swclock.Millis) bool {
	for _, used := range l.recent(org, at) {
		amount += used
	}
	return amount <= limit.within(l.window)
}

// fits reports whether an amount may be used at an instant: whether no span that
// ends then has more than it may have. A request that is larger than the burst
// may overdraw it, so that it is not refused for ever. It needs l.mu.
func (l *Ledger) fits(org swid.OrgID, limit Limit, amount float64, at swclock.Millis) bool {
	amount = min(amount, limit.Burst)
	sum := 0.0
	for back, used := range l.recent(org, at) {
		sum += used
		// The present part may only have begun, and so counts for no time.
		if sum+amount > limit.within(swclock.Millis(back)*l.window/parts) {
			return false
		}
	}
	return true
}

// wait returns the time until an amount may be used if nothing else is, at most a window.
func (l *Ledger) wait(
	fits func(swid.OrgID, Limit, float64, swclock.Millis) bool, org swid.OrgID, limit Limit, amount float64, now swclock.Millis,
) swclock.Millis {
	step := l.window / parts
	for wait := step; wait < l.window; wait += step {
		if fits(org, limit, amount, now+wait) {
			return wait
		}
	}
	return l.window
}

// Return takes back the charge of a request that did not run.
func (l *Ledger) Return(holder Process, org swid.OrgID, amount float64, now swclock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, known := l.uses[org][holder]; known {
		u.take(amount, now, l.window)
	}
}
