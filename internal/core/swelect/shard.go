package swelect

import (
	"strconv"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// TargetsPerShard is the number of targets above which a cell is split into shards.
const TargetsPerShard = 64

// Shards returns the cells of a service in a region for a number of targets: the
// unsharded cell, or enough shards to have TargetsPerShard or fewer targets each on
// average.
func Shards(service swid.ServiceID, region swid.RegionID, targets int) []swid.CellID {
	whole := swid.NewCellID(service, region)
	count := (targets + TargetsPerShard - 1) / TargetsPerShard
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
// removing other targets does not change it, unless the number of shards changes.
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
