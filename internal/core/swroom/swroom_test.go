package swroom

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// body is one body of a table: its group, what it holds, since when, and whether it is complete.
type body struct {
	group    Group
	held     int
	grownAt  swclock.Millis
	complete bool
}

// TestGiveWay checks who gives way to a body that grows.
func TestGiveWay(t *testing.T) {
	const capacity, now = 16 << 20, 10 * swclock.Second
	mega := func(n int) int { return n << 20 }
	tests := []struct {
		name   string
		bodies []body
		// group has a body that holds held bytes and grows by grows.
		group       Group
		held, grows int
		// evicted are the indexes of the bodies that give way.
		evicted []int
		refused bool
	}{
		{"calm", nil, "a", 0, mega(4), nil, false},
		{"as large as all leave free", nil, "a", 0, mega(6), nil, false},
		{"larger than what it leaves free", nil, "a", 0, mega(7), nil, true},
		{"beside another organisation", []body{{"b", mega(6), now, false}}, "a", 0, mega(3), nil, false},
		{"the stalled before the steady", []body{{"a", mega(2), now, false}, {"a", mega(4), 0, false}}, "a", 0, mega(4), []int{1}, false},
		{"the stalled that holds the most", []body{{"a", mega(1), 0, false}, {"a", mega(2), 0, false}, {"a", mega(3), now, false}}, "a", 0, mega(2), []int{1}, false},
		{"as many as are needed", []body{{"a", mega(2), 0, false}, {"a", mega(2), 0, false}, {"a", mega(2), 0, false}}, "a", 0, mega(4), []int{0, 1}, false},
		{"none if it does not help", []body{{"b", mega(1), 0, false}}, "a", 0, mega(7), nil, true},
		{"the stalled of another organisation", []body{{"b", mega(6), 0, false}}, "a", 0, mega(4), []int{0}, false},
		{"the organisation that holds the most", []body{{"b", mega(4), now, false}, {"b", mega(2), now, false}, {"c", mega(2), now, false}}, "a", 0, mega(3), []int{0}, false},
		{"not one that holds less", []body{{"a", mega(4), now, false}, {"b", mega(3), now, false}}, "a", 0, mega(2), nil, true},
		{"not the steady of its own organisation", []body{{"a", mega(6), now, false}}, "a", 0, mega(1), nil, true},
		{"not the complete", []body{{"a", mega(6), 0, true}}, "a", 0, mega(1), nil, true},
		{"a small one beside complete large ones", []body{{"a", mega(6), 0, true}, {"b", mega(3), 0, true}}, "c", 0, smallBytes, nil, false},
		{"its own room does not count", []body{{"a", mega(3), 0, false}}, "a", mega(3), mega(1), []int{0}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewRoom(capacity)
			evicted := make(map[int]bool)
			for i, b := range tt.bodies {
				s := r.Open(b.grownAt, b.group, func() { evicted[i] = true })
				if err := s.Reserve(b.grownAt, b.held); err != nil {
					t.Fatal(err)
				}
				if b.complete {
					if err := s.Complete(); err != nil {
						t.Fatal(err)
					}
				}
			}
			s := r.Open(now, tt.group, func() {})
			if err := s.Reserve(now, tt.held); err != nil {
				t.Fatal(err)
			}
			err := s.Reserve(now, tt.grows)
			if errors.Is(err, ErrNoRoom) != tt.refused {
				t.Errorf("error %v", err)
			}
			want := make(map[int]bool)
			for _, i := range tt.evicted {
				want[i] = true
			}
			if fmt.Sprint(evicted) != fmt.Sprint(want) {
				t.Errorf("%v gave way, want %v", evicted, want)
			}
		})
	}
}

// TestSmallBodiesOfOneGroup guards against an organisation whose small bodies, which are complete, take the room of another's largest body.
func TestSmallBodiesOfOneGroup(t *testing.T) {
	const largest, count = 4 << 20, 4000
	r := NewRoom(CapacityOf(120e6, largest))
	refused := 0
	for range count {
		s := r.Open(0, "a", func() { t.Error("a complete body gave way") })
		if err := s.Reserve(0, smallBytes); err != nil {
			refused++
			continue
		}
		if err := s.Complete(); err != nil {
			t.Fatal(err)
		}
	}
	if refused == 0 {
		t.Error("the small bodies of one group have no bound")
	}
	for _, g := range []Group{"b", ""} {
		s := r.Open(0, g, func() {})
		if err := s.Reserve(0, smallBytes); err != nil {
			t.Errorf("a small body of %q: %v", g, err)
		}
		if err := s.Reserve(0, largest-smallBytes); err != nil {
			t.Errorf("the largest body of %q: %v", g, err)
		}
		s.Close()
	}
	// Of its own bodies, the small ones give way once they have stalled, and large ones that would not help do not.
	stalled := r.Open(0, "b", func() { t.Error("another organisation's body gave way") })
	if err := stalled.Reserve(0, 2*smallBytes); err != nil {
		t.Fatal(err)
	}
	if err := r.Open(stallAfter, "a", func() {}).Reserve(stallAfter, smallBytes); err == nil {
		t.Error("one more small body found room")
	}
}

// TestGroupsOfHosts guards against a host and an organisation of the same name that are counted together.
func TestGroupsOfHosts(t *testing.T) {
	const capacity = 16 << 20
	r := NewRoom(capacity)
	// Together they would hold more than a group may.
	if err := r.Open(0, "a", func() {}).Reserve(0, capacity/4); err != nil {
		t.Error(err)
	}
	if err := r.OpenCarried(0, "a", func() {}).Reserve(0, capacity/4); err != nil {
		t.Error(err)
	}
}

// TestRoom checks, whatever is done with the shares, that they never hold more than the capacity, that complete ones never
// give way, that one that gave way holds nothing and gets nothing, and that a small body and one of an organisation that holds nothing
// find room where only bodies that have stalled are in the way.
func TestRoom(t *testing.T) {
	const capacity = 1 << 20
	rapid.Check(t, func(t *rapid.T) {
		r, now := NewRoom(capacity), swclock.Millis(0)
		type state struct {
			share                       *Share
			held                        int64
			complete, evicted, finished bool
		}
		var all []*state
		pick := func(t *rapid.T) *state {
			if len(all) == 0 {
				t.Skip("no share")
			}
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "share")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				s := &state{}
				s.share = r.Open(now, Group(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "group")), func() {
					if s.complete || s.finished || s.evicted {
						t.Fatalf("%+v gave way", s)
					}
					s.evicted, s.held = true, 0
				})
				all = append(all, s)
			},
			"reserve": func(t *rapid.T) {
				s, n := pick(t), rapid.IntRange(1, capacity/4).Draw(t, "bytes")
				if s.complete {
					t.Skip("complete")
				}
				if err := s.share.Reserve(now, n); err == nil {
					s.held += int64(n)
					if s.evicted || s.finished {
						t.Errorf("%+v got room", s)
					}
				} else if !errors.Is(err, ErrNoRoom) {
					t.Error(err)
				}
			},
			"complete": func(t *rapid.T) {
				s := pick(t)
				if err := s.share.Complete(); (err != nil) != s.evicted {
					t.Errorf("%+v: error %v", s, err)
				}
				s.complete = !s.evicted
			},
			"close": func(t *rapid.T) {
				s := pick(t)
				s.share.Close()
				s.held, s.finished = 0, true
			},
			"wait": func(t *rapid.T) { now += swclock.Millis(rapid.IntRange(0, 3000).Draw(t, "millis")) },
			"find room after a pause": func(t *rapid.T) {
				now += stallAfter
				completed := int64(0)
				for _, s := range all {
					if s.complete {
						completed += s.held
					}
				}
				s := r.Open(now, "new", func() {})
				defer s.Close()
				if n := int64(smallBytes); completed+n <= capacity {
					if err := s.Reserve(now, smallBytes); err != nil {
						t.Errorf("no room for a small body beside %d bytes of complete ones", completed)
					}
				}
				if n := (capacity-capacity/smallFraction-completed)/2 - smallBytes; n > 0 {
					if err := s.Reserve(now, int(n)); err != nil {
						t.Errorf("no room for %d bytes beside %d bytes of complete ones", n, completed)
					}
				}
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, s := range all {
					sum += s.held
				}
				if held := r.Held(); held != sum || held > capacity {
					t.Errorf("%d bytes held, want %d, at most %d", held, sum, capacity)
				}
			},
		})
		for _, s := range all {
			s.share.Close()
		}
		if r.Held() != 0 || len(r.groups) != 0 || len(r.arriving) != 0 {
			t.Errorf("left: %d bytes, %d groups, %d shares", r.Held(), len(r.groups), len(r.arriving))
		}
	})
}

// TestCapacity checks that the largest body finds room in a calm process of each size.
func TestCapacity(t *testing.T) {
	for _, tt := range []struct{ megabytes, largest int64 }{{0, 4 << 20}, {16, 4 << 20}, {120, 4 << 20}, {136, 4 << 20}, {536, 4 << 20}, {120, 64 << 20}, {0, 64 << 20}} {
		s := NewRoom(CapacityOf(tt.megabytes*1e6, tt.largest)).Open(0, "a", func() {})
		if err := s.Reserve(0, int(tt.largest)); err != nil {
			t.Errorf("%+v: %v", tt, err)
		}
	}
}

// TestConnectionGivesWay checks which connection gives way to a new one.
func TestConnectionGivesWay(t *testing.T) {
	const now = 10 * swclock.Second
	type open struct {
		state State
		since swclock.Millis
	}
	tests := []struct {
		name string
		open []open
		// closed and refused are the indexes of the connections that are closed, or whose bodies are refused; -1 if there is none.
		closed, refused int
		accepted        bool
	}{
		{"refused before waiting", []open{{StateWaiting, 0}, {StateRefused, 5000}, {StateIdle, 0}}, 1, -1, true},
		{"waiting before idle", []open{{StateIdle, 0}, {StateWaiting, 5000}, {StateServing, 0}}, 1, -1, true},
		{"the oldest that waits", []open{{StateWaiting, 6000}, {StateWaiting, 5000}, {StateWaiting, 7000}}, 1, -1, true},
		{"idle before a stalled body", []open{{StateReceiving, 0}, {StateIdle, 9999}, {StateServing, 0}}, 1, -1, true},
		{"a stalled body", []open{{StateServing, 0}, {StateReceiving, 9000}, {StateReceiving, 9001}}, -1, 1, true},
		{"not a body that grows", []open{{StateServing, 0}, {StateReceiving, 9001}, {StateReceiving, 9999}}, -1, -1, false},
		{"not one that is served", []open{{StateServing, 0}, {StateServing, 0}, {StateServing, 0}}, -1, -1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// The limit leaves room for one connection that ends with a refusal.
			const others = overdraftFraction - 3
			c := NewConnections(overdraftFraction)
			closed, refused := -1, -1
			for range others {
				c.Open(0, func() { t.Error("closed") }).SetState(0, StateServing)
			}
			for i, o := range tt.open {
				n := c.Open(0, func() { closed = i })
				if o.state == StateReceiving {
					n.Receive(o.since, func() { refused = i })
				} else {
					n.SetState(o.since, o.state)
				}
			}
			accepted := c.Open(now, func() {}) != nil
			if closed != tt.closed || refused != tt.refused || accepted != tt.accepted {
				t.Errorf("closed %d, refused %d, accepted %v", closed, refused, accepted)
			}
		})
	}
}

// TestLimit checks how many connections may be open.
func TestLimit(t *testing.T) {
	tests := []struct {
		configured          int
		descriptors, memory int64
		want                int
	}{
		{0, 0, 0, 1<<31 - 1},
		{4096, 0, 0, 4096},
		{4096, 2870, 120e6, 1076},
		{4096, 10660, 536e6, 3997},
		{4096, 10660, 120e6, 1464},
		{4096, 8, 0, minConnections},
	}
	for _, tt := range tests {
		if got := LimitOf(tt.configured, tt.descriptors, tt.memory); got != tt.want {
			t.Errorf("%+v: %d", tt, got)
		}
	}
}
