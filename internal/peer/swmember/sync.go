package swmember

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// viewHash returns a hash of the members that are not dead. Two hosts that hold
// the same members have the same hash.
func (c *Core) viewHash() uint64 {
	if c.viewed {
		return c.view
	}
	c.view = rumorHash(c.selfRumor())
	for _, e := range c.hosts {
		if e.member.State != swmsg.MemberDead {
			c.view ^= rumorHash(rumorOf(e))
		}
	}
	c.viewed = true
	return c.view
}

// rumorHash hashes what a rumor says of a host's state.
func rumorHash(r swmsg.Rumor) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(r.Incarnation))
	b = binary.LittleEndian.AppendUint32(b, r.Round)
	b = append(b, byte(r.State))
	return xxhash.Sum64(append(b, r.Host...))
}

// mustSync reports whether a host must be sent all that this one holds: because
// it is new, or because the two have differed for long while no rumor was on its way.
func (c *Core) mustSync(now swclock.Millis, e *entry, fresh bool, view uint64) bool {
	if fresh {
		return true
	}
	if view == c.viewHash() || !c.news.empty() {
		e.differs = false
		return false
	}
	if !e.differs {
		e.differs, e.differsAt = true, now
	}
	return now-e.differsAt >= syncDelay && (!e.synced || now-e.syncAt >= syncInterval)
}

// sync sends a host all that this one holds, itself included.
func (c *Core) sync(now swclock.Millis, e *entry) {
	rumors := []swmsg.Rumor{c.selfRumor()}
	for _, other := range c.hosts {
		rumors = append(rumors, rumorOf(other))
	}
	slices.SortFunc(rumors, func(a, b swmsg.Rumor) int { return strings.Compare(string(a.Host), string(b.Host)) })
	for part := range slices.Chunk(rumors, swcodec.MaxRumors) {
		beat := swmsg.Heartbeat{ConfigVersion: c.config(), Rumors: part, Reply: true, View: c.viewHash()}
		c.out = append(c.out, Beat{To: e.member.Host, Heartbeat: beat})
	}
	e.differs, e.synced, e.syncAt = false, true, now
}
