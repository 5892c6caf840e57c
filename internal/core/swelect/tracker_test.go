package swelect

import (
	"slices"
	"testing"

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
		want        Choice
	}{
		{"all in reach", ranked[3], nil, Choice{Host: ranked[0]}},
		{"best is this host", ranked[0], nil, Choice{Host: ranked[0]}},
		{"best out of reach", ranked[3], ranked[:1], Choice{Host: ranked[1], NoRedirect: true}},
		{"none in reach", ranked[3], ranked[:3], Choice{Host: ranked[3], NoRedirect: true}},
		{"this host ranks second", ranked[1], ranked[:1], Choice{Host: ranked[1], NoRedirect: true}},
		{"no longer a candidate", "z", ranked, Choice{Host: "z", NoRedirect: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker(tt.self, "cell")
			tracker.SetCandidates(candidates)
			got := tracker.Choose(func(h swid.HostID) bool { return !slices.Contains(tt.unreachable, h) })
			if got != tt.want {
				t.Errorf("chose %+v, want %+v", got, tt.want)
			}
		})
	}
}
