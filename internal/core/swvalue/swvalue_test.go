package swvalue

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// bench drives a cell by hand.
type bench struct {
	cell *Cell[Fastest, ByWorth]
	now  swclock.Millis
	seq  swid.Seq
}

// newBench returns a cell with targets of one place each.
func newBench(targets ...swid.TargetID) *bench {
	b := &bench{cell: New(Config{}, Fastest{}, ByWorth{}), now: 1000}
	b.configure(1, targets...)
	return b
}

func (b *bench) configure(slots int, targets ...swid.TargetID) {
	var conf swcell.Configure
	for _, id := range targets {
		conf.Targets = append(conf.Targets, swcell.Target{ID: id, State: swcell.TargetActive, Slots: slots})
	}
	b.step(conf)
}

func (b *bench) step(e swcell.Event) []swcell.Action { return b.cell.Step(b.now, e, nil) }

// ask returns a request with time enough.
func (b *bench) ask(change func(a *swcell.Ask)) swcell.Ask {
	b.seq++
	a := swcell.Ask{
		Key: swcell.Key{Holder: "h", Incarnation: 1, Seq: b.seq}, Attempt: 1, Org: "o", Deadline: b.now + 20*swclock.Second,
		PromptTokens: 500, OutputTokens: 100, ExpectedTokens: 50, Fingerprint: swid.Fingerprint(b.seq),
	}
	if change != nil {
		change(&a)
	}
	return a
}

// grantOf returns the grant among actions, if there is one.
func grantOf(actions []swcell.Action) (swcell.Grant, bool) {
	for _, a := range actions {
		if g, ok := a.(swcell.Grant); ok {
			return g, true
		}
	}
	return swcell.Grant{}, false
}

// run has an ask granted and ended with a result.
func (b *bench) run(a swcell.Ask, result swcell.Result) []swcell.Action {
	g, ok := grantOf(b.step(a))
	if !ok {
		panic(fmt.Sprintf("request %d was not granted", a.Key.Seq))
	}
	return b.end(g, result)
}

func (b *bench) end(g swcell.Grant, result swcell.Result) []swcell.Action {
	return b.step(swcell.Done{Key: g.Key, Attempt: g.Attempt, Target: g.Target, Result: result, OutputTokens: 50, FirstToken: 50, Total: 300})
}

// TestOrder lets two requests wait for one place, and checks which goes first.
func TestOrder(t *testing.T) {
	tests := []struct {
		name string
		// first and second arrive in this order; second is to be granted first.
		first, second func(a *swcell.Ask)
	}{
		{"the higher tier", func(a *swcell.Ask) { a.Tier = 2 }, func(a *swcell.Ask) { a.Tier = 0 }},
		{
			"the organisation's tier before the request's",
			func(a *swcell.Ask) { a.Tier, a.OrgTier = 0, 1 }, func(a *swcell.Ask) { a.Tier, a.OrgTier = 1, 0 },
		},
		{
			"what will be in time", func(a *swcell.Ask) { a.Objective = 1010 }, func(a *swcell.Ask) { a.Objective = 9000 },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench("t")
			running, _ := grantOf(b.step(b.ask(nil)))
			b.step(b.ask(tt.first))
			second := b.ask(tt.second)
			b.step(second)
			if g, ok := grantOf(b.end(running, swcell.ResultAnswered)); !ok || g.Key != second.Key {
				t.Errorf("granted %v to request %d, want %d", ok, g.Key.Seq, second.Key.Seq)
			}
		})
	}
}

// TestSuspects breaks targets with one content and checks that it is refused,
// also if a holder counted the breaks, and that others are not.
func TestSuspects(t *testing.T) {
	b := newBench("a", "b", "c")
	content := func(a *swcell.Ask) { a.Fingerprint = 99 }
	for range strikeLimit {
		if g, ok := grantOf(b.step(b.ask(content))); ok {
			b.end(g, swcell.ResultBroken)
		}
		b.now += maxBackoff
	}
	want := swcell.ReasonSuspect
	for _, a := range []swcell.Ask{b.ask(content), b.ask(func(a *swcell.Ask) { a.Strikes = strikeLimit })} {
		actions := b.step(a)
		if g, ok := actions[0].(swcell.GiveUp); !ok || g.Reason != want || g.RetryAfter <= 0 {
			t.Errorf("decided %+v", actions)
		}
	}
	if _, ok := grantOf(b.step(b.ask(nil))); !ok {
		t.Error("other content is not granted")
	}
}

// TestUnreachable keeps a target from the holder that could not connect to it,
// and not from others.
func TestUnreachable(t *testing.T) {
	b := newBench("t")
	b.run(b.ask(nil), swcell.ResultNotStarted)
	if _, ok := grantOf(b.step(b.ask(nil))); ok {
		t.Error("granted to the holder that could not connect")
	}
	other := b.ask(func(a *swcell.Ask) { a.Key.Holder = "other" })
	if g, ok := grantOf(b.step(other)); !ok || g.Key != other.Key {
		t.Errorf("granted %+v, want that of the other holder", g)
	}
}

// TestDistrust tries a target that broke twice with one request at a time, and
// not with one that may run once only while another target is sound.
func TestDistrust(t *testing.T) {
	b := newBench()
	b.configure(4, "t")
	for range failureLimit {
		b.run(b.ask(nil), swcell.ResultNoAnswer)
	}
	if _, ok := grantOf(b.step(b.ask(nil))); ok {
		t.Fatal("granted before the next try is due")
	}
	b.now += maxBackoff
	trial, ok := grantOf(b.step(swcell.Tick{}))
	if !ok {
		t.Fatal("not tried when it was due")
	}
	if _, ok := grantOf(b.step(b.ask(nil))); ok {
		t.Error("granted beside the trial")
	}
	if _, ok := grantOf(b.end(trial, swcell.ResultAnswered)); !ok {
		t.Error("not granted after the trial was answered")
	}

	b = newBench("t")
	for range failureLimit {
		b.run(b.ask(nil), swcell.ResultNoAnswer)
	}
	b.configure(1, "t", "sound")
	b.now += maxBackoff
	once := func(a *swcell.Ask) { a.NonIdempotent = true }
	if g, _ := grantOf(b.step(b.ask(once))); g.Target != "sound" {
		t.Errorf("granted %q", g.Target)
	}
	if g, ok := grantOf(b.step(b.ask(once))); ok {
		t.Errorf("a request that may run once only tries %q", g.Target)
	}
}

// TestWithdraw frees the place of what is withdrawn, and lets it ask again.
func TestWithdraw(t *testing.T) {
	b := newBench("t")
	running, waiting := b.ask(nil), b.ask(nil)
	b.step(running)
	b.step(waiting)
	if g, ok := grantOf(b.step(swcell.Withdraw{Key: running.Key, Attempt: 1})); !ok || g.Key != waiting.Key {
		t.Errorf("granted %+v, want request %d", g, waiting.Key.Seq)
	}
	b.step(running)
	if g, ok := grantOf(b.step(swcell.Withdraw{Key: waiting.Key, Attempt: 1})); !ok || g.Key != running.Key {
		t.Errorf("granted %+v, want request %d again", g, running.Key.Seq)
	}
}

// TestTakenOver counts what ran under another owner, on a target that is not listed too.
func TestTakenOver(t *testing.T) {
	b := newBench("t")
	taken := b.ask(nil)
	for _, target := range []swid.TargetID{"t", "gone"} {
		e := swcell.InFlight{Ask: taken, Target: target, Elapsed: 100, Produced: 3}
		e.Ask.Key.Seq += 1000
		if target == "t" {
			e.Ask.Key.Seq = taken.Key.Seq
		}
		b.step(e)
		b.step(e) // reported once more
	}
	if s := b.cell.Snapshot(); s.Tiers[0].Running != 2 {
		t.Errorf("%d run, want 2", s.Tiers[0].Running)
	}
	if _, ok := grantOf(b.step(b.ask(nil))); ok {
		t.Error("granted a place that is taken")
	}
	if _, ok := grantOf(b.step(swcell.Done{Key: taken.Key, Attempt: 1, Target: "t", Result: swcell.ResultAnswered})); !ok {
		t.Error("not granted after the end of what was taken over")
	}
}

// TestHolderGone drops what a dead process asked, and frees its places after a while.
func TestHolderGone(t *testing.T) {
	b := newBench("t")
	b.step(b.ask(nil))
	b.step(b.ask(nil))
	alive := b.ask(func(a *swcell.Ask) { a.Key.Incarnation = 2 })
	b.step(alive)
	if _, ok := grantOf(b.step(swcell.HolderGone{Holder: "h", Incarnation: 1})); ok {
		t.Error("granted although the target may still run the dead process's request")
	}
	b.now += orphanTime + 1
	if g, ok := grantOf(b.step(swcell.Tick{})); !ok || g.Key != alive.Key {
		t.Errorf("granted %+v, want request %d", g, alive.Key.Seq)
	}
}

// TestReview gives up what waits behind too much work, and no more than that:
// what was given up is not ahead of the others.
func TestReview(t *testing.T) {
	b := newBench("t")
	g, _ := grantOf(b.step(b.ask(func(a *swcell.Ask) { a.Deadline = swclock.Hour })))
	long := b.ask(func(a *swcell.Ask) { a.PromptTokens, a.ExpectedTokens, a.OutputTokens = 40_000, 3000, 4000 })
	long.Deadline = b.now + 20*swclock.Second
	b.step(long)
	patient := b.ask(func(a *swcell.Ask) { a.Tier, a.ExpectedTokens, a.Deadline = 2, 200, swclock.Hour })
	b.step(patient)
	// The one ahead becomes hopeless; the one behind has the target to itself then.
	b.now = long.Deadline - 7*swclock.Second
	patient.Deadline = b.now + 3*swclock.Second
	b.cell.waiting[1].ask.Deadline, b.cell.waiting[1].asked = patient.Deadline, b.now
	var given []swid.Seq
	for _, a := range b.step(swcell.Tick{}) {
		if a, ok := a.(swcell.GiveUp); ok {
			given = append(given, a.Key.Seq)
		}
	}
	if !slices.Equal(given, []swid.Seq{long.Key.Seq}) {
		t.Errorf("gave up %v, want %d", given, long.Key.Seq)
	}
	if next, ok := grantOf(b.end(g, swcell.ResultAnswered)); !ok || next.Key != patient.Key {
		t.Errorf("granted %+v, want request %d", next, patient.Key.Seq)
	}
}

// TestPlaces draws events and checks that no target gets more than its places,
// that each attempt is decided once, and that nothing that waits is granted
// after it was withdrawn.
func TestPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 2
		targets := []swid.TargetID{"a", "b", "c"}
		b := newBench()
		b.configure(slots, targets...)
		running := make(map[swcell.Key]swcell.Grant)
		deadlines := make(map[swcell.Key]swclock.Millis)
		waiting := make(map[swcell.Key]bool)
		// check counts what runs. The cell alone frees what is not reported
		// long after its deadline.
		check := func() {
			counts := make(map[swid.TargetID]int)
			for k, g := range running {
				if b.cell.running[runKey{k, 1}] == nil {
					if b.now <= deadlines[k]+lostBound {
						t.Fatalf("request %d is forgotten at %d, its deadline is %d", k.Seq, b.now, deadlines[k])
					}
					delete(running, k)
					continue
				}
				if counts[g.Target]++; counts[g.Target] > slots {
					t.Fatalf("%d run on %s", counts[g.Target], g.Target)
				}
			}
		}
		take := func(actions []swcell.Action) {
			defer check()
			for _, a := range actions {
				switch a := a.(type) {
				case swcell.Grant:
					if !waiting[a.Key] {
						t.Fatalf("request %d is granted and does not wait", a.Key.Seq)
					}
					delete(waiting, a.Key)
					running[a.Key] = a
				case swcell.GiveUp:
					if !waiting[a.Key] {
						t.Fatalf("request %d is given up and does not wait", a.Key.Seq)
					}
					delete(waiting, a.Key)
				}
			}
		}
		anyOf := func(keys []swcell.Key) swcell.Key {
			slices.SortFunc(keys, func(x, y swcell.Key) int { return int(x.Seq) - int(y.Seq) })
			return rapid.SampledFrom(keys).Draw(t, "key")
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			b.now += swclock.Millis(rapid.IntRange(0, 400).Draw(t, "time"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				a := b.ask(func(a *swcell.Ask) {
					a.Tier = swid.Tier(rapid.IntRange(0, 2).Draw(t, "tier"))
					a.NonIdempotent = rapid.Bool().Draw(t, "once")
					a.Deadline = b.now + swclock.Millis(rapid.IntRange(10, 9000).Draw(t, "left"))
					a.Fingerprint = swid.Fingerprint(rapid.IntRange(1, 5).Draw(t, "content"))
				})
				waiting[a.Key], deadlines[a.Key] = true, a.Deadline
				take(b.step(a))
			case 2:
				if len(running) == 0 {
					continue
				}
				keys := make([]swcell.Key, 0, len(running))
				for k := range running {
					keys = append(keys, k)
				}
				g := running[anyOf(keys)]
				delete(running, g.Key)
				take(b.end(g, swcell.Result(rapid.IntRange(1, int(swcell.ResultFailed)).Draw(t, "result"))))
			case 3:
				if len(waiting) == 0 {
					continue
				}
				keys := make([]swcell.Key, 0, len(waiting))
				for k := range waiting {
					keys = append(keys, k)
				}
				k := anyOf(keys)
				delete(waiting, k)
				take(b.step(swcell.Withdraw{Key: k, Attempt: 1}))
			case 4:
				take(b.step(swcell.Tick{}))
			}
		}
	})
}
