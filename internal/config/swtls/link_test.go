package swtls

import (
	"context"
	"testing"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// received delivers the sender of each message that a host receives.
type received chan swid.HostID

func (r received) Receive(from swlink.Peer, _ swmsg.Message) { r <- from.Host }
func (r received) LinkUp(swlink.Peer)                        {}
func (r received) LinkDown(swlink.Peer)                      {}

// startLinks runs a host's links with keys until the test ends.
func startLinks(t *testing.T, host swid.HostID, keys *Keys, addresses map[swid.HostID]string) (*swlink.Network, received) {
	t.Helper()
	handler := make(received, 64)
	resolve := func(h swid.HostID) (string, bool) {
		a, ok := addresses[h]
		return a, ok
	}
	config := swlink.Config{Self: swlink.Peer{Host: host, Incarnation: 1}, Address: "127.0.0.1:0"}
	n := swlink.New(config, swclock.NewSystem(), resolve, handler, swlink.WithTLSFrom(keys.Server(), keys.Client))
	if err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return n, handler
}

// sendUntil sends messages until the handler receives one from this sender. It
// reports false if none arrives within the given number of tries. Messages that
// other senders queued before do not count.
func sendUntil(n *swlink.Network, from swid.HostID, handler received, tries int) bool {
	for range tries {
		n.Send("server", swmsg.ConfigRequest{})
		pause := time.After(20 * time.Millisecond)
		for waiting := true; waiting; {
			select {
			case host := <-handler:
				if host == from {
					return true
				}
			case <-pause:
				waiting = false
			}
		}
	}
	return false
}

// TestLinksFollowKeys checks that a running host uses the keys of another
// authority once its files are replaced.
func TestLinksFollowKeys(t *testing.T) {
	clock := &swclock.Manual{}
	before, after := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	server, handler := startLinks(t, "server", newKeys(t, before.write(t, dir), clock), nil)
	addresses := map[swid.HostID]string{"server": server.Address()}
	old, _ := startLinks(t, "old", newKeys(t, before.write(t, t.TempDir()), clock), addresses)
	if !sendUntil(old, "old", handler, 500) {
		t.Fatal("no link with the first keys")
	}
	fresh, _ := startLinks(t, "fresh", newKeys(t, after.write(t, t.TempDir()), clock), addresses)
	if sendUntil(fresh, "fresh", handler, 20) {
		t.Fatal("a link with keys of another authority")
	}
	after.write(t, dir)
	clock.Advance(checkInterval)
	if !sendUntil(fresh, "fresh", handler, 500) {
		t.Error("no link after the keys were replaced")
	}
}
