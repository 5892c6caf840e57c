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

// fleet runs many cores in virtual time. Heartbeats arrive within a tick;
// failures show as Missed some ticks later.
type fleet struct {
	now    swclock.Millis
	hosts  []swid.HostID
	cores  map[swid.HostID]*Core
	nodes  map[swid.HostID]*Member
	alive  map[swid.HostID]bool
	cut    func(a, b swid.HostID) bool
	queue  []func()
	rumors map[swid.HostID]int
	// bytes are counted while a benchmark asks for it.
	counting bool
	bytes    int
}

func newFleet(regions, perRegion int) *fleet {
	f := &fleet{
		cores: make(map[swid.HostID]*Core), nodes: make(map[swid.HostID]*Member), alive: make(map[swid.HostID]bool),
		cut: func(_, _ swid.HostID) bool { return false }, rumors: make(map[swid.HostID]int),
	}
	for r := range regions {
		for i := range perRegion {
			h := swid.HostID(fmt.Sprintf("h%d-%02d", r, i))
			f.hosts = append(f.hosts, h)
			f.nodes[h] = &Member{Host: h, Incarnation: 1, Region: swid.RegionID(fmt.Sprintf("r%d", r)), Address: string(h) + ":1"}
			f.start(h)
		}
	}
	f.list(f.hosts)
	return f
}

func (f *fleet) start(h swid.HostID) {
	f.cores[h] = NewCore(*f.nodes[h], func() swid.ConfigVersion { return 1 })
	f.alive[h] = true
}

// list gives every host the platform's list.
func (f *fleet) list(hosts []swid.HostID) {
	var listed []swobject.Host
	for _, h := range hosts {
		m := f.nodes[h]
		listed = append(listed, swobject.Host{ID: h, Region: m.Region, Address: m.Address, State: swobject.HostLive})
	}
	for _, h := range f.hosts {
		f.step(h, Listed{Hosts: listed})
	}
}

func (f *fleet) step(h swid.HostID, e Event) {
	if !f.alive[h] {
		return
	}
	for _, b := range f.cores[h].Step(f.now, e).Beats {
		if f.counting {
			f.bytes += heartbeatBytes(b.Heartbeat)
		}
		f.rumors[h] += len(b.Heartbeat.Rumors)
		f.queue = append(f.queue, func() { f.deliver(h, b) })
	}
}

func (f *fleet) deliver(from swid.HostID, b Beat) {
	if !f.alive[b.To] || !f.alive[from] || f.cut(from, b.To) {
		f.step(from, Missed{Host: b.To})
		return
	}
	f.step(b.To, Heard{From: swlink.Peer{Host: from, Incarnation: f.nodes[from].Incarnation}, Heartbeat: b.Heartbeat})
}

// run lets time pass.
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

// state is what one host holds of another.
func (f *fleet) state(at, of swid.HostID) swmsg.MemberState {
	for _, m := range f.cores[at].Members() {
		if m.Host == of {
			return m.State
		}
	}
	return 0
}

// wrong lists pairs of live hosts of which the first does not hold the second alive,
// or a dead host that is not held dead.
func (f *fleet) wrong() []string {
	var wrong []string
	for _, a := range f.hosts {
		held := make(map[swid.HostID]swmsg.MemberState)
		for _, m := range f.cores[a].Members() {
			held[m.Host] = m.State
		}
		for _, b := range f.hosts {
			if !f.alive[a] || a == b {
				continue
			}
			if s := held[b]; f.alive[b] && s != swmsg.MemberAlive || !f.alive[b] && s != swmsg.MemberDead {
				wrong = append(wrong, fmt.Sprintf("%s holds %s as %d", a, b, s))
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
		f.cut = func(a, b swid.HostID) bool { return side[a] != side[b] }
		f.run(swclock.Millis(rapid.IntRange(1, 120).Draw(t, "cut")) * swclock.Second)
		for _, h := range f.hosts {
			f.alive[h] = rapid.IntRange(0, 9).Draw(t, "killed") > 0
		}
		f.cut = func(_, _ swid.HostID) bool { return false }
		f.run(4 * swclock.Minute)
		if wrong := f.wrong(); len(wrong) > 0 {
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
	if wrong := f.wrong(); len(wrong) > 0 {
		t.Errorf("%d wrong views after %d ms, first %s", len(wrong), bound, wrong[0])
	}
}

func TestRumorsAreBounded(t *testing.T) {
	f := newFleet(3, 20)
	f.run(30 * swclock.Second)
	clear(f.rumors)
	f.run(30 * swclock.Second)
	for h, n := range f.rumors {
		if n > 0 {
			t.Errorf("%s passes on %d rumors of a fleet at rest", h, n)
		}
	}
	f.alive["h0-03"] = false
	f.run(30 * swclock.Second)
	for h, n := range f.rumors {
		// Suspicion and death are passed on a bounded number of times each; heartbeats to the dead add a few.
		if n > 4*rumorSends+20 {
			t.Errorf("%s passed on %d rumors of one death", h, n)
		}
	}
}

func TestRegionsLoseEachOther(t *testing.T) {
	f := newFleet(3, 10)
	f.run(10 * swclock.Second)
	region := func(h swid.HostID) swid.RegionID { return f.nodes[h].Region }
	f.cut = func(a, b swid.HostID) bool {
		return region(a) != region(b) && region(a) != "r2" && region(b) != "r2"
	}
	f.run(swclock.Hour)
	for _, a := range f.hosts {
		for _, b := range f.hosts {
			if region(a) == region(b) && a != b && f.state(a, b) == swmsg.MemberDead {
				t.Fatalf("%s holds %s of its own region as dead", a, b)
			}
		}
	}
	f.cut = func(_, _ swid.HostID) bool { return false }
	f.run(2 * swclock.Minute)
	if wrong := f.wrong(); len(wrong) > 0 {
		t.Errorf("%d wrong views, first %s", len(wrong), wrong[0])
	}
}

func TestReplacedProcess(t *testing.T) {
	f := newFleet(1, 6)
	f.run(5 * swclock.Second)
	f.nodes["h0-01"].Incarnation = 2
	f.start("h0-01")
	f.list(f.hosts)
	f.run(5 * swclock.Second)
	for _, h := range f.hosts {
		i := slices.IndexFunc(f.cores[h].Members(), func(m Member) bool { return m.Host == "h0-01" })
		if got := f.cores[h].Members()[i]; got.Incarnation != 2 || got.State != swmsg.MemberAlive {
			t.Errorf("%s holds %+v", h, got)
		}
	}
	c := f.cores["h0-02"]
	c.Step(f.now, Heard{From: swlink.Peer{Host: "h0-01", Incarnation: 1}, Heartbeat: swmsg.Heartbeat{
		Rumors: []swmsg.Rumor{{Host: "h0-03", Incarnation: 1, State: swmsg.MemberDead}},
	}})
	if f.state("h0-02", "h0-03") != swmsg.MemberAlive {
		t.Error("a message of the old process counted")
	}
}

func TestPlatformIsDown(t *testing.T) {
	f := newFleet(2, 5)
	f.run(5 * swclock.Second)
	f.hosts = append(f.hosts, "new")
	f.nodes["new"] = &Member{Host: "new", Incarnation: 7, Region: "r0", Address: "new:1"}
	f.start("new")
	// The newcomer has an old list with one host; the others know nothing of it.
	f.step("new", Listed{Hosts: []swobject.Host{{ID: "h0-00", Region: "r0", Address: "h0-00:1", State: swobject.HostLive}}})
	f.run(2 * swclock.Hour)
	for _, h := range f.hosts {
		for _, m := range f.cores[h].Members() {
			if m.Host == "new" && (m.Address != "new:1" || m.Region != "r0") {
				t.Errorf("%s cannot reach the newcomer: %+v", h, m)
			}
		}
		if h != "new" && (f.state(h, "new") != swmsg.MemberAlive || f.state("new", h) != swmsg.MemberAlive) {
			t.Errorf("%s and the newcomer do not know each other", h)
		}
	}
}

func TestLeaving(t *testing.T) {
	f := newFleet(1, 8)
	f.run(5 * swclock.Second)
	f.step("h0-04", Left{})
	f.run(3 * swclock.Second)
	for _, h := range f.hosts {
		if s := f.state(h, "h0-04"); s != swmsg.MemberLeaving {
			t.Errorf("%s holds the leaving host as %d", h, s)
		}
	}
}
