package swquota

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// bucketCount is the number of buckets into which a window is divided.
const bucketCount = 16

// usage holds the amounts used in the latest buckets of time. A window begins and
// ends within a bucket, so it overlaps bucketCount+1 of them.
type usage struct {
	// amounts is a ring; bucketNumbers holds the number of the bucket that each
	// amount belongs to. The first bucket of the clock has number 1.
	amounts       [bucketCount + 1]float64
	bucketNumbers [bucketCount + 1]int64
}

// bucketOf returns the number of the bucket that contains an instant. Buckets
// before the clock's start have numbers of 0 or less.
func bucketOf(at, window swclock.Millis) int64 {
	length := int64(window / bucketCount)
	if at < 0 {
		return -((-int64(at) + length - 1) / length) + 1
	}
	return int64(at)/length + 1
}

// ringIndex returns the index of a bucket in the ring.
func ringIndex(bucket int64) int {
	i := bucket % (bucketCount + 1)
	if i < 0 {
		i += bucketCount + 1
	}
	return int(i)
}

// add records an amount that was used at an instant.
func (u *usage) add(amount float64, at, window swclock.Millis) {
	bucket := bucketOf(at, window)
	i := ringIndex(bucket)
	switch {
	case u.amounts[i] != 0 && u.bucketNumbers[i] > bucket:
		return // older than the window
	case u.bucketNumbers[i] != bucket:
		u.bucketNumbers[i], u.amounts[i] = bucket, 0
	}
	u.amounts[i] += amount
}

// addRecent adds the amounts of the latest buckets to recent, the current one first.
func (u *usage) addRecent(recent *[bucketCount + 1]float64, at, window swclock.Millis) {
	current := bucketOf(at, window)
	for i, number := range u.bucketNumbers {
		if age := current - number; age >= 0 && age <= bucketCount {
			recent[age] += u.amounts[i]
		}
	}
}

// subtract removes an amount from the latest buckets, the current one first.
func (u *usage) subtract(amount float64, now, window swclock.Millis) {
	bucket := bucketOf(now, window)
	for back := range int64(bucketCount + 1) {
		i := ringIndex(bucket - back)
		if u.bucketNumbers[i] != bucket-back {
			continue
		}
		removed := min(u.amounts[i], amount)
		u.amounts[i] -= removed
		if amount -= removed; amount <= 0 {
			return
		}
	}
}

// Amount is what an organisation's requests used, and how long ago.
type Amount struct {
	Org   swid.OrgID
	Age   swclock.Millis
	Value float64
}

// Meter records what the requests of one process used. It is safe for concurrent use.
type Meter struct {
	window swclock.Millis

	mu     sync.Mutex
	usages map[swid.OrgID]*usage
	// unreported holds the amounts that no owner has accounted for.
	unreported map[swid.OrgID]float64
}

// NewMeter returns a meter of requests over a window of time.
func NewMeter(window swclock.Millis) *Meter {
	return &Meter{window: window, usages: make(map[swid.OrgID]*usage), unreported: make(map[swid.OrgID]float64)}
}

// Add records the use of a request. accounted is true if the owner that granted the
// request has already accounted for the use.
func (m *Meter) Add(org swid.OrgID, amount float64, accounted bool, now swclock.Millis) {
	if amount <= 0 || org == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	u, known := m.usages[org]
	if !known {
		u = &usage{}
		m.usages[org] = u
	}
	u.add(amount, now, m.window)
	if !accounted {
		m.unreported[org] += amount
	}
}

// Unreported returns the amounts that no owner has accounted for, and marks them as
// reported.
func (m *Meter) Unreported() []Amount {
	m.mu.Lock()
	defer m.mu.Unlock()
	amounts := make([]Amount, 0, len(m.unreported))
	for org, value := range m.unreported {
		amounts = append(amounts, Amount{Org: org, Value: value})
	}
	clear(m.unreported)
	return amounts
}

// All returns the amounts used in the window that ends now, for an owner that has
// no record of them, and marks them as reported.
func (m *Meter) All(now swclock.Millis) []Amount {
	m.mu.Lock()
	defer m.mu.Unlock()
	var amounts []Amount
	current := bucketOf(now, m.window)
	length := m.window / bucketCount
	for org, u := range m.usages {
		used := false
		for i, number := range u.bucketNumbers {
			if age := current - number; u.amounts[i] > 0 && age <= bucketCount {
				used = true
				amounts = append(amounts, Amount{Org: org, Age: swclock.Millis(age) * length, Value: u.amounts[i]})
			}
		}
		if !used {
			delete(m.usages, org)
		}
	}
	clear(m.unreported)
	return amounts
}
