package swsuspect

import (
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Parts of prompts: bad and worse crash targets, the others are in the same prompts.
const (
	first swid.PrefixHash = iota + 1
	second
	bad
	worse
)

const (
	route      swid.PromptScope = 1
	otherRoute swid.PromptScope = 2
	verifyTime                  = 2 * swclock.Second
	// runTime is how long a run takes.
	runTime = 5 * swclock.Millis(1)
)

// partHarness drives a register of parts.
type partHarness struct {
	parts *Parts
	now   swclock.Millis
	// interval is the time between two events.
	interval swclock.Millis
	content  swid.Fingerprint
}

func newPartHarness(size int) *partHarness {
	return &partHarness{parts: NewParts(size, PartLimits{VerifyAfter: verifyTime, Retention: 10 * swclock.Minute}), now: swclock.Minute, interval: swclock.Second}
}

func (h *partHarness) prompt(scope swid.PromptScope, parts []swid.PrefixHash) Prompt {
	h.now += h.interval
	h.content++
	return Prompt{Scope: scope, Content: h.content, Parts: parts}
}

func (h *partHarness) crash(apart bool, parts ...swid.PrefixHash) { h.crashOn(route, apart, parts...) }

func (h *partHarness) crashOn(scope swid.PromptScope, apart bool, parts ...swid.PrefixHash) {
	prompt := h.prompt(scope, parts)
	h.parts.Crash(PromptCrash{Crash: Crash{Target: "t", Started: h.now - runTime, Ended: h.now, Apart: apart}, Prompt: prompt}, h.now)
}

// answer records the answer to a run.
func (h *partHarness) answer(parts ...swid.PrefixHash) { h.answerOn(route, parts...) }

func (h *partHarness) answerOn(scope swid.PromptScope, parts ...swid.PrefixHash) {
	prompt := h.prompt(scope, parts)
	h.parts.RecordAnswer(&prompt, h.now-runTime, h.now)
}

func (h *partHarness) verdict(scope swid.PromptScope, parts ...swid.PrefixHash) Verdict {
	verdict, _, _ := h.parts.Verdict(&Prompt{Scope: scope, Parts: parts}, h.now)
	return verdict
}

// verify records that the refused parts of a prompt run once more.
func (h *partHarness) verify(parts ...swid.PrefixHash) {
	h.now += verifyTime
	_, _, suspects := h.parts.Verdict(&Prompt{Scope: route, Parts: parts}, h.now)
	h.parts.Verify(suspects, h.now)
}

func TestVerdictsOnParts(t *testing.T) {
	tests := []struct {
		name  string
		run   func(h *partHarness)
		scope swid.PromptScope
		parts []swid.PrefixHash
		want  Verdict
	}{
		{"one crash", func(h *partHarness) { h.crash(false, bad) }, route, []swid.PrefixHash{bad}, Clear},
		{"two crashes", func(h *partHarness) { h.crash(false, bad); h.crash(false, bad) }, route, []swid.PrefixHash{bad}, Suspect},
		{"many crashes beside others", func(h *partHarness) {
			for range 2 * maxPartCrashes {
				h.crash(false, bad)
			}
		}, route, []swid.PrefixHash{bad}, Suspect},
		{"crashes apart", func(h *partHarness) { h.crash(true, bad); h.crash(true, bad) }, route, []swid.PrefixHash{bad}, Refused},
		{"crashes apart of one content", func(h *partHarness) {
			for range 5 {
				h.crash(true, bad)
				h.content--
			}
		}, route, []swid.PrefixHash{bad}, Suspect},
		{"crashes apart of a part that was answered before", func(h *partHarness) {
			h.answer(bad)
			h.crash(false, bad)
			for range apartCrashesAnswered - 1 {
				h.crash(true, bad)
			}
		}, route, []swid.PrefixHash{bad}, Suspect},
		{"more crashes apart of a part that was answered before", func(h *partHarness) {
			h.answer(bad)
			h.crash(false, bad)
			for range apartCrashesAnswered {
				h.crash(true, bad)
			}
		}, route, []swid.PrefixHash{bad}, Refused},
		{"an answer between", func(h *partHarness) {
			h.crash(true, bad)
			h.answer(bad)
			h.crash(false, bad)
		}, route, []swid.PrefixHash{bad}, Clear},
		{"an answer to a run that began before the crash", func(h *partHarness) {
			started := h.now
			h.crash(true, bad)
			h.crash(true, bad)
			prompt := h.prompt(route, []swid.PrefixHash{bad})
			h.parts.RecordAnswer(&prompt, started, h.now)
		}, route, []swid.PrefixHash{bad}, Refused},
		{"other parts of the requests were not answered", func(h *partHarness) {
			h.crash(true, first, bad, second)
			h.crash(true, first, bad, second)
		}, route, []swid.PrefixHash{first, second}, Suspect},
		{"all parts of the requests", func(h *partHarness) {
			h.crash(true, first, bad, second)
			h.crash(true, first, bad, second)
		}, route, []swid.PrefixHash{first, bad, second}, Refused},
		{"other parts of the requests were answered since", func(h *partHarness) {
			h.crash(true, first, bad, second)
			h.crash(true, first, bad, second)
			h.answer(first, second)
		}, route, []swid.PrefixHash{worse, bad}, Refused},
		{"parts that two crashing parts share", func(h *partHarness) {
			for range 4 {
				h.crash(true, first, bad, second)
				h.crash(true, first, worse, second)
			}
		}, route, []swid.PrefixHash{first, second}, Suspect},
		{"either of two crashing parts", func(h *partHarness) {
			for range 2 {
				h.crash(true, first, bad, second)
				h.crash(true, first, worse, second)
			}
		}, route, []swid.PrefixHash{first, worse, second}, Refused},
		{"parts that were answered are not blamed for requests apart", func(h *partHarness) {
			h.answer(first)
			h.crash(true, first, bad)
			h.crash(true, first, bad)
		}, route, []swid.PrefixHash{first}, Clear},
		{"another route", func(h *partHarness) { h.crash(true, bad); h.crash(true, bad) }, otherRoute, []swid.PrefixHash{bad}, Suspect},
		{"another route after one crash there", func(h *partHarness) {
			h.crash(true, bad)
			h.crash(true, bad)
			h.crashOn(otherRoute, true, bad)
		}, otherRoute, []swid.PrefixHash{bad}, Refused},
		{"another route after an answer there", func(h *partHarness) {
			h.crash(true, bad)
			h.crash(true, bad)
			h.answerOn(otherRoute, bad)
		}, otherRoute, []swid.PrefixHash{bad}, Clear},
		{"an answer on another route", func(h *partHarness) {
			h.crash(true, bad)
			h.crash(true, bad)
			h.answerOn(otherRoute, bad)
		}, route, []swid.PrefixHash{bad}, Refused},
		{"time to verify", func(h *partHarness) {
			h.crash(true, bad)
			h.crash(true, bad)
			h.now += verifyTime
		}, route, []swid.PrefixHash{bad}, Suspect},
		{"verified once", func(h *partHarness) {
			h.crash(true, bad)
			h.crash(true, bad)
			h.verify(bad)
			h.now += swclock.Minute
		}, route, []swid.PrefixHash{bad}, Refused},
		{"answered when verified", func(h *partHarness) {
			h.crash(true, bad)
			h.crash(true, bad)
			h.verify(bad)
			h.answer(bad)
		}, route, []swid.PrefixHash{bad}, Clear},
		{"expired", func(h *partHarness) {
			h.crash(true, bad)
			h.crash(true, bad)
			h.now += 10 * swclock.Minute
		}, route, []swid.PrefixHash{bad}, Clear},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newPartHarness(100)
			tt.run(h)
			if got := h.verdict(tt.scope, tt.parts...); got != tt.want {
				t.Errorf("verdict %v, want %v", got, tt.want)
			}
			if tt.scope == route {
				h.checkCopy(t, tt.parts)
			}
		})
	}
}

// checkCopy checks that a register that loads the crashes comes to the same verdict, but verifies nothing.
// It does not know which other routes the parts were answered on.
func (h *partHarness) checkCopy(t *testing.T, parts []swid.PrefixHash) {
	t.Helper()
	loaded := newPartHarness(100)
	loaded.now = h.now
	for range 2 {
		for _, c := range h.parts.Crashes(100, h.now) {
			loaded.parts.Load(c, h.now)
		}
	}
	h.parts.limits.VerifyAfter = swclock.Hour
	if got, want := loaded.verdict(route, parts...), h.verdict(route, parts...); got != want {
		t.Errorf("verdict %v of a register that loaded the crashes, want %v", got, want)
	}
}

// TestManyCrashingParts guards against refused parts that are forgotten because of thousands of others,
// and against a register that grows with them.
func TestManyCrashingParts(t *testing.T) {
	const size, many = 200, 5000
	h := newPartHarness(size)
	h.interval = 10
	refused := func(id swid.PrefixHash) {
		h.crash(true, id)
		h.crash(true, id)
	}
	for i := range swid.PrefixHash(many) {
		refused(1000 + i)
	}
	for i := range swid.PrefixHash(many) {
		h.crash(false, 100_000+i)
		h.crash(false, 100_000+i)
		h.answer(200_000 + i)
	}
	for id := swid.PrefixHash(1000 + many - size); id < 1000+many; id++ {
		if got := h.verdict(route, id); got != Refused && got != Suspect {
			t.Fatalf("verdict %v on one of the %d parts that were refused last", got, size)
		}
	}
	if n := h.parts.refusedParts.Len() + h.parts.others.Len() + h.parts.answered.Len(); n > 3*size {
		t.Errorf("%d parts are kept, want at most %d", n, 3*size)
	}
	if n := len(h.parts.Crashes(size, h.now)); n != size {
		t.Errorf("%d entries to save, want %d", n, size)
	}
}
