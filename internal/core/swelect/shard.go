package swelect

import (
	"strconv"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// MaxMeanTargetsPerShard is the number of targets above which a cell is split into
// shards, and the largest mean number of targets of a shard.
const MaxMeanTargetsPerShard = 64

// Shards returns the cells into which a service with that many targets in a region is
// split: one cell up to MaxMeanTargetsPerShard targets, otherwise the smallest number
// of shards, each a cell, that have at most MaxMeanTargetsPerShard targets on average.
func Shards(service swid.ServiceID, region swid.RegionID, targets int) []swid.CellID {
	whole := swid.NewCellID(service, region)
	count := (targets + MaxMeanTargetsPerShard - 1) / MaxMeanTargetsPerShard
	if count <= 1 {
		return []swid.CellID{whole}
	}
	cells := make([]swid.CellID, count)
	for i := range cells {
		cells[i] = swid.CellID(string(whole) + "#" + strconv.Itoa(i))
	}
	return cells
}

// ShardOf returns the cell of one target among the shards of its service. Adding or
// removing other targets does not change it, unless the number of shards changes. The
// target's id takes the place of the host's in Score.
func ShardOf(target swid.TargetID, shards []swid.CellID) swid.CellID {
	best, highest := swid.CellID(""), uint64(0)
	for _, c := range shards {
		if s := Score(c, swid.HostID(target)); best == "" || s > highest {
			best, highest = c, s
		}
	}
	return best
}

// Region returns the region of a cell.
func Region(cell swid.CellID) swid.RegionID {
	_, rest, _ := strings.Cut(string(cell), "@")
	region, _, _ := strings.Cut(rest, "#")
	return swid.RegionID(region)
}

// Service returns the service of a cell.
func Service(cell swid.CellID) swid.ServiceID {
	service, _, _ := strings.Cut(string(cell), "@")
	return swid.ServiceID(service)
}
