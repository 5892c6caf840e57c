package swrolloutkeeper

import (
	"slices"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

// listSlots lists a target with the slots of each version, of which the first is the oldest.
func (s *stand) listSlots(versions []swid.SoftwareVersion, slots ...int) {
	var targets []swcatalog.Target
	for i, v := range versions {
		targets = append(targets, swcatalog.Target{ID: swid.TargetID(v), Service: "s", Version: v, Slots: slots[i], Born: int64(i + 1)})
	}
	s.keeper.SetTargets(targets)
}

// decided is the record of a decided order to v2.
func decided(state swrollout.State) swrollout.Record {
	return swrollout.Record{Order: "1", To: "v2", State: state, Moving: state == swrollout.StateCompleted, StartedAt: 1_700_000_000_000, Reserved: 40}
}

// served returns the versions at which a request may run now.
func (s *stand) served(versions ...swid.SoftwareVersion) []swid.SoftwareVersion {
	service := s.keeper.Service("s")
	standing := service.Standing(s.now)
	var served []swid.SoftwareVersion
	for _, v := range versions {
		if slices.Contains(standing.Withheld, v) || slices.Contains(standing.Barred, v) {
			continue
		}
		if standing.Ordered {
			if a := service.Versions(1, 100, s.now); v == standing.To && !a.New || v != standing.To && !a.Old {
				continue
			}
		}
		served = append(served, v)
	}
	return served
}

// TestDecidedOrderServes guards against orders that starve a service once they are decided.
func TestDecidedOrderServes(t *testing.T) {
	type names = []swid.SoftwareVersion
	tests := []struct {
		name  string
		state swrollout.State
		// listed is what is listed at the end, and before what was when the order was taken up.
		before, listed, want names
	}{
		{"completed", swrollout.StateCompleted, names{"v1", "v2"}, names{"v1", "v2"}, names{"v2"}},
		{"completed, a later version", swrollout.StateCompleted, names{"v1", "v2"}, names{"v2", "v3"}, names{"v2", "v3"}},
		{"completed, a later version before the old one has gone", swrollout.StateCompleted, names{"v1", "v2"}, names{"v1", "v2", "v3"}, names{"v2", "v3"}},
		{"completed, a later version alone", swrollout.StateCompleted, names{"v1", "v2"}, names{"v3"}, names{"v3"}},
		{"completed, the old version alone", swrollout.StateCompleted, names{"v1", "v2"}, names{"v1"}, names{"v1"}},
		{"completed, the old version again", swrollout.StateCompleted, names{"v2"}, names{"v1", "v2"}, names{"v1", "v2"}},
		{"rolled back", swrollout.StateRolledBack, names{"v1", "v2"}, names{"v1", "v2"}, names{"v1"}},
		{"rolled back, a later version", swrollout.StateRolledBack, names{"v1", "v2"}, names{"v2", "v3"}, names{"v3"}},
		{"rolled back, nothing else", swrollout.StateRolledBack, names{"v1", "v2"}, names{"v2"}, names{"v2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
			s.list(tt.before...)
			s.order("1", "v2")
			s.put("s", s.items["s"].Value.Order, decided(tt.state))
			s.refresh(t)
			s.now++
			s.list(tt.listed...)
			s.refresh(t)
			s.step(swclock.Second)
			if got := s.served(tt.listed...); !slices.Equal(got, tt.want) {
				t.Errorf("%v serve, want %v", got, tt.want)
			}
		})
	}
}

// TestCompletedBeforeTakeUp guards against a later version that is taken for an old one for good, as it was listed when a new owner read the order.
func TestCompletedBeforeTakeUp(t *testing.T) {
	s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
	s.list("v2", "v3")
	s.order("1", "v2")
	s.put("s", s.items["s"].Value.Order, decided(swrollout.StateCompleted))
	s.refresh(t)
	s.step(formerLifetime + swclock.Second)
	if got := s.served("v2", "v3"); len(got) != 2 {
		t.Errorf("only %v serve", got)
	}
}

// TestOrderForOnlyVersion guards against orders that put the only version in service on trial.
func TestOrderForOnlyVersion(t *testing.T) {
	s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
	s.list("v2")
	s.order("1", "v2")
	s.refresh(t)
	for range 300 {
		s.keeper.Service("s").Arrived(s.now)
		if len(s.served("v2")) == 0 {
			t.Fatal("a request may run nowhere")
		}
		s.keeper.Service("s").Granted("v2", s.now)
		s.now++
	}
	s.step(swclock.Second)
	if state := s.items["s"].Value.Record.State; state != swrollout.StateCompleted {
		t.Errorf("the record says %v", state)
	}
}

// TestLastOldTargetGone guards against a trial at the only version that is left, also past the deadline.
func TestLastOldTargetGone(t *testing.T) {
	s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
	s.list("v1", "v2")
	s.order("1", "v2")
	s.refresh(t)
	s.step(swclock.Second)
	s.list("v2")
	for range 7 {
		for range 100 {
			if len(s.served("v2")) == 0 {
				t.Fatalf("a request may run nowhere after %v ms", s.now)
			}
			s.keeper.Service("s").Granted("v2", s.now)
		}
		s.step(10 * swclock.Second)
		if state := s.items["s"].Value.Record.State; state == swrollout.StateCompleted {
			t.Fatal("completed though nothing was seen of the version")
		}
	}
	s.list("v1", "v2")
	if got := s.served("v1", "v2"); len(got) != 1 || got[0] != "v1" {
		t.Errorf("%v serve once the old version is back", got)
	}
}

// TestReleaseWithoutOrders guards against a release in which the versions that get nothing have most of the targets.
func TestReleaseWithoutOrders(t *testing.T) {
	type names = []swid.SoftwareVersion
	versions := names{"v1", "v2"}
	tests := []struct {
		name string
		// removed is set if the new version is the one of an order that was removed, which then is known.
		removed bool
		// slots are those of both versions, one listing after the other.
		slots [][]int
		want  names
	}{
		{"targets of a new version beside the others", false, [][]int{{20, 20}}, names{"v1"}},
		{"a few replaced", false, [][]int{{16, 4}}, names{"v1"}},
		{"most replaced", false, [][]int{{16, 4}, {8, 12}}, names{"v1", "v2"}},
		{"most replaced, one more again", false, [][]int{{8, 12}, {10, 12}}, names{"v1", "v2"}},
		{"more targets of the new version", false, [][]int{{20, 60}}, names{"v1"}},
		{"removed order", true, [][]int{{20, 20}}, names{"v1"}},
		{"removed order, most replaced", true, [][]int{{20, 20}, {8, 12}}, names{"v1", "v2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
			s.listSlots(versions[:1], 20)
			if tt.removed {
				s.listSlots(versions, 20, 20)
				s.order("1", "v2")
				s.refresh(t)
				delete(s.items, "s")
			}
			s.refresh(t)
			for _, slots := range tt.slots {
				s.now++
				s.listSlots(versions, slots...)
			}
			if got := s.served(versions...); !slices.Equal(got, tt.want) {
				t.Errorf("%v serve, want %v", got, tt.want)
			}
		})
	}
}

// TestSlotsOfLongAgo guards against versions that are taken for too small, long after the service was made smaller, when another appears.
func TestSlotsOfLongAgo(t *testing.T) {
	s := newStand("a", make(map[string]swwatch.Item[swcatalog.Rollout]))
	versions := []swid.SoftwareVersion{"v1", "v2", "v3"}
	s.listSlots(versions[:2], 20, 20)
	s.refresh(t)
	s.listSlots(versions[:2], 8, 8)
	if got := s.served(versions[:2]...); len(got) != 2 {
		t.Fatalf("only %v serve", got)
	}
	s.now++
	s.listSlots(versions, 8, 8, 8)
	if got := s.served(versions...); !slices.Equal(got, versions[:2]) {
		t.Errorf("%v serve, want %v", got, versions[:2])
	}
}
