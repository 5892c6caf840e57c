package swmember

import (
	"context"
	"testing"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// testHost runs the Members of one host over real links.
type testHost struct {
	*Members
	network *swlink.Network
	stop    func()
}

// startHost starts a host, which runs until the test ends or stop is called.
func startHost(t testing.TB, store swobject.Store, self Member) *testHost {
	t.Helper()
	p := &testHost{}
	clock := swclock.NewSystem()
	p.network = swlink.New(swlink.Config{Self: swlink.Peer{Host: self.Host, Incarnation: self.Incarnation}, Address: self.Address},
		clock, func(h swid.HostID) (string, bool) { return p.Resolve(h) }, handler{p}, swlink.WithoutTLS())
	if err := p.network.Listen(); err != nil {
		t.Fatal(err)
	}
	self.Address = p.network.Address()
	p.Members = New(Config{Self: self, PollInterval: 200}, store, p.network, clock)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- p.network.Run(ctx) }()
	go func() { done <- p.Run(ctx) }()
	p.stop = cancel
	t.Cleanup(func() {
		cancel()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	return p
}

type handler struct{ p *testHost }

func (h handler) Receive(from swlink.Peer, m swmsg.Message) { h.p.Members.Receive(from, m) }
func (h handler) LinkUp(swlink.Peer)                        {}
func (h handler) LinkDown(peer swlink.Peer)                 { h.p.Members.LinkDown(peer) }

// hasRecorded reports whether p has recorded a host with a state and incarnation.
func (p *testHost) hasRecorded(h swid.HostID, s swmsg.MemberState, incarnation swid.Incarnation) bool {
	for _, m := range p.Members.Members() {
		if m.Host == h {
			return m.State == s && m.Incarnation == incarnation
		}
	}
	return false
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func TestMembersOverLinks(t *testing.T) {
	store := swmemstore.New(1)
	a := startHost(t, store, Member{Host: "a", Incarnation: 1, Region: "lis", Address: "127.0.0.1:0"})
	b := startHost(t, store, Member{Host: "b", Incarnation: 1, Region: "lis", Address: "127.0.0.1:0"})
	store.SetHosts([]swobject.Host{
		{ID: "a", Region: "lis", Address: a.network.Address(), State: swobject.HostLive},
		{ID: "b", Region: "lis", Address: b.network.Address(), State: swobject.HostLive},
	})
	updates := make(chan []Member, 1024)
	a.Subscribe(func(m []Member) { updates <- m })
	eventually(t, "a and b have recorded each other as alive", func() bool {
		return a.hasRecorded("b", swmsg.MemberAlive, 1) && b.hasRecorded("a", swmsg.MemberAlive, 1)
	})
	// The platform's list does not contain c. c must still record a, and a and b must record c.
	c := startHost(t, store, Member{Host: "c", Incarnation: 1, Region: "lis", Address: "127.0.0.1:0"})
	eventually(t, "a and b have recorded c, and c has recorded a", func() bool {
		return a.hasRecorded("c", swmsg.MemberAlive, 1) && b.hasRecorded("c", swmsg.MemberAlive, 1) && c.hasRecorded("a", swmsg.MemberAlive, 1)
	})
	address := b.network.Address()
	b.stop()
	eventually(t, "b is dead", func() bool {
		return a.hasRecorded("b", swmsg.MemberDead, 1) && c.hasRecorded("b", swmsg.MemberDead, 1)
	})
	startHost(t, store, Member{Host: "b", Incarnation: 2, Region: "lis", Address: address})
	eventually(t, "a and c have recorded the new incarnation of b as alive", func() bool {
		return a.hasRecorded("b", swmsg.MemberAlive, 2) && c.hasRecorded("b", swmsg.MemberAlive, 2)
	})
	c.Leave()
	eventually(t, "c leaves", func() bool { return a.hasRecorded("c", swmsg.MemberLeaving, 1) })
	if len(updates) == 0 {
		t.Error("the subscriber was not called")
	}
}
