// Package swquota enforces the quotas of organisations. A quota holds for all
// hosts together: over any span of time an organisation may use at most its rate
// times the span plus its burst.
//
// Each host records what its own requests used, and reports that use when it
// registers with an owner, a host that schedules cells. So an owner has a record of
// the use of all hosts registered with it, however often owners change. For the use
// of a host before its process started, the owner assumes an amount, unless it
// accounted for the previous process. Several owners exist at once while hosts
// cannot reach each other or receive a membership update at different times. Each
// owner then admits a share of the quota, in proportion to the number of hosts
// registered with it.
package swquota

import (
	"maps"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Limit is one organisation's quota.
type Limit struct {
	// Rate is in units per second; 0 means no limit.
	Rate  float64
	Burst float64
}

// allowance returns the amount that may be used in a span of time.
func (l Limit) allowance(span swclock.Millis) float64 {
	return l.Rate*float64(span)/float64(swclock.Second) + l.Burst
}

// scale returns the given share of the limit.
func (l Limit) scale(share float64) Limit {
	return Limit{Rate: l.Rate * share, Burst: l.Burst * share}
}

const (
	// rampUpTime is how long a new owner admits at least rampUpShare of each quota. In
	// that time not all hosts have registered with the owner yet, and the first few
	// hosts may use far more than an even share.
	rampUpTime  = 400 * swclock.Millis(1)
	rampUpShare = 0.3
	// RegistrationInterval is the time between two registrations of a host with its owner.
	// A host counts as registered for registrationTimeout after each registration, so
	// that one lost or late registration does not remove the host.
	RegistrationInterval = 500 * swclock.Millis(1)
	registrationTimeout  = 1200 * swclock.Millis(1)
)

// Process is one process of a host. A later process has no record of what an earlier one used.
type Process struct {
	Host        swid.HostID
	Incarnation swid.Incarnation
}

// Ledger is one owner's record of what organisations used through the hosts registered
// with that owner, called "this owner" below. It is safe for concurrent use.
type Ledger struct {
	window swclock.Millis

	mu     sync.Mutex
	limits map[swid.OrgID]Limit
	// hosts is the number of hosts that may register with any owner, at least 1.
	hosts int
	// lastRegistration holds the time of each host's last registration with this owner.
	lastRegistration map[swid.HostID]swclock.Millis
	// firstRegistered is when the number of registered hosts last rose from 0; -1 before
	// any host registered.
	firstRegistered swclock.Millis
	// usages holds the use of each organisation, by the process that held the requests.
	usages map[swid.OrgID]map[Process]*usage
	// unaccounted holds the start time of each process for which this ledger may lack
	// the use of the process's host in the window before that start.
	unaccounted map[Process]swclock.Millis
	// accounted holds the latest process of each host for which this ledger has all of the use.
	accounted map[swid.HostID]registration
}

// registration is a process and the time of its last registration with this owner.
type registration struct {
	process      Process
	lastReceived swclock.Millis
}

// New returns a ledger that admits everything until it is configured.
func New(window swclock.Millis) *Ledger {
	return &Ledger{
		window: window, hosts: 1, firstRegistered: -1,
		lastRegistration: make(map[swid.HostID]swclock.Millis),
		usages:           make(map[swid.OrgID]map[Process]*usage),
		unaccounted:      make(map[Process]swclock.Millis),
		accounted:        make(map[swid.HostID]registration),
	}
}

// Configure replaces the limits.
func (l *Ledger) Configure(limits map[swid.OrgID]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	for org := range l.usages {
		if limits[org].Rate == 0 {
			delete(l.usages, org)
		}
	}
}

// SetHosts sets the number of hosts that may register with any owner.
func (l *Ledger) SetHosts(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = max(n, 1)
}

// Register registers the host of a process with this owner. age is the time since
// the process started, and amounts are what its requests used. If complete is set,
// amounts replace the recorded use of the process; otherwise they are added to that use.
func (l *Ledger) Register(from Process, age swclock.Millis, complete bool, amounts []Amount, now swclock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.countRegistered(now) == 0 {
		l.firstRegistered = now
	}
	l.lastRegistration[from.Host] = now
	maps.DeleteFunc(l.unaccounted, func(_ Process, started swclock.Millis) bool { return now-started > l.window+l.window/bucketCount })
	if complete {
		l.dropProcess(from)
		if started := now - age; age < l.window && !l.accountsForPredecessor(from, started) {
			l.unaccounted[from] = started
		}
	}
	if complete || l.accounted[from.Host].process == from {
		l.accounted[from.Host] = registration{from, now}
	}
	for _, a := range amounts {
		if l.limits[a.Org].Rate > 0 {
			l.usageOf(a.Org, from).add(a.Value, now-a.Age, l.window)
		}
	}
}

// Deregister removes the registration and the recorded use of a process whose host
// registers with another owner. That owner accounts for the use from then on.
func (l *Ledger) Deregister(from Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.lastRegistration, from.Host)
	delete(l.accounted, from.Host)
	l.dropProcess(from)
}

// maxRestartGap is the longest time from the last registration of a process to the
// start of its successor, if the process was registered with this owner until it
// ended. The gap consists of the time between two registrations and the time of a
// restart.
const maxRestartGap = 2 * swclock.Second

// accountsForPredecessor reports whether the ledger has all of the use of the
// process that ran before p on its host. The caller must hold l.mu.
func (l *Ledger) accountsForPredecessor(p Process, started swclock.Millis) bool {
	last, known := l.accounted[p.Host]
	return known && last.process.Incarnation+1 == p.Incarnation && last.lastReceived >= started-maxRestartGap
}

// dropProcess deletes the recorded use of a process. The caller must hold l.mu.
func (l *Ledger) dropProcess(p Process) {
	for _, byProcess := range l.usages {
		delete(byProcess, p)
	}
	delete(l.unaccounted, p)
}

// Share returns the share of each quota that this ledger admits, and the number
// of hosts registered with this owner.
func (l *Ledger) Share(now swclock.Millis) (share float64, hosts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admittedShare(now), l.countRegistered(now)
}

// Registered returns the hosts registered with this owner.
func (l *Ledger) Registered(now swclock.Millis) map[swid.HostID]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	registered := make(map[swid.HostID]bool, l.countRegistered(now))
	for host := range l.lastRegistration {
		registered[host] = true
	}
	return registered
}

// countRegistered drops expired registrations and returns the number of hosts
// registered with this owner. The caller must hold l.mu.
func (l *Ledger) countRegistered(now swclock.Millis) int {
	count := 0
	for host, lastReceived := range l.lastRegistration {
		if now-lastReceived > registrationTimeout {
			delete(l.lastRegistration, host)
			continue
		}
		count++
	}
	return count
}

// admittedShare returns the share of each quota that this ledger admits. The
// caller must hold l.mu.
func (l *Ledger) admittedShare(now swclock.Millis) float64 {
	registered := l.countRegistered(now)
	share := min(1, float64(max(registered, 1))/float64(l.hosts))
	if registered > 0 && now-l.firstRegistered < rampUpTime {
		share = max(share, rampUpShare)
	}
	return share
}

// Take charges a request of a process to its organisation. It refuses the request
// if the use would exceed this owner's share of the quota less reserve, the part of
// that share that is kept for requests of higher tiers. If the request is refused,
// wait is the time after which to try again.
func (l *Ledger) Take(holder Process, org swid.OrgID, amount, reserve float64, now swclock.Millis) (wait swclock.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[org]
	if limit.Rate <= 0 {
		return 0, true
	}
	share := l.admittedShare(now)
	limit = limit.scale(share * (1 - reserve))
	fits := l.fitsAllSpans
	if share < minOverdrawShare {
		fits = l.fitsWindow
	}
	if !fits(org, limit, amount, now) {
		return l.wait(fits, org, limit, amount, now), false
	}
	l.usageOf(org, holder).add(amount, now, l.window)
	return 0, true
}

// usageOf returns the use of an organisation through a process, and creates the
// record if there is none. The caller must hold l.mu.
func (l *Ledger) usageOf(org swid.OrgID, holder Process) *usage {
	byProcess, known := l.usages[org]
	if !known {
		byProcess = make(map[Process]*usage)
		l.usages[org] = byProcess
	}
	u, known := byProcess[holder]
	if !known {
		u = &usage{}
		byProcess[holder] = u
	}
	return u
}

// assumedUse is the share of its even part of a quota that a host is assumed to
// have used before its process started. At 1, requests of the lower tiers, which
// leave a reserve, would be refused for a window after each restart.
const assumedUse = 0.5

// recentUse returns the use in the latest buckets, the current one first. For each
// process in unaccounted, it adds assumedUse of the host's even part of the rate in
// the buckets before the start, and of the burst in the bucket of the start. The
// caller must hold l.mu.
func (l *Ledger) recentUse(org swid.OrgID, at swclock.Millis) (recent [bucketCount + 1]float64) {
	for _, u := range l.usages[org] {
		u.addRecent(&recent, at, l.window)
	}
	assumed := l.limits[org].scale(assumedUse / float64(l.hosts))
	current := bucketOf(at, l.window)
	for _, started := range l.unaccounted {
		age := current - bucketOf(started, l.window)
		if age < 0 || age > bucketCount {
			continue // outside the window that ends at this instant
		}
		recent[age] += assumed.Burst
		for back := age + 1; back <= bucketCount; back++ {
			recent[back] += assumed.Rate * float64(l.window/bucketCount) / float64(swclock.Second)
		}
	}
	return recent
}

// minOverdrawShare is the smallest share of the quota with which an owner lets a large
// request overdraw the burst. If there are many owners, the share of each may be less
// than one large request, and the overdrafts of all owners would add up. An owner with
// a smaller share therefore checks the use of the whole window, without an overdraft.
const minOverdrawShare = 0.5

// fitsWindow reports whether an amount, added at an instant, keeps the use of the
// whole window that ends then within the limit. The caller must hold l.mu.
func (l *Ledger) fitsWindow(org swid.OrgID, limit Limit, amount float64, at swclock.Millis) bool {
	for _, used := range l.recentUse(org, at) {
		amount += used
	}
	return amount <= limit.allowance(l.window)
}

// fitsAllSpans reports whether an amount, added at an instant, keeps the use of
// every span that ends then within the limit. A request larger than the burst may
// overdraw it, because it would otherwise be refused for ever. The caller must
// hold l.mu.
func (l *Ledger) fitsAllSpans(org swid.OrgID, limit Limit, amount float64, at swclock.Millis) bool {
	amount = min(amount, limit.Burst)
	sum := 0.0
	for back, used := range l.recentUse(org, at) {
		sum += used
		// The current bucket may have only just begun, so it adds no time to the span.
		if sum+amount > limit.allowance(swclock.Millis(back)*l.window/bucketCount) {
			return false
		}
	}
	return true
}

// wait returns the time until an amount fits if nothing else is used meanwhile,
// at most a window. The caller must hold l.mu.
func (l *Ledger) wait(
	fits func(swid.OrgID, Limit, float64, swclock.Millis) bool, org swid.OrgID, limit Limit, amount float64, now swclock.Millis,
) swclock.Millis {
	step := l.window / bucketCount
	for wait := step; wait < l.window; wait += step {
		if fits(org, limit, amount, now+wait) {
			return wait
		}
	}
	return l.window
}

// Return refunds the charge of a request that did not run.
func (l *Ledger) Return(holder Process, org swid.OrgID, amount float64, now swclock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u, known := l.usages[org][holder]; known {
		u.subtract(amount, now, l.window)
	}
}
