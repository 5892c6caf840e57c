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
// platform: the first count of its live members in rendezvous hash order. Hosts
// with the same list of members choose the same relays; while their lists differ,
// a zone temporarily has a few more relays.
func chooseRelays(members []swmember.Member, zone swid.ZoneID, count int) []swid.HostID {
	var relays []swid.HostID
	for _, m := range members {
		if m.Zone == zone && m.State == swmsg.MemberAlive {
			relays = append(relays, m.Host)
		}
	}
	sortByHash(relays, string(zone))
	return relays[:min(count, len(relays))]
}

// sortByHash sorts hosts by their rendezvous hash with a salt, and by id where hashes are equal.
func sortByHash(hosts []swid.HostID, salt string) {
	slices.SortFunc(hosts, func(a, b swid.HostID) int {
		if c := cmp.Compare(rendezvousHash(a, salt), rendezvousHash(b, salt)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}

func rendezvousHash(host swid.HostID, salt string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + string(host))
}
