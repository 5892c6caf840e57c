package swrelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// chooseRelays returns the hosts of an availability zone that watch the
// platform: the first few of its live members by rendezvous hash. Hosts that
// hold the same members choose the same relays; where they do not, a zone
// has a few relays more for a while.
func chooseRelays(members []swmember.Member, zone swid.ZoneID, count int) []swid.HostID {
	var relays []swid.HostID
	for _, m := range members {
		if m.Zone == zone && m.State == swmsg.MemberAlive {
			relays = append(relays, m.Host)
		}
	}
	rank(relays, string(zone))
	return relays[:min(count, len(relays))]
}

// rank sorts hosts by their hash together with a salt.
func rank(hosts []swid.HostID, salt string) {
	slices.SortFunc(hosts, func(a, b swid.HostID) int {
		if c := cmp.Compare(rendezvous(a, salt), rendezvous(b, salt)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}

func rendezvous(host swid.HostID, salt string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + string(host))
}
