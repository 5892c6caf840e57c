package swvalue

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Carriers picks the hosts that carry requests of holders that reach no target themselves.
type Carriers interface {
	// Pick returns a host that can carry a request of a holder to a target of a service, of those for which reaches
	// returns true.
	Pick(holder swid.HostID, service swid.ServiceID, now swclock.Millis, reaches func(swid.HostID) bool) (swid.HostID, bool)
	// Avoid records that a holder could not reach a carrier.
	Avoid(holder, carrier swid.HostID, now swclock.Millis)
	// Began and Ended count the requests that a host carries.
	Began(carrier swid.HostID)
	Ended(carrier swid.HostID)
}

// noCarriers is the Carriers of a cell whose requests are never carried.
type noCarriers struct{}

func (noCarriers) Pick(swid.HostID, swid.ServiceID, swclock.Millis, func(swid.HostID) bool) (swid.HostID, bool) {
	return "", false
}
func (noCarriers) Avoid(swid.HostID, swid.HostID, swclock.Millis) {}
func (noCarriers) Began(swid.HostID)                              {}
func (noCarriers) Ended(swid.HostID)                              {}

const (
	// unreachableTime is how long a host that could not connect to a target is not granted that target again. It
	// doubles with each further failure up to maxUnreachableTime.
	unreachableTime    = 500 * swclock.Millis(1)
	maxUnreachableTime = 2 * swclock.Second
	// otherSignTime is how long a sign from a target to one host shows that the failures of another one are no
	// failures of the target.
	otherSignTime = swclock.Second
)

// hostReach is what is known of the path from one host to a target.
type hostReach struct {
	// until is the instant until which the host is not granted the target.
	until swclock.Millis
	// failures counts the failures in a row.
	failures int
}

// reachability is what the hosts' attempts show of the paths to one target.
type reachability struct {
	hosts map[swid.HostID]hostReach
	// lastSign and otherSign are the latest signs from the target, and from it to another host than the one of
	// lastSign.
	lastSign, otherSign sign
	// failing has the hosts whose attempts have failed since lastSign.
	failing map[swid.HostID]struct{}
}

// sign is output or an answer of a target that reached a host.
type sign struct {
	host swid.HostID
	at   swclock.Millis
}

func newReachability() reachability {
	return reachability{hosts: make(map[swid.HostID]hostReach), failing: make(map[swid.HostID]struct{})}
}

// heard records a sign from the target to a host.
func (r *reachability) heard(host swid.HostID, now swclock.Millis) {
	if r.lastSign.host != host {
		r.otherSign = r.lastSign
	}
	r.lastSign = sign{host, now}
	delete(r.hosts, host)
	clear(r.failing)
}

// failed records a failure of a host at the target, and reports whether it counts against the target: unless
// another host heard from it a moment ago, and no other one has failed since. It returns the number of hosts
// that have failed since the latest sign.
func (r *reachability) failed(host swid.HostID, now swclock.Millis) (hosts int, counts bool) {
	r.failing[host] = struct{}{}
	other := r.lastSign
	if other.host == host {
		other = r.otherSign
	}
	return len(r.failing), len(r.failing) > 1 || other.host == "" || now-other.at > otherSignTime
}

// close keeps a host from the target for a time.
func (r *reachability) close(host swid.HostID, until swclock.Millis) {
	h := r.hosts[host]
	h.until = max(h.until, until)
	r.hosts[host] = h
}

// lost keeps a host from the target that could not connect to it.
func (r *reachability) lost(host swid.HostID, now swclock.Millis) {
	h := r.hosts[host]
	span := min(unreachableTime<<min(h.failures, 8), maxUnreachableTime)
	h.failures++
	h.until = max(h.until, now+span)
	r.hosts[host] = h
}

// reachableFrom reports whether a host may be granted the target.
func (r *reachability) reachableFrom(host swid.HostID, now swclock.Millis) bool {
	return now >= r.hosts[host].until
}

// needsCarrier reports whether a request has to be carried: if its holder reaches no target of the service, or
// none of those that the request may run on.
func (c *Cell[P, O]) needsCarrier(r *request) bool {
	if r.grantRequest.Carry {
		return true
	}
	if c.now != r.reachAt || c.changes != r.reachChanges {
		holder := r.grantRequest.Key.Holder
		r.reachAt, r.reachChanges = c.now, c.changes
		r.unreached = !slices.ContainsFunc(c.targets, func(t *target) bool { return c.isEligible(r, t) && t.reach.reachableFrom(holder, c.now) })
	}
	return r.unreached
}

// isEligible reports whether a request may run on a target, from whichever host it is sent.
func (c *Cell[P, O]) isEligible(r *request, t *target) bool {
	return t.active() && c.fitsOrigin(r, t) && !slices.Contains(r.grantRequest.Exclude, t.conf.ID)
}

// senderFor returns the host that is to send a request to a target: the holder, or one that carries the request. It
// returns false if no host can.
func (c *Cell[P, O]) senderFor(r *request, t *target) (sender swid.HostID, ok bool) {
	holder := r.grantRequest.Key.Holder
	if !c.needsCarrier(r) {
		return holder, t.reach.reachableFrom(holder, c.now)
	}
	return c.cfg.Carriers.Pick(holder, c.cfg.Service, c.now, func(host swid.HostID) bool { return t.reach.reachableFrom(host, c.now) })
}

// sender returns the host that sends the run's request to the target.
func (r *run) sender() swid.HostID {
	if r.carrier != "" {
		return r.carrier
	}
	return r.grantRequest.Key.Holder
}

// recordAttemptFailed records that an attempt got no answer. It counts against the target unless it may be a
// matter of the path to it.
func (c *Cell[P, O]) recordAttemptFailed(r *run, pathLost bool) {
	if pathLost {
		return
	}
	hosts, counts := r.target.reach.failed(r.sender(), c.now)
	if counts {
		r.target.recordNoAnswer(hosts, c.now)
		return
	}
	r.target.faultRate.Add(1)
}

// handleTargetHeard records that a target answered a host outside of an attempt.
func (c *Cell[P, O]) handleTargetHeard(e swcell.TargetHeard) {
	t := c.byID[e.Target]
	if t == nil {
		return
	}
	if t.probing() {
		c.cfg.OnProbing(ProbingChange{Target: e.Target, Holder: e.Host, SinceHeard: t.sinceHeard(c.now)})
	}
	t.unanswered = 0
	t.reach.heard(e.Host, c.now)
	c.listing++
	c.changed(t)
}
