package swrollout

import "github.com/sassafraswing/sassafraswing/internal/core/swclock"

const (
	// shareSafety and slackSafety are the parts of the bound that are used at most: requests may be counted at two owners.
	shareSafety, slackSafety = 0.9, 0.9
	// firstSlack is the part of the slack that may be reserved at once, and fullSlackShare the share of the order's duration
	// from which slackSafety of it may.
	firstSlack, fullSlackShare = 0.5, 0.3
	// blocksPerOrder is about the number of blocks that an order's exposure is reserved in.
	blocksPerOrder = 24
	// minBlockTime is the least time for which a block lasts.
	minBlockTime = 500 * swclock.Millis(1)
	// minBlock and maxBlock bound the units of a block.
	minBlock, maxBlock = 8, 512
	// minBurst and maxBurst bound the units that are saved up to be used together.
	minBurst, maxBurst = 4, 16
	// rateWindow is the time over which the rate of requests is known.
	rateWindow = swclock.Second
)

// ledger counts the exposure of one owner.
type ledger struct {
	config   Config
	duration swclock.Millis
	// left are the owner's units that are in the store and were not used, and used those that were.
	left, used uint64
	// arrived are the requests that no record in the store counts yet.
	arrived uint64
	// saving is set while units are saved up.
	saving bool
	// rate is the number of requests a second, counted in windows.
	rate        float64
	windowAt    swclock.Millis
	windowCount uint64
	windowBegun bool
}

func newLedger(config Config, duration swclock.Millis) ledger {
	return ledger{config: config, duration: duration}
}

func (l *ledger) arrive(now swclock.Millis) {
	l.arrived++
	if !l.windowBegun {
		l.windowAt, l.windowBegun = now, true
	}
	l.windowCount++
	if span := now - l.windowAt; span >= rateWindow {
		l.rate = float64(l.windowCount) * float64(swclock.Second) / float64(span)
		l.windowAt, l.windowCount = now, 0
	}
}

// open reports whether a unit may be used now. Once all were used, units are saved up until there are as many as burst.
func (l *ledger) open(burst uint64) bool {
	if l.left == 0 {
		l.saving = true
	} else if l.left >= burst {
		l.saving = false
	}
	return !l.saving
}

func (l *ledger) use() {
	l.used++
	if l.left > 0 {
		l.left--
	}
}

func (l *ledger) giveBack() {
	if l.used > 0 {
		l.used--
		l.left++
	}
}

// allowed returns the exposure that may be reserved by all owners together.
func (l *ledger) allowed(requests uint64, elapsed swclock.Millis) uint64 {
	part := slackSafety
	if full := fullSlackShare * float64(l.duration); float64(elapsed) < full {
		part = firstSlack + (slackSafety-firstSlack)*max(float64(elapsed), 0)/full
	}
	return uint64(shareSafety*l.config.MaxShare*float64(requests) + part*float64(l.config.Slack))
}

// block returns how many units to reserve now, 0 for none.
func (l *ledger) block(record Record, elapsed swclock.Millis, burst uint64) uint64 {
	allowed := l.allowed(record.Requests+l.arrived, elapsed)
	if allowed <= record.Reserved {
		return 0
	}
	perSecond := l.rate * l.config.MaxShare
	lasting := max(minBlockTime, l.duration/blocksPerOrder)
	block := min(max(uint64(perSecond*float64(lasting)/float64(swclock.Second)), minBlock), maxBlock)
	room := allowed - record.Reserved
	first := record.Reserved == 0
	if l.left >= max(block/2, burst) || room < block && !first {
		return 0
	}
	if first {
		return min(room, uint64(firstSlack*float64(l.config.Slack)))
	}
	return min(room, 2*block)
}
