package swreach

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// pathsTest has the paths of a host and what they reported.
type pathsTest struct {
	*Paths
	clock     swclock.Manual
	changes   []string
	doubted   int
	suspected int
}

// newPathsTest returns the paths to targets of two services: "a1" to "a3" of a, and "b1" of b.
func newPathsTest() *pathsTest {
	p := &pathsTest{}
	p.clock.Advance(swclock.Minute)
	p.Paths = NewPaths(&p.clock, Hooks{
		Changed:   func(s swid.ServiceID, cut bool) { p.changes = append(p.changes, fmt.Sprint(s, " ", cut)) },
		Doubted:   func() { p.doubted++ },
		Suspected: func() { p.suspected++ },
	})
	p.Configure(map[swid.TargetID]swid.ServiceID{"a1": "a", "a2": "a", "a3": "a", "b1": "b"})
	return p
}

// TestCut checks what a host is taken for cut off by.
func TestCut(t *testing.T) {
	tests := []struct {
		name string
		run  func(p *pathsTest)
		want []swid.ServiceID
	}{
		{"nothing known", func(*pathsTest) {}, nil},
		{"one target failed", func(p *pathsTest) { p.Failed("a1", p.clock.Now()) }, nil},
		{"one target failed twice", func(p *pathsTest) { p.Failed("a1", p.clock.Now()); p.Failed("a1", p.clock.Now()) }, nil},
		{"two targets failed", func(p *pathsTest) { p.Failed("a1", p.clock.Now()); p.Failed("a2", p.clock.Now()) }, []swid.ServiceID{"a", "b"}},
		{"one was heard from in between", func(p *pathsTest) {
			p.Failed("a1", p.clock.Now())
			p.clock.Advance(1)
			p.Heard("a3")
			p.clock.Advance(1)
			p.Failed("a2", p.clock.Now())
		}, nil},
		{"another service was heard from in between", func(p *pathsTest) {
			p.Failed("a1", p.clock.Now())
			p.clock.Advance(1)
			p.Heard("b1")
			p.clock.Advance(1)
			p.Failed("a2", p.clock.Now())
		}, []swid.ServiceID{"a"}},
		{"the only target of a service failed", func(p *pathsTest) { p.Heard("a1"); p.clock.Advance(1); p.Failed("b1", p.clock.Now()) }, []swid.ServiceID{"b"}},
		{"the failures are far apart", func(p *pathsTest) {
			p.Failed("a1", p.clock.Now())
			p.clock.Advance(failureMemory)
			p.Failed("a2", p.clock.Now())
		}, nil},
		{"two exchanges broke", func(p *pathsTest) {
			p.Begin("a1", 10, nil, nil).End(EndingBroken)
			p.Begin("a2", 10, nil, nil).End(EndingBroken)
		}, nil},
		{"two exchanges could not connect", func(p *pathsTest) {
			p.Begin("a1", 10, nil, nil).End(EndingUnconnected)
			p.Begin("a2", 10, nil, nil).End(EndingUnconnected)
		}, []swid.ServiceID{"a", "b"}},
		{"it reached one again", func(p *pathsTest) {
			p.Failed("a1", p.clock.Now())
			p.Failed("a2", p.clock.Now())
			p.clock.Advance(1)
			p.Heard("a1")
		}, []swid.ServiceID(nil)},
		{"it reached one of another service again", func(p *pathsTest) {
			p.Heard("b1")
			p.clock.Advance(1)
			p.Failed("a1", p.clock.Now())
			p.Failed("a2", p.clock.Now())
			p.clock.Advance(1)
			p.Heard("b1")
		}, []swid.ServiceID{"a"}},
		{"the cut lasts", func(p *pathsTest) {
			p.Failed("a1", p.clock.Now())
			p.Failed("a2", p.clock.Now())
			p.clock.Advance(10 * failureMemory)
		}, []swid.ServiceID{"a", "b"}},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			p := newPathsTest()
			e.run(p)
			for _, service := range []swid.ServiceID{"a", "b"} {
				if got, want := p.Cut(service), slices.Contains(e.want, service); got != want {
					t.Errorf("cut off from service %s: %t, want %t", service, got, want)
				}
			}
			if got := p.CutServices(); !slices.Equal(got, e.want) {
				t.Errorf("cut services %v, want %v", got, e.want)
			}
		})
	}
}

// TestCutOfNoTarget checks that a service without targets, and one that is not listed, is not cut.
func TestCutOfNoTarget(t *testing.T) {
	p := newPathsTest()
	p.Configure(nil)
	p.Failed("a1", p.clock.Now())
	if p.Cut("a") || p.Cut("unknown") || len(p.CutServices()) > 0 {
		t.Error("a host is cut off from a service without targets")
	}
}

// TestOverdueExchange checks that an exchange that is overdue has the targets probed, and is ended once the probes
// fail, another host reaches its target and this one still does not.
func TestOverdueExchange(t *testing.T) {
	p := newPathsTest()
	p.Heard("a1")
	p.clock.Advance(1)
	aborted := 0
	p.Begin("a1", 100, func() bool { aborted++; return true }, nil)
	asked := 0
	p.Begin("a1", 100, func() bool { asked++; return asked > 1 }, nil)
	kept := p.Begin("a2", 100, nil, nil)
	defer kept.End(EndingSound)
	p.clock.Advance(minStall + stallFactor*100)
	p.Review()
	if p.doubted != 3 || p.suspected != 0 {
		t.Fatalf("%d exchanges doubted and %d services suspected when exchanges became overdue, want 3 and 0", p.doubted, p.suspected)
	}
	p.clock.Advance(ConfirmAfter)
	p.Review()
	if p.suspected != 1 || p.Cut("a") || aborted > 0 {
		t.Fatalf("suspected %d times, cut %t, %d exchanges ended after the confirmation, want 1, false and 0", p.suspected, p.Cut("a"), aborted)
	}
	if got := p.ToProbe(); !slices.Equal(got, []swid.TargetID{"a1", "a2", "a3"}) {
		t.Fatalf("targets to probe %v, want all of the service, the latest heard first", got)
	}
	p.Failed("a1", p.clock.Now())
	if p.Cut("a") {
		t.Error("cut off after one probe failed")
	}
	p.Failed("a3", p.clock.Now())
	if !p.Cut("a") || aborted > 0 {
		t.Errorf("cut %t and %d exchanges ended after two probes failed, want true and 0", p.Cut("a"), aborted)
	}
	if got := p.ToLookFor(); len(got) != 1 || got[0].Target != "a1" {
		t.Errorf("targets to look for %v, want the one whose exchanges may be ended", got)
	}
	before := p.clock.Now()
	p.clock.Advance(1)
	p.HeardElsewhere("a1")
	p.Failed("a1", before)
	if aborted > 0 {
		t.Errorf("%d exchanges ended after a look that began before another host reached the target", aborted)
	}
	p.Failed("a1", p.clock.Now())
	if aborted != 1 {
		t.Errorf("%d exchanges ended once the path was confirmed to be lost, want 1", aborted)
	}
	p.Review()
	if aborted != 1 {
		t.Errorf("an exchange was ended %d times", aborted)
	}
	p.Review()
	if asked != 2 {
		t.Errorf("an exchange that was not ended the first time was asked to end %d times, want 2", asked)
	}
	if want := []string{"a true", "b true"}; !slices.Equal(slices.Sorted(slices.Values(p.changes)), want) {
		t.Errorf("changes %v, want %v", p.changes, want)
	}
}

// TestSilentTarget checks that a target that is silent while others of its service are heard from takes no service
// away: no probe of others, no cut and no exchange that is ended.
func TestSilentTarget(t *testing.T) {
	p := newPathsTest()
	silent := p.Begin("a1", 20, func() bool { t.Error("the exchange with the silent target was ended"); return true }, nil)
	for range 200 {
		p.clock.Advance(10)
		p.Heard("a2")
		p.Review()
		if p.Cut("a") {
			t.Fatal("cut off although a target is heard from")
		}
	}
	silent.End(EndingBroken)
	if got := p.suspected; got > 1 {
		t.Errorf("the service was suspected %d times, want once at most, at the end", got)
	}
}

// TestSuspendedHost checks that a process that was suspended does not take what it finds overdue for lost.
func TestSuspendedHost(t *testing.T) {
	p := newPathsTest()
	x := p.Begin("a1", 20, func() bool { t.Error("the exchange was ended"); return true }, nil)
	y := p.Begin("a2", 20, func() bool { t.Error("the exchange was ended"); return true }, nil)
	p.clock.Advance(3 * swclock.Second)
	p.Review()
	p.clock.Advance(1)
	x.Heard()
	y.Heard()
	p.clock.Advance(ConfirmAfter)
	p.Review()
	x.End(EndingSound)
	y.End(EndingSound)
	if p.suspected > 0 || p.Cut("a") {
		t.Errorf("suspected %d times, cut %t, want neither", p.suspected, p.Cut("a"))
	}
}

// TestSuspect checks that the targets of which another host reaches none are probed, unless one was heard from a
// moment ago.
func TestSuspect(t *testing.T) {
	p := newPathsTest()
	p.Heard("a1")
	p.clock.Advance(serviceProvenTime - 1)
	p.Suspect([]swid.ServiceID{"a", "unknown"})
	if p.suspected > 0 || len(p.ToProbe()) > 0 {
		t.Fatal("a service is suspected that was heard from a moment ago")
	}
	p.clock.Advance(1)
	p.Suspect([]swid.ServiceID{"a"})
	p.Suspect([]swid.ServiceID{"a"})
	if p.suspected != 1 || len(p.ToProbe()) != 3 {
		t.Fatalf("suspected %d times, %v to probe, want once and three targets", p.suspected, p.ToProbe())
	}
	p.Heard("a2")
	if got := p.ToProbe(); len(got) > 0 {
		t.Errorf("%v to probe after one was heard from", got)
	}
}

// TestProbesTakeTurns checks that all targets of a cut service are probed in turn.
func TestProbesTakeTurns(t *testing.T) {
	p := newPathsTest()
	p.Failed("a1", p.clock.Now())
	p.Failed("a2", p.clock.Now())
	probed := make(map[swid.TargetID]int)
	for range 8 {
		p.clock.Advance(1)
		id := p.ToProbe()[0]
		probed[id]++
		p.Failed(id, p.clock.Now())
	}
	for _, id := range []swid.TargetID{"a1", "a2", "a3", "b1"} {
		if probed[id] != 2 {
			t.Errorf("target %s was probed %d times in 8 turns, want 2", id, probed[id])
		}
	}
}

// TestProven checks when a path needs no probe.
func TestProven(t *testing.T) {
	p := newPathsTest()
	if p.Proven("a1") || p.Proven("unknown") {
		t.Error("a path is proven of which nothing is known")
	}
	p.Heard("a1")
	if !p.Proven("a1") || !p.Proven("a2") {
		t.Error("no path is proven right after a target of the service was heard from")
	}
	p.clock.Advance(serviceProvenTime)
	if !p.Proven("a1") || p.Proven("a2") {
		t.Error("want the path proven to the target that was heard from, and none to the other")
	}
	p.clock.Advance(1)
	p.Failed("a1", p.clock.Now())
	if p.Proven("a1") {
		t.Error("a path is proven after a failure")
	}
}

// TestSilentToAll guards against exchanges that are ended at targets that are silent to all hosts.
func TestSilentToAll(t *testing.T) {
	keeps := func() bool { return false }
	tests := []struct {
		name string
		// run is called once two probes have failed while an exchange with a1 was overdue.
		run func(p *pathsTest)
		// lost is set if the exchange is to be ended.
		lost bool
	}{
		{"no host reaches it", func(p *pathsTest) {
			for range 4 {
				p.clock.Advance(500)
				p.Failed("a1", p.clock.Now())
				p.Review()
			}
		}, false},
		{"another host reaches another target", func(p *pathsTest) { p.HeardElsewhere("a2"); p.Failed("a1", p.clock.Now()) }, false},
		{"another host reaches it, and this one does again", func(p *pathsTest) {
			p.HeardElsewhere("a1")
			p.Heard("a1")
			p.Failed("a1", p.clock.Now())
		}, false},
		{"another host reached it before a later exchange began", func(p *pathsTest) {
			p.Begin("a2", 0, keeps, nil)
			p.HeardElsewhere("a2")
			p.Failed("a2", p.clock.Now())
			p.clock.Advance(1)
			p.Begin("a2", 0, func() bool { t.Error("a later exchange was ended"); return true }, nil)
			p.clock.Advance(minStall)
			p.Review()
			p.clock.Advance(ConfirmAfter)
			p.Review()
		}, false},
		{"another host reaches it", func(p *pathsTest) { p.HeardElsewhere("a1"); p.Failed("a1", p.clock.Now()) }, true},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			p := newPathsTest()
			ended := false
			p.Begin("a1", 0, func() bool { ended = true; return true }, nil)
			p.clock.Advance(minStall)
			p.Review()
			p.clock.Advance(ConfirmAfter)
			p.Review()
			p.Failed("a1", p.clock.Now())
			p.Failed("a2", p.clock.Now())
			p.clock.Advance(1)
			e.run(p)
			if ended != e.lost {
				t.Errorf("the exchange was ended: %t, want %t", ended, e.lost)
			}
		})
	}
}

// TestDeadTarget guards against exchanges that are ended at a target that is silent for two seconds, and against ones that go on at a target that
// is dead.
func TestDeadTarget(t *testing.T) {
	const interval = 500 * swclock.Millis(1)
	tests := []struct {
		name string
		// looks is the number of looks that fail, one each interval. during is called before each with its number; it may be nil.
		looks  int
		during func(p *pathsTest, look int)
		ended  bool
	}{
		{"silent for two seconds", 4, nil, false},
		{"dead", 6, nil, true},
		{"dead and no longer listed", 6, func(p *pathsTest, look int) {
			if look == 2 {
				p.Configure(map[swid.TargetID]swid.ServiceID{"a2": "a", "a3": "a", "b1": "b"})
			}
		}, true},
		{"heard from in between", 8, func(p *pathsTest, look int) {
			if look == 4 {
				p.Heard("a1")
			}
		}, false},
		{"looked for long ago", 5, func(p *pathsTest, look int) {
			if look == 1 {
				p.clock.Advance(maxLookGap + 1)
			}
		}, false},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			p := newPathsTest()
			ended := 0
			kept := p.Begin("a1", 0, nil, nil)
			x := p.Begin("a1", 0, func() bool { ended++; return true }, nil)
			p.clock.Advance(minStall)
			p.Review()
			p.clock.Advance(lookAfter - minStall)
			p.Heard("a2") // the service is not cut
			if got := p.ToLookFor(); len(got) != 1 || got[0].Target != "a1" {
				t.Fatalf("targets to look for %v, want a1", got)
			}
			for look := range e.looks {
				if e.during != nil {
					e.during(p, look)
				}
				p.clock.Advance(interval)
				p.Failed("a1", p.clock.Now()-interval)
				p.Heard("a2")
				p.Review()
			}
			if (ended > 0) != e.ended || ended > 1 {
				t.Errorf("ended %d times, want an end: %t", ended, e.ended)
			}
			x.End(EndingBroken)
			kept.End(EndingBroken)
			p.Configure(nil)
			if len(p.targets) > 0 {
				t.Errorf("%d targets are kept that are not listed and have no exchange", len(p.targets))
			}
		})
	}
}

// TestOldFailureEndsNothing guards against exchanges that are ended, as soon as they are overdue, for what was found long before.
func TestOldFailureEndsNothing(t *testing.T) {
	tests := []struct {
		name string
		fail func(p *pathsTest)
	}{
		{"one failed look", func(p *pathsTest) { p.Failed("a1", p.clock.Now()) }},
		{"failed looks of two seconds", func(p *pathsTest) {
			for range 4 {
				p.clock.Advance(500)
				p.Failed("a1", p.clock.Now()-500)
			}
		}},
		{"the path was lost", func(p *pathsTest) {
			p.HeardElsewhere("a1")
			p.Failed("a1", p.clock.Now())
		}},
		{"dead for a while", func(p *pathsTest) {
			for range 6 {
				p.clock.Advance(500)
				p.Failed("a1", p.clock.Now()-500)
			}
		}},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			p := newPathsTest()
			p.Begin("a1", 4*swclock.Second, func() bool { t.Error("the exchange was ended before its target was looked for"); return true }, nil)
			p.clock.Advance(100)
			e.fail(p)
			for range 100 {
				if len(p.ToLookFor()) > 0 {
					return
				}
				p.clock.Advance(100)
				p.Heard("a2")
				p.Review()
			}
			t.Error("the target is never looked for")
		})
	}
}

// TestDeadTargetOfNoService guards against exchanges that are never ended at a dead target because no target of its service is listed.
func TestDeadTargetOfNoService(t *testing.T) {
	p := newPathsTest()
	ended := false
	x := p.Begin("b1", 0, func() bool { ended = true; return true }, nil)
	p.Configure(map[swid.TargetID]swid.ServiceID{"a1": "a"})
	x.Heard()
	for range 10 {
		p.clock.Advance(500)
		p.Heard("a1")
		p.Review()
		for _, w := range p.ToLookFor() {
			p.Failed(w.Target, p.clock.Now()-400)
		}
	}
	if !ended {
		t.Error("the exchange goes on at the dead target")
	}
}

// TestProvenOfNoService guards against a panic when a target with an exchange has left the list as the last of its service.
func TestProvenOfNoService(t *testing.T) {
	p := newPathsTest()
	p.Begin("b1", 0, nil, nil).Heard()
	p.Begin("c1", 0, nil, nil)
	p.Configure(map[swid.TargetID]swid.ServiceID{"a1": "a"})
	p.clock.Advance(provenTime)
	if p.Proven("b1") || p.Proven("c1") {
		t.Error("a path to a target that is not listed is proven")
	}
}
