package swelect

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`h[0-9]{1,3}`), 1, 30, rapid.ID).Draw(t, "hosts")
		cell := swid.CellID(rapid.StringMatching(`[a-z]{1,8}@r[0-9]`).Draw(t, "cell"))
		candidates := make([]Candidate, len(hosts))
		for i, h := range hosts {
			size := Size{Cores: rapid.Float64Range(0, 8).Draw(t, "cores"), LinkMegabits: rapid.Float64Range(0, 1000).Draw(t, "link")}
			candidates[i] = Candidate{Host: swid.HostID(h), Local: rapid.Bool().Draw(t, "local"), Size: size}
		}
		ranked := RankCandidates(cell, candidates)
		if got := Owner(cell, candidates); got != ranked[0] {
			t.Fatalf("owner is %s, but %s ranks first", got, ranked[0])
		}
		local := slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Local })
		first := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Host == ranked[0] })
		if local && !candidates[first].Local {
			t.Fatal("a host of another region ranks first")
		}
		shuffled := rapid.Permutation(candidates).Draw(t, "order")
		if !slices.Equal(RankCandidates(cell, shuffled), ranked) {
			t.Fatal("the ranking depends on the order of the input")
		}
		removed := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		remaining := RankCandidates(cell, slices.Delete(slices.Clone(candidates), removed, removed+1))
		want := slices.DeleteFunc(slices.Clone(ranked), func(h swid.HostID) bool { return h == candidates[removed].Host })
		if !slices.Equal(remaining, want) {
			t.Fatal("removing one host changed the order of the others")
		}
	})
}

func TestRankSpreadsCells(t *testing.T) {
	hosts := make([]swid.HostID, 20)
	for i := range hosts {
		hosts[i] = swid.HostID(fmt.Sprintf("host-%d", i))
	}
	owned := make(map[swid.HostID]int)
	const cells = 4000
	for i := range cells {
		owned[Rank(swid.CellID(fmt.Sprintf("service-%d@lis", i)), hosts)[0]]++
	}
	for _, h := range hosts {
		if n := owned[h]; n < cells/len(hosts)*7/10 || n > cells/len(hosts)*13/10 {
			t.Errorf("%s owns %d of %d cells", h, n, cells)
		}
	}
}

// TestSmallHostOwnsNothing guards against an owner that is too small for the requests of all hosts.
func TestSmallHostOwnsNothing(t *testing.T) {
	large, small := Size{Cores: 0.8, LinkMegabits: 200}, Size{Cores: 0.134, LinkMegabits: 10}
	tests := []struct {
		name          string
		first, second Size
		// want is the size of the host that ranks first for every cell; nil if it depends on the cell.
		want *Size
	}{
		{"larger", large, small, &large},
		{"unknown size", small, Size{}, &small},
		{"small link", Size{Cores: 0.8, LinkMegabits: 1}, small, &small},
		{"same size", small, small, nil},
		{"nearly the same size", Size{Cores: 0.136, LinkMegabits: 10}, small, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			candidates := []Candidate{{Host: "a", Local: true, Size: tt.first}, {Host: "b", Local: true, Size: tt.second}}
			owned := make(map[swid.HostID]int)
			for i := range 100 {
				owned[Owner(swid.CellID(fmt.Sprint("cell-", i)), candidates)]++
			}
			switch {
			case tt.want == nil && (owned["a"] == 0 || owned["b"] == 0):
				t.Errorf("cells by owner %v, want some of each", owned)
			case tt.want != nil && *tt.want == tt.first && owned["a"] != 100, tt.want != nil && *tt.want != tt.first && owned["b"] != 100:
				t.Errorf("cells by owner %v, want all at the host of size %+v", owned, *tt.want)
			}
		})
	}
}

func TestShards(t *testing.T) {
	tests := []struct {
		targets, shards int
		first           swid.CellID
	}{
		{0, 1, "chat@lis"}, {64, 1, "chat@lis"}, {65, 2, "chat@lis#0"}, {1500, 24, "chat@lis#0"},
	}
	for _, tt := range tests {
		got := Shards("chat", "lis", tt.targets)
		if len(got) != tt.shards || got[0] != tt.first || Region(got[0]) != "lis" {
			t.Errorf("%d targets: %v", tt.targets, got)
		}
	}
	shards := Shards("chat", "lis", 200)
	used := make(map[swid.CellID]int)
	for i := range 200 {
		used[ShardOf(swid.TargetID(fmt.Sprintf("e%d", i)), shards)]++
	}
	if len(used) != len(shards) {
		t.Errorf("targets per shard: %v", used)
	}
}

func BenchmarkOwner70(b *testing.B) {
	candidates := make([]Candidate, 70)
	for i := range candidates {
		candidates[i] = Candidate{Host: swid.HostID(fmt.Sprintf("host-%d", i)), Local: true}
	}
	b.ReportAllocs()
	for range b.N {
		Owner("letters-large@eu-lisbon", candidates)
	}
}
