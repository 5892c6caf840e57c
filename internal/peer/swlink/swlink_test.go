package swlink

import (
	"errors"
	"net"
	"slices"
	"sync"
	"testing"

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
		eventually(t, "all messages", func() bool { return n.received() == 200 })
		if !slices.IsSorted(n.got) {
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
			eventually(t, "first message", func() bool { return b.received() == 1 })
			a.mute(tt.in, tt.out)
			a.send(b, 2)
			eventually(t, "loss told", func() bool { return len(a.lost()) > 0 })
			before := b.received()
			eventually(t, "message on a new link", func() bool { return a.send(b, 3) && b.received() > before })
			if a.open() != 1 {
				t.Errorf("%d links", a.open())
			}
		})
	}
}

// TestSilentLinkOfAnOwner has the silent side answer later only: the holder waits and sends nothing.
func TestSilentLinkOfAnOwner(t *testing.T) {
	var d directory
	holder, owner := start(t, &d, "a", Config{}), start(t, &d, "b", Config{})
	holder.send(owner, 1)
	eventually(t, "ask", func() bool { return owner.received() == 1 })
	eventually(t, "ask confirmed", func() bool {
		l := holder.links()[0]
		l.mu.Lock()
		defer l.mu.Unlock()
		return !l.prober.outstanding && !l.prober.unconfirmed
	})
	holder.mute(true, true)
	owner.send(holder, 2)
	eventually(t, "owner told", func() bool { return len(owner.lost()) > 0 })
	eventually(t, "holder told", func() bool { return len(holder.lost()) > 0 })
}

func TestFrozenPeer(t *testing.T) {
	var d directory
	a, b, c := start(t, &d, "a", Config{}), start(t, &d, "b", Config{}), start(t, &d, "c", Config{})
	b.block.Lock()
	thaw := sync.OnceFunc(b.block.Unlock)
	defer thaw()
	a.send(b, 1)
	eventually(t, "loss of the frozen peer", func() bool { return slices.Contains(a.lost(), b.id) })
	a.send(c, 1)
	eventually(t, "message to another peer", func() bool { return c.received() == 1 })
	thaw()
	before := b.received()
	eventually(t, "message after it woke", func() bool { return a.send(b, 2) && b.received() > before })
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
			eventually(t, "messages or word of their loss", func() bool {
				return pair[1].received() == 10 || len(pair[0].lost()) > 0
			})
		}
		eventually(t, "one link", func() bool { return a.open() == 1 && b.open() == 1 })
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
	eventually(t, "message to the old process", func() bool { return old.received() == 1 })
	a.mute(true, true)
	var late directory
	late.addresses.Store(a.id.Host, a.Address())
	next := start(t, &late, "b", Config{Self: Peer{Incarnation: 2}})
	next.send(a, 1)
	eventually(t, "message of the new process", func() bool { return a.received() == 1 })
	if downs := a.lost(); len(downs) != 1 || downs[0] != old.id {
		t.Errorf("lost %v, want the old process", downs)
	}
	old.send(a, 2)
	eventually(t, "old process refused", func() bool { return len(old.lost()) > 0 })
	if a.received() != 1 {
		t.Error("a message of the old process was taken")
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
		t.Error("a full queue took every message")
	}
	if a.Send("a", nil) {
		t.Error("a message to this host was taken")
	}
}

func TestUnreachableHost(t *testing.T) {
	var d directory
	a := start(t, &d, "a", Config{})
	gone := &node{id: Peer{Host: "gone"}}
	if !a.send(gone, 1) {
		t.Fatal("the first message was refused")
	}
	eventually(t, "failed dial told", func() bool { return slices.Contains(a.lost(), Peer{Host: "gone"}) })
	if a.send(gone, 2) {
		t.Error("a message was queued right after a failed dial")
	}
	eventually(t, "next dial", func() bool { return a.send(gone, 3) })
}

func TestIdleLinkCloses(t *testing.T) {
	var d directory
	a, b := start(t, &d, "a", Config{IdleTimeout: 100}), start(t, &d, "b", Config{IdleTimeout: 100})
	a.send(b, 1)
	eventually(t, "message", func() bool { return b.received() == 1 })
	eventually(t, "no links", func() bool { return a.open() == 0 && b.open() == 0 })
	b.send(a, 1)
	eventually(t, "message on a new link", func() bool { return a.received() == 1 })
	if len(a.lost())+len(b.lost()) > 0 {
		t.Errorf("an idle link's end was told as a loss: %v %v", a.lost(), b.lost())
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
	eventually(t, "message", func() bool { return a.received() == 1 })
}

func TestTLSMustBeChosen(t *testing.T) {
	n := New(Config{Address: "127.0.0.1:0"}, nil, nil, nil)
	if err := n.Listen(); !errors.Is(err, ErrNoTLS) {
		t.Errorf("got %v", err)
	}
}

func TestProber(t *testing.T) {
	p := prober{heartbeat: 100, timeout: 300}
	if p.due(1000) || p.silent(1000) {
		t.Error("an unused link needs no probe")
	}
	if got := p.sending(1000); got != 1 {
		t.Errorf("first data: probe %d", got)
	}
	if got := p.sending(1010); got != 0 || !p.unconfirmed {
		t.Errorf("data behind a probe: probe %d", got)
	}
	if p.silent(1300) || !p.silent(1301) {
		t.Error("wrong time of silence")
	}
	p.answered(7)
	if !p.outstanding {
		t.Error("the answer to another probe counted")
	}
	p.answered(1)
	if p.due(1099) || !p.due(1100) || p.probe(1100) != 2 {
		t.Error("the data behind the first probe was not probed")
	}
	p.answered(2)
	if p.due(5000) {
		t.Error("a confirmed link was probed")
	}
	p.asked(9, 100)
	if p.replyDue(149, 50) || !p.replyDue(150, 50) || p.takeReply() != 9 || p.replyDue(999, 50) {
		t.Error("wrong time of an answer")
	}
}

func TestRefusesOlderIncarnation(t *testing.T) {
	r := newRemote(New(Config{}, nil, nil, nil), swid.HostID("b"))
	r.link = &link{id: Peer{Host: "b", Incarnation: 5}}
	if r.admits(Peer{Host: "b", Incarnation: 4}, 9) || !r.admits(Peer{Host: "b", Incarnation: 5}, 9) {
		t.Error("wrong incarnation admitted")
	}
	r.link.number = 10
	if r.admits(Peer{Host: "b", Incarnation: 5}, 9) || !r.admits(Peer{Host: "b", Incarnation: 6}, 1) {
		t.Error("an abandoned dial was admitted, or a new process refused")
	}
}
