package swrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swexample"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// fleet runs several hosts in one process, connected by a fake network.
type fleet struct {
	t     testing.TB
	store *swmemstore.Store
	// objects is the store that the hosts use: store itself, or a wrapper of it.
	objects swobject.Store
	members members
	mutex   sync.RWMutex
	relays  map[swid.HostID]*Relay
	stops   map[swid.HostID]func()
	// isolated holds the hosts whose messages to and from all others are dropped.
	isolated map[swid.HostID]bool
}

// members is a fixed list of members.
type members []swmember.Member

func (m members) Members() []swmember.Member           { return m }
func (m members) Subscribe(f func([]swmember.Member))  { f(m) }
func (f *fleet) sender(from swid.HostID) swlink.Sender { return fakeSender{fleet: f, from: from} }

type fakeSender struct {
	fleet *fleet
	from  swid.HostID
}

func (s fakeSender) Connected(swid.HostID) bool { return true }

func (s fakeSender) Send(to swid.HostID, m swmsg.Message) bool {
	s.fleet.mutex.RLock()
	defer s.fleet.mutex.RUnlock()
	if r := s.fleet.relays[to]; r != nil && !s.fleet.isolated[to] && !s.fleet.isolated[s.from] {
		r.Receive(swlink.Peer{Host: s.from}, m)
	}
	return true
}

// newFleet defines the hosts and starts none of them.
func newFleet(t testing.TB, zones, perZone int) *fleet {
	f := &fleet{
		t:        t,
		store:    swmemstore.New(1),
		relays:   make(map[swid.HostID]*Relay),
		stops:    make(map[swid.HostID]func()),
		isolated: make(map[swid.HostID]bool),
	}
	f.objects = f.store
	for z := range zones {
		for h := range perZone {
			f.members = append(f.members, swmember.Member{
				Host:  swid.HostID(fmt.Sprintf("h%d-%d", z, h)),
				Zone:  swid.ZoneID(fmt.Sprintf("zone%d", z)),
				State: swmsg.MemberAlive,
			})
		}
	}
	return f
}

// start starts a host, which runs until stop or the end of the test.
func (f *fleet) start(m swmember.Member) *Relay {
	config := Config{Host: m.Host, Zone: m.Zone, Environment: "trial", Timeout: swclock.Second, Log: zerolog.Nop()}
	r := New(config, f.objects, f.members, f.sender(m.Host), swclock.NewSystem())
	last := swid.ConfigVersion(0)
	r.Subscribe(func(c CurrentDocument) {
		if c.Version <= last || c.Document == nil {
			f.t.Errorf("host %s went from version %d to %d", m.Host, last, c.Version)
		}
		last = c.Version
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.relays[m.Host] = r
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	f.stops[m.Host] = stop
	f.t.Cleanup(stop)
	return r
}

func (f *fleet) startAll() {
	for _, m := range f.members {
		f.start(m)
	}
}

func (f *fleet) stop(host swid.HostID) {
	f.mutex.Lock()
	stop := f.stops[host]
	delete(f.relays, host)
	f.mutex.Unlock()
	stop()
}

func (f *fleet) relay(i int) *Relay {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return f.relays[f.members[i].Host]
}

func (f *fleet) setIsolated(host swid.HostID, isolated bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isolated[host] = isolated
}

// waitVersion waits until each running host has version v or a newer one in force.
func (f *fleet) waitVersion(v swid.ConfigVersion) {
	f.t.Helper()
	for range 3000 {
		if f.lowestVersion() >= v {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatalf("a host has version %d, want %d", f.lowestVersion(), v)
}

func (f *fleet) lowestVersion() swid.ConfigVersion {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	lowest := swid.ConfigVersion(1 << 62)
	for _, r := range f.relays {
		lowest = min(lowest, r.Current().Version)
	}
	return lowest
}

// change returns a change with a valid document whose name is the change's id.
func change(id string, base swid.ConfigVersion) swstore.Change {
	text := strings.Replace(string(swexample.Document()), "name: Development", "name: "+id, 1)
	return swstore.Change{ID: swstore.ChangeID(id), Base: base, Document: []byte(text)}
}

func apply(t *testing.T, r *Relay, id string, base swid.ConfigVersion) swid.ConfigVersion {
	t.Helper()
	v, err := r.Apply(t.Context(), change(id, base))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func TestInForceEverywhere(t *testing.T) {
	f := newFleet(t, 3, 5)
	f.startAll()
	first := apply(t, f.relay(0), "one", 0)
	f.waitVersion(first)
	f.waitVersion(apply(t, f.relay(7), "two", first))
	if name := f.relay(14).Current().Document.Name; name != "two" {
		t.Errorf("the document in force is %q", name)
	}
}

// TestPlatformFailsAfterAccept checks that a change reaches all hosts if the platform
// fails right after the write, before any watch returns.
func TestPlatformFailsAfterAccept(t *testing.T) {
	f := newFleet(t, 3, 5)
	f.startAll()
	first := apply(t, f.relay(0), "one", 0)
	f.waitVersion(first)
	f.store.SetFaults(swmemstore.Faults{WatchOutage: true})
	second := apply(t, f.relay(4), "two", first)
	f.store.SetFaults(swmemstore.Faults{Outage: true})
	f.waitVersion(second)
}

// unresponsiveStore is a store whose first watches return nothing until ctx ends.
type unresponsiveStore struct {
	*swmemstore.Store
	// remaining is the number of unresponsive watches left.
	remaining atomic.Int64
}

// Watch implements swobject.Store.
func (s *unresponsiveStore) Watch(ctx context.Context, key string, after swobject.Version) (swobject.Object, error) {
	if s.remaining.Add(-1) < 0 {
		return s.Store.Watch(ctx, key, after)
	}
	<-ctx.Done()
	return swobject.Object{}, swobject.ErrNotFound
}

// TestSilentWatch checks that relays replace watches whose connections are unresponsive.
func TestSilentWatch(t *testing.T) {
	f := newFleet(t, 1, 3)
	objects := &unresponsiveStore{Store: f.store}
	objects.remaining.Store(3)
	f.objects = objects
	f.startAll()
	v := apply(t, f.relay(0), "one", 0)
	f.waitVersion(v)
	head, err := swstore.New(f.store, "trial").Apply(t.Context(), change("two", v))
	if err != nil {
		t.Fatal(err)
	}
	f.waitVersion(head.Version)
}

// TestStartInOutage checks that a host that starts during an outage of the platform
// obtains the document from its peers.
func TestStartInOutage(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.startAll()
	v := apply(t, f.relay(0), "one", 0)
	f.waitVersion(v)
	f.store.SetFaults(swmemstore.Faults{Outage: true})
	f.stop(f.members[5].Host)
	f.start(f.members[5])
	f.waitVersion(v)
}

// TestCutOff checks that hosts catch up after they were isolated from all others.
func TestCutOff(t *testing.T) {
	f := newFleet(t, 2, 5)
	f.startAll()
	v := apply(t, f.relay(0), "one", 0)
	f.waitVersion(v)
	for _, m := range f.members[5:] {
		f.setIsolated(m.Host, true)
	}
	v = apply(t, f.relay(0), "two", v)
	for _, m := range f.members[5:] {
		f.setIsolated(m.Host, false)
	}
	f.waitVersion(v)
}

// TestRefusedDocument checks that hosts keep the earlier document if a newer one is
// invalid, and accept the next valid one.
func TestRefusedDocument(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.startAll()
	v := apply(t, f.relay(0), "one", 0)
	f.waitVersion(v)
	head, err := swstore.New(f.store, "trial").Apply(t.Context(), swstore.Change{ID: "bad", Base: v, Document: []byte("name: [")})
	if err != nil {
		t.Fatal(err)
	}
	f.waitVersion(apply(t, f.relay(1), "three", head.Version))
}

// TestRandomFaults applies changes from concurrent operators while the platform
// fails, its responses get lost, and hosts are isolated and restarted. Each confirmed
// change must come into force; start checks that no host returns to an older version.
func TestRandomFaults(t *testing.T) {
	const operators, wanted = 4, 200
	f := newFleet(t, 3, 4)
	f.startAll()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var faults, group sync.WaitGroup
	faults.Go(func() { f.injectFaults(ctx) })
	var mutex sync.Mutex
	var newest swid.ConfigVersion
	for o := range operators {
		group.Go(func() {
			for i := range wanted / operators {
				v := f.applyUntilDone(o, fmt.Sprintf("operator-%d-%d", o, i))
				mutex.Lock()
				newest = max(newest, v)
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	cancel()
	faults.Wait()
	if newest != wanted {
		t.Errorf("%d changes made %d versions", wanted, newest)
	}
	f.waitVersion(newest)
}

// injectFaults injects random faults, one at a time, until ctx ends, and then removes them.
func (f *fleet) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(3, 5))
	for ctx.Err() == nil {
		m := f.members[random.IntN(len(f.members))]
		switch random.IntN(4) {
		case 0:
			f.store.SetFaults(swmemstore.Faults{Outage: true})
		case 1:
			f.store.SetFaults(swmemstore.Faults{LostResponseRate: 0.4})
		case 2:
			f.setIsolated(m.Host, true)
		case 3:
			f.stop(m.Host)
			f.start(m)
		}
		sleep(ctx, 60)
		f.store.SetFaults(swmemstore.Faults{LostResponseRate: 0.2})
		f.setIsolated(m.Host, false)
		sleep(ctx, 60)
	}
	f.store.SetFaults(swmemstore.Faults{})
}

// applyUntilDone applies a change through the operator's host, on top of the newest
// version, until it is confirmed.
func (f *fleet) applyUntilDone(operator int, id string) swid.ConfigVersion {
	store := swstore.New(f.store, "trial")
	for range 100_000 {
		head, err := store.Head(context.Background())
		if err != nil {
			sleep(context.Background(), 5)
			continue
		}
		r := f.relay(operator)
		if r == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		v, err := r.Apply(ctx, change(id, head.Version))
		cancel()
		if err == nil {
			return v
		}
	}
	f.t.Errorf("change %s was never confirmed", id)
	return 0
}

// organisations returns n entries for the list of organisations in a document.
func organisations(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "  - {id: o%d, class: small, keyHashes: [%064x]}\n", i, i)
	}
	return b.String()
}

// BenchmarkInForce measures the time from the start of Apply until the version is in
// force on every host.
func BenchmarkInForce(b *testing.B) {
	benchmarks := []struct {
		name           string
		zones, perZone int
		organisations  int
	}{
		{"hosts=20", 4, 5, 0},
		{"hosts=6,organisations=26000", 2, 3, 26_000},
	}
	for _, bb := range benchmarks {
		b.Run(bb.name, func(b *testing.B) {
			f := newFleet(b, bb.zones, bb.perZone)
			f.startAll()
			more := "organisations:\n" + organisations(bb.organisations)
			var v swid.ConfigVersion
			for i := 0; b.Loop(); i++ {
				c := change(fmt.Sprint("change-", i), v)
				c.Document = []byte(strings.Replace(string(c.Document), "organisations:\n", more, 1))
				var err error
				if v, err = f.relay(i%len(f.members)).Apply(context.Background(), c); err != nil {
					b.Fatal(err)
				}
				for f.lowestVersion() < v {
					time.Sleep(100 * time.Microsecond)
				}
			}
		})
	}
}
