package sworiginlog

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// store is an object store. It implements swobject.Objects.
type store struct {
	objects map[string]swobject.Object
	era     swobject.Era
	version swobject.Version
	// down makes calls fail; loseAnswers makes writes happen without an answer.
	down, loseAnswers bool
	calls, largest    int
}

func (s *store) Get(_ context.Context, key string) (swobject.Object, error) {
	s.calls++
	o, found := s.objects[key]
	switch {
	case s.down:
		return swobject.Object{}, swobject.ErrUnavailable
	case !found:
		return swobject.Object{}, swobject.ErrNotFound
	}
	return o, nil
}

func (s *store) Put(_ context.Context, key string, value []byte, expected swobject.Version) (swobject.Version, error) {
	s.calls++
	switch {
	case s.down:
		return 0, swobject.ErrUnavailable
	case expected != s.objects[key].Version:
		return 0, swobject.ErrConflict
	}
	s.version++
	s.objects[key] = swobject.Object{Key: key, Version: s.version, Value: value}
	s.largest = max(s.largest, len(value))
	if s.loseAnswers {
		return 0, swobject.ErrUnknown
	}
	return s.version, nil
}

func (s *store) List(context.Context) ([]swobject.Object, error) {
	s.calls++
	if s.down {
		return nil, swobject.ErrUnavailable
	}
	return slices.Collect(maps.Values(s.objects)), nil
}

func (s *store) Era() swobject.Era { return s.era }

// host is a process with a register and a keeper.
type host struct {
	clock    *swclock.Manual
	register *sworigin.Register
	keeper   *Keeper
	owner    bool
	// refresh is called when the lists are read, which fails with refreshError.
	refresh      func()
	refreshError error
}

// reregister is the time within which targets are listed again after the store was set back.
const reregister = 2 * swclock.Second

func newHost(s *store) *host {
	h := &host{clock: &swclock.Manual{}, register: sworigin.NewRegister(1 << 16), owner: true}
	h.clock.Advance(swclock.Second)
	h.keeper = New(Config{
		Objects: s, Register: h.register, Clock: h.clock, Owner: func() bool { return h.owner },
		Reachable: func() bool { return true }, Log: zerolog.Nop(),
		ReregisterWithin: reregister,
		Refresh: func(context.Context) error {
			if h.refresh != nil {
				h.refresh()
			}
			return h.refreshError
		},
	})
	return h
}

// run lets the keeper look for a time.
func (h *host) run(span swclock.Millis) {
	for range int(span / saveInterval) {
		h.clock.Advance(saveInterval)
		h.keeper.Step(context.Background())
	}
}

var (
	first  = sworigin.Origin{Service: "s", Version: "v1"}
	second = sworigin.Origin{Service: "s", Version: "v2"}
)

func (h *host) serve(origins ...sworigin.Origin) {
	h.register.SetServing(map[swid.ServiceID][]sworigin.Origin{"s": origins}, h.clock.Now())
}

func (h *host) begin(stream sworigin.Stream, origin sworigin.Origin) {
	h.register.Add(sworigin.Begun{Stream: stream, Origin: origin, Retention: 20 * swclock.Second}, h.clock.Now())
}

// resolve asks for a stream as often as it takes to find it out.
func (h *host) resolve(stream sworigin.Stream) (sworigin.Origin, sworigin.Verdict) {
	askedAt := h.clock.Now()
	for range 10 {
		origin, verdict := h.register.Resolve("s", stream, askedAt, h.clock.Now())
		if verdict != sworigin.VerdictPending {
			return origin, verdict
		}
		h.run(saveInterval)
	}
	return sworigin.Origin{}, sworigin.VerdictPending
}

// TestOutlasts guards against origins that are lost with the processes that know them, or with what the store
// loses when it is set back, and against wrong ones.
func TestOutlasts(t *testing.T) {
	tests := []struct {
		name string
		// happens is what happens after the streams 1 (first) and 3 (second) have begun.
		happens func(h *host, s *store)
		// lost is set if nothing can tell the origins afterwards.
		lost bool
	}{
		{"saved", func(h *host, _ *store) { h.run(swclock.Second) }, false},
		{"not saved yet", func(*host, *store) {}, true},
		{"answers lost", func(h *host, s *store) {
			s.loseAnswers = true
			h.run(3 * swclock.Second)
			s.loseAnswers = false
			h.run(3 * swclock.Second)
		}, false},
		{"store away for a while", func(h *host, s *store) {
			s.down = true
			h.run(3 * swclock.Second)
			s.down = false
			h.run(3 * swclock.Second)
		}, false},
		{"store set back", func(h *host, s *store) {
			earlier := maps.Clone(s.objects)
			h.run(swclock.Second)
			s.objects, s.version = earlier, s.version-1
			s.era++
			h.run(swclock.Second)
		}, false},
		{"another owner", func(h *host, s *store) {
			other := newHost(s)
			other.serve(first, second)
			for i := range sworigin.Stream(40) {
				other.begin(100+i, second)
				other.run(saveInterval)
				h.begin(1000+i, first)
				h.run(saveInterval)
			}
			h.run(swclock.Second)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &store{objects: make(map[string]swobject.Object)}
			h := newHost(s)
			h.serve(first, second)
			h.run(swclock.Second)
			h.begin(1, first)
			h.begin(3, second)
			tt.happens(h, s)
			next := newHost(s)
			next.serve(second) // the first version has gone meanwhile
			next.run(saveInterval)
			for _, b := range []sworigin.Begun{{Stream: 1, Origin: first}, {Stream: 3, Origin: second}} {
				origin, verdict := next.resolve(b.Stream)
				if tt.lost && verdict != sworigin.VerdictUnknown {
					t.Errorf("stream %d: verdict %d, origin %v, want none", b.Stream, verdict, origin)
				}
				if !tt.lost && (verdict != sworigin.VerdictKnown || origin != b.Origin) {
					t.Errorf("stream %d: verdict %d, origin %v, want %v", b.Stream, verdict, origin, b.Origin)
				}
			}
		})
	}
}

// TestOneVersion checks that a service with one version costs no writes of streams, and that its streams can be
// continued after all processes have ended.
func TestOneVersion(t *testing.T) {
	s := &store{objects: make(map[string]swobject.Object)}
	earlier := newHost(s)
	earlier.serve(first)
	earlier.run(2 * reregister)
	s.calls = 0
	h := newHost(s)
	h.serve(first)
	for i := range sworigin.Stream(100) {
		h.begin(i+1, first)
		h.run(saveInterval)
	}
	if s.calls > 2 {
		t.Errorf("%d calls of the store, want one to read the versions and one to write them", s.calls)
	}
	next := newHost(s)
	next.serve(first)
	next.run(saveInterval)
	if origin, verdict := next.resolve(7); verdict != sworigin.VerdictKnown || origin != first {
		t.Errorf("verdict %d, origin %v, want %v", verdict, origin, first)
	}
}

// TestConfirmation guards against a version taken for the only one although the store knows of another, or may have lost it
// when it was set back.
func TestConfirmation(t *testing.T) {
	tests := []struct {
		name string
		// happens is what happens while only the first version is listed at the host that is asked.
		happens func(s *store, h, other *host)
		// after is the time until the question.
		after swclock.Millis
		want  sworigin.Verdict
	}{
		{"one version", func(*store, *host, *host) {}, 0, sworigin.VerdictKnown},
		{"another version joined", func(_ *store, h, _ *host) {
			h.refresh = func() { h.serve(first, second) }
		}, 0, sworigin.VerdictUnknown},
		{"another version joined and left", func(_ *store, _, other *host) {
			other.serve(first, second)
			other.run(swclock.Second)
			other.serve(first)
		}, 0, sworigin.VerdictUnknown},
		{"the list cannot be read", func(_ *store, h, _ *host) { h.refreshError = swobject.ErrUnavailable }, 0, sworigin.VerdictPending},
		{"the versions cannot be read", func(s *store, _, _ *host) { s.down = true }, 0, sworigin.VerdictPending},
		{"the store is set back while it is read", func(s *store, h, _ *host) {
			h.refresh = func() { s.era = 1 }
		}, 0, sworigin.VerdictPending},
		{"the store was set back", func(s *store, _, _ *host) { s.era++ }, 0, sworigin.VerdictPending},
		{"the store was set back a while ago", func(s *store, _, _ *host) { s.era++ }, reregister, sworigin.VerdictKnown},
		{"the stored versions are gone", func(s *store, _, _ *host) { delete(s.objects, versionsKey) }, 0, sworigin.VerdictPending},
		{"the stored versions are gone, with those of a version that left", func(s *store, _, other *host) {
			other.serve(first, second)
			other.run(swclock.Second)
			other.serve(first)
			delete(s.objects, versionsKey)
		}, 0, sworigin.VerdictPending},
		{"the stored versions cannot be decoded", replaceVersions("{"), 0, sworigin.VerdictPending},
		{"the stored versions are empty", replaceVersions("{}"), 0, sworigin.VerdictPending},
		{"the stored versions are null", replaceVersions("null"), 0, sworigin.VerdictPending},
		{"replaced by an earlier build", replaceVersions(earlierVersions), 0, sworigin.VerdictPending},
		{"the stored versions have been gone for a while", func(s *store, h, _ *host) {
			delete(s.objects, versionsKey)
			h.register.Resolve("s", 5, h.clock.Now(), h.clock.Now())
		}, reregister, sworigin.VerdictKnown},
		{"written by an earlier build", func(s *store, h, other *host) {
			replaceVersions(earlierVersions)(s, h, other)
			*h = *newHost(s)
			h.serve(first)
		}, 0, sworigin.VerdictPending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &store{objects: make(map[string]swobject.Object)}
			other := newHost(s)
			other.serve(first)
			other.run(2 * reregister)
			h := newHost(s)
			h.owner = false
			h.serve(first)
			h.run(swclock.Second)
			tt.happens(s, h, other)
			h.run(saveInterval)
			h.clock.Advance(tt.after)
			askedAt := h.clock.Now()
			var origin sworigin.Origin
			verdict := sworigin.VerdictPending
			for range 4 {
				if origin, verdict = h.register.Resolve("s", 7, askedAt, h.clock.Now()); verdict != sworigin.VerdictPending {
					break
				}
				h.run(saveInterval)
			}
			if verdict != tt.want || verdict == sworigin.VerdictKnown && origin != first {
				t.Errorf("verdict %d, origin %v, want %d", verdict, origin, tt.want)
			}
		})
	}
}

// replaceVersions returns a function that replaces the stored versions.
func replaceVersions(value string) func(s *store, h, other *host) {
	return func(s *store, _, _ *host) {
		s.version++
		s.objects[versionsKey] = swobject.Object{Key: versionsKey, Version: s.version, Value: []byte(value)}
	}
}

// TestVersionLapses guards against a version that has gone and is kept for as long as streams of another service are asked for.
func TestVersionLapses(t *testing.T) {
	s := &store{objects: make(map[string]swobject.Object)}
	h := newHost(s)
	h.serve(first, second)
	h.run(2 * reregister)
	h.serve(second)
	for i := range int(sworigin.MaxRetention/swclock.Second) + 5 {
		h.register.Resolve("other", sworigin.Stream(i+1), h.clock.Now(), h.clock.Now())
		h.run(swclock.Second)
	}
	stored, err := decodeVersions(s.objects[versionsKey].Value)
	if want := []sworigin.Origin{second}; err != nil || !reflect.DeepEqual(stored.services["s"], want) {
		t.Errorf("stored %v, %v, want %v", stored.services, err, want)
	}
}

// earlierVersions is what a build before stores of eras writes.
const earlierVersions = `{"services":[{"service":"s","origins":[{"service":"s","version":"v1"}]}]}`

// TestStoredFormat checks that stored versions are read by this build and the one before, whichever wrote them.
func TestStoredFormat(t *testing.T) {
	services := map[swid.ServiceID][]sworigin.Origin{"s": {first}}
	tests := []struct {
		name   string
		stored versions
		want   string
	}{
		{"all of an era", versions{services: services, complete: true, era: 4}, strings.TrimSuffix(earlierVersions, "}") + `,"era":4}`},
		{"all of the first era", versions{services: services, complete: true}, strings.TrimSuffix(earlierVersions, "}") + `,"era":0}`},
		{"not all", versions{services: services}, earlierVersions},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			value, err := encodeVersions(tt.stored)
			if err != nil || string(value) != tt.want {
				t.Errorf("encoded %s, %v, want %s", value, err, tt.want)
			}
			decoded, err := decodeVersions([]byte(tt.want))
			if err != nil || !reflect.DeepEqual(decoded, tt.stored) {
				t.Errorf("decoded %v, %v, want %v", decoded, err, tt.stored)
			}
		})
	}
}

// TestBounded checks that the objects stay within their size and number while many streams begin, and that the ring
// holds all that can be continued.
func TestBounded(t *testing.T) {
	s := &store{objects: make(map[string]swobject.Object)}
	h := newHost(s)
	h.serve(first, second)
	// Half of all requests at the largest size.
	const perSave = 3700 / (swclock.Second / saveInterval)
	steps := int(2 * sworigin.MaxRetention / saveInterval)
	var latest []sworigin.Stream
	for i := range steps {
		latest = latest[:0]
		for range perSave {
			stream := sworigin.StreamOf(swid.RequestID(fmt.Sprint(i, rand.Uint64())))
			h.begin(stream, second)
			latest = append(latest, stream)
		}
		h.run(saveInterval)
	}
	h.run(swclock.Second)
	if len(s.objects) > slotCount+1 || s.largest > 1<<15 {
		t.Errorf("%d objects of up to %d bytes, want at most %d of %d", len(s.objects), s.largest, slotCount+1, 1<<15)
	}
	if calls := s.calls; calls > steps+10 {
		t.Errorf("%d calls in %d intervals", calls, steps)
	}
	next := newHost(s)
	next.serve(first, second)
	next.run(saveInterval)
	for _, stream := range latest {
		if origin, verdict := next.resolve(stream); verdict != sworigin.VerdictKnown || origin != second {
			t.Fatalf("verdict %d, origin %v, want %v", verdict, origin, second)
		}
	}
}
