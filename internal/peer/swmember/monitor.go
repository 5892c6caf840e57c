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

// tick sends the heartbeats that are due and lets suspicions run out.
func (c *Core) tick(now swclock.Millis) {
	c.age(now)
	if c.stale {
		c.monitored = c.neighbours()
		c.stale = false
	}
	urgent := !c.news.empty()
	for _, h := range c.monitored {
		c.monitor(now, c.hosts[h], urgent)
	}
	c.revive(now)
}

// monitor sends one monitored host a heartbeat if one is due, or at once if there are rumors.
func (c *Core) monitor(now swclock.Millis, e *entry, urgent bool) {
	if e.misses == 1 && e.beaten && now-e.beatAt >= confirmTime {
		e.misses = 0
	}
	if e.beaten && now-e.beatAt < beatInterval && !urgent {
		return
	}
	c.beat(now, e, c.news.take(beatRumors))
}

// beat sends a heartbeat. The first one to a host, and any to a host in doubt,
// tells who this host is and what it holds of the other.
func (c *Core) beat(now swclock.Millis, e *entry, rumors []swmsg.Rumor) {
	if !e.beaten || e.member.State == swmsg.MemberDead {
		rumors = append(rumors, c.selfRumor())
	}
	if e.member.State == swmsg.MemberSuspect || e.member.State == swmsg.MemberDead {
		rumors = append(rumors, rumorOf(e))
	}
	c.number++
	e.beaten, e.beatAt = true, now
	beat := swmsg.Heartbeat{Number: c.number, ConfigVersion: c.config(), Rumors: rumors, View: c.viewHash()}
	c.out = append(c.out, Beat{To: e.member.Host, Heartbeat: beat})
}

// missed counts a failure. The first is answered by another heartbeat at once,
// which opens a new link; a further one makes a monitored host suspect.
func (c *Core) missed(now swclock.Millis, host swid.HostID) {
	e, known := c.hosts[host]
	if !known || e.member.State == swmsg.MemberDead || !slices.Contains(c.monitored, host) {
		return
	}
	e.misses++
	if e.misses < missesToSuspect {
		c.beat(now, e, nil)
		return
	}
	if now < e.doubtAt || e.member.State == swmsg.MemberSuspect {
		return
	}
	c.suspect(now, e)
}

// suspect starts a suspicion and delays the next one, should this one be refuted.
func (c *Core) suspect(now swclock.Millis, e *entry) {
	e.doubtAt = now + min(maxDoubtDelay, doubtDelay<<min(e.doubts, 10))
	e.doubts++
	if e.member.State == swmsg.MemberLeaving {
		c.declare(now, e, swmsg.MemberDead)
		return
	}
	c.declare(now, e, swmsg.MemberSuspect)
}

// declare sets a host's state and spreads it.
func (c *Core) declare(now swclock.Millis, e *entry, s swmsg.MemberState) {
	e.member.State, e.since = s, now
	c.news.put(rumorOf(e))
	c.touch()
}

// age turns old suspicions into deaths and forgets hosts that are long gone.
func (c *Core) age(now swclock.Millis) {
	for host, e := range c.hosts {
		switch {
		case e.member.State == swmsg.MemberSuspect && now-e.since >= suspectTimeout:
			c.declare(now, e, swmsg.MemberDead)
		case e.member.State == swmsg.MemberDead && !e.listed && now-e.since >= forgetTime:
			delete(c.hosts, host)
			c.touch()
		}
	}
}

// revive sends a heartbeat to one dead host after the other, so that hosts which
// lost each other find each other again. A dead host that lives refutes.
func (c *Core) revive(now swclock.Millis) {
	if now < c.reviveAt {
		return
	}
	c.reviveAt = now + reviveInterval
	var first, next swid.HostID
	for host, e := range c.hosts {
		if e.member.State != swmsg.MemberDead {
			continue
		}
		if first == "" || c.before(host, first) {
			first = host
		}
		if c.before(c.revived, host) && (next == "" || c.before(host, next)) {
			next = host
		}
	}
	c.revived = cmp.Or(next, first)
	if c.revived != "" {
		c.beat(now, c.hosts[c.revived], nil)
	}
}

// before orders hosts in a way that differs from host to host, so that not all revive the same one.
func (c *Core) before(a, b swid.HostID) bool {
	return b != "" && (a == "" || c.pairHash(a) < c.pairHash(b))
}

func (c *Core) pairHash(h swid.HostID) uint64 {
	return xxhash.Sum64String(string(c.self.Host) + "\x00" + string(h))
}

// neighbours returns the hosts that this one monitors: three in a hash ring of
// its region, at distances that make rumors cross the ring in few hops, and one
// of the next region.
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

// ringAfter sorts hosts by their place in the hash ring, starting after a host.
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
