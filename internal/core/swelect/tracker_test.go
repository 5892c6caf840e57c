package swelect

import (
	"slices"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func TestChoose(t *testing.T) {
	hosts := []swid.HostID{"a", "b", "c", "d"}
	ranked := Rank("cell", hosts)
	candidates := make([]Candidate, 0, len(hosts))
	for _, h := range hosts {
		candidates = append(candidates, Candidate{Host: h})
	}
	tests := []struct {
		name        string
		self        swid.HostID
		unreachable []swid.HostID
		doubtful    []swid.HostID
		want        Choice
	}{
		{"all in reach", ranked[3], nil, nil, Choice{Host: ranked[0]}},
		{"best is this host", ranked[0], nil, nil, Choice{Host: ranked[0]}},
		{"best out of reach", ranked[3], ranked[:1], nil, Choice{Host: ranked[1], NoRedirect: true}},
		{"none in reach", ranked[3], ranked[:3], nil, Choice{Host: ranked[3], NoRedirect: true}},
		{"this host ranks second", ranked[1], ranked[:1], nil, Choice{Host: ranked[1], NoRedirect: true}},
		{"the next host decides about a doubtful one", ranked[3], nil, ranked[:1], Choice{Host: ranked[1]}},
		{"best out of reach, second doubtful", ranked[3], ranked[:1], ranked[1:2], Choice{Host: ranked[2]}},
		{"no longer a candidate", "z", ranked, nil, Choice{Host: "z", NoRedirect: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker(tt.self, "cell")
			tracker.SetCandidates(candidates)
			got := tracker.Choose(func(h swid.HostID) Availability {
				switch {
				case slices.Contains(tt.unreachable, h):
					return Unavailable
				case slices.Contains(tt.doubtful, h):
					return Doubtful
				default:
					return Available
				}
			}, 0)
			if got != tt.want {
				t.Errorf("chose %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestKeptHost guards against hosts that own a cell for a moment because they become available before better-ranked ones.
func TestKeptHost(t *testing.T) {
	hosts := []swid.HostID{"a", "b", "c", "d", "e"}
	ranked := Rank("cell", hosts)
	var candidates []Candidate
	for _, h := range hosts {
		candidates = append(candidates, Candidate{Host: h})
	}
	// step is what is available from an instant on, and which rank is to be chosen then.
	type step struct {
		at                    swclock.Millis
		unavailable, doubtful []int
		want                  int
	}
	// cut is the time before the first link is back.
	const cut = 10 * swclock.Second
	tests := []struct {
		name string
		// self is the rank of this host.
		self  int
		steps []step
		// passed is how often a better-ranked host is reported as passed over.
		passed int
	}{
		{"links come back", 4, []step{
			{0, []int{0, 1, 2}, nil, 3}, {cut, []int{0, 1}, nil, 3}, {cut + 200, []int{0}, nil, 3}, {cut + 400, nil, nil, 0},
		}, 1},
		{"alone while links come back", 3, []step{
			{0, []int{0, 1, 2, 4}, nil, 3}, {cut, []int{0, 1, 4}, nil, 3}, {cut + 400, nil, nil, 0},
		}, 1},
		{"the best stays away", 4, []step{
			{0, []int{0, 1, 2}, nil, 3}, {cut, []int{0, 1}, nil, 3}, {cut + keepTime - 1, []int{0}, nil, 3}, {cut + keepTime, []int{0}, nil, 1},
		}, 1},
		{"a link comes and goes", 4, []step{
			{0, []int{0, 1}, nil, 2}, {cut, []int{0}, nil, 2}, {cut + 200, []int{0, 1}, nil, 2}, {cut + keepTime, []int{0}, nil, 2},
			{cut + 2*keepTime, []int{0}, nil, 1},
		}, 2},
		{"the kept one ends", 4, []step{
			{0, []int{0, 1, 2}, nil, 3}, {cut, []int{0, 1}, nil, 3}, {cut + 200, []int{0, 1, 3}, nil, 2},
		}, 1},
		{"the kept one is doubtful", 4, []step{
			{0, []int{0, 1, 2}, nil, 3}, {cut, []int{0, 1}, nil, 3}, {cut + 200, []int{0, 1}, []int{3}, 2},
		}, 1},
		{"chosen only now", 4, []step{
			{0, []int{0, 1, 2}, nil, 3}, {tenure - 1, []int{0, 1}, nil, 2}, {tenure, []int{0}, nil, 1},
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker(ranked[tt.self], "cell")
			tracker.SetCandidates(candidates)
			passed := 0
			for _, s := range tt.steps {
				got := tracker.Choose(func(h swid.HostID) Availability {
					switch rank := slices.Index(ranked, h); {
					case slices.Contains(s.unavailable, rank):
						return Unavailable
					case slices.Contains(s.doubtful, rank):
						return Doubtful
					default:
						return Available
					}
				}, s.at)
				if got.Host != ranked[s.want] {
					t.Errorf("at %d rank %d is chosen, want rank %d", s.at, slices.Index(ranked, got.Host), s.want)
				}
				if got.Passed != "" {
					passed++
				}
				if got.NoRedirect != (s.want > 0) {
					t.Errorf("at %d the request may be redirected: %v", s.at, !got.NoRedirect)
				}
			}
			if passed != tt.passed {
				t.Errorf("%d times reported as passed over, want %d", passed, tt.passed)
			}
		})
	}
	t.Run("no longer a candidate", func(t *testing.T) {
		tracker := NewTracker(ranked[4], "cell")
		tracker.SetCandidates(candidates)
		available := func(h swid.HostID) Availability {
			if slices.Index(ranked, h) < 2 {
				return Unavailable
			}
			return Available
		}
		tracker.Choose(available, 0)
		tracker.SetCandidates(slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Host == ranked[2] }))
		if got := tracker.Choose(available, cut); got.Host != ranked[3] {
			t.Errorf("%s is chosen, want %s", got.Host, ranked[3])
		}
	})
}
