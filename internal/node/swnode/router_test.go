package swnode

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// fakeLinks implements Links. Tests set which hosts are connected.
type fakeLinks struct {
	connected map[swid.HostID]bool
	heardAt   map[swid.HostID]swclock.Millis
	dials     int
}

func (l *fakeLinks) Connected(host swid.HostID) bool { return l.connected[host] }
func (l *fakeLinks) Dial(swid.HostID)                { l.dials++ }
func (l *fakeLinks) HeardAt(host swid.HostID) (swclock.Millis, bool) {
	return l.heardAt[host], l.connected[host]
}

// cellOwnedByOther returns a cell that another host owns.
func cellOwnedByOther(r *HostRouter) swid.CellID {
	for n := 0; ; n++ {
		cell := swid.NewCellID(swid.ServiceID(fmt.Sprint("service-", n)), "r")
		if owner, _ := r.Owner(cell); owner != r.self {
			return cell
		}
	}
}

// TestPassedOver checks that an unavailable owner is skipped, and that the same host
// becomes the owner again once it is available.
func TestPassedOver(t *testing.T) {
	tests := []struct {
		name string
		// fail makes the owner unavailable, restore makes it available again.
		fail, restore func(r *HostRouter, l *fakeLinks, clock *swclock.Manual, owner swid.HostID)
	}{
		{
			"cannot be dialled, until there is a link",
			func(r *HostRouter, _ *fakeLinks, _ *swclock.Manual, owner swid.HostID) { r.MarkUnreachable(owner) },
			func(_ *HostRouter, l *fakeLinks, _ *swclock.Manual, owner swid.HostID) { l.connected[owner] = true },
		},
		{
			"silent, for a while",
			func(r *HostRouter, _ *fakeLinks, _ *swclock.Manual, owner swid.HostID) { r.MarkUnresponsive(owner) },
			func(_ *HostRouter, _ *fakeLinks, clock *swclock.Manual, _ swid.HostID) {
				clock.Advance(unresponsivePeriod)
			},
		},
		{
			"leaving, until a later process runs",
			func(r *HostRouter, _ *fakeLinks, _ *swclock.Manual, owner swid.HostID) { r.SetLeaving(owner, true) },
			func(r *HostRouter, _ *fakeLinks, _ *swclock.Manual, owner swid.HostID) { r.SetLeaving(owner, false) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock, l := &swclock.Manual{}, &fakeLinks{connected: make(map[swid.HostID]bool)}
			r := NewRouter("self", "r", l, clock, zerolog.Nop())
			var members []swmember.Member
			for _, host := range []swid.HostID{"self", "a", "b"} {
				members = append(members, swmember.Member{Host: host, Region: "r", State: swmsg.MemberAlive})
			}
			r.SetMembers(members)
			cell := cellOwnedByOther(r)
			first, noRedirect := r.Owner(cell)
			if noRedirect {
				t.Error("noRedirect is set for the best-ranked host")
			}
			tt.fail(r, l, clock, first)
			second, noRedirect := r.Owner(cell)
			if second == first || !noRedirect {
				t.Errorf("owner %s after %s, noRedirect %v", second, first, noRedirect)
			}
			tt.restore(r, l, clock, first)
			if again, noRedirect := r.Owner(cell); again != first || noRedirect {
				t.Errorf("owner %s, noRedirect %v, want %s again", again, noRedirect, first)
			}
		})
	}
}

// TestRedial checks that an unreachable host is dialled at most once in each
// redialInterval rather than for each request, and that this host is the owner while
// no other host is available.
func TestRedial(t *testing.T) {
	clock, l := &swclock.Manual{}, &fakeLinks{connected: make(map[swid.HostID]bool)}
	r := NewRouter("self", "r", l, clock, zerolog.Nop())
	r.SetMembers([]swmember.Member{{Host: "a", Region: "r", State: swmsg.MemberAlive}})
	cell := cellOwnedByOther(r)
	r.MarkUnreachable("a")
	for range 41 {
		if owner, _ := r.Owner(cell); owner != "self" {
			t.Fatalf("owner %s, want self", owner)
		}
		clock.Advance(redialInterval / 10)
	}
	if l.dials != 4 {
		t.Errorf("dialled %d times, want 4", l.dials)
	}
}

// TestEpochs checks that a takeover raises the epoch above all epochs received for the cell.
func TestEpochs(t *testing.T) {
	r := NewRouter("self", "r", &fakeLinks{}, &swclock.Manual{}, zerolog.Nop())
	r.ObserveEpoch("c", 5)
	r.ObserveEpoch("c", 3)
	if e := r.NextEpoch("c"); e != 6 {
		t.Errorf("epoch %d, want 6", e)
	}
	if e := r.NextEpoch("other"); e != 1 {
		t.Errorf("epoch %d of another cell, want 1", e)
	}
}
