package swmember

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// tick expires old entries and queues the heartbeats that are due.
func (c *Core) tick(now swclock.Millis) {
	c.expire(now)
	if c.monitoredStale {
		c.monitored = c.neighbours()
		c.monitoredStale = false
	}
	hasUpdates := !c.updates.empty()
	for _, h := range c.monitored {
		c.monitor(now, c.hosts[h], hasUpdates)
	}
	c.reconnect(now)
}

// monitor sends one monitored host a heartbeat if one is due or if there are updates to send.
func (c *Core) monitor(now swclock.Millis, e *entry, hasUpdates bool) {
	if e.failures == 1 && e.heartbeatSent && now-e.heartbeatAt >= confirmTime {
		e.failures = 0
	}
	if e.heartbeatSent && now-e.heartbeatAt < heartbeatInterval && !hasUpdates {
		return
	}
	c.queueHeartbeat(now, e, c.updates.take(maxHeartbeatUpdates))
}

// queueHeartbeat queues a heartbeat to a host. The first one to a host, and any to a dead
// one, carries an update about this host. A heartbeat to a suspect or dead host also carries
// the update that reports this state, so that the host can refute it.
func (c *Core) queueHeartbeat(now swclock.Millis, e *entry, updates []swmsg.MemberUpdate) {
	if !e.heartbeatSent || e.member.State == swmsg.MemberDead {
		updates = append(updates, c.selfUpdate())
	}
	if e.member.State == swmsg.MemberSuspect || e.member.State == swmsg.MemberDead {
		updates = append(updates, updateOf(e))
	}
	c.heartbeatNumber++
	e.heartbeatSent, e.heartbeatAt = true, now
	heartbeat := swmsg.Heartbeat{Number: c.heartbeatNumber, ConfigVersion: c.configVersion(), Updates: updates, View: c.viewHash()}
	c.outgoing = append(c.outgoing, OutgoingHeartbeat{To: e.member.Host, Heartbeat: heartbeat})
}

// handleLinkFailure counts a failure of a monitored host. After the first one it sends
// another heartbeat at once, which opens a new link. A further failure makes the host suspect,
// but not before suspectAfter.
func (c *Core) handleLinkFailure(now swclock.Millis, host swid.HostID) {
	e, known := c.hosts[host]
	if !known || e.member.State == swmsg.MemberDead || !slices.Contains(c.monitored, host) {
		return
	}
	e.failures++
	if e.failures < failuresToSuspect {
		c.queueHeartbeat(now, e, nil)
		return
	}
	if now < e.suspectAfter || e.member.State == swmsg.MemberSuspect {
		return
	}
	c.suspect(now, e)
}

// suspect raises a suspicion of a host and sets the earliest time of the next one, in case
// the host refutes this one. A leaving host is declared dead at once.
func (c *Core) suspect(now swclock.Millis, e *entry) {
	e.suspectAfter = now + min(maxSuspectBackoff, suspectBackoff<<min(e.suspicions, 10))
	e.suspicions++
	if e.member.State == swmsg.MemberLeaving {
		c.setState(now, e, swmsg.MemberDead)
		return
	}
	c.setState(now, e, swmsg.MemberSuspect)
}

// setState sets a host's state and queues an update about it.
func (c *Core) setState(now swclock.Millis, e *entry, s swmsg.MemberState) {
	e.member.State, e.stateSince = s, now
	c.updates.put(updateOf(e))
	c.markChanged()
}

// expire declares hosts dead whose suspicion timed out, and removes hosts that have been
// dead for forgetTime and that the platform does not list.
func (c *Core) expire(now swclock.Millis) {
	for host, e := range c.hosts {
		switch {
		case e.member.State == swmsg.MemberSuspect && now-e.stateSince >= suspectTimeout:
			c.setState(now, e, swmsg.MemberDead)
		case e.member.State == swmsg.MemberDead && !e.listed && now-e.stateSince >= forgetTime:
			delete(c.hosts, host)
			c.markChanged()
		}
	}
}

// reconnect sends heartbeats to the dead hosts in turn, one every reconnectInterval, so that
// hosts that lost contact find each other again. A host that is alive after all refutes its death.
func (c *Core) reconnect(now swclock.Millis) {
	if now < c.reconnectAt {
		return
	}
	c.reconnectAt = now + reconnectInterval
	var first, next swid.HostID
	for host, e := range c.hosts {
		if e.member.State != swmsg.MemberDead {
			continue
		}
		if first == "" || c.reconnectsBefore(host, first) {
			first = host
		}
		if c.reconnectsBefore(c.lastReconnect, host) && (next == "" || c.reconnectsBefore(host, next)) {
			next = host
		}
	}
	c.lastReconnect = cmp.Or(next, first)
	if c.lastReconnect != "" {
		c.queueHeartbeat(now, c.hosts[c.lastReconnect], nil)
	}
}

// reconnectsBefore orders the dead hosts for reconnect. The order differs from host to host,
// so that they do not all contact the same dead host at once.
func (c *Core) reconnectsBefore(a, b swid.HostID) bool {
	return b != "" && (a == "" || c.pairHash(a) < c.pairHash(b))
}

func (c *Core) pairHash(h swid.HostID) uint64 {
	return xxhash.Sum64String(string(c.self.Host) + "\x00" + string(h))
}

// neighbours returns the hosts that this one monitors: three on the hash ring of its
// region, and one of the next region. For a ring of n hosts the three are at the distances
// 1, n^(1/3) and n^(2/3), so that updates cross the ring in few hops.
func (c *Core) neighbours() []swid.HostID {
	rings := make(map[swid.RegionID][]swid.HostID)
	for host, e := range c.hosts {
		if e.member.State != swmsg.MemberDead {
			rings[e.member.Region] = append(rings[e.member.Region], host)
		}
	}
	var chosen []swid.HostID
	own := ringAfter(rings[c.self.Region], c.self.Host)
	size := float64(len(own) + 1)
	for _, d := range []int{1, int(math.Round(math.Cbrt(size))), int(math.Round(math.Cbrt(size * size)))} {
		for d = max(d, 1); d <= len(own) && slices.Contains(chosen, own[d-1]); {
			d++
		}
		if d <= len(own) {
			chosen = append(chosen, own[d-1])
		}
	}
	if region, ok := nextRegion(rings, c.self.Region); ok {
		chosen = append(chosen, ringAfter(rings[region], c.self.Host)[0])
	}
	return chosen
}

// ringAfter returns hosts sorted by their position on the hash ring, starting after a given host.
func ringAfter(hosts []swid.HostID, from swid.HostID) []swid.HostID {
	start := xxhash.Sum64String(string(from))
	distance := func(h swid.HostID) uint64 { return xxhash.Sum64String(string(h)) - start }
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b swid.HostID) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a, b))
	})
	return sorted
}

// nextRegion returns the region after a given one in cyclic order, if there is another.
func nextRegion(rings map[swid.RegionID][]swid.HostID, own swid.RegionID) (swid.RegionID, bool) {
	var regions []swid.RegionID
	for r := range rings {
		if r != own {
			regions = append(regions, r)
		}
	}
	if len(regions) == 0 {
		return "", false
	}
	slices.Sort(regions)
	i, _ := slices.BinarySearch(regions, own)
	return regions[i%len(regions)], true
}
