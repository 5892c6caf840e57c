package swnode

import (
	"fmt"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// links is a Links by hand.
type links struct {
	connected map[swid.HostID]bool
	dials     int
}

func (l *links) Connected(host swid.HostID) bool { return l.connected[host] }
func (l *links) Dial(swid.HostID)                { l.dials++ }

// cellOfOther returns a cell for which another host than this one ranks first.
func cellOfOther(r *HostRouter) swid.CellID {
	for n := 0; ; n++ {
		cell := swid.NewCellID(swid.ServiceID(fmt.Sprint("service-", n)), "r")
		if owner, _ := r.Owner(cell); owner != r.self {
			return cell
		}
	}
}

// TestPassedOver passes hosts over that cannot be asked, and comes back to them.
func TestPassedOver(t *testing.T) {
	tests := []struct {
		name string
		// lose makes the owner one that cannot be asked, regain undoes it.
		lose, regain func(r *HostRouter, l *links, clock *swclock.Manual, owner swid.HostID)
	}{
		{
			"cannot be dialled, until there is a link",
			func(r *HostRouter, _ *links, _ *swclock.Manual, owner swid.HostID) { r.Unreachable(owner) },
			func(_ *HostRouter, l *links, _ *swclock.Manual, owner swid.HostID) { l.connected[owner] = true },
		},
		{
			"silent, for a while",
			func(r *HostRouter, _ *links, _ *swclock.Manual, owner swid.HostID) { r.Silent(owner) },
			func(_ *HostRouter, _ *links, clock *swclock.Manual, _ swid.HostID) { clock.Advance(silentTime) },
		},
		{
			"leaving, until a later process runs",
			func(r *HostRouter, _ *links, _ *swclock.Manual, owner swid.HostID) { r.SetLeaving(owner, true) },
			func(r *HostRouter, _ *links, _ *swclock.Manual, owner swid.HostID) { r.SetLeaving(owner, false) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock, l := &swclock.Manual{}, &links{connected: make(map[swid.HostID]bool)}
			r := NewRouter("self", "r", l, clock)
			var members []swmember.Member
			for _, host := range []swid.HostID{"self", "a", "b"} {
				members = append(members, swmember.Member{Host: host, Region: "r", State: swmsg.MemberAlive})
			}
			r.SetMembers(members)
			cell := cellOfOther(r)
			first, insist := r.Owner(cell)
			if insist {
				t.Error("insists on the best-ranked host")
			}
			tt.lose(r, l, clock, first)
			second, insist := r.Owner(cell)
			if second == first || !insist {
				t.Errorf("asks %s after %s, insists %v", second, first, insist)
			}
			tt.regain(r, l, clock, first)
			if again, insist := r.Owner(cell); again != first || insist {
				t.Errorf("asks %s, insists %v, want %s again", again, insist, first)
			}
		})
	}
}

// TestRedial dials a host that is passed over, but not for each request, and asks
// itself if no other is left.
func TestRedial(t *testing.T) {
	clock, l := &swclock.Manual{}, &links{connected: make(map[swid.HostID]bool)}
	r := NewRouter("self", "r", l, clock)
	r.SetMembers([]swmember.Member{{Host: "a", Region: "r", State: swmsg.MemberAlive}})
	cell := cellOfOther(r)
	r.Unreachable("a")
	for range 41 {
		if owner, _ := r.Owner(cell); owner != "self" {
			t.Fatalf("asks %s", owner)
		}
		clock.Advance(redialInterval / 10)
	}
	if l.dials != 4 {
		t.Errorf("dialled %d times, want 4", l.dials)
	}
}

// TestEpochs raises the epoch with each takeover, above all that were heard.
func TestEpochs(t *testing.T) {
	r := NewRouter("self", "r", &links{}, &swclock.Manual{})
	r.Heard("c", 5)
	r.Heard("c", 3)
	if e := r.Takeover("c"); e != 6 {
		t.Errorf("epoch %d, want 6", e)
	}
	if e := r.Takeover("other"); e != 1 {
		t.Errorf("epoch %d of another cell, want 1", e)
	}
}
