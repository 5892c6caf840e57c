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
	// heartbeatInterval is the time between two heartbeats to a monitored host.
	heartbeatInterval = swclock.Second
	// suspectTimeout is how long a suspected host has to refute the suspicion before it is declared dead.
	suspectTimeout = 8 * swclock.Second
	// failuresToSuspect is the number of consecutive failures after which a monitored host is suspected.
	failuresToSuspect = 2
	// confirmTime is the time after which a sent heartbeat counts as delivered if its link has not failed.
	confirmTime = 1500 * swclock.Millis(1)
	// reconnectInterval is the time between two heartbeats to dead hosts.
	reconnectInterval = 5 * swclock.Second
	// suspectBackoff is the wait before this host may again suspect a host that refuted a suspicion
	// through other hosts. It doubles with each further suspicion, up to maxSuspectBackoff. A
	// heartbeat received from the suspected host itself ends the wait.
	suspectBackoff    = 10 * swclock.Second
	maxSuspectBackoff = 10 * swclock.Minute
	// A host's view is the set of members and states that it has recorded. syncDelay is how long
	// the views of two hosts may differ before one of them sends its full view to the other.
	// syncInterval is the minimum time between two such full views from one host to another.
	syncDelay    = 10 * swclock.Second
	syncInterval = swclock.Minute
	// forgetTime is how long a dead host that the platform does not list is kept.
	forgetTime = 3 * swclock.Hour
	// maxUpdateSends bounds how often one host sends the same membership update.
	maxUpdateSends = 8
	// maxHeartbeatUpdates bounds the queued updates that one heartbeat carries.
	maxHeartbeatUpdates = 16
)

// entry is what this host has recorded about another host.
type entry struct {
	member Member
	// round orders the updates about one incarnation; see swmsg.MemberUpdate.
	round uint32
	// listed is set if the platform's last list contains the host, listedLeaving if it lists the host as leaving.
	listed        bool
	listedLeaving bool
	// stateSince is when the host entered its state.
	stateSince swclock.Millis
	// failures counts the link failures since the host was last shown to be alive: by a heartbeat
	// that it sent, by one to it that counts as delivered, or by an update that reports it as alive
	// or names a new incarnation.
	failures    int
	heartbeatAt swclock.Millis
	// heartbeatSent is set once a heartbeat was sent; the last one was sent at heartbeatAt.
	heartbeatSent bool
	// suspicions counts the suspicions that this host has raised since it last received a
	// heartbeat from the other host. It raises no further one before suspectAfter.
	suspicions   int
	suspectAfter swclock.Millis
	// viewDiffers is set while the host's view differs from this one's; viewDiffersSince is when that began.
	viewDiffers      bool
	viewDiffersSince swclock.Millis
	// synced is set once a full view was sent to the host; the last one was sent at syncedAt.
	synced   bool
	syncedAt swclock.Millis
}

// Core implements the membership protocol as a deterministic state machine without
// input or output: it is driven by events, and Members sends the heartbeats it returns.
type Core struct {
	self  Member
	round uint32
	// started is set by the first step, which queues an update that announces this host.
	started bool
	hosts   map[swid.HostID]*entry
	// updates holds the membership updates to send.
	updates updateQueue
	// monitored is recomputed when the members change.
	monitored      []swid.HostID
	monitoredStale bool
	// cachedViewHash is the last result of viewHash; viewHashValid is set while it is up to date.
	cachedViewHash  uint64
	viewHashValid   bool
	changed         bool
	heartbeatNumber uint64
	reconnectAt     swclock.Millis
	// lastReconnect is the dead host to which reconnect last sent a heartbeat.
	lastReconnect swid.HostID
	configVersion func() swid.ConfigVersion
	outgoing      []OutgoingHeartbeat
}

// NewCore returns the core of one host. The config function returns the configuration
// version that heartbeats carry.
func NewCore(self Member, config func() swid.ConfigVersion) *Core {
	self.State = swmsg.MemberAlive
	return &Core{self: self, hosts: make(map[swid.HostID]*entry), updates: newUpdateQueue(), configVersion: config, monitoredStale: true}
}

// Step processes one event and returns the heartbeats to send.
func (c *Core) Step(now swclock.Millis, e Event) Output {
	c.outgoing, c.changed = nil, false
	if !c.started {
		c.started = true
		c.updates.put(c.selfUpdate())
		c.changed = true
	}
	switch e := e.(type) {
	case HostsListed:
		c.applyHostList(now, e)
	case HeartbeatReceived:
		c.receiveHeartbeat(now, e)
	case LinkFailed:
		c.handleLinkFailure(now, e.Host)
	case Ticked:
		c.tick(now)
	case LeaveRequested:
		c.leave()
	}
	return Output{Heartbeats: c.outgoing, Changed: c.changed}
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

// markChanged records that the members changed.
func (c *Core) markChanged() { c.monitoredStale, c.changed, c.viewHashValid = true, true, false }

// applyHostList applies the platform's list of hosts: it adds hosts and their locations,
// and removes unlisted hosts that are known from an earlier list only. It declares no host dead.
func (c *Core) applyHostList(now swclock.Millis, l HostsListed) {
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
		c.setLocation(e, h.Address, h.Zone, h.Region)
		if leaving := h.State == swobject.HostLeaving; leaving != e.listedLeaving {
			e.listedLeaving = leaving
			c.markChanged()
		}
	}
	for host, e := range c.hosts {
		if !e.listed && e.member.Incarnation == 0 {
			delete(c.hosts, host)
			c.markChanged()
		}
	}
}

// add adds an entry for a member.
func (c *Core) add(now swclock.Millis, m Member) *entry {
	e := &entry{member: m, stateSince: now}
	c.hosts[m.Host] = e
	c.markChanged()
	return e
}

// setLocation updates a host's address, zone and region; an empty value changes nothing.
func (c *Core) setLocation(e *entry, address string, zone swid.ZoneID, region swid.RegionID) {
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
		c.markChanged()
	}
}

// receiveHeartbeat processes a heartbeat, which proves that its sender is alive, and
// applies the updates it carries. A heartbeat of an earlier incarnation is ignored.
func (c *Core) receiveHeartbeat(now swclock.Millis, h HeartbeatReceived) {
	e, known := c.hosts[h.From.Host]
	newProcess := !known || h.From.Incarnation > e.member.Incarnation
	switch {
	case h.From.Host == c.self.Host:
		return
	case !known:
		e = c.add(now, Member{Host: h.From.Host, Incarnation: h.From.Incarnation, State: swmsg.MemberAlive})
		c.updates.put(updateOf(e))
	case newProcess:
		c.startIncarnation(now, e, h.From.Incarnation)
	case h.From.Incarnation < e.member.Incarnation:
		return
	}
	e.failures, e.suspicions, e.suspectAfter = 0, 0, 0
	for _, u := range h.Heartbeat.Updates {
		c.applyUpdate(now, u)
	}
	if c.mustSync(now, e, newProcess, h.Heartbeat.View) {
		c.sync(now, e)
	} else if !h.Heartbeat.Reply {
		c.reply(e, h.Heartbeat)
	}
}

// startIncarnation records a host's next incarnation, which implies that the earlier one is dead.
func (c *Core) startIncarnation(now swclock.Millis, e *entry, next swid.Incarnation) {
	e.member.Incarnation, e.member.State = next, swmsg.MemberAlive
	e.round, e.stateSince, e.failures, e.suspicions, e.suspectAfter = 0, now, 0, 0, 0
	c.updates.put(updateOf(e))
	c.markChanged()
}

// reply answers a heartbeat if this host has queued updates, has recorded the sender as suspect
// or dead, or has a newer configuration version than the sender. Otherwise no reply is needed,
// because the link itself confirms delivery.
func (c *Core) reply(e *entry, h swmsg.Heartbeat) {
	updates := c.updates.take(maxHeartbeatUpdates)
	if e.member.State == swmsg.MemberSuspect || e.member.State == swmsg.MemberDead {
		updates = append(updates, updateOf(e))
	}
	version := c.configVersion()
	if len(updates) == 0 && version <= h.ConfigVersion {
		return
	}
	heartbeat := swmsg.Heartbeat{Number: h.Number, ConfigVersion: version, Updates: updates, Reply: true, View: c.viewHash()}
	c.outgoing = append(c.outgoing, OutgoingHeartbeat{To: e.member.Host, Heartbeat: heartbeat})
}

// leave announces that this host takes no new work.
func (c *Core) leave() {
	if c.self.State == swmsg.MemberLeaving {
		return
	}
	c.self.State = swmsg.MemberLeaving
	c.updates.put(c.selfUpdate())
	c.markChanged()
}
