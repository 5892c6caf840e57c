package swmember

import (
	"slices"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Times and limits of the membership protocol.
const (
	// TickInterval is the longest time between two ticks.
	TickInterval = 200 * swclock.Millis(1)
	// beatInterval is the time between two heartbeats to a monitored host.
	beatInterval = swclock.Second
	// suspectTimeout is how long a suspicion may be refuted before the host counts as dead.
	suspectTimeout = 8 * swclock.Second
	// missesToSuspect is the number of failures in a row that make a monitored host suspect.
	missesToSuspect = 2
	// confirmTime is how long a heartbeat must go without a failure to count as answered.
	confirmTime = 1500 * swclock.Millis(1)
	// reviveInterval is the time between two heartbeats to hosts that count as dead.
	reviveInterval = 5 * swclock.Second
	// doubtDelay and maxDoubtDelay bound the wait before a host that refuted a suspicion is suspected again.
	doubtDelay    = 10 * swclock.Second
	maxDoubtDelay = 10 * swclock.Minute
	// syncDelay is how long two hosts may differ before one sends the other all it
	// holds, and syncInterval the time between two such messages to a host.
	syncDelay    = 10 * swclock.Second
	syncInterval = swclock.Minute
	// forgetTime is how long a dead host that the platform does not list is remembered.
	forgetTime = 3 * swclock.Hour
	// rumorSends bounds how often one host passes on one rumor.
	rumorSends = 8
	// beatRumors bounds the rumors of one heartbeat.
	beatRumors = 16
)

// entry is what this host holds of another.
type entry struct {
	member Member
	// round orders what is told of one incarnation; see swmsg.Rumor.
	round uint32
	// listed tells that the platform's last list has the host, listedLeaving that it has it as leaving.
	listed        bool
	listedLeaving bool
	// since is when the state began.
	since swclock.Millis
	// misses counts failures since the host was last heard or a heartbeat went through.
	misses int
	beatAt swclock.Millis
	// beaten tells that a heartbeat was sent at beatAt.
	beaten bool
	// doubts counts this host's refuted suspicions; until doubtAt it raises no other.
	doubts  int
	doubtAt swclock.Millis
	// differs tells that the host's view differed from this one's since differsAt.
	differs   bool
	differsAt swclock.Millis
	// syncAt is when all was last sent to the host; synced tells whether it ever was.
	synced bool
	syncAt swclock.Millis
}

// Core is the membership protocol without input or output: deterministic, and
// driven by events. The shell sends what it asks for.
type Core struct {
	self  Member
	round uint32
	// started is set by the first step, which lets this host be known.
	started bool
	hosts   map[swid.HostID]*entry
	// news holds the rumors to pass on.
	news news
	// monitored is recomputed when the members change.
	monitored []swid.HostID
	stale     bool
	// view is the hash of the members, viewed tells whether it is up to date.
	view     uint64
	viewed   bool
	changed  bool
	number   uint64
	reviveAt swclock.Millis
	// revived is the dead host that was last sent a heartbeat.
	revived swid.HostID
	config  func() swid.ConfigVersion
	out     []Beat
}

// NewCore returns the core of one host. The function gives the configuration
// version that travels in heartbeats.
func NewCore(self Member, config func() swid.ConfigVersion) *Core {
	self.State = swmsg.MemberAlive
	return &Core{self: self, hosts: make(map[swid.HostID]*entry), news: newNews(), config: config, stale: true}
}

// Step takes one event.
func (c *Core) Step(now swclock.Millis, e Event) Output {
	c.out, c.changed = nil, false
	if !c.started {
		c.started = true
		c.news.put(c.selfRumor())
		c.changed = true
	}
	switch e := e.(type) {
	case Listed:
		c.listed(now, e)
	case Heard:
		c.heard(now, e)
	case Missed:
		c.missed(now, e.Host)
	case Ticked:
		c.tick(now)
	case Left:
		c.leave()
	}
	return Output{Beats: c.out, Changed: c.changed}
}

// Members returns the members sorted by host, this host included.
func (c *Core) Members() []Member {
	members := []Member{c.self}
	for _, e := range c.hosts {
		m := e.member
		if e.listedLeaving && m.State < swmsg.MemberLeaving {
			m.State = swmsg.MemberLeaving
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return members
}

// touch notes that the members changed.
func (c *Core) touch() { c.stale, c.changed, c.viewed = true, true, false }

// listed takes the platform's list: it adds hosts and their places, and forgets
// hosts that only the list knew of. It declares none dead.
func (c *Core) listed(now swclock.Millis, l Listed) {
	for _, e := range c.hosts {
		e.listed = false
	}
	for _, h := range l.Hosts {
		if h.ID == c.self.Host {
			continue
		}
		e, known := c.hosts[h.ID]
		if !known {
			e = c.add(now, Member{Host: h.ID, State: swmsg.MemberAlive})
		}
		e.listed = true
		c.place(e, h.Address, h.Zone, h.Region)
		if leaving := h.State == swobject.HostLeaving; leaving != e.listedLeaving {
			e.listedLeaving = leaving
			c.touch()
		}
	}
	for host, e := range c.hosts {
		if !e.listed && e.member.Incarnation == 0 {
			delete(c.hosts, host)
			c.touch()
		}
	}
}

// add starts an entry.
func (c *Core) add(now swclock.Millis, m Member) *entry {
	e := &entry{member: m, since: now}
	c.hosts[m.Host] = e
	c.touch()
	return e
}

// place updates where a host is; an empty value changes nothing.
func (c *Core) place(e *entry, address string, zone swid.ZoneID, region swid.RegionID) {
	m := e.member
	if address != "" {
		m.Address = address
	}
	if zone != "" {
		m.Zone = zone
	}
	if region != "" {
		m.Region = region
	}
	if m != e.member {
		e.member = m
		c.touch()
	}
}

// heard takes a heartbeat: its sender lives, and its rumors may be news.
func (c *Core) heard(now swclock.Millis, h Heard) {
	e, known := c.hosts[h.From.Host]
	fresh := !known || h.From.Incarnation > e.member.Incarnation
	switch {
	case h.From.Host == c.self.Host:
		return
	case !known:
		e = c.add(now, Member{Host: h.From.Host, Incarnation: h.From.Incarnation, State: swmsg.MemberAlive})
		c.news.put(rumorOf(e))
	case fresh:
		c.replace(now, e, h.From.Incarnation)
	case h.From.Incarnation < e.member.Incarnation:
		return
	}
	e.misses, e.doubts, e.doubtAt = 0, 0, 0
	for _, r := range h.Heartbeat.Rumors {
		c.rumor(now, r)
	}
	if c.mustSync(now, e, fresh, h.Heartbeat.View) {
		c.sync(now, e)
	} else if !h.Heartbeat.Reply {
		c.reply(e, h.Heartbeat)
	}
}

// replace starts a host's next incarnation; the earlier one is dead by that.
func (c *Core) replace(now swclock.Millis, e *entry, next swid.Incarnation) {
	e.member.Incarnation, e.member.State = next, swmsg.MemberAlive
	e.round, e.since, e.misses, e.doubts, e.doubtAt = 0, now, 0, 0, 0
	c.news.put(rumorOf(e))
	c.touch()
}

// reply answers a heartbeat if there is something to tell: rumors, a doubt about
// the sender, or a newer configuration. The link itself confirms the rest.
func (c *Core) reply(e *entry, h swmsg.Heartbeat) {
	rumors := c.news.take(beatRumors)
	if e.member.State == swmsg.MemberSuspect || e.member.State == swmsg.MemberDead {
		rumors = append(rumors, rumorOf(e))
	}
	version := c.config()
	if len(rumors) == 0 && version <= h.ConfigVersion {
		return
	}
	beat := swmsg.Heartbeat{Number: h.Number, ConfigVersion: version, Rumors: rumors, Reply: true, View: c.viewHash()}
	c.out = append(c.out, Beat{To: e.member.Host, Heartbeat: beat})
}

// leave tells the others that this host takes no new work.
func (c *Core) leave() {
	if c.self.State == swmsg.MemberLeaving {
		return
	}
	c.self.State = swmsg.MemberLeaving
	c.news.put(c.selfRumor())
	c.touch()
}
