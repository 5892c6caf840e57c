package swquota

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// parts is the number of parts in which a window is counted.
const parts = 16

// use is what was used in the latest parts of time. A window begins and ends
// within a part, and so touches one more.
type use struct {
	// amounts is a ring; numbers has the part that each amount belongs to, from 1.
	amounts [parts + 1]float64
	numbers [parts + 1]int64
}

// partOf numbers the part of an instant; those before the clock's start are 0 or less.
func partOf(at, window swclock.Millis) int64 {
	length := int64(window / parts)
	if at < 0 {
		return -((-int64(at) + length - 1) / length) + 1
	}
	return int64(at)/length + 1
}

// slot returns the place of a part in the ring.
func slot(part int64) int {
	i := part % (parts + 1)
	if i < 0 {
		i += parts + 1
	}
	return int(i)
}

// add counts an amount that was used at an instant.
func (u *use) add(amount float64, at, window swclock.Millis) {
	part := partOf(at, window)
	i := slot(part)
	switch {
	case u.amounts[i] != 0 && u.numbers[i] > part:
		return // older than the window
	case u.numbers[i] != part:
		u.numbers[i], u.amounts[i] = part, 0
	}
	u.amounts[i] += amount
}

// addRecent adds what was used in the latest parts, the present one first.
func (u *use) addRecent(recent *[parts + 1]float64, at, window swclock.Millis) {
	present := partOf(at, window)
	for i, number := range u.numbers {
		if age := present - number; age >= 0 && age <= parts {
			recent[age] += u.amounts[i]
		}
	}
}

// take takes an amount back from the latest parts.
func (u *use) take(amount float64, now, window swclock.Millis) {
	part := partOf(now, window)
	for back := range int64(parts + 1) {
		i := slot(part - back)
		if u.numbers[i] != part-back {
			continue
		}
		taken := min(u.amounts[i], amount)
		u.amounts[i] -= taken
		if amount -= taken; amount <= 0 {
			return
		}
	}
}

// Amount is what an organisation's requests used some time ago.
type Amount struct {
	Org   swid.OrgID
	Age   swclock.Millis
	Value float64
}

// Meter remembers what the requests of one process used. It is safe for concurrent use.
type Meter struct {
	window swclock.Millis

	mu   sync.Mutex
	uses map[swid.OrgID]*use
	// untold has the amounts that no owner has accounted for.
	untold map[swid.OrgID]float64
}

// NewMeter returns a meter of requests over a window of time.
func NewMeter(window swclock.Millis) *Meter {
	return &Meter{window: window, uses: make(map[swid.OrgID]*use), untold: make(map[swid.OrgID]float64)}
}

// Add counts a request. told tells that the owner has accounted for it.
func (m *Meter) Add(org swid.OrgID, amount float64, told bool, now swclock.Millis) {
	if amount <= 0 || org == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	u, known := m.uses[org]
	if !known {
		u = &use{}
		m.uses[org] = u
	}
	u.add(amount, now, m.window)
	if !told {
		m.untold[org] += amount
	}
}

// Untold returns the amounts that no owner has accounted for, and counts them as told.
func (m *Meter) Untold() []Amount {
	m.mu.Lock()
	defer m.mu.Unlock()
	amounts := make([]Amount, 0, len(m.untold))
	for org, value := range m.untold {
		amounts = append(amounts, Amount{Org: org, Value: value})
	}
	clear(m.untold)
	return amounts
}

// All returns what was used in the window that ends now, for an owner that knows
// none of it.
func (m *Meter) All(now swclock.Millis) []Amount {
	m.mu.Lock()
	defer m.mu.Unlock()
	var amounts []Amount
	present := partOf(now, m.window)
	length := m.window / parts
	for org, u := range m.uses {
		used := false
		for i, number := range u.numbers {
			if age := present - number; u.amounts[i] > 0 && age <= parts {
				used = true
				amounts = append(amounts, Amount{Org: org, Age: swclock.Millis(age) * length, Value: u.amounts[i]})
			}
		}
		if !used {
			delete(m.uses, org)
		}
	}
	clear(m.untold)
	return amounts
}
