package swvalue

import (
	"slices"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
)

// Parts of prompts: badPart crashes targets, others are in the same prompts.
const (
	soundPart swid.PrefixHash = iota + 1
	badPart
	freshPart
)

// partsHarness drives a cell whose requests have parts.
type partsHarness struct {
	*harness
	running []swcell.Grant
}

func newPartsHarness(slots int, targets ...swid.TargetID) *partsHarness {
	b := newHarness()
	b.configure(slots, targets...)
	return &partsHarness{harness: b}
}

// send sends a request with parts, and returns the target that it is granted, or "".
func (h *partsHarness) send(parts ...swid.PrefixHash) swid.TargetID {
	actions := h.step(h.newGrantRequest(func(a *swcell.GrantRequest) {
		for _, id := range append(parts, swid.PrefixHash(1000+a.Key.Seq)) {
			a.Parts = append(a.Parts, swcell.Part{ID: id, Tokens: 100})
		}
	}))
	h.collect(actions)
	if g, ok := grantOf(actions); ok {
		return g.Target
	}
	return ""
}

func (h *partsHarness) collect(actions []swcell.Action) {
	for _, a := range actions {
		if g, ok := a.(swcell.Grant); ok {
			h.running = append(h.running, g)
		}
	}
}

// end ends all runs on a target, and grants nothing meanwhile.
func (h *partsHarness) end(target swid.TargetID, result swcell.Result) {
	var ended []swcell.Grant
	h.running = slices.DeleteFunc(h.running, func(g swcell.Grant) bool {
		if g.Target == target {
			ended = append(ended, g)
		}
		return g.Target == target
	})
	for _, g := range ended {
		done := swcell.Done{Key: g.Key, Attempt: g.Attempt, Target: g.Target, Result: result}
		if result == swcell.ResultAnswered {
			done.OutputTokens, done.FirstToken, done.Total = 50, 50, 300
		}
		h.collect(h.step(done))
	}
}

// crash crashes a target, which is back after maxBackoff.
func (h *partsHarness) crash(target swid.TargetID) {
	h.now += 100
	h.end(target, swcell.ResultBroken)
	h.now += maxBackoff
	h.cell.byID[target].breaks.Restarted()
	h.cell.byID[target].unanswered = 0
	h.step(swcell.Tick{})
}

// produce reports output of all runs.
func (h *partsHarness) produce(tokens swid.Tokens) {
	h.now += 10
	for _, g := range h.running {
		h.step(swcell.Progress{Key: g.Key, Attempt: g.Attempt, Produced: tokens})
	}
}

func (h *partsHarness) verdict(parts ...swid.PrefixHash) swsuspect.Verdict {
	verdict, _, _ := h.cell.cfg.Parts.Verdict(&swsuspect.Prompt{Parts: parts}, h.now)
	return verdict
}

// makeSuspect crashes targets with requests that have a part, among others, until it is suspect.
func (h *partsHarness) makeSuspect(t *testing.T, part swid.PrefixHash) {
	t.Helper()
	for range 2 {
		h.crash(h.send(part))
	}
	if got := h.verdict(part); got != swsuspect.Suspect {
		t.Fatalf("verdict %v after two crashes, want %v", got, swsuspect.Suspect)
	}
}

// TestRequestsWithSuspectParts checks where requests run while a part is suspect.
func TestRequestsWithSuspectParts(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, h *partsHarness)
	}{
		{"one at a time", func(t *testing.T, h *partsHarness) {
			h.makeSuspect(t, badPart)
			if first, second := h.send(badPart), h.send(badPart); first == "" || second != "" {
				t.Errorf("two requests with a suspect part run on %q and %q, want the second to wait", first, second)
			}
		}},
		{"the next one after the output of the first", func(t *testing.T, h *partsHarness) {
			h.makeSuspect(t, badPart)
			h.send(badPart)
			h.produce(10)
			h.now += soundTime
			if h.send(badPart) == "" {
				t.Error("a request with a suspect part waits although the one before produces output")
			}
		}},
		{"one on each target if the part was answered before", func(t *testing.T, h *partsHarness) {
			h.end(h.send(soundPart), swcell.ResultAnswered)
			h.makeSuspect(t, soundPart)
			granted := []swid.TargetID{h.send(soundPart), h.send(soundPart), h.send(soundPart), h.send(soundPart)}
			slices.Sort(granted)
			if want := []swid.TargetID{"", "a", "b", "c"}; !slices.Equal(granted, want) {
				t.Errorf("granted %q, want one on each target", granted)
			}
		}},
		{"apart from other suspects", func(t *testing.T, h *partsHarness) {
			h.makeSuspect(t, badPart)
			h.makeSuspect(t, freshPart)
			if one, other := h.send(badPart), h.send(freshPart); one == "" || other == "" || one == other {
				t.Errorf("requests with different suspect parts run on %q and %q", one, other)
			}
		}},
		{"apart from parts that nothing vouches for", func(t *testing.T, h *partsHarness) {
			h.makeSuspect(t, badPart)
			trial := h.send(badPart)
			for id := range swid.PrefixHash(8) {
				if target := h.send(100 + id); target == trial {
					t.Fatalf("a request with a new part runs on %q beside one with a suspect part", target)
				}
			}
		}},
		{"not beside parts that nothing vouches for", func(t *testing.T, h *partsHarness) {
			h.makeSuspect(t, badPart)
			for id := range swid.PrefixHash(12) {
				h.send(100 + id)
			}
			h.end("a", swcell.ResultAnswered)
			h.send(200)
			if target := h.send(badPart); target != "" {
				t.Errorf("a request with a suspect part runs on %q beside ones with new parts", target)
			}
		}},
		{"beside parts that were answered", func(t *testing.T, h *partsHarness) {
			h.end(h.send(soundPart), swcell.ResultAnswered)
			h.makeSuspect(t, badPart)
			h.end(h.send(soundPart), swcell.ResultAnswered)
			trial := h.send(badPart)
			granted := []swid.TargetID{}
			for range 11 {
				granted = append(granted, h.send(soundPart))
			}
			if !slices.Contains(granted, trial) || slices.Contains(granted, "") {
				t.Errorf("requests with a sound part run on %q, want them on all targets, also on %q", granted, trial)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { tt.run(t, newPartsHarness(4, "a", "b", "c")) })
	}
}

// TestBlameForCrash guards against parts that are blamed for a crash that another request caused.
func TestBlameForCrash(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, h *partsHarness)
		part swid.PrefixHash
		want swsuspect.Verdict
	}{
		{"answers that had begun", func(_ *testing.T, h *partsHarness) {
			for range 2 {
				h.send(freshPart)
				h.produce(10)
				h.now += soundTime
				h.send(badPart)
				h.crash("a")
			}
		}, freshPart, swsuspect.Clear},
		{"answers that had just begun", func(_ *testing.T, h *partsHarness) {
			for range 2 {
				h.send(badPart)
				h.now += 50
				h.produce(10)
				h.now -= 60 // crash advances by 100 ms
				h.crash("a")
			}
		}, badPart, swsuspect.Suspect},
		{"vouched parts beside a request apart", func(t *testing.T, h *partsHarness) {
			h.end(h.send(soundPart), swcell.ResultAnswered)
			h.makeSuspect(t, badPart)
			for range 3 {
				h.send(soundPart)
				h.send(badPart)
				h.crash("a")
			}
		}, soundPart, swsuspect.Clear},
		{"the part of requests apart", func(t *testing.T, h *partsHarness) {
			h.end(h.send(soundPart), swcell.ResultAnswered)
			h.makeSuspect(t, badPart)
			for range 2 {
				h.send(soundPart)
				h.send(badPart)
				h.crash("a")
			}
		}, badPart, swsuspect.Refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newPartsHarness(4, "a")
			tt.run(t, h)
			if got := h.verdict(tt.part); got != tt.want {
				t.Errorf("verdict %v, want %v", got, tt.want)
			}
		})
	}
}

// TestWaitingPartsAreRefused checks that requests that wait are rejected when a part of theirs is refused.
func TestWaitingPartsAreRefused(t *testing.T) {
	h := newPartsHarness(4, "a")
	h.makeSuspect(t, badPart)
	h.send(badPart)
	h.crash("a")
	h.send(badPart)
	waiting := h.newGrantRequest(func(a *swcell.GrantRequest) {
		a.Parts = []swcell.Part{{ID: badPart, Tokens: 1}, {ID: 9999, Tokens: 1}}
	})
	if _, granted := grantOf(h.step(waiting)); granted {
		t.Fatal("a second request with a suspect part runs")
	}
	h.now += 100
	var rejected bool
	for _, g := range h.running {
		rejected = rejected || rejectedAsSuspect(h.step(swcell.Done{Key: g.Key, Attempt: g.Attempt, Target: g.Target, Result: swcell.ResultBroken}))
	}
	h.now += swclock.Second
	h.cell.byID["a"].unanswered = 0
	rejected = rejected || rejectedAsSuspect(h.step(swcell.Tick{}))
	if !rejected {
		t.Error("the waiting request was not rejected")
	}
}
