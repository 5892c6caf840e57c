package sworigin

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

var (
	first  = Origin{Service: "s", Version: "v1"}
	second = Origin{Service: "s", Version: "v2"}
)

func serving(origins ...Origin) map[swid.ServiceID][]Origin {
	return map[swid.ServiceID][]Origin{"s": origins}
}

// TestResolve checks that the origin of a stream is known only if there is a record of it, or only one that it
// can have.
func TestResolve(t *testing.T) {
	const now = 10 * swclock.Second
	begun := Begun{Stream: 1, Origin: first, Retention: 5 * swclock.Second}
	tests := []struct {
		name    string
		prepare func(r *Register)
		stream  Stream
		want    Verdict
		origin  Origin
	}{
		{"recorded", func(r *Register) { r.Add(begun, now) }, 1, VerdictKnown, first},
		{"recorded with two origins", func(r *Register) {
			r.Add(begun, now)
			r.Add(Begun{Stream: 1, Origin: second, Retention: 1000}, now)
		}, 1, VerdictUnknown, Origin{}},
		{"recorded too long ago", func(r *Register) { r.Add(begun, now-6*swclock.Second) }, 1, VerdictPending, Origin{}},
		{"not recorded, stored streams not read", func(r *Register) { r.SetServing(serving(first, second), now) }, 1, VerdictPending, Origin{}},
		{"not recorded, stored streams read", func(r *Register) {
			r.SetServing(serving(first, second), now)
			r.Load(nil, now, now)
		}, 1, VerdictUnknown, Origin{}},
		{"stored", func(r *Register) { r.Load([]Begun{begun}, now, now) }, 1, VerdictKnown, first},
		{"one version", func(r *Register) {
			r.SetServing(serving(first), now)
			r.Confirm(now)
		}, 1, VerdictKnown, first},
		{"one version, not named", func(r *Register) {
			r.SetServing(serving(first), now)
			r.Confirm(now)
		}, 0, VerdictKnown, first},
		{"one version, not named, not confirmed", func(r *Register) { r.SetServing(serving(first), now) }, 0, VerdictPending, Origin{}},
		{"two versions, not named", func(r *Register) {
			r.LoadVersions(nil, 0)
			r.SetServing(serving(first, second), now)
		}, 0, VerdictUnknown, Origin{}},
		{"one version, never confirmed", func(r *Register) { r.SetServing(serving(first), now) }, 1, VerdictPending, Origin{}},
		{"one version, confirmed before the question", func(r *Register) {
			r.SetServing(serving(first), now)
			r.Confirm(now - 1)
		}, 1, VerdictPending, Origin{}},
		{"no version, confirmed", func(r *Register) { r.Confirm(now) }, 1, VerdictUnknown, Origin{}},
		{"one version, another one stored", func(r *Register) {
			r.LoadVersions(serving(second), 0)
			r.SetServing(serving(first), now)
		}, 1, VerdictPending, Origin{}},
		{"one version, the other one has gone", func(r *Register) {
			r.LoadVersions(nil, 0)
			r.SetServing(serving(first, second), now-30*swclock.Second)
			r.SetServing(serving(second), now-20*swclock.Second)
		}, 1, VerdictPending, Origin{}},
		{"one version, the other one went long ago", func(r *Register) {
			r.LoadVersions(nil, now-2*MaxRetention)
			r.SetServing(serving(first, second), now-2*MaxRetention)
			r.SetServing(serving(second), now-MaxRetention)
			r.Confirm(now)
		}, 1, VerdictKnown, second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegister(100)
			tt.prepare(r)
			origin, verdict := r.Resolve("s", tt.stream, now, now)
			if verdict != tt.want || origin != tt.origin {
				t.Errorf("verdict %d, origin %v, want %d and %v", verdict, origin, tt.want, tt.origin)
			}
		})
	}
}

// TestNeverGuesses guards against an origin that is not the stream's, whatever has been forgotten, lost, read again or
// not been seen yet.
func TestNeverGuesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegister(4)
		truth := make(map[Stream]Origin)
		var stored []Begun
		versions := serving(first)
		recorded := map[Origin]bool{first: true}
		now := swclock.Millis(0)
		confirm := func() {
			r.LoadVersions(serving(slices.Collect(maps.Keys(recorded))...), now)
			r.SetServing(versions, now)
			r.Confirm(now)
		}
		for range 60 {
			now += swclock.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				versions = serving(rapid.SampledFrom([][]Origin{{first}, {second}, {first, second}}).Draw(t, "versions")...)
				for _, o := range versions["s"] {
					recorded[o] = true
				}
				if rapid.Bool().Draw(t, "seen") {
					r.SetServing(versions, now)
				}
			case 1, 2:
				b := Begun{Stream: Stream(len(truth)+1)<<1 | 1, Retention: swclock.Millis(rapid.IntRange(1, 20_000).Draw(t, "retention"))}
				b.Origin = rapid.SampledFrom(versions["s"]).Draw(t, "origin")
				truth[b.Stream] = b.Origin
				if rapid.Bool().Draw(t, "here") {
					r.SetServing(versions, now)
					r.Add(b, now)
				}
			case 3:
				saved := r.Unsaved(rapid.IntRange(1, 3).Draw(t, "limit"))
				stored = append(stored, saved...)
				r.Saved(len(saved))
			case 4: // the process is started anew
				r = NewRegister(4)
			case 5:
				r.Load(stored, now, now)
			case 6:
				confirm()
			}
			if now >= swclock.Minute {
				return // what was recorded lasts no longer
			}
			for s, want := range truth {
				if origin, verdict := r.Resolve("s", s, now, now); verdict == VerdictKnown && origin != want {
					t.Fatalf("stream %d of %v is taken for one of %v", s, want, origin)
				}
			}
		}
	})
}

// TestBoundedRegister checks that a register keeps the latest streams up to its capacity.
func TestBoundedRegister(t *testing.T) {
	const capacity = 1000
	r := NewRegister(capacity)
	r.SetServing(serving(first, second), 0)
	for i := range Stream(10 * capacity) {
		r.Add(Begun{Stream: i + 1, Origin: first, Retention: MaxRetention}, swclock.Millis(i))
	}
	if streams, order, unsaved := len(r.streams), len(r.order), len(r.unsaved); streams > capacity || order > capacity || unsaved > capacity {
		t.Errorf("%d streams, %d in order, %d to be stored, want at most %d", streams, order, unsaved, capacity)
	}
	if _, known := r.Find(10*capacity, 10*capacity); !known {
		t.Error("the latest stream is not known")
	}
	if got := len(r.Recent(10, 10*capacity)); got != 10 {
		t.Errorf("%d recent streams, want 10", got)
	}
}

// TestUnsaved checks which streams are to be stored: those of services with several versions, and all that are
// known when a second one appears or the store lost them.
func TestUnsaved(t *testing.T) {
	r := NewRegister(100)
	check := func(when string, want int) {
		t.Helper()
		if got := len(r.Unsaved(100)); got != want {
			t.Errorf("%s: %d streams are to be stored, want %d", when, got, want)
		}
	}
	r.SetServing(serving(first), 0)
	r.Add(Begun{Stream: 1, Origin: first, Retention: 1000}, 0)
	check("one version", 0)
	r.SetServing(serving(first, second), 10)
	check("a second version", 1)
	r.Add(Begun{Stream: 3, Origin: second, Retention: 1000}, 20)
	check("a further stream", 2)
	r.Saved(2)
	check("saved", 0)
	r.Unsave(30)
	check("lost by the store", 2)
}

// TestJoin checks that streams of services with one version each are known by their records only once their route was moved
// from one to the other, for as long as they may be taken up, and that they are to be stored.
func TestJoin(t *testing.T) {
	const movedAt = 10 * swclock.Second
	other := Origin{Service: "other", Version: "v1"}
	both := map[swid.ServiceID][]Origin{"s": {first}, "other": {other}}
	tests := []struct {
		name string
		// before is what serves when the route is moved, earlier what served 20 s before.
		earlier, before map[swid.ServiceID][]Origin
		service         swid.ServiceID
		at              swclock.Millis
		want            Verdict
		origin          Origin
	}{
		{"at the new service", both, both, "other", movedAt, VerdictUnknown, Origin{}},
		{"at the former service", both, both, "s", movedAt, VerdictUnknown, Origin{}},
		{"at the new service, which was not used", serving(first), serving(first), "other", movedAt, VerdictUnknown, Origin{}},
		{"at a service of its own", map[swid.ServiceID][]Origin{"third": {second}}, both, "third", movedAt, VerdictKnown, second},
		{"former service has no targets", both, map[swid.ServiceID][]Origin{"other": {other}}, "other", movedAt, VerdictUnknown, Origin{}},
		{"long ago", both, both, "other", movedAt + MaxRetention, VerdictKnown, other},
		{"former service had no targets long ago", both, map[swid.ServiceID][]Origin{"other": {other}}, "other", movedAt - 20*swclock.Second + MaxRetention, VerdictKnown, other},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRegister(100)
			r.SetServing(tt.earlier, movedAt-20*swclock.Second)
			r.Add(Begun{Stream: 1, Origin: first, Retention: MaxRetention}, movedAt-20*swclock.Second)
			r.SetServing(tt.before, movedAt-20*swclock.Second)
			r.Join([]swid.ServiceID{"s", "other"}, movedAt)
			if unsaved := r.Unsaved(10); len(tt.earlier["s"]) > 0 && len(tt.earlier["other"]) > 0 && len(unsaved) != 1 {
				t.Errorf("%d streams are to be stored, want 1", len(unsaved))
			}
			r.SetServing(map[swid.ServiceID][]Origin{"other": {other}, "third": {second}}, movedAt)
			r.Load(nil, tt.at, tt.at)
			r.Confirm(tt.at)
			if origin, verdict := r.Resolve(tt.service, 99, tt.at, tt.at); verdict != tt.want || origin != tt.origin {
				t.Errorf("verdict %d, origin %v, want %d and %v", verdict, origin, tt.want, tt.origin)
			}
		})
	}
}

func BenchmarkAdd(b *testing.B) {
	r := NewRegister(DefaultCapacity)
	r.SetServing(serving(first), 0)
	for i := range b.N {
		r.Add(Begun{Stream: StreamOf(swid.RequestID(fmt.Sprint(i))), Origin: first, Retention: 15 * swclock.Second}, swclock.Millis(i/4))
	}
}
