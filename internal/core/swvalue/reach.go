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
	// Reaching returns the hosts that reach a service, of those for which reaches returns true, or two of them if there are more.
	// since is when many began not to, or now if few do not. known is false if nothing is known of any host.
	Reaching(service swid.ServiceID, now swclock.Millis, reaches func(swid.HostID) bool) (hosts []swid.HostID, since swclock.Millis, known bool)
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
func (noCarriers) Reaching(swid.ServiceID, swclock.Millis, func(swid.HostID) bool) ([]swid.HostID, swclock.Millis, bool) {
	return nil, 0, false
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
	// outageWait is how long after many hosts were cut off from the service requests wait for one that reaches it, if none does:
	// targets that are sound may fall silent for a moment.
	outageWait = 1500 * swclock.Millis(1)
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

// isLost reports whether a host could not connect to the target a moment ago.
func (r *reachability) isLost(host swid.HostID, now swclock.Millis) bool {
	h := r.hosts[host]
	return h.failures > 0 && now < h.until
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

// reaching is what is known of the hosts that reach the service, as of an instant and a listing.
type reaching struct {
	at      swclock.Millis
	listing uint64
	// known is set if anything is.
	known bool
	// hosts has the hosts that reach the service, two at most, and since is when many began not to.
	hosts []swid.HostID
	since swclock.Millis
}

// lookForHosts finds out which hosts reach the service.
func (c *Cell[P, O]) lookForHosts() {
	c.reaching = reaching{at: c.now, listing: c.listing}
	active := make([]*target, 0, len(c.targets))
	for _, t := range c.targets {
		if t.active() {
			active = append(active, t)
		}
	}
	if len(active) == 0 {
		return
	}
	k := &c.reaching
	k.hosts, k.since, k.known = c.cfg.Carriers.Reaching(c.cfg.Service, c.now, func(host swid.HostID) bool {
		return slices.ContainsFunc(active, func(t *target) bool { return !t.reach.isLost(host, c.now) })
	})
}

// noOtherReaches reports whether no host but the holder reaches the service.
func (c *Cell[P, O]) noOtherReaches(holder swid.HostID) bool {
	if c.reaching.at != c.now || c.reaching.listing != c.listing {
		c.lookForHosts()
	}
	return c.reaching.known && !slices.ContainsFunc(c.reaching.hosts, func(host swid.HostID) bool { return host != holder })
}

// awaitsHost reports whether a request that no host can send may run on a target once a host reaches the service again, and
// whether it is to wait for that.
func (c *Cell[P, O]) awaitsHost(r *request) (unreached, waits bool) {
	// That the holder reaches no target is known from the request before its host reports it.
	unreached = c.noOtherReaches(r.grantRequest.Key.Holder) && (r.grantRequest.Carry || len(c.reaching.hosts) == 0) && c.anyEligible(r)
	return unreached, unreached && c.now-c.reaching.since < outageWait && !r.hasWaitedTooLong(c.now)
}

// mayAwaitHost is like awaitsHost, for a request that comes now.
func (c *Cell[P, O]) mayAwaitHost(r *request) bool {
	unreached, waits := c.awaitsHost(r)
	if !unreached && c.anyEligible(r) {
		c.lookForHosts() // the last host may have been cut off since the look at this instant
		_, waits = c.awaitsHost(r)
	}
	return waits
}

// anyEligible reports whether there is a target on which a request may run, from whichever host it is sent.
func (c *Cell[P, O]) anyEligible(r *request) bool {
	return slices.ContainsFunc(c.targets, func(t *target) bool { return c.isEligible(r, t) })
}

// isEligible reports whether a request may run on a target, from whichever host it is sent.
func (c *Cell[P, O]) isEligible(r *request, t *target) bool {
	return t.active() && c.fitsOrigin(r, t) && !slices.Contains(r.grantRequest.Exclude, t.conf.ID) && c.isAdmitted(r, t)
}

// forgetTargets has the targets looked at again for the request: others than before may run it.
func (r *request) forgetTargets(now swclock.Millis) {
	r.idleUntil, r.offerAllAt, r.reachAt = now, now, -1
}

// setCarry records that the holder of a waiting request reaches targets again, or no longer does.
func (c *Cell[P, O]) setCarry(r *request, carry bool) {
	if r.grantRequest.Carry != carry {
		r.grantRequest.Carry = carry
		r.forgetTargets(c.now)
	}
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

// hasSender reports whether senderFor returns a host.
func (c *Cell[P, O]) hasSender(r *request, t *target) bool {
	holder := r.grantRequest.Key.Holder
	if !c.needsCarrier(r) {
		return t.reach.reachableFrom(holder, c.now)
	}
	carrier := c.anyCarrier(holder)
	if carrier == "" || t.reach.reachableFrom(carrier, c.now) {
		return carrier != ""
	}
	_, ok := c.senderFor(r, t)
	return ok
}

// carriers has a carrier of each holder, whatever the target, as of an instant, a listing and a number of changes.
type carriers struct {
	at               swclock.Millis
	listing, changes uint64
	of               map[swid.HostID]swid.HostID
}

// anyCarrier returns a host that can carry a request of a holder to a target, if it reaches that; empty if there is none.
func (c *Cell[P, O]) anyCarrier(holder swid.HostID) swid.HostID {
	if k := &c.carriers; k.of == nil || k.at != c.now || k.listing != c.listing || k.changes != c.carrierChanges {
		*k = carriers{at: c.now, listing: c.listing, changes: c.carrierChanges, of: make(map[swid.HostID]swid.HostID)}
	}
	carrier, known := c.carriers.of[holder]
	if !known {
		carrier, _ = c.cfg.Carriers.Pick(holder, c.cfg.Service, c.now, func(swid.HostID) bool { return true })
		c.carriers.of[holder] = carrier
	}
	return carrier
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
