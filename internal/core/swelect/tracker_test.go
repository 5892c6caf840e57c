package swelect

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const cell swid.CellID = "chat@lis"

// parcel is a message under way: an ask, a grant or a recovery.
type parcel struct {
	from, to swid.HostID
	ask      bool
	insist   bool
	epoch    swid.Epoch
}

// world holds hosts that are holders and possible owners of one cell.
type world struct {
	t        *rapid.T
	now      swclock.Millis
	hosts    []swid.HostID
	trackers map[swid.HostID]*Tracker
	offices  map[swid.HostID]*Office
	cut      map[[2]swid.HostID]bool
	mail     []parcel
	// highest is what each holder has seen by the test's own account, granted the owner of its last valid grant.
	highest map[swid.HostID]Term
	granted map[swid.HostID]swid.HostID
	// preferred has the pairs of owners of which a holder preferred the first under one epoch.
	preferred map[[2]swid.HostID]bool
}

func newWorld(t *rapid.T, hosts int) *world {
	w := &world{
		t: t, trackers: make(map[swid.HostID]*Tracker), offices: make(map[swid.HostID]*Office),
		cut: make(map[[2]swid.HostID]bool), highest: make(map[swid.HostID]Term), granted: make(map[swid.HostID]swid.HostID),
		preferred: make(map[[2]swid.HostID]bool),
	}
	for i := range hosts {
		h := swid.HostID(fmt.Sprintf("h%d", i))
		w.hosts = append(w.hosts, h)
		w.trackers[h], w.offices[h] = NewTracker(h, cell), &Office{}
	}
	for _, h := range w.hosts {
		w.see(h, w.hosts)
	}
	return w
}

// see gives one host a view of the members.
func (w *world) see(h swid.HostID, members []swid.HostID) {
	var candidates []Candidate
	for _, m := range members {
		candidates = append(candidates, Candidate{Host: m})
	}
	w.trackers[h].SetCandidates(candidates)
}

func (w *world) ask(h swid.HostID) {
	c := w.trackers[h].Choose(w.now)
	w.post(parcel{from: h, to: c.Host, ask: true, insist: c.Insist, epoch: w.trackers[h].Epoch()})
}

// post sends a message, or tells the sender that the receiver is out of reach.
func (w *world) post(p parcel) {
	if p.from != p.to && w.cut[[2]swid.HostID{p.from, p.to}] {
		w.trackers[p.from].Failed(w.now, p.to)
		return
	}
	w.mail = append(w.mail, p)
}

func (w *world) deliver(i int) {
	p := w.mail[i]
	w.mail = slices.Delete(w.mail, i, i+1)
	if p.ask {
		w.answer(p)
		return
	}
	w.offices[p.to].Heard(p.epoch)
	term := Term{Epoch: p.epoch, Owner: p.from}
	seen := w.highest[p.to]
	accepted := w.trackers[p.to].Accept(p.from, p.epoch)
	if accepted && term.Epoch < seen.Epoch || !accepted && term.Epoch > seen.Epoch {
		w.t.Fatalf("%s: term %+v accepted=%t after %+v", p.to, term, accepted, seen)
	}
	if term.Epoch == seen.Epoch && term.Owner != seen.Owner {
		w.tie(seen.Owner, p.from, accepted)
	}
	if accepted {
		w.highest[p.to] = term
		w.granted[p.to] = p.from
	}
}

// tie checks that all holders prefer the same one of two owners of one epoch.
func (w *world) tie(seen, next swid.HostID, accepted bool) {
	winner, loser := seen, next
	if accepted {
		winner, loser = next, seen
	}
	if w.preferred[[2]swid.HostID{loser, winner}] {
		w.t.Fatalf("of two terms of one epoch, %s was preferred to %s and the reverse", loser, winner)
	}
	w.preferred[[2]swid.HostID{winner, loser}] = true
}

func (w *world) answer(p parcel) {
	o, self := w.offices[p.to], p.to
	best := w.trackers[self].Choose(w.now).Host == self
	switch o.Asked(p.epoch, best, p.insist) {
	case Redirect:
		return
	case TakeOver:
		for _, h := range w.hosts {
			w.post(parcel{from: self, to: h, epoch: o.Epoch()})
		}
	}
	w.post(parcel{from: self, to: p.from, epoch: o.Epoch()})
}

// TestNoGrantBelowTheHighestTerm runs any interleaving of views, cuts, restarts,
// losses and deliveries, and then checks that one owner remains.
func TestNoGrantBelowTheHighestTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "hosts"))
		host := rapid.SampledFrom(w.hosts)
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) { w.ask(host.Draw(t, "host")) },
			"deliver": func(t *rapid.T) {
				if len(w.mail) > 0 {
					w.deliver(rapid.IntRange(0, len(w.mail)-1).Draw(t, "parcel"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(w.mail) > 0 {
					i := rapid.IntRange(0, len(w.mail)-1).Draw(t, "parcel")
					w.mail = slices.Delete(w.mail, i, i+1)
				}
			},
			"see": func(t *rapid.T) {
				w.see(host.Draw(t, "host"), rapid.SliceOfDistinct(host, rapid.ID[swid.HostID]).Draw(t, "members"))
			},
			"cut": func(t *rapid.T) {
				w.cut[[2]swid.HostID{host.Draw(t, "from"), host.Draw(t, "to")}] = rapid.Bool().Draw(t, "cut")
			},
			"restart": func(t *rapid.T) { w.offices[host.Draw(t, "host")] = &Office{} },
			"wait":    func(*rapid.T) { w.now += swclock.Second },
		})
		clear(w.cut)
		w.now += swclock.Minute
		for _, h := range w.hosts {
			w.see(h, w.hosts)
		}
		for range 8 {
			for _, h := range w.hosts {
				w.ask(h)
			}
			for len(w.mail) > 0 {
				w.deliver(0)
			}
		}
		want := Rank(cell, w.hosts)[0]
		for _, h := range w.hosts {
			w.granted[h] = ""
			w.ask(h)
			for len(w.mail) > 0 {
				w.deliver(0)
			}
			if w.granted[h] != want {
				t.Fatalf("%s was granted by %q, want %q", h, w.granted[h], want)
			}
		}
	})
}

func TestFrozenOwnerWakes(t *testing.T) {
	tracker := NewTracker("holder", cell)
	if !tracker.Accept("old", 5) || !tracker.Accept("new", 6) {
		t.Fatal("a higher epoch was refused")
	}
	if tracker.Accept("old", 5) || tracker.Epoch() != 6 {
		t.Error("the frozen owner's grant counted")
	}
	var old Office
	old.Heard(4)
	if v := old.Asked(4, true, false); v != TakeOver || old.Epoch() != 5 {
		t.Fatalf("verdict %d, epoch %d", v, old.Epoch())
	}
	if v := old.Asked(6, false, false); v != Redirect || old.Epoch() != 0 {
		t.Errorf("verdict %d, epoch %d", v, old.Epoch())
	}
	if v := old.Asked(6, false, true); v != TakeOverFor || old.Epoch() != 7 {
		t.Errorf("verdict %d, epoch %d", v, old.Epoch())
	}
}

func TestTrackerInsists(t *testing.T) {
	tracker := NewTracker("c", cell)
	tracker.SetCandidates([]Candidate{{Host: "a"}, {Host: "b"}, {Host: "c"}})
	ranked := Rank(cell, []swid.HostID{"a", "b", "c"})
	var others []swid.HostID
	for _, h := range ranked {
		if h != "c" {
			others = append(others, h)
		}
	}
	for _, h := range others {
		tracker.Failed(0, h)
	}
	if got := tracker.Choose(0); got.Host != "c" || got.Insist != (ranked[0] != "c") {
		t.Errorf("with nobody in reach: %+v", got)
	}
	tracker.Reached(others[0])
	if got := tracker.Choose(0); got.Host != others[0] && ranked[0] != "c" {
		t.Errorf("with one in reach: %+v", got)
	}
	if got := tracker.Choose(retryTime); got != (Choice{Host: ranked[0]}) {
		t.Errorf("after the wait: %+v", got)
	}
}
