package swrefusal

import (
	"context"
	"reflect"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// store is an object store with one object. It implements swobject.Objects.
type store struct {
	object  swobject.Object
	era     swobject.Era
	version swobject.Version
	// copied is the state that setBack returns to.
	copied swobject.Object
	// down makes calls fail; loseAnswers makes writes happen without an answer.
	down        bool
	loseAnswers bool
	reads       int
	writes      int
	// largest is the size of the largest value that was written.
	largest int
}

func (s *store) Get(context.Context, string) (swobject.Object, error) {
	s.reads++
	switch {
	case s.down:
		return swobject.Object{}, swobject.ErrUnavailable
	case s.object.Version == 0:
		return swobject.Object{}, swobject.ErrNotFound
	}
	return s.object, nil
}

func (s *store) Put(_ context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
	s.writes++
	switch {
	case s.down:
		return 0, swobject.ErrUnavailable
	case expected != s.object.Version:
		return 0, swobject.ErrConflict
	}
	s.version++
	s.object = swobject.Object{Key: key, Version: s.version, Value: value}
	s.largest = max(s.largest, len(value))
	if s.loseAnswers {
		return 0, swobject.ErrUnknown
	}
	return s.version, nil
}

func (s *store) List(context.Context) ([]swobject.Object, error) {
	return []swobject.Object{s.object}, nil
}

func (s *store) Era() swobject.Era { return s.era }

func (s *store) copy() { s.copied = s.object }

func (s *store) setBack() {
	s.object, s.version = s.copied, s.copied.Version
	s.era++
}

const (
	limit   = 3
	content = swid.Fingerprint(7)
)

// host is a process with registers and a keeper.
type host struct {
	clock    *swclock.Manual
	register *swsuspect.Register
	parts    *swsuspect.Parts
	keeper   *Keeper
	owner    bool
	// ownerless is set while the host has no link to its owner.
	ownerless bool
}

func newHost(s *store, clock *swclock.Manual) *host {
	h := &host{
		clock: clock, owner: true, register: swsuspect.New(maxContents, swsuspect.Limits{Strikes: limit, Retention: 10 * swclock.Minute}),
		parts: swsuspect.NewParts(maxParts, swsuspect.PartLimits{VerifyAfter: swclock.Hour, Retention: 10 * swclock.Minute}),
	}
	h.keeper = New(Config{
		Objects: s, Register: h.register, Parts: h.parts, Clock: clock, Owner: func() bool { return h.owner },
		Ownerless: func() bool { return h.ownerless }, Reachable: func() bool { return true }, Log: zerolog.Nop(),
	})
	h.keeper.Step(context.Background())
	return h
}

// crash counts crashes of content on as many targets, one after the other, and crashes of requests
// with the part promptOf(f).
func (h *host) crash(f swid.Fingerprint, targets ...swid.TargetID) {
	for _, id := range targets {
		h.clock.Advance(1)
		now := h.clock.Now()
		crash := swsuspect.Crash{Target: id, Started: now - 1, Ended: now, Apart: true}
		h.register.Strike(f, crash, now)
		prompt := promptOf(f)
		prompt.Content = swid.Fingerprint(now)
		h.parts.Crash(swsuspect.PromptCrash{Crash: crash, Prompt: prompt}, now)
	}
}

func promptOf(f swid.Fingerprint) swsuspect.Prompt {
	return swsuspect.Prompt{Scope: 1, Parts: []swid.PrefixHash{swid.PrefixHash(f)}}
}

// run steps the keepers of hosts for a time.
func run(clock *swclock.Manual, span swclock.Millis, hosts ...*host) {
	for range span / stepInterval {
		clock.Advance(stepInterval)
		for _, h := range hosts {
			h.keeper.Step(context.Background())
		}
	}
}

// refuses reports whether the content and the part that belongs to it are refused.
func (h *host) refuses(f swid.Fingerprint) bool {
	content, part := h.verdicts(f)
	return content == swsuspect.Refused && part == swsuspect.Refused
}

func (h *host) verdicts(f swid.Fingerprint) (content, part swsuspect.Verdict) {
	content, _ = h.register.Verdict(f, h.clock.Now())
	prompt := promptOf(f)
	part, _, _ = h.parts.Verdict(&prompt, h.clock.Now())
	return content, part
}

func newClock() *swclock.Manual {
	c := &swclock.Manual{}
	c.Advance(swclock.Minute)
	return c
}

// TestRefusalsOutlastTheirProcess guards against content that is forgotten when the process that
// counted its crashes ends, whatever happened in the store before.
func TestRefusalsOutlastTheirProcess(t *testing.T) {
	tests := []struct {
		name string
		run  func(s *store, clock *swclock.Manual, h *host)
	}{
		{"saved", func(_ *store, clock *swclock.Manual, h *host) { run(clock, 2*swclock.Second, h) }},
		{"the store was down meanwhile", func(s *store, clock *swclock.Manual, h *host) {
			s.down = true
			run(clock, 10*swclock.Second, h)
			s.down = false
			run(clock, 5*swclock.Second, h)
		}},
		{"answers were lost", func(s *store, clock *swclock.Manual, h *host) {
			s.loseAnswers = true
			run(clock, 10*swclock.Second, h)
		}},
		{"the store was set back", func(s *store, clock *swclock.Manual, h *host) {
			s.copy()
			run(clock, 2*swclock.Second, h)
			s.setBack()
			run(clock, 2*swclock.Second, h)
		}},
		{"the store was set back, and its versions were given out again", func(s *store, clock *swclock.Manual, h *host) {
			s.copy()
			run(clock, 2*swclock.Second, h)
			s.setBack()
			other := newHost(s, clock)
			other.crash(99, "x", "y", "z")
			run(clock, 2*swclock.Second, other)
			run(clock, 3*swclock.Second, h)
		}},
		{"the host is no owner any more", func(s *store, clock *swclock.Manual, h *host) {
			s.down = true
			run(clock, 3*swclock.Second, h)
			h.owner, s.down = false, false
			run(clock, 5*swclock.Second, h)
		}},
		{"the object cannot be read", func(s *store, clock *swclock.Manual, h *host) {
			s.version++
			s.object = swobject.Object{Key: Key, Version: s.version, Value: []byte("{")}
			run(clock, 5*swclock.Second, h)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, clock := &store{}, newClock()
			h := newHost(s, clock)
			h.crash(content, "a", "b", "c")
			tt.run(s, clock, h)
			if !newHost(s, clock).refuses(content) {
				t.Error("the content is not refused by a process that starts later")
			}
		})
	}
}

// TestOwnersMerge checks that two owners at the same time end with the refusals of both, and that
// one of them dying loses none.
func TestOwnersMerge(t *testing.T) {
	s, clock := &store{}, newClock()
	one, two := newHost(s, clock), newHost(s, clock)
	one.crash(1, "a", "b", "c")
	two.crash(2, "a", "b", "c")
	run(clock, reloadInterval+5*swclock.Second, one, two)
	for i, h := range []*host{one, two, newHost(s, clock)} {
		if !h.refuses(1) || !h.refuses(2) {
			t.Errorf("host %d refuses %t and %t, want both contents refused", i, h.refuses(1), h.refuses(2))
		}
	}
}

// TestAnsweredContentIsNotLoaded checks that a refusal which an answer ended does not come back from
// the store.
func TestAnsweredContentIsNotLoaded(t *testing.T) {
	s, clock := &store{}, newClock()
	h := newHost(s, clock)
	h.crash(content, "a", "b", "c")
	run(clock, 2*swclock.Second, h)
	h.register.RecordAnswer(content, clock.Now())
	prompt := promptOf(content)
	h.parts.RecordAnswer(&prompt, clock.Now(), clock.Now())
	s.copy()
	s.setBack()
	run(clock, 2*reloadInterval, h)
	for _, later := range []*host{h, newHost(s, clock)} {
		if verdict, part := later.verdicts(content); verdict != swsuspect.Clear || part != swsuspect.Clear {
			t.Errorf("verdicts %v and %v on the part, want %v", verdict, part, swsuspect.Clear)
		}
	}
}

// TestStoredRefusalsExpire checks that the time of a refusal does not begin anew with each process.
func TestStoredRefusalsExpire(t *testing.T) {
	s, clock := &store{}, newClock()
	h := newHost(s, clock)
	h.crash(content, "a", "b", "c")
	run(clock, 9*swclock.Minute, h)
	h.crash(99, "a", "b", "c") // makes the keeper write
	run(clock, 2*swclock.Second, h)
	later := newHost(s, clock)
	if !later.refuses(content) {
		t.Error("not refused before the strikes expire")
	}
	clock.Advance(2 * swclock.Minute)
	if later.refuses(content) {
		t.Error("still refused after the strikes have expired")
	}
}

// TestSuspectPartsOutlastTheirProcess guards against crashes of a part that are forgotten when owners die
// before it is refused.
func TestSuspectPartsOutlastTheirProcess(t *testing.T) {
	s, clock := &store{}, newClock()
	prompt := promptOf(content)
	for i := range 4 {
		h := newHost(s, clock)
		if i == 0 {
			h.crash(content, "a")
		}
		h.crash(content, swid.TargetID(rune('b'+i)))
		run(clock, 2*swclock.Second, h)
	}
	if verdict, _, _ := newHost(s, clock).parts.Verdict(&prompt, clock.Now()); verdict != swsuspect.Refused {
		t.Errorf("verdict %v after five crashes at four owners, want %v", verdict, swsuspect.Refused)
	}
}

// TestOwnerlessHost checks that a host which cannot reach its owner learns within seconds what others
// refuse, with one read a second.
func TestOwnerlessHost(t *testing.T) {
	s, clock := &store{}, newClock()
	owner, other := newHost(s, clock), newHost(s, clock)
	other.owner = false
	run(clock, swclock.Second, owner, other)
	owner.crash(content, "a", "b", "c")
	run(clock, 20*swclock.Second, owner, other)
	if other.refuses(content) {
		t.Error("a host with an owner reads the store")
	}
	other.ownerless = true
	reads := s.reads
	run(clock, 3*swclock.Second, other)
	if !other.refuses(content) {
		t.Error("the content is not refused")
	}
	if n := s.reads - reads; n > 3 {
		t.Errorf("%d reads in 3 s", n)
	}
}

// TestBoundedStoreCalls counts the calls and the size of the object while thousands of contents
// crash targets, at an owner and at hosts that own nothing.
func TestBoundedStoreCalls(t *testing.T) {
	s, clock := &store{}, newClock()
	owner := newHost(s, clock)
	reads, writes := s.reads, s.writes
	started := clock.Now()
	for i := range 60 {
		for j := range 200 {
			owner.crash(swid.Fingerprint(i*200+j+1), "a", "b", "c")
		}
		run(clock, swclock.Second, owner)
	}
	span := clock.Now() - started
	if n := s.writes - writes; n > int(span/swclock.Second) {
		t.Errorf("%d writes in %d ms, want at most one a second", n, span)
	}
	if n := s.reads - reads; n > int(span/reloadInterval) {
		t.Errorf("%d reads in %d ms, want at most one each %d ms", n, span, reloadInterval)
	}
	if s.largest > swobject.MaxValueBytes/2 {
		t.Errorf("the object has up to %d bytes", s.largest)
	}
	other := newHost(s, clock)
	other.owner = false
	reads, writes = s.reads, s.writes
	run(clock, swclock.Minute, other)
	if s.reads != reads || s.writes != writes {
		t.Errorf("%d reads and %d writes by a host that owns nothing", s.reads-reads, s.writes-writes)
	}
	if _, err := decode(s.object.Value); err != nil {
		t.Error(err)
	}
}

// TestStoredFormat checks that refusals are read by this build and the released one, whichever wrote them.
func TestStoredFormat(t *testing.T) {
	tests := []struct {
		name   string
		stored refusals
		want   string
	}{
		{"nothing", refusals{}, `{"contents":[]}`},
		{"contents and parts", refusals{
			contents: []swsuspect.Content{{Fingerprint: 0x1f2e, Remaining: 4 * swclock.Second}},
			parts: []swsuspect.PartCrashes{
				{Parts: []swid.PrefixHash{0xa1, 0xb2}, Scope: 0x7, Apart: true, Count: 2, Needed: 3, Remaining: swclock.Minute},
				{Parts: []swid.PrefixHash{0xc3}, Scope: 0x8, Count: 1, Needed: 1, Remaining: swclock.Second},
			},
		}, `{"contents":[{"content":"0000000000001f2e","remainingMillis":4000}],"parts":[` +
			`{"parts":["a1","b2"],"scope":"7","apart":true,"count":2,"needed":3,"remainingMillis":60000},` +
			`{"parts":["c3"],"scope":"8","count":1,"needed":1,"remainingMillis":1000}]}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			value, err := encode(&tt.stored)
			if err != nil || string(value) != tt.want {
				t.Errorf("encoded %s, %v, want %s", value, err, tt.want)
			}
			decoded, err := decode([]byte(tt.want))
			if err != nil || !reflect.DeepEqual(decoded, tt.stored) {
				t.Errorf("decoded %+v, %v, want %+v", decoded, err, tt.stored)
			}
		})
	}
}
