package swlimit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// TestDeal checks that owners which schedule for different hosts together grant each slot of a target once.
func TestDeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "hosts")
		hosts := make([]swid.HostID, count)
		ownerOf := make(map[swid.HostID]int)
		for i := range hosts {
			hosts[i] = swid.HostID(fmt.Sprint("host-", i))
			ownerOf[hosts[i]] = rapid.IntRange(0, 3).Draw(t, "owner")
		}
		reversed := make([]swid.HostID, count)
		for i, h := range hosts {
			reversed[count-1-i] = h
		}
		deals := []*Deal{NewDeal(hosts), NewDeal(reversed)}
		slots := rapid.IntRange(0, 100).Draw(t, "slots")
		for i := range 5 {
			target := swid.TargetID(fmt.Sprint("target-", i))
			sum := 0
			for owner := range 4 {
				sum += deals[owner%2].Slots(target, slots, func(h swid.HostID) bool { return ownerOf[h] == owner })
			}
			if sum != slots {
				t.Fatalf("the owners grant %d requests to a target with %d slots", sum, slots)
			}
		}
	})
}

// TestDealIsEven checks that half of the hosts have about half of the slots of all targets.
func TestDealIsEven(t *testing.T) {
	const targets, slots = 60, 7
	for _, count := range []int{15, 137, 300} {
		hosts := make([]swid.HostID, count)
		half := make(map[swid.HostID]bool)
		for i := range hosts {
			hosts[i] = swid.HostID(fmt.Sprint("host-", i))
			half[hosts[i]] = i < count/2
		}
		d := NewDeal(hosts)
		sum := 0
		for i := range targets {
			sum += d.Slots(swid.TargetID(fmt.Sprint("target-", i)), slots, func(h swid.HostID) bool { return half[h] })
		}
		if share := float64(sum) / (targets * slots); share < 0.35 || share > 0.65 {
			t.Errorf("%d hosts: half of them have %.2f of the slots", count, share)
		}
	}
}

// TestDealOfManySlots guards against work that grows with the slots that a target says it has.
func TestDealOfManySlots(t *testing.T) {
	const slots = 1 << 24
	hosts := []swid.HostID{"a", "b", "c"}
	looks := 0
	got := NewDeal(hosts).Slots("t", slots, func(h swid.HostID) bool {
		looks++
		return h != "b"
	})
	if looks > len(hosts) || got < slots/3*2 || got > slots/3*2+2 {
		t.Errorf("%d slots after %d looks at %d hosts, want two thirds of %d", got, looks, len(hosts), slots)
	}
}
