package swsuspect

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// crashAt returns a conclusive crash of target "a" that ended a run of one millisecond.
func crashAt(now swclock.Millis, alone bool) Crash {
	return Crash{Target: "a", Started: now - 1, Ended: now, Alone: alone, Apart: true}
}

func TestVerdicts(t *testing.T) {
	const content = 7
	r := New(10, Limits{Strikes: 3, Retention: swclock.Minute})
	check := func(now swclock.Millis, want Verdict) {
		t.Helper()
		if got, _ := r.Verdict(content, now); got != want {
			t.Errorf("verdict %d at %d, want %d", got, now, want)
		}
	}
	strike := func(alone bool, now swclock.Millis) { r.Strike(content, crashAt(now, alone), now) }
	check(0, Clear)
	strike(false, 0)
	check(1, Suspect)
	strike(true, 4)
	check(5, Refused)
	check(4+swclock.Minute, Clear)
	strike(false, 5+swclock.Minute)
	check(6+swclock.Minute, Suspect)
	r.RecordAnswer(content, 7+swclock.Minute)
	check(8+swclock.Minute, Clear)
	strike(false, 9+swclock.Minute)
	strike(true, 10+swclock.Minute)
	check(11+swclock.Minute, Refused) // the answer excuses no later crash
	strike(true, 8+2*swclock.Minute)
	check(9+2*swclock.Minute, Refused)
}

// TestRefusedContentIsKept guards against refused content that is forgotten because of many
// other contents.
func TestRefusedContentIsKept(t *testing.T) {
	const refused, size = 1, 100
	tests := []struct {
		name  string
		other func(r *Register, f swid.Fingerprint)
	}{
		{"others with a strike", func(r *Register, f swid.Fingerprint) { r.Strike(f, crashAt(4, false), 4) }},
		{"others that were answered", func(r *Register, f swid.Fingerprint) { r.RecordAnswer(f, 4) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(size, Limits{Strikes: 3, Retention: swclock.Minute})
			for at := range swclock.Millis(3) {
				r.Strike(refused, crashAt(at, false), at)
			}
			for i := range 10 * size {
				tt.other(r, swid.Fingerprint(i+2))
			}
			if got, _ := r.Verdict(refused, 5); got != Refused {
				t.Errorf("verdict %d after %d other contents, want %d", got, 10*size, Refused)
			}
		})
	}
}

// TestStrikesAreKept guards against strikes that are forgotten because other content is answered.
func TestStrikesAreKept(t *testing.T) {
	const content, size = 1, 100
	r := New(size, Limits{Strikes: 3, Retention: swclock.Minute})
	r.Strike(content, crashAt(1, false), 1)
	for i := range 10 * size {
		r.RecordAnswer(swid.Fingerprint(i+2), 2)
	}
	if got, _ := r.Verdict(content, 3); got != Suspect {
		t.Errorf("verdict %d after answers to %d other contents, want %d", got, 10*size, Suspect)
	}
}

// TestRunsOfOneCrash guards against content that is refused because several requests with it ran
// on one target when that crashed.
func TestRunsOfOneCrash(t *testing.T) {
	const content = 1
	tests := []struct {
		name    string
		crashes []Crash
		want    int
	}{
		{"one target, at the same time", []Crash{{Target: "a", Started: 0, Ended: 10}, {Target: "a", Started: 3, Ended: 11}, {Target: "a", Started: 9, Ended: 12}}, 1},
		{"one target, one after the other", []Crash{{Target: "a", Started: 0, Ended: 10}, {Target: "a", Started: 10, Ended: 20}, {Target: "a", Started: 25, Ended: 30}}, 3},
		{"several targets", []Crash{{Target: "a", Started: 0, Ended: 10}, {Target: "b", Started: 0, Ended: 10}, {Target: "a", Started: 5, Ended: 10}}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(10, Limits{Strikes: 5, Retention: swclock.Minute})
			got := 0
			for _, c := range tt.crashes {
				got = r.Strike(content, c, c.Ended)
			}
			if got != tt.want {
				t.Errorf("%d strikes, want %d", got, tt.want)
			}
		})
	}
}

// TestBreaks guards against strikes for the content of requests that a broken target breaks one
// after the other.
func TestBreaks(t *testing.T) {
	const answered, restarted = -1, -2
	tests := []struct {
		name string
		// runs holds the start of each run that breaks, a millisecond later, or an event between.
		runs []swclock.Millis
		want int
	}{
		{"broken target", []swclock.Millis{10, 20, 30, 40}, 1},
		{"answers between", []swclock.Millis{10, answered, 20, answered, 30}, 3},
		{"restarts between", []swclock.Millis{10, restarted, 20, restarted, 30}, 3},
		{"runs of one crash", []swclock.Millis{10, 5, 9, 30}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Breaks
			crashes, now := 0, swclock.Millis(0)
			for _, started := range tt.runs {
				switch started {
				case answered:
					b.Answered(now)
				case restarted:
					b.Restarted()
				default:
					now = max(now, started+1)
					if b.Broke(started, now) {
						crashes++
					}
				}
			}
			if crashes != tt.want {
				t.Errorf("%d breaks counted, want %d", crashes, tt.want)
			}
		})
	}
}

// TestInconclusiveCrashes guards against content that is refused because other content crashed its
// targets.
func TestInconclusiveCrashes(t *testing.T) {
	const content = 1
	r := New(10, Limits{Strikes: 4, Retention: swclock.Minute})
	now := swclock.Millis(10)
	strike := func(apart bool) {
		now += 10
		r.Strike(content, Crash{Target: "a", Started: now - 1, Ended: now, Apart: apart}, now)
	}
	check := func(when string, verdict Verdict, apart, active bool) {
		t.Helper()
		if got, _ := r.Verdict(content, now); got != verdict {
			t.Errorf("%s: verdict %d, want %d", when, got, verdict)
		}
		if got := r.RunsApart(content, now); got != apart {
			t.Errorf("%s: runs apart %t", when, got)
		}
		if got := r.Active(now); got != active {
			t.Errorf("%s: active %t", when, got)
		}
	}
	strike(false)
	check("one crash", Suspect, false, false)
	for range 10 {
		strike(false)
	}
	check("many crashes", Suspect, true, true)
	strike(true)
	check("a crash apart", Refused, true, true)
}

// TestVerification checks that refused content that was answered before runs once more after a while,
// that a crash then makes the refusal final, and that an answer ends it.
func TestVerification(t *testing.T) {
	const content, other, unanswered, delay = 1, 2, 4, 2 * swclock.Second
	r := New(10, Limits{Strikes: 3, VerifyAfter: delay, Retention: swclock.Minute})
	now := swclock.Millis(10)
	r.RecordAnswer(content, now)
	r.RecordAnswer(other, now)
	crash := func(f swid.Fingerprint) {
		now += 10
		r.Strike(f, crashAt(now, false), now)
	}
	check := func(when string, f swid.Fingerprint, want Verdict) {
		t.Helper()
		if got, _ := r.Verdict(f, now); got != want {
			t.Errorf("%s: verdict %d, want %d", when, got, want)
		}
	}
	for range 3 {
		crash(content)
		crash(other)
		crash(unanswered)
	}
	check("three crashes", content, Refused)
	now += delay
	check("after the delay", content, Suspect)
	check("never answered", unanswered, Refused)
	r.Verify(content, now)
	check("while it runs", content, Refused)
	crash(content)
	now += 2 * delay
	check("long after another crash", content, Refused)
	r.Verify(other, now)
	r.RecordAnswer(other, now)
	check("after an answer", other, Clear)
	r.Load(Content{Fingerprint: 3, Remaining: swclock.Minute}, now)
	now += 2 * delay
	check("refused by another register", 3, Refused)
}
