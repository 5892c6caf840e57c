package swowner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

const cell = swid.CellID("s@r")

// outbox records what an owner sends.
type outbox chan sent

type sent struct {
	to      swid.HostID
	message swmsg.Message
}

// Send implements swlink.Sender.
func (o outbox) Send(to swid.HostID, m swmsg.Message) bool {
	o <- sent{to, m}
	return true
}

// Connected implements swlink.Sender.
func (o outbox) Connected(swid.HostID) bool { return true }

// next returns the next message of type T and skips others.
func next[T swmsg.Message](t *testing.T, o outbox) (m T, to swid.HostID) {
	t.Helper()
	for {
		select {
		case s := <-o:
			if m, ok := s.message.(T); ok {
				return m, s.to
			}
		case <-time.After(time.Minute):
			t.Fatalf("no %T was sent", m)
		}
	}
}

// fixedOwner is the owner of all cells. It implements Router, Watcher, Observer and swmember.Source.
type fixedOwner swid.HostID

func (r fixedOwner) Owner(swid.CellID) (swid.HostID, bool)                { return swid.HostID(r), false }
func (r fixedOwner) Doubt(swid.HostID)                                    {}
func (r fixedOwner) NextEpoch(swid.CellID) swid.Epoch                     { return 3 }
func (r fixedOwner) Members() []swmember.Member                           { return []swmember.Member{{Host: "a"}, {Host: "b"}} }
func (r fixedOwner) Subscribe(func([]swmember.Member))                    {}
func (r fixedOwner) ActionTaken(swid.CellID, swcell.Action)               {}
func (r fixedOwner) InputDropped(swid.CellID)                             {}
func (r fixedOwner) InvariantViolated(cell swid.CellID, invariant string) {}

func (r fixedOwner) Watch(context.Context, swid.CellID, []swdoc.Target, func(swcell.Event)) {}

// grantAll is a core that grants every request at once, and records InFlight and Withdraw events.
type grantAll struct{ events chan swcell.Event }

func (g grantAll) Step(_ swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action {
	switch e := e.(type) {
	case swcell.GrantRequest:
		actions = append(actions, swcell.Grant{Key: e.Key, Attempt: e.Attempt, Target: "t"})
	case swcell.InFlight, swcell.Withdraw:
		g.events <- e
	}
	return actions
}

func (grantAll) Idle() bool                   { return false }
func (grantAll) TickInterval() swclock.Millis { return 10 }
func (grantAll) Snapshot() swcell.Snapshot    { return swcell.Snapshot{} }

// verificationTimeout is how long holders have to report the grants that they use.
const verificationTimeout = 50 * swclock.Millis(1)

// startOwner runs the Owner of host "a", which owns the cell if router names that host.
func startOwner(t *testing.T, router fixedOwner, local bool) (*Owner, outbox, chan swcell.Event, *swclock.Manual) {
	t.Helper()
	out, events, clock := make(outbox, 100), make(chan swcell.Event, 100), &swclock.Manual{}
	o := New(Config{
		Host: "a", Clock: clock, Sender: out, Router: router, Members: router, Watcher: router, Observer: router,
		Log:         zerolog.Nop(),
		NewCore:     func(swid.CellID, func(swcell.Violation)) Core { return grantAll{events} },
		Acknowledge: true, Local: func(swid.CellID) bool { return local }, VerificationTimeout: verificationTimeout,
	})
	o.Configure(&swdoc.Document{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		o.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return o, out, events, clock
}

// silentOwner is a Router that names a host until it is doubted, and host "a" from then on.
type silentOwner struct {
	fixedOwner
	doubted *atomic.Bool
}

func (r silentOwner) Owner(cell swid.CellID) (swid.HostID, bool) {
	if r.doubted.Load() {
		return "a", true
	}
	return r.fixedOwner.Owner(cell)
}

func (r silentOwner) Doubt(host swid.HostID) { r.doubted.Store(host == swid.HostID(r.fixedOwner)) }

// TestSuccessorLooksForItself guards against a host that sends requests back to a silent owner for
// as long as it has none of its own.
func TestSuccessorLooksForItself(t *testing.T) {
	o, out, _, _ := startOwner(t, "c", false)
	o.config.Router = silentOwner{"c", &atomic.Bool{}}
	o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: 1, Attempt: 1})
	if m, to := next[swmsg.Queued](t, out); to != "b" || m.Seq != 1 {
		t.Errorf("sent %+v to %s, want the request queued here", m, to)
	}
}

var holder = swlink.Peer{Host: "b", Incarnation: 1}

// TestRecoverAtLinkUp checks that an owner requests a holder's open work when the link to it comes
// up after the takeover, and passes the holder's in-flight report to the core.
func TestRecoverAtLinkUp(t *testing.T) {
	o, out, events, clock := startOwner(t, "a", false)
	o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: 1, Attempt: 1})
	next[swmsg.Queued](t, out)
	clock.Advance(recoveryWindow)
	next[swmsg.Grant](t, out)
	o.LinkUp(swlink.Peer{Host: "late", Incarnation: 1})
	for {
		// Listed members received their Recover message at the takeover.
		if m, to := next[swmsg.Recover](t, out); to == "late" {
			if m.Cell != cell || m.Epoch != 3 {
				t.Errorf("unexpected recover message %+v", m)
			}
			break
		}
	}
	o.Receive(swlink.Peer{Host: "late", Incarnation: 1}, swmsg.InFlight{GrantRequest: swmsg.GrantRequest{Cell: cell, Seq: 9, Attempt: 1}, Target: "t"})
	if e, ok := (<-events).(swcell.InFlight); !ok || e.GrantRequest.Key.Seq != 9 {
		t.Errorf("the core received %+v", e)
	}
}

// TestNoRecoverByOthers checks that a host requests no open work from holders if it should not own
// the cell, or if it schedules the cell for its own requests only.
func TestNoRecoverByOthers(t *testing.T) {
	tests := []struct {
		name   string
		router fixedOwner
		local  bool
	}{
		{"another host owns the cell", "c", false},
		{"each host decides for itself", "a", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o, out, _, clock := startOwner(t, tt.router, tt.local)
			o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: 1, Attempt: 1, NoRedirect: true})
			if !tt.local {
				next[swmsg.Queued](t, out)
				clock.Advance(recoveryWindow)
			}
			next[swmsg.Grant](t, out)
			o.LinkUp(swlink.Peer{Host: "late", Incarnation: 1})
			o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: 2, Attempt: 1, NoRedirect: true})
			for {
				s := <-out
				if _, requested := s.message.(swmsg.Recover); requested && s.to == "late" {
					t.Fatal("requested the open work of a holder")
				}
				if g, ok := s.message.(swmsg.Grant); ok && g.Seq == 2 {
					return
				}
			}
		})
	}
}

// TestDoubt checks that, after a lost link, the grants that the holder reports again are kept and
// the others are cancelled.
func TestDoubt(t *testing.T) {
	o, out, events, clock := startOwner(t, "a", false)
	for seq := range swid.Seq(2) {
		o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: seq + 1, Attempt: 1})
		next[swmsg.Queued](t, out)
	}
	clock.Advance(recoveryWindow)
	for range 2 {
		next[swmsg.Grant](t, out)
	}
	o.LinkDown(holder)
	o.Receive(holder, swmsg.InFlight{GrantRequest: swmsg.GrantRequest{Cell: cell, Seq: 1, Attempt: 1}, Target: "t"})
	<-events
	clock.Advance(verificationTimeout)
	for e := range events {
		if e, ok := e.(swcell.Withdraw); ok {
			if e.Key.Seq != 2 {
				t.Errorf("cancelled request %d", e.Key.Seq)
			}
			return
		}
	}
}

// TestRepeatedAsk checks that a repeated grant request is answered with the existing grant.
func TestRepeatedAsk(t *testing.T) {
	o, out, _, clock := startOwner(t, "a", false)
	o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: 1, Attempt: 1})
	next[swmsg.Queued](t, out)
	clock.Advance(recoveryWindow)
	next[swmsg.Grant](t, out)
	for range 2 {
		o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: 1, Attempt: 1})
		if g, to := next[swmsg.Grant](t, out); to != "b" || g.Seq != 1 || g.Target != "t" {
			t.Errorf("granted %+v to %s", g, to)
		}
	}
}

// TestAcknowledge checks that a grant request is acknowledged if it waits, and not if the owner
// decides on it at once.
func TestAcknowledge(t *testing.T) {
	o, out, _, clock := startOwner(t, "a", false)
	o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: 1, Attempt: 1})
	// The first grant request arrives in the recovery window.
	if m, to := next[swmsg.Queued](t, out); to != "b" || m.Seq != 1 {
		t.Errorf("acknowledged %+v to %s", m, to)
	}
	clock.Advance(recoveryWindow)
	next[swmsg.Grant](t, out)
	o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: 2, Attempt: 1})
	o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: 3, Attempt: 1})
	for _, seq := range []swid.Seq{2, 3} {
		if s := <-out; s.message.(swmsg.Grant).Seq != seq {
			t.Errorf("sent %+v, want the grant of request %d alone", s, seq)
		}
	}
}

// TestRedirect checks that a holder is redirected to the host that should own the cell.
func TestRedirect(t *testing.T) {
	o, out, _, _ := startOwner(t, "c", false)
	o.Receive(holder, swmsg.GrantRequest{Cell: cell, Seq: 1, Attempt: 1})
	if m, to := next[swmsg.Redirect](t, out); to != "b" || m.Owner != "c" {
		t.Errorf("redirected %s to %s", to, m.Owner)
	}
}
