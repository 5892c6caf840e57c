// Package swelect decides which entry host owns a cell, without any agreement
// between the hosts.
//
// Every host ranks the members it knows for a cell in the same way. Hosts with
// the same view name the same owner; hosts with different views may name
// different ones for a while. A holder uses the answer of the one it asked.
package swelect

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Candidate is a host that may own a cell.
type Candidate struct {
	Host swid.HostID
	// Local marks a host in the cell's own region. Every local host ranks before every other.
	Local bool
}

// Score is a host's rendezvous score for a cell; the highest ranks first.
func Score(cell swid.CellID, host swid.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeText(&d, string(cell))
	writeText(&d, string(host))
	return d.Sum64()
}

// writeText hashes a text with its length in front, so that no two pairs of texts collide by concatenation.
func writeText(d *xxhash.Digest, text string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
	// A digest's writes never fail.
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(text)
}

// Rank returns the hosts in the order in which they should own a cell, the best
// first. The order does not depend on that of hosts, and removing a host moves
// no other. The input is not changed.
func Rank(cell swid.CellID, hosts []swid.HostID) []swid.HostID {
	candidates := make([]Candidate, len(hosts))
	for i, h := range hosts {
		candidates[i] = Candidate{Host: h}
	}
	return RankCandidates(cell, candidates)
}

// RankCandidates ranks like Rank, local hosts first.
func RankCandidates(cell swid.CellID, candidates []Candidate) []swid.HostID {
	scored := make([]scored, len(candidates))
	for i, c := range candidates {
		scored[i] = score(cell, c)
	}
	slices.SortFunc(scored, compareScored)
	hosts := make([]swid.HostID, len(scored))
	for i, s := range scored {
		hosts[i] = s.Host
	}
	return hosts
}

// Owner returns the first host of RankCandidates without sorting, or "" if there is none.
func Owner(cell swid.CellID, candidates []Candidate) swid.HostID {
	var best scored
	for i, c := range candidates {
		if s := score(cell, c); i == 0 || compareScored(s, best) < 0 {
			best = s
		}
	}
	return best.Host
}

// scored is a candidate with its score.
type scored struct {
	Candidate
	score uint64
}

func score(cell swid.CellID, c Candidate) scored {
	return scored{Candidate: c, score: Score(cell, c.Host)}
}

// compareScored sorts the better candidate first.
func compareScored(a, b scored) int {
	if a.Local != b.Local {
		if a.Local {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Host, b.Host))
}
