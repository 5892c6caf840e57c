// Package swelect decides which entry host owns a cell, without consensus between the
// hosts. A cell is the targets of one service in one region, or one shard of them; its
// owner schedules the requests for these targets.
//
// Every host ranks its list of members for a cell by rendezvous hashing. Hosts with
// the same list choose the same owner; hosts with different lists may choose
// different ones for a while. A holder, the host that accepted a request, follows the
// reply of the host to which it sent its grant request.
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
	// Local is set if the host is in the cell's own region. Such hosts rank before all others.
	Local bool
	// Size ranks a host before those of the same region that can schedule less than half as
	// many requests.
	Size Size
}

// Score returns a host's rendezvous score for a cell; the highest ranks first.
func Score(cell swid.CellID, host swid.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeText(&d, string(cell))
	writeText(&d, string(host))
	return d.Sum64()
}

// writeText hashes a text prefixed with its length, so that two different pairs of
// texts never have the same concatenation.
func writeText(d *xxhash.Digest, text string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
	// A digest's writes never fail.
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(text)
}

// Rank returns the hosts in order of preference as the owner of a cell, the best
// first. The result does not depend on the order of hosts, and removing a host
// leaves the order of the others as it is. The input is not changed.
func Rank(cell swid.CellID, hosts []swid.HostID) []swid.HostID {
	candidates := make([]Candidate, len(hosts))
	for i, h := range hosts {
		candidates[i] = Candidate{Host: h}
	}
	return RankCandidates(cell, candidates)
}

// RankCandidates is like Rank, but puts the hosts in the cell's own region first, and among
// these the larger ones: an owner works for all hosts, whatever its own size.
func RankCandidates(cell swid.CellID, candidates []Candidate) []swid.HostID {
	scored := make([]scored, len(candidates))
	for i, c := range candidates {
		scored[i] = scoreCandidate(cell, c)
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
		if s := scoreCandidate(cell, c); i == 0 || compareScored(s, best) < 0 {
			best = s
		}
	}
	return best.Host
}

// scored is a candidate with its score.
type scored struct {
	Candidate
	class int
	score uint64
}

func scoreCandidate(cell swid.CellID, c Candidate) scored {
	return scored{Candidate: c, class: c.Size.class(), score: Score(cell, c.Host)}
}

// compareScored orders the better candidate first.
func compareScored(a, b scored) int {
	if a.Local != b.Local {
		if a.Local {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(b.score, a.score), cmp.Compare(a.Host, b.Host))
}
