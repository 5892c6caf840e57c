package swlife

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
)

// events lists inputs of every kind except Granted, which drawEvent draws separately.
var events = []Event{
	Claimed{},
	ClaimFailed{Cause: CauseClaimUnavailable},
	ClaimFailed{Cause: CauseClaimHeld, MayHaveRun: true},
	Replayed{},
	Rejected{Reason: swcell.ReasonOverload},
	WaitEnded{Cause: CauseCallerGone},
	AttemptEnded{Result: swcell.ResultAnswered},
	AttemptEnded{Result: swcell.ResultNotStarted},
	AttemptEnded{Result: swcell.ResultNotStarted, Unsent: true},
	AttemptEnded{Result: swcell.ResultFailed},
	AttemptEnded{Result: swcell.ResultBroken},
	AttemptEnded{Result: swcell.ResultBroken, Resumable: true, Delivered: true},
	AttemptEnded{Result: swcell.ResultBroken, Delivered: true},
	AttemptEnded{Result: swcell.ResultBroken, Delivered: true, Unplaced: true},
	AttemptEnded{Result: swcell.ResultCancelled, Cause: CausePreempted},
	AttemptEnded{Result: swcell.ResultCancelled, Cause: CauseCallerGone},
	AttemptEnded{Result: swcell.ResultCancelled, Cause: CauseCallerGone, Unsent: true},
	AttemptEnded{Result: swcell.ResultCancelled, Cause: CausePreempted, Unsent: true},
	AttemptEnded{Result: swcell.ResultRejected},
	AttemptEnded{Result: swcell.ResultNoAnswer},
}

// TestLifeKeepsItsPromises draws events in any order, including events that are
// invalid in the current phase, and checks the guarantees of the package.
func TestLifeKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nonIdempotent := rapid.Bool().Draw(t, "nonIdempotent")
		rules := Rules{
			NonIdempotent: nonIdempotent, Unclaimed: rapid.Bool().Draw(t, "unclaimed"),
			Attempts:        swid.Attempt(rapid.IntRange(0, 3).Draw(t, "attempts")),
			ResumeElsewhere: !nonIdempotent && rapid.Bool().Draw(t, "resumeElsewhere"),
		}
		var stream continued
		if rules.ResumeElsewhere && rapid.Bool().Draw(t, "continues") {
			stream = continued{continues: true, origin: drawOrigin(t, "takenUp")}
			rules.Continuation = sworigin.Continuation{Continues: true, Stream: 1, Origin: stream.origin}
		}
		life, command := New(rules)
		var dispatched []swid.TargetID
		mayHaveRun, unplaced, ended, sent := false, false, 0, swid.Attempt(0)
		last, reachedLast := false, false
		for range 40 {
			switch c := command.(type) {
			case Dispatch:
				if slices.Contains(dispatched, c.Target) {
					t.Fatalf("request dispatched to target %s twice", c.Target)
				}
				if nonIdempotent && mayHaveRun {
					t.Fatalf("non-idempotent request dispatched again after it may have run")
				}
				if unplaced {
					t.Fatalf("a stream is begun anew after part of it was delivered")
				}
				if reachedLast {
					t.Fatalf("request dispatched again after its last attempt")
				}
				dispatched, last = append(dispatched, c.Target), c.Last
			case End:
				ended++
				if c.Outcome == OutcomeNotRun && mayHaveRun {
					t.Fatalf("outcome is notRun although the request may have run")
				}
			}
			if ended > 0 {
				break
			}
			_, awaitingGrant := command.(RequestGrant)
			e := drawEvent(t, awaitingGrant)
			mayHaveRun = mayHaveRun || mayHaveRunAfter(command, e)
			if _, dispatch := command.(Dispatch); dispatch {
				if a, isEnd := e.(AttemptEnded); isEnd && !a.Unsent {
					sent++
					reachedLast = last
				}
				if a, isEnd := e.(AttemptEnded); isEnd && a.Unplaced {
					unplaced = true
				}
				if rules.Attempts > 0 && sent > rules.Attempts {
					t.Fatalf("sent to %d targets, at most %d are allowed", sent, rules.Attempts)
				}
			}
			stream.record(command, e)
			command = life.Step(e)
			stream.check(t, command)
		}
		if ended != 1 {
			t.Fatalf("request ended %d times", ended)
		}
	})
}

func drawEvent(t *rapid.T, awaitingGrant bool) Event {
	if awaitingGrant && rapid.IntRange(0, 3).Draw(t, "grant") > 0 {
		target := rapid.SampledFrom([]swid.TargetID{"a", "b", "c"}).Draw(t, "target")
		return Granted{Target: target, Origin: drawOrigin(t, "targetOrigin"), Continued: drawOrigin(t, "continuedOrigin")}
	}
	if !awaitingGrant && rapid.IntRange(0, 3).Draw(t, "begin") == 0 {
		// The stream breaks after its first event.
		return AttemptEnded{Result: swcell.ResultBroken, Delivered: true, Began: true, Origin: drawOrigin(t, "begunOrigin")}
	}
	return rapid.SampledFrom(events).Draw(t, "event")
}

// drawOrigin draws an origin of one of two versions, or one that is not known.
func drawOrigin(t *rapid.T, label string) sworigin.Origin {
	return rapid.SampledFrom([]sworigin.Origin{{}, {Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}}).Draw(t, label)
}

// continued tracks the origin of a request's stream.
type continued struct {
	continues bool
	origin    sworigin.Origin
	// granted is the origin of the granted target, and resolved that of the stream by the first owner that knew it.
	granted, resolved sworigin.Origin
}

// check checks that a stream is dispatched at its origin only.
func (c *continued) check(t *rapid.T, command Command) {
	if _, dispatch := command.(Dispatch); !dispatch || !c.continues {
		return
	}
	if !c.origin.Known() {
		c.origin = c.resolved
	}
	if !c.origin.Known() || c.granted != c.origin {
		t.Fatalf("a stream of %v continues at %v", c.origin, c.granted)
	}
}

// record records an event.
func (c *continued) record(command Command, e Event) {
	switch e := e.(type) {
	case Granted:
		c.granted = e.Origin
		if _, awaited := command.(RequestGrant); awaited && c.continues && !c.resolved.Known() {
			c.resolved = e.Continued
		}
	case AttemptEnded:
		if _, dispatched := command.(Dispatch); dispatched && e.Began && !c.continues {
			c.continues, c.origin = true, e.Origin
		}
	}
}

// mayHaveRunAfter reports whether a target may have run the request if a command is
// answered by the given event. What is no end of the attempt that a command starts proves nothing of it.
func mayHaveRunAfter(c Command, e Event) bool {
	switch c.(type) {
	case Claim:
		failed, ok := e.(ClaimFailed)
		_, replayed := e.(Replayed)
		return ok && failed.MayHaveRun || replayed
	case Dispatch, Resume:
		ended, ok := e.(AttemptEnded)
		return !ok || ended.Result != swcell.ResultNotStarted && !(ended.Result == swcell.ResultCancelled && ended.Unsent)
	}
	return false
}

// TestLifeEnds checks how a request ends after given events.
func TestLifeEnds(t *testing.T) {
	broken := AttemptEnded{Result: swcell.ResultBroken}
	tests := []struct {
		name          string
		nonIdempotent bool
		events        []Event
		want          End
	}{
		{"answered", false, []Event{Granted{Target: "a"}, AttemptEnded{Result: swcell.ResultAnswered}}, End{Outcome: OutcomeAnswered}},
		{"given up", false, []Event{Rejected{swcell.ReasonOverload, 500}}, End{OutcomeNotRun, CauseOverload, 500}},
		{"repeated elsewhere", false, []Event{Granted{Target: "a"}, broken, Granted{Target: "b"}, AttemptEnded{Result: swcell.ResultAnswered}}, End{Outcome: OutcomeAnswered}},
		{"not repeated", true, []Event{Claimed{}, Granted{Target: "a"}, broken}, End{Outcome: OutcomeUnknown, Cause: CauseTargetFailed}},
		{"refused, then run", true, []Event{Claimed{}, Granted{Target: "a"}, AttemptEnded{Result: swcell.ResultNotStarted}, Granted{Target: "b"}, broken}, End{Outcome: OutcomeUnknown, Cause: CauseTargetFailed}},
		{"claim unavailable", true, []Event{ClaimFailed{Cause: CauseClaimUnavailable}}, End{Outcome: OutcomeNotRun, Cause: CauseClaimUnavailable}},
		{"repeated key", true, []Event{ClaimFailed{Cause: CauseClaimHeld, MayHaveRun: true}}, End{Outcome: OutcomeUnknown, Cause: CauseClaimHeld}},
		{"granted again while it runs", false, []Event{Granted{Target: "a"}, Granted{Target: "b"}}, End{Outcome: OutcomeUnknown, Cause: CauseTargetFailed}},
		{"given up by its caller while it runs", true, []Event{Claimed{}, Granted{Target: "a"}, WaitEnded{Cause: CauseCallerGone}}, End{Outcome: OutcomeUnknown, Cause: CauseTargetFailed}},
		{"given up by its caller after it was answered", true, []Event{Claimed{}, Granted{Target: "a"}, AttemptEnded{Result: swcell.ResultAnswered}, WaitEnded{Cause: CauseCallerGone}}, End{Outcome: OutcomeUnknown, Cause: CauseTargetFailed}},
		{"broken after delivery", false, []Event{Granted{Target: "a"}, AttemptEnded{Result: swcell.ResultBroken, Delivered: true}}, End{Outcome: OutcomeUnknown, Cause: CauseTargetFailed}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			life, command := New(Rules{NonIdempotent: tt.nonIdempotent})
			for _, e := range tt.events {
				command = life.Step(e)
			}
			if command != Command(tt.want) {
				t.Errorf("got %+v, want %+v", command, tt.want)
			}
		})
	}
}
