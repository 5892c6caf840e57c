package swmember

import (
	"cmp"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// rumorOf returns what this host tells of an entry. Only a rumor that lets a
// host be reached carries its place.
func rumorOf(e *entry) swmsg.Rumor {
	r := swmsg.Rumor{Host: e.member.Host, Incarnation: e.member.Incarnation, State: e.member.State, Round: e.round}
	if r.State == swmsg.MemberAlive {
		r.Address, r.Zone, r.Region = e.member.Address, e.member.Zone, e.member.Region
	}
	return r
}

// selfRumor returns what this host tells of itself.
func (c *Core) selfRumor() swmsg.Rumor {
	return swmsg.Rumor{
		Host: c.self.Host, Incarnation: c.self.Incarnation, State: c.self.State, Round: c.round,
		Address: c.self.Address, Zone: c.self.Zone, Region: c.self.Region,
	}
}

// rumor takes one rumor and passes it on if it is news.
func (c *Core) rumor(now swclock.Millis, r swmsg.Rumor) {
	if r.Host == c.self.Host {
		c.refute(r)
		return
	}
	e, known := c.hosts[r.Host]
	if !known {
		if r.State == swmsg.MemberDead {
			return
		}
		e = c.add(now, Member{Host: r.Host})
	} else if !supersedes(r, e) {
		c.fillPlace(e, r)
		return
	}
	if r.Incarnation != e.member.Incarnation {
		e.misses, e.doubts, e.doubtAt = 0, 0, 0
	}
	c.place(e, r.Address, r.Zone, r.Region)
	e.member.Incarnation, e.member.State, e.round, e.since = r.Incarnation, r.State, r.Round, now
	if r.State == swmsg.MemberAlive {
		e.misses = 0
	}
	c.news.put(r)
	c.touch()
}

// fillPlace takes the place of a host that was heard of without one.
func (c *Core) fillPlace(e *entry, r swmsg.Rumor) {
	if e.member.Address != "" || r.Address == "" || r.Incarnation != e.member.Incarnation {
		return
	}
	c.place(e, r.Address, r.Zone, r.Region)
	c.news.put(rumorOf(e))
}

// supersedes orders what is told of one host: by incarnation, then by round, then by state.
func supersedes(r swmsg.Rumor, e *entry) bool {
	return cmp.Or(
		cmp.Compare(r.Incarnation, e.member.Incarnation),
		cmp.Compare(r.Round, e.round),
		cmp.Compare(r.State, e.member.State),
	) > 0
}

// refute answers a rumor that this host is suspect or dead by a higher round.
func (c *Core) refute(r swmsg.Rumor) {
	wrong := r.State == swmsg.MemberSuspect || r.State == swmsg.MemberDead
	if r.Incarnation > c.self.Incarnation || !wrong || r.Incarnation == c.self.Incarnation && r.Round < c.round {
		return
	}
	if r.Incarnation == c.self.Incarnation {
		c.round = r.Round + 1
		c.viewed = false
	}
	c.news.put(c.selfRumor())
}

// news holds at most one rumor of each host that is still to be passed on.
type news struct{ items map[swid.HostID]*newsItem }

// newsItem is a rumor and how often it was sent.
type newsItem struct {
	rumor swmsg.Rumor
	sent  int
}

func newNews() news { return news{items: make(map[swid.HostID]*newsItem)} }

// put adds a rumor in place of an earlier one of the same host.
func (n news) put(r swmsg.Rumor) { n.items[r.Host] = &newsItem{rumor: r} }

// empty reports whether there is nothing to pass on.
func (n news) empty() bool { return len(n.items) == 0 }

// take returns rumors to send, those that were sent least first, and counts them as sent.
func (n news) take(most int) []swmsg.Rumor {
	items := make([]*newsItem, 0, len(n.items))
	for _, i := range n.items {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *newsItem) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.rumor.Host, b.rumor.Host))
	})
	var rumors []swmsg.Rumor
	for _, i := range items[:min(most, len(items))] {
		rumors = append(rumors, i.rumor)
		i.sent++
		if i.sent >= rumorSends {
			delete(n.items, i.rumor.Host)
		}
	}
	return rumors
}
