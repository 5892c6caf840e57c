package swvalue

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
)

// harness drives a cell with single events.
type harness struct {
	cell *Cell[Fastest, ByWorth]
	now  swclock.Millis
	seq  swid.Seq
}

// newHarness returns a harness whose targets have one slot each.
func newHarness(targets ...swid.TargetID) *harness {
	b := &harness{cell: New(Config{}, Fastest{}, ByWorth{}), now: 1000}
	b.configure(1, targets...)
	return b
}

func (b *harness) configure(slots int, targets ...swid.TargetID) {
	var conf swcell.Configure
	for _, id := range targets {
		conf.Targets = append(conf.Targets, swcell.Target{ID: id, State: swcell.TargetActive, Slots: slots})
	}
	b.step(conf)
}

func (b *harness) step(e swcell.Event) []swcell.Action { return b.cell.Step(b.now, e, nil) }

// newGrantRequest returns the grant request of a new request with a distant deadline,
// after change was applied to it.
func (b *harness) newGrantRequest(change func(a *swcell.GrantRequest)) swcell.GrantRequest {
	b.seq++
	a := swcell.GrantRequest{
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

// run sends a grant request, expects its grant and ends the run with a result.
func (b *harness) run(a swcell.GrantRequest, result swcell.Result) []swcell.Action {
	g, ok := grantOf(b.step(a))
	if !ok {
		panic(fmt.Sprintf("request %d was not granted", a.Key.Seq))
	}
	return b.end(g, result)
}

func (b *harness) end(g swcell.Grant, result swcell.Result) []swcell.Action {
	return b.step(swcell.Done{Key: g.Key, Attempt: g.Attempt, Target: g.Target, Result: result, OutputTokens: 50, FirstToken: 50, Total: 300})
}

// TestOrder lets two requests wait for one slot, and checks which is granted first.
func TestOrder(t *testing.T) {
	tests := []struct {
		name string
		// first and second arrive in this order; second is to be granted first.
		first, second func(a *swcell.GrantRequest)
	}{
		{"the higher tier", func(a *swcell.GrantRequest) { a.Tier = 2 }, func(a *swcell.GrantRequest) { a.Tier = 0 }},
		{
			"the organisation's tier before the request's",
			func(a *swcell.GrantRequest) { a.Tier, a.OrgTier = 0, 1 }, func(a *swcell.GrantRequest) { a.Tier, a.OrgTier = 1, 0 },
		},
		{
			"what will be in time", func(a *swcell.GrantRequest) { a.Objective = 1010 }, func(a *swcell.GrantRequest) { a.Objective = 9000 },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness("t")
			running, _ := grantOf(b.step(b.newGrantRequest(nil)))
			b.step(b.newGrantRequest(tt.first))
			second := b.newGrantRequest(tt.second)
			b.step(second)
			if g, ok := grantOf(b.end(running, swcell.ResultAnswered)); !ok || g.Key != second.Key {
				t.Errorf("granted %v to request %d, want %d", ok, g.Key.Seq, second.Key.Seq)
			}
		})
	}
}

// TestSuspects crashes targets with one content and checks that the content is then
// rejected, also if the strikes were counted by a holder, and that other content is not.
func TestSuspects(t *testing.T) {
	b := newHarness("a", "b", "c")
	content := func(a *swcell.GrantRequest) { a.Fingerprint = 99 }
	for range strikeLimit {
		if g, ok := grantOf(b.step(b.newGrantRequest(content))); ok {
			b.end(g, swcell.ResultBroken)
		}
		b.now += maxBackoff
	}
	want := swcell.ReasonSuspect
	for _, a := range []swcell.GrantRequest{b.newGrantRequest(content), b.newGrantRequest(func(a *swcell.GrantRequest) { a.Strikes = strikeLimit })} {
		actions := b.step(a)
		if g, ok := actions[0].(swcell.Reject); !ok || g.Reason != want || g.RetryAfter <= 0 {
			t.Errorf("got actions %+v, want a rejection of suspect content", actions)
		}
	}
	if _, ok := grantOf(b.step(b.newGrantRequest(nil))); !ok {
		t.Error("other content is not granted")
	}
}

// rejectedAsSuspect reports whether the actions reject a request for its content.
func rejectedAsSuspect(actions []swcell.Action) bool {
	return slices.ContainsFunc(actions, func(a swcell.Action) bool {
		r, ok := a.(swcell.Reject)
		return ok && r.Reason == swcell.ReasonSuspect
	})
}

// TestContentOnCrashedTarget guards against content that is refused because several requests with
// it ran on a target that crashed once.
func TestContentOnCrashedTarget(t *testing.T) {
	b := newHarness()
	b.configure(strikeLimit, "a")
	content := func(a *swcell.GrantRequest) { a.Fingerprint = 99 }
	var grants []swcell.Grant
	for range strikeLimit {
		g, ok := grantOf(b.step(b.newGrantRequest(content)))
		if !ok {
			t.Fatal("not granted")
		}
		grants = append(grants, g)
	}
	b.now += 100
	for _, g := range grants {
		b.end(g, swcell.ResultBroken)
	}
	if rejectedAsSuspect(b.step(b.newGrantRequest(content))) {
		t.Error("content is refused after one crash")
	}
}

// TestSilentCrashes guards against content that is never refused because its targets fall silent, or
// because its callers leave, before their connections end.
func TestSilentCrashes(t *testing.T) {
	const content = 99
	tests := []struct {
		name string
		// run ends a run of the content on target "a", which began 2 s ago.
		run  func(b *harness, g swcell.Grant)
		want int
	}{
		{"restart noticed before the end", func(b *harness, g swcell.Grant) {
			b.relist(2, swcell.TargetActive)
			b.now += 100
			b.end(g, swcell.ResultCancelled)
		}, 1},
		{"restart noticed after the end", func(b *harness, g swcell.Grant) {
			b.end(g, swcell.ResultNoAnswer)
			b.now += 3 * swclock.Second
			b.relist(2, swcell.TargetActive)
		}, 1},
		{"restart noticed long after the end", func(b *harness, g swcell.Grant) {
			b.end(g, swcell.ResultCancelled)
			b.now += 10 * swclock.Second
			b.relist(2, swcell.TargetActive)
		}, 0},
		{"removed before the end", func(b *harness, g swcell.Grant) {
			b.step(swcell.Configure{})
			b.now += 100
			b.end(g, swcell.ResultCancelled)
		}, 1},
		{"removed after the end", func(b *harness, g swcell.Grant) {
			b.end(g, swcell.ResultCancelled)
			b.now += 3 * swclock.Second
			b.step(swcell.Configure{})
		}, 1},
		{"removed, but answers another run afterwards", func(b *harness, g swcell.Grant) {
			other, _ := grantOf(b.step(b.newGrantRequest(nil)))
			b.step(swcell.Configure{})
			b.now += 100
			b.end(other, swcell.ResultAnswered)
			b.end(g, swcell.ResultCancelled)
		}, 0},
		{"removed after draining", func(b *harness, g swcell.Grant) {
			b.relist(1, swcell.TargetDraining)
			b.end(g, swcell.ResultCancelled)
			b.step(swcell.Configure{})
		}, 0},
		{"answered", func(b *harness, g swcell.Grant) {
			b.end(g, swcell.ResultAnswered)
			b.now += 100
			b.relist(2, swcell.TargetActive)
		}, 0},
		{"the caller left, and the target answered another run before it was started anew", func(b *harness, g swcell.Grant) {
			other, _ := grantOf(b.step(b.newGrantRequest(nil)))
			b.end(g, swcell.ResultCancelled)
			b.now += 100
			b.end(other, swcell.ResultAnswered)
			b.now += 2 * swclock.Second
			b.relist(2, swcell.TargetActive)
		}, 0},
		{"the caller left, and the target broke during a later run", func(b *harness, g swcell.Grant) {
			b.end(g, swcell.ResultCancelled)
			later, _ := grantOf(b.step(b.newGrantRequest(nil)))
			b.now += 100
			b.end(later, swcell.ResultBroken)
			b.now += 2 * swclock.Second
			b.relist(2, swcell.TargetActive)
		}, 0},
		{"several runs of the content", func(b *harness, g swcell.Grant) {
			other, _ := grantOf(b.step(b.newGrantRequest(func(a *swcell.GrantRequest) { a.Fingerprint = content })))
			b.now += 100
			b.relist(2, swcell.TargetActive)
			b.now += 100
			b.end(g, swcell.ResultCancelled)
			b.end(other, swcell.ResultNoAnswer)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness()
			b.relist(1, swcell.TargetActive)
			g, _ := grantOf(b.step(b.newGrantRequest(func(a *swcell.GrantRequest) { a.Fingerprint = content })))
			b.now += 2 * swclock.Second
			strikes := 0
			b.cell.cfg.OnStrikes = func(c StrikeChange) {
				if c.Content == content {
					strikes = c.Strikes
				}
			}
			tt.run(b, g)
			if strikes != tt.want {
				t.Errorf("%d strikes, want %d", strikes, tt.want)
			}
		})
	}
}

// relist configures target "a" with a time of start and a state.
func (b *harness) relist(born int64, state swcell.TargetState) {
	b.step(swcell.Configure{Targets: []swcell.Target{{ID: "a", State: state, Slots: 4, Born: born}}})
}

// TestWaitingContentIsRefused guards against content that is granted after it was refused, because
// it waited for a target meanwhile.
func TestWaitingContentIsRefused(t *testing.T) {
	b := newHarness("a")
	running, _ := grantOf(b.step(b.newGrantRequest(nil)))
	content := func(a *swcell.GrantRequest) { a.Fingerprint = 99 }
	b.step(b.newGrantRequest(content))
	b.step(b.newGrantRequest(func(a *swcell.GrantRequest) { a.Fingerprint, a.Strikes = 99, strikeLimit }))
	actions := b.end(running, swcell.ResultAnswered)
	if g, ok := grantOf(actions); ok {
		t.Errorf("request %d is granted although its content is refused", g.Key.Seq)
	}
	if !rejectedAsSuspect(actions) {
		t.Error("the waiting request was not rejected for its content")
	}
}

// TestUnreachable checks that a target is not granted again to a holder that could not
// connect to it, and is still granted to other holders.
func TestUnreachable(t *testing.T) {
	b := newHarness("t")
	b.run(b.newGrantRequest(nil), swcell.ResultNotStarted)
	if _, ok := grantOf(b.step(b.newGrantRequest(nil))); ok {
		t.Error("granted to the holder that could not connect")
	}
	other := b.newGrantRequest(func(a *swcell.GrantRequest) { a.Key.Holder = "other" })
	if g, ok := grantOf(b.step(other)); !ok || g.Key != other.Key {
		t.Errorf("granted %+v, want the request of the other holder", g)
	}
}

// TestDistrust checks that a target that twice gave no answer is probed with one
// request at a time, and not with a non-idempotent one while another target is healthy.
func TestDistrust(t *testing.T) {
	b := newHarness()
	b.configure(4, "t")
	for range unansweredLimit {
		b.run(b.newGrantRequest(nil), swcell.ResultNoAnswer)
	}
	if _, ok := grantOf(b.step(b.newGrantRequest(nil))); ok {
		t.Fatal("granted before the next probe was due")
	}
	b.now += maxBackoff
	probe, ok := grantOf(b.step(swcell.Tick{}))
	if !ok {
		t.Fatal("no probe was granted when it was due")
	}
	if _, ok := grantOf(b.step(b.newGrantRequest(nil))); ok {
		t.Error("granted while the probe ran")
	}
	if _, ok := grantOf(b.end(probe, swcell.ResultAnswered)); !ok {
		t.Error("not granted after the probe was answered")
	}

	b = newHarness("t")
	for range unansweredLimit {
		b.run(b.newGrantRequest(nil), swcell.ResultNoAnswer)
	}
	b.configure(1, "t", "sound")
	b.now += maxBackoff
	nonIdempotent := func(a *swcell.GrantRequest) { a.NonIdempotent = true }
	if g, _ := grantOf(b.step(b.newGrantRequest(nonIdempotent))); g.Target != "sound" {
		t.Errorf("granted target %q to a non-idempotent request, want the healthy target", g.Target)
	}
	if g, ok := grantOf(b.step(b.newGrantRequest(nonIdempotent))); ok {
		t.Errorf("a non-idempotent request probes target %q", g.Target)
	}
}

// TestWithdraw checks that withdrawing a grant frees its slot, and that a grant for the
// same attempt can then be requested again.
func TestWithdraw(t *testing.T) {
	b := newHarness("t")
	running, waiting := b.newGrantRequest(nil), b.newGrantRequest(nil)
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

// TestTakenOver checks that attempts which were dispatched under another owner occupy
// slots and are counted once, also on a target that is not listed.
func TestTakenOver(t *testing.T) {
	b := newHarness("t")
	adopted := b.newGrantRequest(nil)
	for _, target := range []swid.TargetID{"t", "gone"} {
		e := swcell.InFlight{GrantRequest: adopted, Target: target, Elapsed: 100, Produced: 3}
		e.GrantRequest.Key.Seq += 1000
		if target == "t" {
			e.GrantRequest.Key.Seq = adopted.Key.Seq
		}
		b.step(e)
		b.step(e) // reported twice
	}
	if s := b.cell.Snapshot(); s.Tiers[0].Running != 2 {
		t.Errorf("%d attempts run, want 2", s.Tiers[0].Running)
	}
	if _, ok := grantOf(b.step(b.newGrantRequest(nil))); ok {
		t.Error("granted a slot that is in use")
	}
	if _, ok := grantOf(b.step(swcell.Done{Key: adopted.Key, Attempt: 1, Target: "t", Result: swcell.ResultAnswered})); !ok {
		t.Error("not granted after the attempt of the other owner ended")
	}
}

// TestHolderGone checks that the waiting requests of a dead process are removed, and
// that its runs keep their slots until orphanTimeout.
func TestHolderGone(t *testing.T) {
	b := newHarness("t")
	b.step(b.newGrantRequest(nil))
	b.step(b.newGrantRequest(nil))
	alive := b.newGrantRequest(func(a *swcell.GrantRequest) { a.Key.Incarnation = 2 })
	b.step(alive)
	if _, ok := grantOf(b.step(swcell.HolderDied{Holder: "h", Incarnation: 1})); ok {
		t.Error("granted although the target may still run the dead process's request")
	}
	b.now += orphanTimeout + 1
	if g, ok := grantOf(b.step(swcell.Tick{})); !ok || g.Key != alive.Key {
		t.Errorf("granted %+v, want request %d", g, alive.Key.Seq)
	}
}

// TestReview checks that a request that can no longer meet its deadline is rejected, and
// that the request behind it is not: a rejected request no longer delays it.
func TestReview(t *testing.T) {
	b := newHarness("t")
	g, _ := grantOf(b.step(b.newGrantRequest(func(a *swcell.GrantRequest) { a.Deadline = swclock.Hour })))
	long := b.newGrantRequest(func(a *swcell.GrantRequest) { a.PromptTokens, a.ExpectedTokens, a.OutputTokens = 40_000, 3000, 4000 })
	long.Deadline = b.now + 20*swclock.Second
	b.step(long)
	short := b.newGrantRequest(func(a *swcell.GrantRequest) { a.Tier, a.ExpectedTokens, a.Deadline = 2, 200, swclock.Hour })
	b.step(short)
	// The request ahead becomes infeasible; the one behind then has the target to itself.
	b.now = long.Deadline - 7*swclock.Second
	short.Deadline = b.now + 3*swclock.Second
	b.cell.waiting[1].grantRequest.Deadline, b.cell.waiting[1].requestedAt = short.Deadline, b.now
	var rejected []swid.Seq
	for _, a := range b.step(swcell.Tick{}) {
		if a, ok := a.(swcell.Reject); ok {
			rejected = append(rejected, a.Key.Seq)
		}
	}
	if !slices.Equal(rejected, []swid.Seq{long.Key.Seq}) {
		t.Errorf("rejected %v, want %d", rejected, long.Key.Seq)
	}
	if next, ok := grantOf(b.end(g, swcell.ResultAnswered)); !ok || next.Key != short.Key {
		t.Errorf("granted %+v, want request %d", next, short.Key.Seq)
	}
}

// TestPlaces draws random events and checks that no target runs more requests than it
// has slots, that each attempt is decided once, and that no request is granted after
// it was withdrawn.
func TestPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 2
		targets := []swid.TargetID{"a", "b", "c"}
		b := newHarness()
		b.configure(slots, targets...)
		running := make(map[swcell.Key]swcell.Grant)
		deadlines := make(map[swcell.Key]swclock.Millis)
		waiting := make(map[swcell.Key]bool)
		// check compares the running attempts with the cell's. The cell ends a run by
		// itself only after lostRunTimeout past its deadline.
		check := func() {
			counts := make(map[swid.TargetID]int)
			for k, g := range running {
				if b.cell.running[runKey{k, 1}] == nil {
					if b.now <= deadlines[k]+lostRunTimeout {
						t.Fatalf("run of request %d was ended at %d ms, its deadline is at %d ms", k.Seq, b.now, deadlines[k])
					}
					delete(running, k)
					continue
				}
				if counts[g.Target]++; counts[g.Target] > slots {
					t.Fatalf("%d requests run on target %s", counts[g.Target], g.Target)
				}
			}
		}
		handle := func(actions []swcell.Action) {
			defer check()
			for _, a := range actions {
				switch a := a.(type) {
				case swcell.Grant:
					if !waiting[a.Key] {
						t.Fatalf("request %d was granted but did not wait", a.Key.Seq)
					}
					delete(waiting, a.Key)
					running[a.Key] = a
				case swcell.Reject:
					if !waiting[a.Key] {
						t.Fatalf("request %d was rejected but did not wait", a.Key.Seq)
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
				a := b.newGrantRequest(func(a *swcell.GrantRequest) {
					a.Tier = swid.Tier(rapid.IntRange(0, 2).Draw(t, "tier"))
					a.NonIdempotent = rapid.Bool().Draw(t, "once")
					a.Deadline = b.now + swclock.Millis(rapid.IntRange(10, 9000).Draw(t, "left"))
					a.Fingerprint = swid.Fingerprint(rapid.IntRange(1, 5).Draw(t, "content"))
				})
				waiting[a.Key], deadlines[a.Key] = true, a.Deadline
				handle(b.step(a))
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
				handle(b.end(g, swcell.Result(rapid.IntRange(1, int(swcell.ResultFailed)).Draw(t, "result"))))
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
				handle(b.step(swcell.Withdraw{Key: k, Attempt: 1}))
			case 4:
				handle(b.step(swcell.Tick{}))
			}
		}
	})
}

// TestProgressAtOneInstant guards against a cell that panics after two reports of a run arrived together.
func TestProgressAtOneInstant(t *testing.T) {
	b := newHarness("t")
	running, _ := grantOf(b.step(b.newGrantRequest(nil)))
	for _, produced := range []swid.Tokens{10, 50} {
		b.step(swcell.Progress{Key: running.Key, Attempt: running.Attempt, Produced: produced})
	}
	b.step(swcell.Tick{})
	waiting := b.newGrantRequest(nil)
	b.step(waiting)
	b.now += swclock.Second
	if g, ok := grantOf(b.end(running, swcell.ResultAnswered)); !ok || g.Key != waiting.Key {
		t.Errorf("granted %v to request %d, want %d", ok, g.Key.Seq, waiting.Key.Seq)
	}
}

// TestLeavingTarget checks that a target whose answer says that it is leaving is granted no more requests
// until it is started anew.
func TestLeavingTarget(t *testing.T) {
	b := newHarness()
	b.relist(1, swcell.TargetActive)
	running, _ := grantOf(b.step(b.newGrantRequest(nil)))
	b.step(swcell.Progress{
		Key: running.Key, Attempt: running.Attempt, Produced: 10, Statement: swlimit.Statement{Heard: true, Leaving: true},
	})
	if g, ok := grantOf(b.step(b.newGrantRequest(nil))); ok {
		t.Errorf("granted %s, which is leaving", g.Target)
	}
	b.relist(1, swcell.TargetActive)
	if g, ok := grantOf(b.step(b.newGrantRequest(nil))); ok {
		t.Errorf("granted %s, which is leaving, after it was listed again", g.Target)
	}
	b.now += 100
	b.relist(2, swcell.TargetActive)
	b.step(swcell.Done{
		Key: running.Key, Attempt: running.Attempt, Target: running.Target, Result: swcell.ResultBroken,
		Statement: swlimit.Statement{Heard: true, Leaving: true},
	})
	if _, ok := grantOf(b.step(b.newGrantRequest(nil))); !ok {
		t.Error("the target is not granted after it was started anew")
	}
}
