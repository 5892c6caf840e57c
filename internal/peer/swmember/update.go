package swmember

import (
	"cmp"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// updateOf returns the membership update that reports an entry. Only an update about an
// alive host carries its address, zone and region.
func updateOf(e *entry) swmsg.MemberUpdate {
	u := swmsg.MemberUpdate{Host: e.member.Host, Incarnation: e.member.Incarnation, State: e.member.State, Round: e.round}
	if u.State == swmsg.MemberAlive {
		u.Address, u.Zone, u.Region = e.member.Address, e.member.Zone, e.member.Region
	}
	return u
}

// selfUpdate returns the membership update that reports this host itself.
func (c *Core) selfUpdate() swmsg.MemberUpdate {
	return swmsg.MemberUpdate{
		Host: c.self.Host, Incarnation: c.self.Incarnation, State: c.self.State, Round: c.round,
		Address: c.self.Address, Zone: c.self.Zone, Region: c.self.Region,
	}
}

// applyUpdate applies one membership update, and queues it for sending if it supersedes the
// host's entry. It ignores the death of a host that has no entry, and refutes wrong updates
// about this host.
func (c *Core) applyUpdate(now swclock.Millis, u swmsg.MemberUpdate) {
	if u.Host == c.self.Host {
		c.refute(u)
		return
	}
	e, known := c.hosts[u.Host]
	if !known {
		if u.State == swmsg.MemberDead {
			return
		}
		e = c.add(now, Member{Host: u.Host})
	} else if !supersedes(u, e) {
		c.fillLocation(e, u)
		return
	}
	if u.Incarnation != e.member.Incarnation {
		e.failures, e.suspicions, e.suspectAfter = 0, 0, 0
	}
	c.setLocation(e, u.Address, u.Zone, u.Region)
	e.member.Incarnation, e.member.State, e.round, e.stateSince = u.Incarnation, u.State, u.Round, now
	if u.State == swmsg.MemberAlive {
		e.failures = 0
	}
	c.updates.put(u)
	c.markChanged()
}

// fillLocation sets the location of a host that was recorded without an address, from an
// update about the same incarnation.
func (c *Core) fillLocation(e *entry, u swmsg.MemberUpdate) {
	if e.member.Address != "" || u.Address == "" || u.Incarnation != e.member.Incarnation {
		return
	}
	c.setLocation(e, u.Address, u.Zone, u.Region)
	c.updates.put(updateOf(e))
}

// supersedes reports whether an update is newer than the entry of its host: by incarnation,
// then by round, then by state.
func supersedes(u swmsg.MemberUpdate, e *entry) bool {
	return cmp.Or(
		cmp.Compare(u.Incarnation, e.member.Incarnation),
		cmp.Compare(u.Round, e.round),
		cmp.Compare(u.State, e.member.State),
	) > 0
}

// refute queues an update about this host that supersedes an update u which reports it as suspect
// or dead. If u is about this process's incarnation, the host's round is raised above that of u;
// if u is about an earlier one, the higher incarnation supersedes it.
func (c *Core) refute(u swmsg.MemberUpdate) {
	wrong := u.State == swmsg.MemberSuspect || u.State == swmsg.MemberDead
	if u.Incarnation > c.self.Incarnation || !wrong || u.Incarnation == c.self.Incarnation && u.Round < c.round {
		return
	}
	if u.Incarnation == c.self.Incarnation {
		c.round = u.Round + 1
		c.viewHashValid = false
	}
	c.updates.put(c.selfUpdate())
}

// updateQueue holds the membership updates that are still to be sent, at most one for each host.
type updateQueue struct{ items map[swid.HostID]*queuedUpdate }

// queuedUpdate is an update and the number of times it was sent.
type queuedUpdate struct {
	update swmsg.MemberUpdate
	sent   int
}

func newUpdateQueue() updateQueue { return updateQueue{items: make(map[swid.HostID]*queuedUpdate)} }

// put adds an update, which replaces an earlier one about the same host.
func (q updateQueue) put(u swmsg.MemberUpdate) { q.items[u.Host] = &queuedUpdate{update: u} }

// empty reports whether there is no update to send.
func (q updateQueue) empty() bool { return len(q.items) == 0 }

// take returns at most limit updates, those that were sent least often first, and counts
// them as sent. It removes an update after maxUpdateSends.
func (q updateQueue) take(limit int) []swmsg.MemberUpdate {
	items := make([]*queuedUpdate, 0, len(q.items))
	for _, i := range q.items {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.update.Host, b.update.Host))
	})
	var updates []swmsg.MemberUpdate
	for _, i := range items[:min(limit, len(items))] {
		updates = append(updates, i.update)
		i.sent++
		if i.sent >= maxUpdateSends {
			delete(q.items, i.update.Host)
		}
	}
	return updates
}
