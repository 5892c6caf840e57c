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

// viewHash returns a hash of the members that are not dead. Two hosts that have recorded
// the same states of the same members compute the same hash.
func (c *Core) viewHash() uint64 {
	if c.viewHashValid {
		return c.cachedViewHash
	}
	c.cachedViewHash = stateHash(c.selfUpdate())
	for _, e := range c.hosts {
		if e.member.State != swmsg.MemberDead {
			c.cachedViewHash ^= stateHash(updateOf(e))
		}
	}
	c.viewHashValid = true
	return c.cachedViewHash
}

// stateHash returns a hash of the host, incarnation, state and round of an update.
func stateHash(u swmsg.MemberUpdate) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(u.Incarnation))
	b = binary.LittleEndian.AppendUint32(b, u.Round)
	b = append(b, byte(u.State))
	return xxhash.Sum64(append(b, u.Host...))
}

// mustSync reports whether this host must send its full view to another host. It must if the other
// host's process is new, or if the two views have differed for syncDelay while this host had no
// updates to send; in the second case at most once every syncInterval.
func (c *Core) mustSync(now swclock.Millis, e *entry, newProcess bool, view uint64) bool {
	if newProcess {
		return true
	}
	if view == c.viewHash() || !c.updates.empty() {
		e.viewDiffers = false
		return false
	}
	if !e.viewDiffers {
		e.viewDiffers, e.viewDiffersSince = true, now
	}
	return now-e.viewDiffersSince >= syncDelay && (!e.synced || now-e.syncedAt >= syncInterval)
}

// sync sends a host the full view of this one, which includes this host itself.
func (c *Core) sync(now swclock.Millis, e *entry) {
	updates := []swmsg.MemberUpdate{c.selfUpdate()}
	for _, other := range c.hosts {
		updates = append(updates, updateOf(other))
	}
	slices.SortFunc(updates, func(a, b swmsg.MemberUpdate) int { return strings.Compare(string(a.Host), string(b.Host)) })
	for part := range slices.Chunk(updates, swcodec.MaxMemberUpdates) {
		heartbeat := swmsg.Heartbeat{ConfigVersion: c.configVersion(), Updates: part, Reply: true, View: c.viewHash()}
		c.outgoing = append(c.outgoing, OutgoingHeartbeat{To: e.member.Host, Heartbeat: heartbeat})
	}
	e.viewDiffers, e.synced, e.syncedAt = false, true, now
}
