package swlink

import (
	"errors"
	"net"
	"slices"
	"sync"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func TestMessagesArriveInOrder(t *testing.T) {
	var d directory
	a, b := start(t, &d, "a", Config{}), start(t, &d, "b", Config{BatchDelay: 2})
	for i := range 200 {
		if !a.send(b, i) || !b.send(a, i) {
			t.Fatalf("message %d was refused", i)
		}
	}
	for _, n := range []*node{a, b} {
		eventually(t, "all messages", func() bool { return n.receivedCount() == 200 })
		if !slices.IsSorted(n.grants) {
			t.Errorf("%s received out of order", n.id.Host)
		}
	}
	if !a.Connected("b") || a.Connected("c") {
		t.Error("Connected is wrong")
	}
}

func TestSilentLinkIsReplaced(t *testing.T) {
	tests := []struct {
		name    string
		in, out bool
	}{
		{"both directions", true, true},
		{"towards the peer", false, true},
		{"from the peer", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d directory
			a, b := start(t, &d, "a", Config{}), start(t, &d, "b", Config{})
			a.send(b, 1)
			eventually(t, "first message", func() bool { return b.receivedCount() == 1 })
			a.dropTraffic(tt.in, tt.out)
			a.send(b, 2)
			eventually(t, "loss reported", func() bool { return len(a.lostPeers()) > 0 })
			before := b.receivedCount()
			eventually(t, "message on a new link", func() bool { return a.send(b, 3) && b.receivedCount() > before })
			if a.linkCount() != 1 {
				t.Errorf("%d links", a.linkCount())
			}
		})
	}
}

// TestSilentLinkOfAnOwner checks that both sides detect a failed link on which only
// the owner sends, while the holder waits for a grant. All traffic is dropped once
// the holder's message is confirmed, so that only the owner has unconfirmed data.
func TestSilentLinkOfAnOwner(t *testing.T) {
	var d directory
	holder, owner := start(t, &d, "a", Config{}), start(t, &d, "b", Config{})
	holder.send(owner, 1)
	eventually(t, "ask", func() bool { return owner.receivedCount() == 1 })
	eventually(t, "grant request confirmed", func() bool {
		l := holder.links()[0]
		l.mu.Lock()
		defer l.mu.Unlock()
		return !l.prober.outstanding && !l.prober.unconfirmed
	})
	holder.dropTraffic(true, true)
	owner.send(holder, 2)
	eventually(t, "loss reported to the owner", func() bool { return len(owner.lostPeers()) > 0 })
	eventually(t, "loss reported to the holder", func() bool { return len(holder.lostPeers()) > 0 })
}

func TestFrozenPeer(t *testing.T) {
	var d directory
	a, b, c := start(t, &d, "a", Config{}), start(t, &d, "b", Config{}), start(t, &d, "c", Config{})
	b.block.Lock()
	unblock := sync.OnceFunc(b.block.Unlock)
	defer unblock()
	a.send(b, 1)
	eventually(t, "loss of the frozen peer", func() bool { return slices.Contains(a.lostPeers(), b.id) })
	a.send(c, 1)
	eventually(t, "message to another peer", func() bool { return c.receivedCount() == 1 })
	unblock()
	before := b.receivedCount()
	eventually(t, "message after the peer resumed", func() bool { return a.send(b, 2) && b.receivedCount() > before })
}

func TestSimultaneousDials(t *testing.T) {
	for round := range 30 {
		var d directory
		a, b := start(t, &d, "a", Config{}), start(t, &d, "b", Config{})
		begin := make(chan struct{})
		for _, pair := range [][2]*node{{a, b}, {b, a}} {
			go func() {
				<-begin
				for i := range 10 {
					pair[0].send(pair[1], i)
				}
			}()
		}
		close(begin)
		for _, pair := range [][2]*node{{a, b}, {b, a}} {
			eventually(t, "messages or report of their loss", func() bool {
				return pair[1].receivedCount() == 10 || len(pair[0].lostPeers()) > 0
			})
		}
		eventually(t, "one link", func() bool { return a.linkCount() == 1 && b.linkCount() == 1 })
		if up := a.stats.linksUp.Load(); up > 2 {
			t.Errorf("round %d: %d links were opened", round, up)
		}
		a.stop()
		b.stop()
	}
}

func TestReplacedHost(t *testing.T) {
	var d directory
	a, old := start(t, &d, "a", Config{}), start(t, &d, "b", Config{})
	a.send(old, 1)
	eventually(t, "message to the old process", func() bool { return old.receivedCount() == 1 })
	a.dropTraffic(true, true)
	var newDirectory directory
	newDirectory.addresses.Store(a.id.Host, a.Address())
	next := start(t, &newDirectory, "b", Config{Self: Peer{Incarnation: 2}})
	next.send(a, 1)
	eventually(t, "message of the new process", func() bool { return a.receivedCount() == 1 })
	if downs := a.lostPeers(); len(downs) != 1 || downs[0] != old.id {
		t.Errorf("lost %v, want the old process", downs)
	}
	old.send(a, 2)
	eventually(t, "old process refused", func() bool { return len(old.lostPeers()) > 0 })
	if a.receivedCount() != 1 {
		t.Error("a message of the old process was accepted")
	}
}

func TestFullQueueRefuses(t *testing.T) {
	var d directory
	a, b := start(t, &d, "a", Config{QueueLength: 4, BatchDelay: 50}), start(t, &d, "b", Config{})
	refused := false
	for i := range 100 {
		refused = refused || !a.send(b, i)
	}
	if !refused {
		t.Error("a full queue accepted every message")
	}
	if a.Send("a", nil) {
		t.Error("a message to this host was accepted")
	}
}

// TestUnreachableHost checks that a host is not dialled again within half of the delay after a failed dial, and is
// after the whole of it.
func TestUnreachableHost(t *testing.T) {
	var d directory
	clock := &swclock.Manual{}
	a := startWithClock(t, &d, "a", clock, Config{})
	gone := &node{id: Peer{Host: "gone"}}
	if !a.send(gone, 1) {
		t.Fatal("the first message was refused")
	}
	eventually(t, "failed dial reported", func() bool { return slices.Contains(a.lostPeers(), Peer{Host: "gone"}) })
	if a.send(gone, 2) {
		t.Error("a message was queued right after a failed dial")
	}
	clock.Advance(minRetryDelay/2 - 1)
	if a.send(gone, 3) {
		t.Error("a message was queued before the delay after a failed dial")
	}
	clock.Advance(minRetryDelay/2 + 1)
	if !a.send(gone, 4) {
		t.Error("a message was refused after the delay after a failed dial")
	}
}

func TestIdleLinkCloses(t *testing.T) {
	var d directory
	a, b := start(t, &d, "a", Config{IdleTimeout: 100}), start(t, &d, "b", Config{IdleTimeout: 100})
	a.send(b, 1)
	eventually(t, "message", func() bool { return b.receivedCount() == 1 })
	eventually(t, "no links", func() bool { return a.linkCount() == 0 && b.linkCount() == 0 })
	b.send(a, 1)
	eventually(t, "message on a new link", func() bool { return a.receivedCount() == 1 })
	if len(a.lostPeers())+len(b.lostPeers()) > 0 {
		t.Errorf("the end of an idle link was reported as a loss: %v %v", a.lostPeers(), b.lostPeers())
	}
}

func TestMalformedConnection(t *testing.T) {
	var d directory
	a, b := start(t, &d, "a", Config{}), start(t, &d, "b", Config{})
	c, err := net.Dial("tcp", a.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection was not closed")
	}
	b.send(a, 1)
	eventually(t, "message", func() bool { return a.receivedCount() == 1 })
}

func TestTLSMustBeChosen(t *testing.T) {
	n := New(Config{Address: "127.0.0.1:0"}, nil, nil, nil)
	if err := n.Listen(); !errors.Is(err, ErrNoTLS) {
		t.Errorf("got %v", err)
	}
}

func TestProber(t *testing.T) {
	p := prober{interval: 100, timeout: 300}
	if p.probeDue(1000) || p.timedOut(1000, 0) {
		t.Error("an unused link needs no probe")
	}
	if got := p.probeWithData(1000); got != 1 {
		t.Errorf("first data: probe %d", got)
	}
	if got := p.probeWithData(1010); got != 0 || !p.unconfirmed {
		t.Errorf("data after a probe: probe %d", got)
	}
	if p.timedOut(1300, 0) || !p.timedOut(1301, 0) {
		t.Error("wrong probe timeout")
	}
	if p.timedOut(1301, 1001) || !p.timedOut(1302, 1001) {
		t.Error("a peer that sent data within the timeout counts as silent")
	}
	if heardAt := swclock.Millis(2500); p.timedOut(2500, heardAt) || !p.timedOut(2501, heardAt) {
		t.Error("wrong limit for a peer that sends data but answers no probe")
	}
	p.replyReceived(7)
	if !p.outstanding {
		t.Error("the reply to another probe was counted")
	}
	p.replyReceived(1)
	if p.probeDue(1099) || !p.probeDue(1100) || p.startProbe(1100) != 2 {
		t.Error("the data sent after the first probe was not probed")
	}
	p.replyReceived(2)
	if p.probeDue(5000) {
		t.Error("a confirmed link was probed")
	}
	p.probeReceived(9, 100)
	if p.replyDue(149, 50) || !p.replyDue(150, 50) || p.takeReply() != 9 || p.replyDue(999, 50) {
		t.Error("wrong time of a reply")
	}
}

func TestRefusesOlderIncarnation(t *testing.T) {
	r := newRemote(New(Config{}, nil, nil, nil), swid.HostID("b"))
	r.link = &link{id: Peer{Host: "b", Incarnation: 5}}
	if r.admit(Peer{Host: "b", Incarnation: 4}, 9) || !r.admit(Peer{Host: "b", Incarnation: 5}, 9) {
		t.Error("wrong incarnation admitted")
	}
	r.link.helloNumber = 10
	if r.admit(Peer{Host: "b", Incarnation: 5}, 9) || !r.admit(Peer{Host: "b", Incarnation: 6}, 1) {
		t.Error("an abandoned dial was admitted, or a new process refused")
	}
}

// TestSupersededDial guards against a dial that ends a later one of the same host.
func TestSupersededDial(t *testing.T) {
	r := newRemote(New(Config{}, &swclock.Manual{}, nil, nil), swid.HostID("b"))
	r.ensureDial()
	first, ok := r.setDialCancel(func() {})
	if !ok || !r.admit(Peer{Host: "b", Incarnation: 1}, 1) {
		t.Fatal("a connection of the peer did not supersede the dial")
	}
	r.inboundFailed()
	r.ensureDial()
	select {
	case <-first:
	default:
		t.Error("the first dial was not told that it is superseded")
	}
	r.dialFailed(first, errRefused)
	if r.dial != dialConnecting {
		t.Error("the failure of the first dial ended the second one")
	}
}
