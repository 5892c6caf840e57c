package swreach

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func anyHost(swid.HostID) bool { return true }

// newDirectory returns a directory of hosts "h0" to "h8" in zones "z0" to "z2", which carry requests.
func newDirectory(now swclock.Millis) *Directory {
	d := NewDirectory()
	for i := range 9 {
		d.Update(swid.HostID(fmt.Sprint("h", i)), Report{Zone: swid.ZoneID(fmt.Sprint("z", i%3)), Carries: true}, now)
	}
	return d
}

// TestPick checks which hosts are picked as carriers of h0.
func TestPick(t *testing.T) {
	const now = swclock.Minute
	tests := []struct {
		name   string
		change func(d *Directory)
		reach  func(swid.HostID) bool
		// want are the hosts of which one is to be picked; none if it is empty.
		want []swid.HostID
	}{
		{"of its zone", func(*Directory) {}, anyHost, []swid.HostID{"h3", "h6"}},
		{"that reaches the target", func(*Directory) {}, func(h swid.HostID) bool { return h == "h5" }, []swid.HostID{"h5"}},
		{"that is not cut", func(d *Directory) {
			for _, h := range []swid.HostID{"h3", "h6"} {
				d.Update(h, Report{Zone: "z0", Carries: true, Cut: []swid.ServiceID{"s"}}, now)
			}
		}, func(h swid.HostID) bool { return h != "h1" && h != "h2" }, []swid.HostID{"h4", "h5", "h7", "h8"}},
		{"cut off from another service only", func(d *Directory) {
			d.Update("h3", Report{Zone: "z0", Carries: true, Cut: []swid.ServiceID{"other"}}, now)
		}, func(h swid.HostID) bool { return h == "h3" }, []swid.HostID{"h3"}},
		{"that can carry", func(d *Directory) { d.Update("h3", Report{Zone: "z0"}, now) },
			func(h swid.HostID) bool { return h == "h3" || h == "h6" }, []swid.HostID{"h6"}},
		{"that is present", func(d *Directory) { d.Remove("h3") },
			func(h swid.HostID) bool { return h == "h3" || h == "h6" }, []swid.HostID{"h6"}},
		{"that stays", func(d *Directory) { d.Update("h3", Report{Zone: "z0", Carries: true, Leaving: true}, now) },
			func(h swid.HostID) bool { return h == "h3" || h == "h6" }, []swid.HostID{"h6"}},
		{"for a host that leaves", func(d *Directory) { d.Update("h0", Report{Zone: "z0", Carries: true, Leaving: true}, now) },
			func(h swid.HostID) bool { return h == "h3" }, []swid.HostID{"h3"}},
		{"that could be reached", func(d *Directory) { d.Avoid("h0", "h3", now) },
			func(h swid.HostID) bool { return h == "h3" || h == "h6" }, []swid.HostID{"h6"}},
		{"that another one could not reach", func(d *Directory) { d.Avoid("h1", "h3", now) },
			func(h swid.HostID) bool { return h == "h3" }, []swid.HostID{"h3"}},
		{"that has room", func(d *Directory) {
			for range maxCarried {
				d.Began("h3")
			}
		}, func(h swid.HostID) bool { return h == "h3" || h == "h6" }, []swid.HostID{"h6"}},
		{"none reaches the target", func(*Directory) {}, func(swid.HostID) bool { return false }, nil},
		{"the holder is of an earlier build", func(d *Directory) { d.Update("h0", Report{Zone: "z0"}, now) }, anyHost, nil},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			d := newDirectory(now)
			e.change(d)
			got, ok := d.Pick("h0", "s", now, e.reach)
			if ok != (len(e.want) > 0) || ok && !slices.Contains(e.want, got) {
				t.Errorf("picked %q, %t, want one of %v", got, ok, e.want)
			}
		})
	}
}

// TestPickSpreads checks that the requests of many hosts are spread over the carriers, and those of one over
// few.
func TestPickSpreads(t *testing.T) {
	const (
		now      = swclock.Minute
		hosts    = 300
		cut      = 140
		requests = 20
	)
	d := NewDirectory()
	for i := range hosts {
		r := Report{Zone: swid.ZoneID(fmt.Sprint("z", i%3)), Carries: true}
		if i < cut {
			r.Cut = []swid.ServiceID{"s"}
		}
		d.Update(swid.HostID(fmt.Sprint("h", i)), r, now)
	}
	carried := make(map[swid.HostID]int)
	for i := range cut {
		carriers := make(map[swid.HostID]bool)
		for range requests {
			c, ok := d.Pick(swid.HostID(fmt.Sprint("h", i)), "s", now, anyHost)
			if !ok {
				t.Fatal("no carrier")
			}
			d.Began(c)
			carriers[c] = true
			carried[c]++
		}
		if len(carriers) > choices {
			t.Fatalf("the requests of one host are carried by %d others, want %d at most", len(carriers), choices)
		}
	}
	const mean = cut * requests / (hosts - cut)
	for c, n := range carried {
		if n > 4*mean {
			t.Errorf("host %s carries %d requests, the mean is %d", c, n, mean)
		}
	}
}

// TestPresence checks that hosts that do not report are forgotten.
func TestPresence(t *testing.T) {
	now := swclock.Minute
	d := newDirectory(now)
	d.Update("h1", Report{Zone: "z1", Carries: true, Cut: []swid.ServiceID{"s", "a"}}, now)
	d.Update("h2", Report{Zone: "z2", Carries: true, Cut: []swid.ServiceID{"s"}}, now)
	if got := d.CutServices(now); !slices.Equal(got, []swid.ServiceID{"a", "s"}) {
		t.Errorf("cut services %v, want a and s", got)
	}
	now += presenceTime + 1
	if got := d.CutServices(now); len(got) > 0 {
		t.Errorf("cut services %v of hosts that are gone", got)
	}
	d.Update("h0", Report{Zone: "z0", Carries: true}, now)
	if got, ok := d.Pick("h0", "s", now, anyHost); ok {
		t.Errorf("picked %s, which does not report", got)
	}
	now += 2 * swclock.Minute
	d.Update("h0", Report{Zone: "z0", Carries: true}, now)
	if got := len(d.hosts); got != 1 {
		t.Errorf("%d hosts are kept, want the one that reports", got)
	}
	d.Ended("h5") // forgotten
}

// TestReaching checks which hosts reach a service, and when its outage began.
func TestReaching(t *testing.T) {
	const now = swclock.Minute
	all := []swid.HostID{"a", "b", "c", "d", "e", "f", "g", "h"}
	report := func(d *Directory, at swclock.Millis, cut bool, hosts ...swid.HostID) {
		for _, host := range hosts {
			r := Report{Zone: "z0", Carries: true}
			if cut {
				r.Cut = []swid.ServiceID{"other", "s"}
			}
			d.Update(host, r, at)
		}
	}
	tests := []struct {
		name string
		run  func(d *Directory)
		// since is when the outage began, and hosts is the number of hosts that reach the service, 2 at most.
		since swclock.Millis
		hosts int
	}{
		{"no host has reported", func(*Directory) {}, 0, 0},
		{"all reach it", func(d *Directory) { report(d, now, false, all...) }, now, 2},
		{"one does not", func(d *Directory) { report(d, now-9, false, all...); report(d, now-5, true, "a") }, now, 2},
		{"two do not", func(d *Directory) {
			report(d, now-9, false, all...)
			report(d, now-5, true, "a")
			report(d, now-4, true, "b")
		}, now - 4, 2},
		{"one after the other does not", func(d *Directory) {
			report(d, now-9, false, all...)
			for i, host := range all {
				report(d, now-8+swclock.Millis(i), true, host)
			}
			report(d, now, true, all...)
		}, now - 7, 0},
		{"one does for a moment", func(d *Directory) {
			report(d, now-9, true, all...)
			report(d, now-5, false, "b")
			report(d, now-4, true, "b")
		}, now - 9, 0},
		{"one does", func(d *Directory) { report(d, now-9, true, all...); report(d, now-5, false, "b") }, now - 9, 1},
		{"all do for a moment", func(d *Directory) {
			report(d, now-9, true, all...)
			report(d, now-5, false, all...)
			report(d, now-4, true, all...)
		}, now - 4, 0},
		{"the only one that does leaves", func(d *Directory) {
			report(d, now-9, false, "b")
			report(d, now-5, true, "a", "c")
			d.Remove("b")
		}, now - 5, 0},
		{"the only one that does is not heard from", func(d *Directory) {
			report(d, now-presenceTime-1, false, "b")
			report(d, now-5, true, "a", "c")
		}, now - 5, 0},
		{"none has reported since", func(d *Directory) { report(d, now-presenceTime-1, true, "a", "b") }, 0, 0},
		{"none had reported for some time", func(d *Directory) {
			report(d, now-3*presenceTime, true, "a", "b")
			report(d, now-9, true, "a")
		}, now - 9, 0},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			d := NewDirectory()
			e.run(d)
			hosts, since, known := d.Reaching("s", now, anyHost)
			if len(hosts) != e.hosts || since != e.since || known != (e.since > 0) {
				t.Errorf("known %t, reached by %q, since %d, want %d hosts and %d", known, hosts, since, e.hosts, e.since)
			}
			hosts, _, _ = d.Reaching("s", now, func(swid.HostID) bool { return false })
			if len(hosts) > 0 {
				t.Errorf("reached by %q, none of which can", hosts)
			}
		})
	}
}
