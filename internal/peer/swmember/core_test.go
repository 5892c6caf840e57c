package swmember

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// fleet runs many cores in virtual time. Heartbeats are delivered within a tick; one that
// cannot be delivered results in a LinkFailed event for its sender.
type fleet struct {
	now         swclock.Millis
	hosts       []swid.HostID
	cores       map[swid.HostID]*Core
	members     map[swid.HostID]*Member
	alive       map[swid.HostID]bool
	partitioned func(a, b swid.HostID) bool
	queue       []func()
	sentUpdates map[swid.HostID]int
	// bytes is the size of the heartbeats sent while counting is set.
	counting bool
	bytes    int
}

func newFleet(regions, perRegion int) *fleet {
	f := &fleet{
		cores: make(map[swid.HostID]*Core), members: make(map[swid.HostID]*Member), alive: make(map[swid.HostID]bool),
		partitioned: func(_, _ swid.HostID) bool { return false }, sentUpdates: make(map[swid.HostID]int),
	}
	for r := range regions {
		for i := range perRegion {
			h := swid.HostID(fmt.Sprintf("h%d-%02d", r, i))
			f.hosts = append(f.hosts, h)
			f.members[h] = &Member{Host: h, Incarnation: 1, Region: swid.RegionID(fmt.Sprintf("r%d", r)), Address: string(h) + ":1"}
			f.start(h)
		}
	}
	f.list(f.hosts)
	return f
}

func (f *fleet) start(h swid.HostID) {
	f.cores[h] = NewCore(*f.members[h], func() swid.ConfigVersion { return 1 })
	f.alive[h] = true
}

// list delivers the platform's list to every host.
func (f *fleet) list(hosts []swid.HostID) {
	var listed []swobject.Host
	for _, h := range hosts {
		m := f.members[h]
		listed = append(listed, swobject.Host{ID: h, Region: m.Region, Address: m.Address, State: swobject.HostLive})
	}
	for _, h := range f.hosts {
		f.step(h, HostsListed{Hosts: listed})
	}
}

func (f *fleet) step(h swid.HostID, e Event) {
	if !f.alive[h] {
		return
	}
	for _, out := range f.cores[h].Step(f.now, e).Heartbeats {
		if f.counting {
			f.bytes += heartbeatBytes(out.Heartbeat)
		}
		f.sentUpdates[h] += len(out.Heartbeat.Updates)
		f.queue = append(f.queue, func() { f.deliver(h, out) })
	}
}

func (f *fleet) deliver(from swid.HostID, out OutgoingHeartbeat) {
	if !f.alive[out.To] || !f.alive[from] || f.partitioned(from, out.To) {
		f.step(from, LinkFailed{Host: out.To})
		return
	}
	f.step(out.To, HeartbeatReceived{From: swlink.Peer{Host: from, Incarnation: f.members[from].Incarnation}, Heartbeat: out.Heartbeat})
}

// run advances virtual time by span.
func (f *fleet) run(span swclock.Millis) {
	for end := f.now + span; f.now < end; {
		f.now += TickInterval
		for _, h := range f.hosts {
			f.step(h, Ticked{})
		}
		for round := 0; round < 3; round++ {
			queue := f.queue
			f.queue = nil
			for _, deliver := range queue {
				deliver()
			}
		}
	}
}

// state returns the state that one host has recorded for another, or 0.
func (f *fleet) state(at, of swid.HostID) swmsg.MemberState {
	for _, m := range f.cores[at].Members() {
		if m.Host == of {
			return m.State
		}
	}
	return 0
}

// wrongViews describes each pair of hosts of which the first is alive and has recorded the
// second in the wrong state: not alive although it is, or not dead although it is.
func (f *fleet) wrongViews() []string {
	var wrong []string
	for _, a := range f.hosts {
		recorded := make(map[swid.HostID]swmsg.MemberState)
		for _, m := range f.cores[a].Members() {
			recorded[m.Host] = m.State
		}
		for _, b := range f.hosts {
			if !f.alive[a] || a == b {
				continue
			}
			if s := recorded[b]; f.alive[b] && s != swmsg.MemberAlive || !f.alive[b] && s != swmsg.MemberDead {
				wrong = append(wrong, fmt.Sprintf("%s has recorded %s as %d", a, b, s))
			}
		}
	}
	return wrong
}

func TestPartitionHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(2, 8).Draw(t, "per region"))
		f.run(5 * swclock.Second)
		side := make(map[swid.HostID]bool)
		for _, h := range f.hosts {
			side[h] = rapid.Bool().Draw(t, "side")
		}
		f.partitioned = func(a, b swid.HostID) bool { return side[a] != side[b] }
		f.run(swclock.Millis(rapid.IntRange(1, 120).Draw(t, "cut")) * swclock.Second)
		for _, h := range f.hosts {
			f.alive[h] = rapid.IntRange(0, 9).Draw(t, "killed") > 0
		}
		f.partitioned = func(_, _ swid.HostID) bool { return false }
		f.run(4 * swclock.Minute)
		if wrong := f.wrongViews(); len(wrong) > 0 {
			t.Fatalf("after the partition: %v", wrong)
		}
	})
}

func TestKilledHostIsFoundByAll(t *testing.T) {
	f := newFleet(3, 20)
	f.run(10 * swclock.Second)
	f.alive["h1-07"], f.alive["h2-00"] = false, false
	const bound = 15 * swclock.Second
	f.run(bound)
	if wrong := f.wrongViews(); len(wrong) > 0 {
		t.Errorf("%d wrong views after %d ms, first %s", len(wrong), bound, wrong[0])
	}
}

func TestRumorsAreBounded(t *testing.T) {
	f := newFleet(3, 20)
	f.run(30 * swclock.Second)
	clear(f.sentUpdates)
	f.run(30 * swclock.Second)
	for h, n := range f.sentUpdates {
		if n > 0 {
			t.Errorf("%s sent %d updates in a fleet at rest", h, n)
		}
	}
	f.alive["h0-03"] = false
	f.run(30 * swclock.Second)
	for h, n := range f.sentUpdates {
		// The suspicion and the death are each sent a bounded number of times; heartbeats to dead hosts add a few.
		if n > 4*maxUpdateSends+20 {
			t.Errorf("%s sent %d updates after one death", h, n)
		}
	}
}

func TestRegionsLoseEachOther(t *testing.T) {
	f := newFleet(3, 10)
	f.run(10 * swclock.Second)
	region := func(h swid.HostID) swid.RegionID { return f.members[h].Region }
	f.partitioned = func(a, b swid.HostID) bool {
		return region(a) != region(b) && region(a) != "r2" && region(b) != "r2"
	}
	f.run(swclock.Hour)
	for _, a := range f.hosts {
		for _, b := range f.hosts {
			if region(a) == region(b) && a != b && f.state(a, b) == swmsg.MemberDead {
				t.Fatalf("%s has recorded %s of its own region as dead", a, b)
			}
		}
	}
	f.partitioned = func(_, _ swid.HostID) bool { return false }
	f.run(2 * swclock.Minute)
	if wrong := f.wrongViews(); len(wrong) > 0 {
		t.Errorf("%d wrong views, first %s", len(wrong), wrong[0])
	}
}

func TestReplacedProcess(t *testing.T) {
	f := newFleet(1, 6)
	f.run(5 * swclock.Second)
	f.members["h0-01"].Incarnation = 2
	f.start("h0-01")
	f.list(f.hosts)
	f.run(5 * swclock.Second)
	for _, h := range f.hosts {
		i := slices.IndexFunc(f.cores[h].Members(), func(m Member) bool { return m.Host == "h0-01" })
		if got := f.cores[h].Members()[i]; got.Incarnation != 2 || got.State != swmsg.MemberAlive {
			t.Errorf("%s has recorded %+v", h, got)
		}
	}
	c := f.cores["h0-02"]
	c.Step(f.now, HeartbeatReceived{From: swlink.Peer{Host: "h0-01", Incarnation: 1}, Heartbeat: swmsg.Heartbeat{
		Updates: []swmsg.MemberUpdate{{Host: "h0-03", Incarnation: 1, State: swmsg.MemberDead}},
	}})
	if f.state("h0-02", "h0-03") != swmsg.MemberAlive {
		t.Error("a message of the old process took effect")
	}
}

func TestPlatformIsDown(t *testing.T) {
	f := newFleet(2, 5)
	f.run(5 * swclock.Second)
	f.hosts = append(f.hosts, "new")
	f.members["new"] = &Member{Host: "new", Incarnation: 7, Region: "r0", Address: "new:1"}
	f.start("new")
	// The new host has an old list with one host, and the others have no record of the new host.
	f.step("new", HostsListed{Hosts: []swobject.Host{{ID: "h0-00", Region: "r0", Address: "h0-00:1", State: swobject.HostLive}}})
	f.run(2 * swclock.Hour)
	for _, h := range f.hosts {
		for _, m := range f.cores[h].Members() {
			if m.Host == "new" && (m.Address != "new:1" || m.Region != "r0") {
				t.Errorf("%s cannot reach the new host: %+v", h, m)
			}
		}
		if h != "new" && (f.state(h, "new") != swmsg.MemberAlive || f.state("new", h) != swmsg.MemberAlive) {
			t.Errorf("%s and the new host have not recorded each other as alive", h)
		}
	}
}

func TestLeaving(t *testing.T) {
	f := newFleet(1, 8)
	f.run(5 * swclock.Second)
	f.step("h0-04", LeaveRequested{})
	f.run(3 * swclock.Second)
	for _, h := range f.hosts {
		if s := f.state(h, "h0-04"); s != swmsg.MemberLeaving {
			t.Errorf("%s has recorded the leaving host as %d", h, s)
		}
	}
}
