package swvalue

import (
	"slices"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// fakeRollouts returns what a test sets, and records what a cell tells. It implements Rollouts.
type fakeRollouts struct {
	standing          Standing
	versions          swrollout.Versions
	arrived           int
	granted, returned []swid.SoftwareVersion
	answers           []swrollout.Answer
	mayLast           swclock.Millis
	situation         swrollout.Situation
}

func (f *fakeRollouts) Standing(swclock.Millis) Standing { return f.standing }
func (f *fakeRollouts) Versions(_ swrollout.Route, mayLast, _ swclock.Millis) swrollout.Versions {
	f.mayLast = mayLast
	return f.versions
}
func (f *fakeRollouts) Arrived(swclock.Millis) { f.arrived++ }
func (f *fakeRollouts) Granted(v swid.SoftwareVersion, _ swclock.Millis) {
	f.granted = append(f.granted, v)
}
func (f *fakeRollouts) Returned(v swid.SoftwareVersion, _ swclock.Millis) {
	f.returned = append(f.returned, v)
}
func (f *fakeRollouts) Observe(a swrollout.Answer, _ swclock.Millis) {
	f.answers = append(f.answers, a)
}
func (f *fakeRollouts) Report(s swrollout.Situation, _ swclock.Millis) { f.situation = s }

// newRolloutHarness returns a harness with a target "old" at version v1 and a target "new" at v2.
func newRolloutHarness(f *fakeRollouts) *harness {
	b := &harness{cell: New(Config{Service: "s", Rollouts: f}, Fastest{}, ByWorth{}), now: 1000}
	b.step(swcell.Configure{Targets: []swcell.Target{
		{ID: "old", State: swcell.TargetActive, Slots: 2, Version: "v1", Born: 1},
		{ID: "new", State: swcell.TargetActive, Slots: 2, Version: "v2", Born: 2, Warmup: 3 * swclock.Second},
	}})
	b.now += arrivalGrace
	return b
}

func continuing(version swid.SoftwareVersion) func(*swcell.GrantRequest) {
	return func(a *swcell.GrantRequest) {
		a.Continuation = sworigin.Continuation{Continues: true, Stream: 1, Origin: sworigin.Origin{Service: "s", Version: version}}
	}
}

// TestRolloutVersions checks at which version a request runs.
func TestRolloutVersions(t *testing.T) {
	trial := Standing{Ordered: true, Open: true, To: "v2", Trial: true, OldServes: true}
	moving := Standing{Ordered: true, Open: true, To: "v2", OldServes: true, NewServes: true}
	onTrial := swrollout.Versions{Old: true, New: true, PreferNew: true}
	excludeOld := func(a *swcell.GrantRequest) { a.Attempt, a.Exclude = 2, []swid.TargetID{"old"} }
	tests := []struct {
		name     string
		standing Standing
		versions swrollout.Versions
		change   func(*swcell.GrantRequest)
		want     swid.TargetID
	}{
		{"no order, the faster target", Standing{}, swrollout.Versions{}, nil, "old"},
		{"trial without exposure", trial, swrollout.Versions{Old: true}, nil, "old"},
		{"trial, a target that is expected to be slower", trial, onTrial, nil, "new"},
		{"trial, a target that is to be avoided", trial, swrollout.Versions{Old: true, New: true, PreferNew: true, Avoid: "new"}, nil, "new"},
		{"trial without exposure, retry", trial, swrollout.Versions{Old: true}, excludeOld, ""},
		{"trial, retry", trial, onTrial, excludeOld, "new"},
		{"trial without exposure, stream of the new version", trial, swrollout.Versions{Old: true}, continuing("v2"), ""},
		{"trial, stream of the new version", trial, onTrial, continuing("v2"), "new"},
		{"trial, stream of the old version", trial, onTrial, continuing("v1"), "old"},
		{"rolled back, retry", Standing{Ordered: true, To: "v2", OldServes: true}, swrollout.Versions{Old: true}, excludeOld, ""},
		{"rolled back, stream of the new version", Standing{Ordered: true, To: "v2", OldServes: true}, swrollout.Versions{Old: true}, continuing("v2"), ""},
		{"moving", moving, onTrial, nil, "new"},
		{"moving, too late for the old version", moving, swrollout.Versions{New: true, PreferNew: true}, continuing("v1"), ""},
		{"completed", Standing{Ordered: true, To: "v2", NewServes: true}, swrollout.Versions{New: true}, nil, "new"},
		{"an unknown version", Standing{Withheld: []swid.SoftwareVersion{"v2"}}, swrollout.Versions{}, excludeOld, ""},
		{"the other version is unknown", Standing{Withheld: []swid.SoftwareVersion{"v1"}}, swrollout.Versions{}, nil, "new"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeRollouts{}
			b := newRolloutHarness(f)
			b.run(b.newGrantRequest(func(a *swcell.GrantRequest) { a.Exclude = []swid.TargetID{"new"} }), swcell.ResultAnswered)
			slower, _ := grantOf(b.step(b.newGrantRequest(func(a *swcell.GrantRequest) { a.Exclude = []swid.TargetID{"old"} })))
			b.step(swcell.Done{
				Key: slower.Key, Attempt: slower.Attempt, Target: "new", Result: swcell.ResultAnswered, OutputTokens: 50, FirstToken: 100, Total: 900,
			})
			f.standing, f.versions, f.granted = tt.standing, tt.versions, nil
			b.now += swclock.Second
			g, _ := grantOf(b.step(b.newGrantRequest(tt.change)))
			if g.Target != tt.want {
				t.Errorf("granted %q, want %q", g.Target, tt.want)
			}
			if counted := len(f.granted) == 1; counted != (tt.standing.Ordered && tt.want == "new") {
				t.Errorf("recorded grants %v", f.granted)
			}
		})
	}
}

// TestRolloutAnswers checks which ends of attempts are held against a version.
func TestRolloutAnswers(t *testing.T) {
	tests := []struct {
		name        string
		done        swcell.Done
		change      func(*swcell.GrantRequest)
		counts, bad bool
	}{
		{"answered", swcell.Done{Result: swcell.ResultAnswered}, nil, true, false},
		{"cut off", swcell.Done{Result: swcell.ResultBroken}, nil, true, true},
		{"cut off with the path", swcell.Done{Result: swcell.ResultBroken, PathLost: true}, nil, false, false},
		{"cut off with the carrier", swcell.Done{Result: swcell.ResultNoAnswer, CarrierLost: true}, nil, false, false},
		{"none", swcell.Done{Result: swcell.ResultNoAnswer}, nil, true, true},
		{"error status", swcell.Done{Result: swcell.ResultFailed, TargetFault: true}, nil, true, true},
		{"error status passed on", swcell.Done{Result: swcell.ResultRejected, TargetFault: true}, nil, true, true},
		{"rejected", swcell.Done{Result: swcell.ResultRejected}, nil, false, false},
		{"failed in the build before", swcell.Done{Result: swcell.ResultFailed}, nil, true, true},
		{"not continued", swcell.Done{Result: swcell.ResultFailed}, continuing("v2"), false, false},
		{"cancelled", swcell.Done{Result: swcell.ResultCancelled}, nil, false, false},
		{"not started", swcell.Done{Result: swcell.ResultNotStarted}, nil, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeRollouts{standing: Standing{Ordered: true, Open: true, To: "v2", Trial: true, OldServes: true},
				versions: swrollout.Versions{Old: true, New: true, PreferNew: true}}
			b := newRolloutHarness(f)
			g, _ := grantOf(b.step(b.newGrantRequest(tt.change)))
			tt.done.Key, tt.done.Attempt, tt.done.Target, tt.done.Total = g.Key, g.Attempt, g.Target, 300
			b.step(tt.done)
			if counts := len(f.answers) == 1; counts != tt.counts {
				t.Fatalf("observed %+v", f.answers)
			}
			if !tt.counts {
				return
			}
			a := f.answers[0]
			if a.Bad != tt.bad || a.Version != "v2" || a.Target != "new" || a.Born != 2 || a.Running != 1 || a.Slots != 2 || !a.Warming {
				t.Errorf("observed %+v", a)
			}
		})
	}
}

// TestSuspectContentIsNoFault guards against content that crashes targets being held against a version.
func TestSuspectContentIsNoFault(t *testing.T) {
	f := &fakeRollouts{standing: Standing{Ordered: true, Open: true, To: "v2", Trial: true, OldServes: true},
		versions: swrollout.Versions{Old: true, New: true, PreferNew: true}}
	b := newRolloutHarness(f)
	content := swid.Fingerprint(77)
	b.cell.cfg.Strikes.Strike(content, swsuspect.Crash{Target: "old", Started: b.now - 20, Ended: b.now - 10}, b.now)
	b.cell.cfg.Strikes.Strike(content, swsuspect.Crash{Target: "other", Started: b.now - 20, Ended: b.now - 5}, b.now)
	b.run(b.newGrantRequest(func(a *swcell.GrantRequest) { a.Fingerprint = content }), swcell.ResultBroken)
	if len(f.answers) > 0 {
		t.Errorf("observed %+v", f.answers)
	}
}

// TestRolloutExposure checks what counts as a request of a caller, and as one that a version got.
func TestRolloutExposure(t *testing.T) {
	f := &fakeRollouts{standing: Standing{Ordered: true, Open: true, To: "v2", Trial: true, OldServes: true},
		versions: swrollout.Versions{Old: true, New: true, PreferNew: true}}
	b := newRolloutHarness(f)
	first := b.newGrantRequest(nil)
	g, _ := grantOf(b.step(first))
	b.step(first) // repeated, as the grant was lost
	b.end(g, swcell.ResultBroken)
	retry := first
	retry.Attempt = 2
	g, _ = grantOf(b.step(retry))
	b.step(swcell.Done{Key: g.Key, Attempt: 2, Target: g.Target, Result: swcell.ResultNotStarted, Unsent: true})
	b.now += maxBackoff
	unused := b.newGrantRequest(heldBy("second"))
	b.step(unused)
	b.step(swcell.Withdraw{Key: unused.Key, Attempt: 1})
	b.now += maxBackoff
	refused := b.newGrantRequest(heldBy("third"))
	g, _ = grantOf(b.step(refused))
	b.step(swcell.Done{Key: g.Key, Attempt: 1, Target: g.Target, Result: swcell.ResultNotStarted})
	b.now += maxBackoff
	b.step(swcell.HolderJoined{Holder: "handed over"})
	b.step(b.newGrantRequest(heldBy("handed over")))
	if f.arrived != 3 {
		t.Errorf("%d requests arrived, want 3", f.arrived)
	}
	if want := slices.Repeat([]swid.SoftwareVersion{"v2"}, 5); !slices.Equal(f.granted, want) {
		t.Errorf("granted %v, want %v", f.granted, want)
	}
	if want := slices.Repeat([]swid.SoftwareVersion{"v2"}, 2); !slices.Equal(f.returned, want) {
		t.Errorf("returned %v, want %v", f.returned, want)
	}
}

// TestRolloutSupply guards against slots that may not be granted being counted as room for waiting requests.
func TestRolloutSupply(t *testing.T) {
	tests := []struct {
		name     string
		standing Standing
		want     float64
	}{
		{"no order", Standing{}, 2},
		{"trial", Standing{Ordered: true, To: "v2", Trial: true, OldServes: true}, 1},
		{"moving", Standing{Ordered: true, To: "v2", OldServes: true, NewServes: true}, 2},
		{"completed", Standing{Ordered: true, To: "v2", NewServes: true}, 1},
		{"rolled back", Standing{Ordered: true, To: "v2", OldServes: true}, 1},
		{"an unknown version", Standing{Withheld: []swid.SoftwareVersion{"v2"}}, 1},
		{"an order was decided", Standing{Barred: []swid.SoftwareVersion{"v2"}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeRollouts{standing: tt.standing, versions: swrollout.Versions{Old: true}}
			b := newRolloutHarness(f)
			speed, _ := b.cell.supply()
			newSpeed := b.cell.speed(b.cell.byID["new"])
			if oldSpeed := b.cell.speed(b.cell.byID["old"]); oldSpeed != newSpeed {
				t.Fatalf("speeds are %v and %v", oldSpeed, newSpeed)
			}
			if got := speed / newSpeed; got != tt.want {
				t.Errorf("%v targets are supply, want %v", got, tt.want)
			}
		})
	}
}

// TestRolloutSituation checks what a cell reports, and how long its requests may last at old versions.
func TestRolloutSituation(t *testing.T) {
	f := &fakeRollouts{standing: Standing{Ordered: true, Open: true, To: "v2", OldServes: true, NewServes: true}, versions: swrollout.Versions{Old: true}}
	b := newRolloutHarness(f)
	for range 3 {
		b.step(b.newGrantRequest(func(a *swcell.GrantRequest) { a.Deadline = b.now + 200 }))
	}
	if f.mayLast <= 0 || f.mayLast > 200 {
		t.Errorf("a request may last %d ms, want no longer than its deadline", f.mayLast)
	}
	f.versions = swrollout.Versions{New: true}
	b.now++
	b.step(b.newGrantRequest(func(a *swcell.GrantRequest) { a.Exclude = []swid.TargetID{"old"} }))
	b.step(swcell.Tick{})
	s := f.situation
	if s.OldTargets != 1 || s.NewTargets != 1 || s.OldSlots != 2 || s.NewSlots != 2 || s.OldRunning+len(s.NewRunning)+s.Waiting != 4 || len(s.NewRunning) == 0 {
		t.Errorf("reported %+v", s)
	}
}

// TestBarredVersion guards against requests that run at a version, or wait for it, that gets nothing as its order was decided.
func TestBarredVersion(t *testing.T) {
	f := &fakeRollouts{standing: Standing{Barred: []swid.SoftwareVersion{"v2"}}}
	b := newRolloutHarness(f)
	actions := b.step(b.newGrantRequest(func(a *swcell.GrantRequest) { a.Attempt, a.Exclude = 2, []swid.TargetID{"old"} }))
	if g, granted := grantOf(actions); granted || len(b.cell.waiting) != 0 {
		t.Errorf("granted %q, %d wait", g.Target, len(b.cell.waiting))
	}
}
