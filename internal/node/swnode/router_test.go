package swnode

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// fakeLinks implements Links. Tests set what is observed of each host.
type fakeLinks struct {
	liveness map[swid.HostID]swlink.Liveness
	dials    int
	probes   int
}

func (l *fakeLinks) Connected(host swid.HostID) bool           { return l.liveness[host].Linked }
func (l *fakeLinks) Dial(swid.HostID)                          { l.dials++ }
func (l *fakeLinks) Probe(swid.HostID)                         { l.probes++ }
func (l *fakeLinks) Liveness(host swid.HostID) swlink.Liveness { return l.liveness[host] }

// setLinked sets whether there is a link to a host, on which something has just been received.
func (l *fakeLinks) setLinked(host swid.HostID, now swclock.Millis) {
	l.liveness[host] = swlink.Liveness{Linked: true, HeardAt: now}
}

// fallSilent makes a host leave a probe unanswered for silenceLimit.
func fallSilent(r *HostRouter, l *fakeLinks, clock *swclock.Manual, host swid.HostID) {
	l.liveness[host] = swlink.Liveness{Linked: true, Probed: true}
	clock.Advance(silenceLimit)
	r.Doubt(host)
}

// newTestRouter returns the router of host self with the members self, a and b, a cell that another
// host owns, and that owner.
func newTestRouter(t *testing.T) (*HostRouter, *fakeLinks, *swclock.Manual, swid.CellID, swid.HostID) {
	t.Helper()
	clock, l := &swclock.Manual{}, &fakeLinks{liveness: make(map[swid.HostID]swlink.Liveness)}
	r := NewRouter("self", "r", l, clock, zerolog.Nop())
	var members []swmember.Member
	for _, host := range []swid.HostID{"self", "a", "b"} {
		members = append(members, swmember.Member{Host: host, Region: "r", State: swmsg.MemberAlive})
	}
	r.SetMembers(members)
	cell := cellOwnedByOther(r)
	owner, noRedirect := r.Owner(cell)
	if noRedirect {
		t.Error("noRedirect is set for the best-ranked host")
	}
	return r, l, clock, cell, owner
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
		// noRedirect is set if the next host must not redirect to the owner.
		noRedirect bool
	}{
		{
			"cannot be dialled, until there is a link",
			func(r *HostRouter, _ *fakeLinks, _ *swclock.Manual, owner swid.HostID) { r.MarkUnreachable(owner) },
			func(_ *HostRouter, l *fakeLinks, clock *swclock.Manual, owner swid.HostID) {
				l.setLinked(owner, clock.Now())
			},
			true,
		},
		{
			"silent, until something is received",
			fallSilent,
			func(_ *HostRouter, l *fakeLinks, clock *swclock.Manual, owner swid.HostID) {
				l.setLinked(owner, clock.Advance(1))
			},
			false,
		},
		{
			"silent, until another host hears from it",
			fallSilent,
			func(r *HostRouter, _ *fakeLinks, _ *swclock.Manual, owner swid.HostID) { r.Vouch(owner) },
			false,
		},
		{
			"leaving, until a later process runs",
			func(r *HostRouter, _ *fakeLinks, _ *swclock.Manual, owner swid.HostID) { r.SetLeaving(owner, true) },
			func(r *HostRouter, _ *fakeLinks, _ *swclock.Manual, owner swid.HostID) { r.SetLeaving(owner, false) },
			true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, l, clock, cell, first := newTestRouter(t)
			tt.fail(r, l, clock, first)
			second, noRedirect := r.Owner(cell)
			if second == first || noRedirect != tt.noRedirect {
				t.Errorf("owner %s after %s, noRedirect %v, want %v", second, first, noRedirect, tt.noRedirect)
			}
			tt.restore(r, l, clock, first)
			if again, noRedirect := r.Owner(cell); again != first || noRedirect {
				t.Errorf("owner %s, noRedirect %v, want %s again", again, noRedirect, first)
			}
		})
	}
}

// TestBusyOwnerIsKept guards against leaving an owner because its acknowledgements are late.
func TestBusyOwnerIsKept(t *testing.T) {
	r, l, clock, cell, owner := newTestRouter(t)
	l.setLinked(owner, clock.Now())
	r.Doubt(owner)
	if l.probes != 1 {
		t.Errorf("%d probes of an owner whose acknowledgement is late, want 1", l.probes)
	}
	l.liveness[owner] = swlink.Liveness{Linked: true, Probed: true}
	for range 20 {
		now := clock.Advance(silenceLimit - 1)
		r.Doubt(owner)
		if got, _ := r.Owner(cell); got != owner {
			t.Fatalf("owner %s, although something was received from %s within the limit", got, owner)
		}
		l.liveness[owner] = swlink.Liveness{Linked: true, Probed: true, HeardAt: now}
	}
}

// TestRedial checks that an unreachable host is dialled at most once in each
// redialInterval rather than for each request, and that this host is the owner while
// no other host is available.
func TestRedial(t *testing.T) {
	clock, l := &swclock.Manual{}, &fakeLinks{}
	r := NewRouter("self", "r", l, clock, zerolog.Nop())
	r.SetMembers([]swmember.Member{{Host: "a", Region: "r", State: swmsg.MemberAlive}})
	cell := cellOwnedByOther(r)
	r.MarkUnreachable("a")
	const step = 50 * swclock.Millis(1)
	for now := swclock.Millis(0); now <= 8*swclock.Second; now += step {
		if owner, _ := r.Owner(cell); owner != "self" {
			t.Fatalf("owner %s, want self", owner)
		}
		clock.Advance(step)
	}
	// At 0.25, 0.5, 1, 2, 4, 6 and 8 s.
	if l.dials != 7 {
		t.Errorf("dialled %d times, want 7", l.dials)
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
