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
			candidates[i] = Candidate{Host: swid.HostID(h), Local: rapid.Bool().Draw(t, "local")}
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
