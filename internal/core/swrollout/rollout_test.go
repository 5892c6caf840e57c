package swrollout

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"pgregory.net/rapid"
)

var testOrder = Order{ID: "o", Service: "s", To: "new", Duration: 12 * swclock.Second}

// owner drives a Rollout by a steady load, with the answers that a version gives, and checks its exposure.
type owner struct {
	t         *testing.T
	r         *Rollout
	situation Situation
	now       swclock.Millis
	written   []Record
	changes   []Change
	// answer says whether the new version's next answer is bad.
	answer func() bool
	// store takes a write: written, or failed.
	store func(Record) bool
	// granted counts what the new version got, and old the requests that only an old one could take.
	granted, old int
	// grantedBefore and oldBefore are those of earlier owners.
	grantedBefore, oldBefore int
}

func newOwner(t *testing.T, r *Rollout, now swclock.Millis) *owner {
	return &owner{t: t, r: r, now: now, situation: Situation{OldTargets: 10, NewTargets: 10, OldSlots: 70, NewSlots: 70, OldRunning: 20},
		answer: func() bool { return false }, store: func(Record) bool { return true }}
}

// run advances time, with a request each 4 ms.
func (o *owner) run(span swclock.Millis) {
	for end := o.now + span; o.now < end; o.now += 4 {
		o.r.Arrived(o.now)
		route := Route(o.now / 4 % 3)
		v := o.r.Versions(route, 100, o.now)
		a := Answer{Version: "old", Target: swid.TargetID(rune('a' + o.now/4%10)), Route: route, Running: 2, Slots: 7, First: 20, Total: 100,
			PromptTokens: 100, OutputTokens: 20}
		if v.New {
			o.r.Granted(o.now)
			o.granted++
			granted := o.granted + o.grantedBefore
			bound := playConfig.MaxShare*float64(granted+o.old+o.oldBefore) + float64(playConfig.Slack)
			if o.r.verdict == VerdictOpen && float64(granted) > bound {
				o.t.Fatalf("%d requests granted, %.1f allowed", granted, bound)
			}
			a.Version, a.Target, a.Bad = "new", swid.TargetID(rune('A'+o.granted%4)), o.answer()
		} else {
			o.old++
		}
		o.r.Observe(a, o.now)
		if o.now%100 == 0 {
			o.step()
		}
	}
}

func (o *owner) step() {
	write, change := o.r.Step(o.situation, o.now)
	if change != nil {
		o.changes = append(o.changes, *change)
	}
	if write == nil {
		return
	}
	if o.store(*write) {
		o.written = append(o.written, *write)
		o.r.Stored(*write, o.now)
	} else {
		o.r.WriteFailed(o.now)
	}
}

func (o *owner) last() Record {
	if len(o.written) == 0 {
		return Record{}
	}
	return o.written[len(o.written)-1]
}

// TestLifecycle checks how orders end.
func TestLifecycle(t *testing.T) {
	every := func(n int) func() bool {
		i := 0
		return func() bool { i++; return i%n == 0 }
	}
	tests := []struct {
		name   string
		record Record
		// unix is the time of day when the order is taken up.
		unix int64
		set  func(o *owner)
		want State
		// reason is that of the last change.
		reason string
	}{
		{"sound", Record{}, 1000, func(o *owner) {}, StateCompleted, reasonSound},
		{"bad", Record{}, 1000, func(o *owner) { o.answer = every(3) }, StateRolledBack, reasonBad},
		{"no new targets", Record{}, 1000, func(o *owner) { o.situation.NewTargets, o.situation.NewSlots = 0, 0 }, StateRolledBack, reasonNoTargets},
		{"too few slots", Record{}, 1000, func(o *owner) { o.situation.NewSlots = 10 }, StateRolledBack, reasonNoTargets},
		{"the store is away", Record{}, 1000, func(o *owner) { o.store = func(Record) bool { return false } }, StateNone, reasonFewAll},
		{"taken over while moving", Record{Order: "o", To: "new", State: StateRunning, Moving: true, StartedAt: 1000}, 9000, func(o *owner) {}, StateCompleted, ""},
		{"taken over after it was rolled back", Record{Order: "o", To: "new", State: StateRolledBack, StartedAt: 1000}, 9000, func(o *owner) {}, StateNone, ""},
		{"taken over after the deadline", Record{Order: "o", To: "new", State: StateRunning, StartedAt: 1000}, 60_000, func(o *owner) {}, StateRolledBack, ""},
		{"taken over after the deadline, moving", Record{Order: "o", To: "new", State: StateRunning, Moving: true, StartedAt: 1000}, 60_000, func(o *owner) {}, StateCompleted, ""},
		{"taken over while moving, too few slots", Record{Order: "o", To: "new", State: StateRunning, Moving: true, StartedAt: 1000}, 9000,
			func(o *owner) { o.situation.NewSlots = 10 }, StateRolledBack, reasonNoTargets},
		{"a record of another order", Record{Order: "former", To: "new", State: StateRolledBack, StartedAt: 1}, 1000, func(o *owner) {}, StateCompleted, reasonSound},
		{"a clock that is behind", Record{Order: "o", To: "new", State: StateRunning, StartedAt: 9000}, 1000, func(o *owner) {}, StateCompleted, reasonSound},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			o := newOwner(t, New(playConfig, testOrder, e.record, 0, e.unix), 0)
			e.set(o)
			o.run(12 * swclock.Second)
			if got := o.last().State; got != e.want {
				t.Errorf("written %v, want %v; %+v", got, e.want, o.r.Evidence(o.now))
			}
			reason := ""
			if len(o.changes) > 0 {
				reason = o.changes[len(o.changes)-1].Evidence.Reason
			}
			if reason != e.reason {
				t.Errorf("reason %q, want %q", reason, e.reason)
			}
			for i, w := range o.written {
				if w.State.Final() && i < len(o.written)-1 {
					t.Errorf("written %d of %d is final", i+1, len(o.written))
				}
			}
			if n := len(o.written); n > 60 {
				t.Errorf("%d writes", n)
			}
		})
	}
}

// TestRollBackStopsAtOnce checks that a bad version gets nothing after the verdict, also while the store is away.
func TestRollBackStopsAtOnce(t *testing.T) {
	o := newOwner(t, New(playConfig, testOrder, Record{}, 0, 1000), 0)
	o.answer = func() bool { return true }
	o.store = func(w Record) bool { return w.State == StateRunning }
	for o.r.verdict != VerdictBad && o.now < testOrder.Duration {
		o.run(100)
	}
	granted := o.granted
	o.r.ledger.left = 100
	o.r.manyBad = false // neither the lack of units nor the pause holds requests back
	if granted >= 50 {
		t.Errorf("%d bad answers before the verdict", granted)
	}
	o.run(20 * swclock.Second)
	if o.granted != granted {
		t.Errorf("%d requests granted after the verdict", o.granted-granted)
	}
}

// TestInheritedEvidence checks that an owner without any report knows from the record that a version is bad.
func TestInheritedEvidence(t *testing.T) {
	tests := []struct {
		name         string
		answers, bad uint64
		// most is what a bad version may get, and want the state in the end.
		most int
		want State
	}{
		{"bad", 60, 20, 50, StateRolledBack},
		{"many bad", 300, 45, 0, StateRolledBack},
		{"good", 60, 0, 0, StateCompleted},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			record := Record{Order: "o", To: "new", State: StateRunning, StartedAt: 1000, Requests: 500, Reserved: 70, Answers: e.answers, Bad: e.bad}
			o := newOwner(t, New(playConfig, testOrder, record, 0, 3000), 0)
			o.oldBefore, o.grantedBefore = 430, 70
			o.run(testOrder.Duration)
			if got := o.last().State; got != e.want {
				t.Errorf("%v, want %v: %+v", got, e.want, o.r.Evidence(o.now))
			}
			if e.want == StateRolledBack && o.granted > e.most {
				t.Errorf("%d requests granted, at most %d wanted", o.granted, e.most)
			}
		})
	}
}

// TestStoredIsJoined checks that what is known of an order never goes back.
func TestStoredIsJoined(t *testing.T) {
	running := Record{Order: "o", To: "new", State: StateRunning, StartedAt: 5, Requests: 100, Reserved: 40}
	with := func(change func(r *Record)) Record {
		r := running
		change(&r)
		return r
	}
	tests := []struct {
		name    string
		read    []Record
		state   State
		verdict Verdict
		// writes is set if the store has to be told again.
		writes bool
	}{
		{"running", []Record{running}, StateRunning, VerdictOpen, false},
		{"moving", []Record{with(func(r *Record) { r.Moving = true }), running}, StateRunning, VerdictSound, true},
		{"rolled back and set back", []Record{with(func(r *Record) { r.State = StateRolledBack }), running}, StateRolledBack, VerdictBad, true},
		{"completed and set back", []Record{with(func(r *Record) { r.State = StateCompleted }), running}, StateCompleted, VerdictSound, true},
		{"rolled back", []Record{with(func(r *Record) { r.State = StateRolledBack })}, StateRolledBack, VerdictBad, false},
		{"another order", []Record{with(func(r *Record) { r.Order, r.State = "p", StateRolledBack })}, StateRunning, VerdictOpen, false},
		{"reserved and set back", []Record{with(func(r *Record) { r.Reserved = 60 }), running}, StateRunning, VerdictOpen, true},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			r := New(Config{MaxShare: 0.1, Slack: 50}, testOrder, running, 0, 5)
			for _, record := range e.read {
				r.Stored(record, 10)
			}
			if r.record.State != e.state || r.verdict != e.verdict {
				t.Errorf("%v, %v, want %v, %v", r.record.State, r.verdict, e.state, e.verdict)
			}
			r.ledger.left = 1000 // no exposure is needed
			write, _ := r.Step(Situation{OldTargets: 1, NewTargets: 1, OldSlots: 7, NewSlots: 7, OldRunning: 1}, 20)
			if (write != nil) != e.writes {
				t.Errorf("written: %+v", write)
			}
		})
	}
}

// TestExposure checks that owners that die, overlap, and lose writes or the answers to them never grant more than the bound.
func TestExposure(t *testing.T) {
	type process struct {
		r       *Rollout
		pending *Record
		// base is the revision at which pending is written, read the latest that was read.
		base, read int
	}
	rapid.Check(t, func(t *rapid.T) {
		var stored Record
		revision := 0
		now := swclock.Millis(0)
		arrived, granted := 0, 0
		config := playConfig
		config.Writer = "" // records of two owners may be alike
		start := func() *process {
			return &process{r: New(config, testOrder, stored, now, 1000+int64(now)), read: revision}
		}
		owners := []*process{start()}
		situation := Situation{OldTargets: 10, NewTargets: 10, OldSlots: 70, NewSlots: 70, OldRunning: 20}
		lose := func(p *process) {
			p.pending = nil
			p.r.WriteFailed(now)
			if rapid.Bool().Draw(t, "read again") {
				p.r.Stored(stored, now)
				p.read = revision
			}
		}
		// arrive lets a write reach the store.
		arrive := func(p *process) {
			switch {
			case p.pending == nil:
			case p.base != revision:
				lose(p) // another owner has written
			default:
				stored, revision = *p.pending, revision+1
				if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
					lose(p) // the answer is lost
					return
				}
				p.read = revision
				p.r.Stored(*p.pending, now)
				p.pending = nil
			}
		}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			now += swclock.Millis(rapid.IntRange(0, 100).Draw(t, "time"))
			p := rapid.SampledFrom(owners).Draw(t, "owner")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					arrived++
					p.r.Arrived(now)
				}
			case 3, 4:
				for range rapid.IntRange(1, 60).Draw(t, "grants") {
					if p.r.verdict == VerdictOpen && p.r.Versions(1, 10, now).New {
						p.r.Granted(now)
						granted++
					}
				}
				if granted > 0 && p.r.ledger.used > 0 && rapid.Bool().Draw(t, "unsent") {
					p.r.Returned(now)
					granted--
				}
			case 5, 6:
				if write, _ := p.r.Step(situation, now); write != nil {
					if p.pending != nil {
						t.Fatal("a second write while the first is under way")
					}
					p.pending, p.base = write, p.read
					if rapid.IntRange(0, 2).Draw(t, "late") > 0 {
						arrive(p)
					}
				}
			case 7:
				arrive(p)
			case 8:
				if p.pending != nil && rapid.Bool().Draw(t, "unwritten") {
					lose(p)
				} else if p.pending == nil {
					p.r.Stored(stored, now)
					p.read = revision
				}
			case 9:
				if len(owners) < 4 && rapid.Bool().Draw(t, "second owner") {
					owners = append(owners, start())
				} else if rapid.IntRange(0, 4).Draw(t, "all die") == 0 {
					owners = []*process{start()}
				}
			}
			if bound := config.MaxShare*float64(arrived) + float64(config.Slack); float64(granted) > bound {
				t.Fatalf("%d requests granted of %d, %.1f allowed", granted, arrived, bound)
			}
		}
	})
}

// TestDeadOwnerLeavesExposure checks that owners that die one after the other do not end the trial.
func TestDeadOwnerLeavesExposure(t *testing.T) {
	var stored Record
	granted, old := 0, 0
	var last *owner
	for i := range 4 {
		now := swclock.Millis(i) * 2 * swclock.Second
		last = newOwner(t, New(playConfig, testOrder, stored, now, 1000+int64(now)), now)
		last.grantedBefore, last.oldBefore = granted, old
		last.run(2 * swclock.Second)
		if last.granted < 20 {
			t.Errorf("owner %d had %d requests for the new version", i+1, last.granted)
		}
		stored = last.last()
		granted += last.granted
		old += last.old
	}
	last.run(4 * swclock.Second)
	if got := last.last().State; got != StateCompleted {
		t.Errorf("%v in the end: %+v", got, last.r.Evidence(last.now))
	}
}

// TestBadAnswersAtTwoOwners guards against a version that goes on as each of two owners at once knows less than pauseAnswers bad answers.
func TestBadAnswersAtTwoOwners(t *testing.T) {
	tests := []struct {
		name   string
		writer string
		own    uint64
		// inherited and stored are the bad answers of the record at first, and of one that is read later.
		inherited, stored uint64
		paused            bool
	}{
		{"of another owner", "b", 0, 0, pauseAnswers, true},
		{"of both", "b", pauseAnswers - 1, 0, pauseAnswers - 1, true},
		{"few of both", "b", pauseAnswers / 3, 0, pauseAnswers / 3, false},
		{"its own record", "a", pauseAnswers - 1, 0, pauseAnswers - 1, false},
		{"the inherited ones", "b", 0, pauseAnswers - 1, pauseAnswers - 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			config := playConfig
			config.Writer = "a"
			record := Record{Order: "o", To: "new", State: StateRunning, StartedAt: 1000, Reserved: 300, Answers: 2 * tt.inherited, Bad: tt.inherited}
			r := New(config, testOrder, record, 0, 1000)
			for i := range tt.own {
				r.Observe(Answer{Version: "new", Target: swid.TargetID(rune('A' + i%4)), Route: 1, Running: 2, Slots: 7, Bad: true}, 0)
			}
			record.Writer, record.Bad, record.Answers = tt.writer, tt.stored, 2*tt.stored
			r.Stored(record, 10)
			r.Step(Situation{OldTargets: 10, NewTargets: 10, OldSlots: 70, NewSlots: 70, OldRunning: 20}, 300)
			if got := r.manyBad; got != tt.paused {
				t.Errorf("paused for bad answers is %v", got)
			}
		})
	}
}
