package swlimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Deal divides the slots of targets among hosts, so that several owners, each of which schedules for some of the hosts,
// together grant a target no more than it has. Owners with the same list of hosts divide alike.
type Deal struct {
	// hosts is ordered by a hash, so that hosts of the same zone do not follow each other.
	hosts []swid.HostID
}

// NewDeal returns a division among hosts.
func NewDeal(hosts []swid.HostID) *Deal {
	d := &Deal{hosts: slices.Clone(hosts)}
	slices.SortFunc(d.hosts, func(a, b swid.HostID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	return d
}

// Slots returns how many of a target's slots are those of the hosts for which member is true.
func (d *Deal) Slots(target swid.TargetID, slots int, member func(swid.HostID) bool) int {
	if len(d.hosts) == 0 {
		return slots
	}
	n := len(d.hosts)
	first := int(xxhash.Sum64String(string(target)) % uint64(n))
	// Each host has one slot of each full round, and some have one of the rest.
	rounds, rest := max(slots, 0)/n, max(slots, 0)%n
	dealt := 0
	for i := range n {
		if i >= rest && rounds == 0 {
			break
		}
		if !member(d.hosts[(first+i)%n]) {
			continue
		}
		dealt += rounds
		if i < rest {
			dealt++
		}
	}
	return dealt
}
