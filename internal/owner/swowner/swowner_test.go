package swowner

import (
	"context"
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

// next returns the next message of a kind, and passes over others.
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

// routes names one owner for all cells. It implements Router.
type routes swid.HostID

func (r routes) Owner(swid.CellID) (swid.HostID, bool)  { return swid.HostID(r), false }
func (r routes) Takeover(swid.CellID) swid.Epoch        { return 3 }
func (r routes) Members() []swmember.Member             { return []swmember.Member{{Host: "a"}, {Host: "b"}} }
func (r routes) Subscribe(func([]swmember.Member))      {}
func (r routes) Decided(swid.CellID, swcell.Action)     {}
func (r routes) InputDropped(swid.CellID)               {}
func (r routes) Violated(cell swid.CellID, what string) {}

func (r routes) Watch(context.Context, swid.CellID, []swdoc.Target, func(swcell.Event)) {}

// grantAll is a core that grants a target at once and remembers what it is told.
type grantAll struct{ events chan swcell.Event }

func (g grantAll) Step(_ swclock.Millis, e swcell.Event, actions []swcell.Action) []swcell.Action {
	switch e := e.(type) {
	case swcell.Ask:
		actions = append(actions, swcell.Grant{Key: e.Key, Attempt: e.Attempt, Target: "t"})
	case swcell.InFlight, swcell.Withdraw:
		g.events <- e
	}
	return actions
}

func (grantAll) Idle() bool                   { return false }
func (grantAll) TickInterval() swclock.Millis { return 10 }
func (grantAll) Snapshot() swcell.Snapshot    { return swcell.Snapshot{} }

// doubtSpan is how long holders have to report what they run.
const doubtSpan = 50 * swclock.Millis(1)

// startOwner runs the owner of a host named "a" that owns the cell if the routes say so.
func startOwner(t *testing.T, by routes, local bool) (*Owner, outbox, chan swcell.Event, *swclock.Manual) {
	t.Helper()
	out, events, clock := make(outbox, 100), make(chan swcell.Event, 100), &swclock.Manual{}
	o := New(Config{
		Host: "a", Clock: clock, Sender: out, Router: by, Members: by, Watcher: by, Observer: by,
		Log:         zerolog.Nop(),
		NewCore:     func(swid.CellID, func(swcell.Violation)) Core { return grantAll{events} },
		Acknowledge: true, Local: func(swid.CellID) bool { return local }, DoubtTime: doubtSpan,
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

var holder = swlink.Peer{Host: "b", Incarnation: 1}

// TestRecoverAtLinkUp lets an owner take a cell over before it has a link to a
// holder, and asks it for its work when the link comes up.
func TestRecoverAtLinkUp(t *testing.T) {
	o, out, events, clock := startOwner(t, "a", false)
	o.Receive(holder, swmsg.Ask{Cell: cell, Seq: 1, Attempt: 1})
	next[swmsg.Queued](t, out)
	clock.Advance(settleTime)
	next[swmsg.Grant](t, out)
	o.LinkUp(swlink.Peer{Host: "late", Incarnation: 1})
	for {
		// Those in the list of hosts were asked at the takeover.
		if m, to := next[swmsg.Recover](t, out); to == "late" {
			if m.Cell != cell || m.Epoch != 3 {
				t.Errorf("asked for %+v", m)
			}
			break
		}
	}
	o.Receive(swlink.Peer{Host: "late", Incarnation: 1}, swmsg.InFlight{Ask: swmsg.Ask{Cell: cell, Seq: 9, Attempt: 1}, Target: "t"})
	if e, ok := (<-events).(swcell.InFlight); !ok || e.Ask.Key.Seq != 9 {
		t.Errorf("the core was told %+v", e)
	}
}

// TestNoRecoverByOthers checks that neither a host that should not own the cell
// nor one that decides for itself takes over the work of others.
func TestNoRecoverByOthers(t *testing.T) {
	tests := []struct {
		name  string
		by    routes
		local bool
	}{
		{"another host owns the cell", "c", false},
		{"each host decides for itself", "a", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o, out, _, clock := startOwner(t, tt.by, tt.local)
			o.Receive(holder, swmsg.Ask{Cell: cell, Seq: 1, Attempt: 1, Insist: true})
			if !tt.local {
				next[swmsg.Queued](t, out)
				clock.Advance(settleTime)
			}
			next[swmsg.Grant](t, out)
			o.LinkUp(swlink.Peer{Host: "late", Incarnation: 1})
			o.Receive(holder, swmsg.Ask{Cell: cell, Seq: 2, Attempt: 1, Insist: true})
			for {
				s := <-out
				if _, asked := s.message.(swmsg.Recover); asked && s.to == "late" {
					t.Fatal("asked a holder for its work")
				}
				if g, ok := s.message.(swmsg.Grant); ok && g.Seq == 2 {
					return
				}
			}
		})
	}
}

// TestDoubt loses a link: grants that the holder reports again are kept, the
// others end.
func TestDoubt(t *testing.T) {
	o, out, events, clock := startOwner(t, "a", false)
	for seq := range swid.Seq(2) {
		o.Receive(holder, swmsg.Ask{Cell: cell, Seq: seq + 1, Attempt: 1})
		next[swmsg.Queued](t, out)
	}
	clock.Advance(settleTime)
	for range 2 {
		next[swmsg.Grant](t, out)
	}
	o.LinkDown(holder)
	o.Receive(holder, swmsg.InFlight{Ask: swmsg.Ask{Cell: cell, Seq: 1, Attempt: 1}, Target: "t"})
	<-events
	clock.Advance(doubtSpan)
	for e := range events {
		if e, ok := e.(swcell.Withdraw); ok {
			if e.Key.Seq != 2 {
				t.Errorf("ended request %d", e.Key.Seq)
			}
			return
		}
	}
}

// TestRepeatedAsk answers an ask that comes again with the grant that it has.
func TestRepeatedAsk(t *testing.T) {
	o, out, _, clock := startOwner(t, "a", false)
	o.Receive(holder, swmsg.Ask{Cell: cell, Seq: 1, Attempt: 1})
	next[swmsg.Queued](t, out)
	clock.Advance(settleTime)
	next[swmsg.Grant](t, out)
	for range 2 {
		o.Receive(holder, swmsg.Ask{Cell: cell, Seq: 1, Attempt: 1})
		if g, to := next[swmsg.Grant](t, out); to != "b" || g.Seq != 1 || g.Target != "t" {
			t.Errorf("granted %+v to %s", g, to)
		}
	}
}

// TestAcknowledge tells a holder that its ask waits, and not beside a decision.
func TestAcknowledge(t *testing.T) {
	o, out, _, clock := startOwner(t, "a", false)
	o.Receive(holder, swmsg.Ask{Cell: cell, Seq: 1, Attempt: 1})
	// The owner still collects reports when the first ask arrives.
	if m, to := next[swmsg.Queued](t, out); to != "b" || m.Seq != 1 {
		t.Errorf("acknowledged %+v to %s", m, to)
	}
	clock.Advance(settleTime)
	next[swmsg.Grant](t, out)
	o.Receive(holder, swmsg.Ask{Cell: cell, Seq: 2, Attempt: 1})
	o.Receive(holder, swmsg.Ask{Cell: cell, Seq: 3, Attempt: 1})
	for _, seq := range []swid.Seq{2, 3} {
		if s := <-out; s.message.(swmsg.Grant).Seq != seq {
			t.Errorf("sent %+v, want the grant of request %d alone", s, seq)
		}
	}
}

// TestRedirect sends a holder to the host that should own the cell.
func TestRedirect(t *testing.T) {
	o, out, _, _ := startOwner(t, "c", false)
	o.Receive(holder, swmsg.Ask{Cell: cell, Seq: 1, Attempt: 1})
	if m, to := next[swmsg.Redirect](t, out); to != "b" || m.Owner != "c" {
		t.Errorf("sent %s to %s", to, m.Owner)
	}
}
