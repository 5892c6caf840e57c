// Package swbuffer bounds the memory in which a process holds answers that it has not passed on.
package swbuffer

import (
	"sync"

	"github.com/pkg/errors"
)

const (
	// DefaultCapacity is the capacity of a process that does not know its memory.
	DefaultCapacity = 32 << 20
	// minCapacity is the lowest capacity that CapacityOf returns.
	minCapacity = 4 << 20
	// memoryFraction is the part of the process's memory that answers may take is one in memoryFraction.
	memoryFraction = 4
	// guaranteedBytes is what an account may hold whatever the others hold, within the capacity.
	guaranteedBytes = 64 << 10
)

// ErrExceeded means that an answer would take more than its share of the memory for answers.
var ErrExceeded = errors.New("the answer exceeds its share of the memory for answers")

// CapacityOf returns the capacity of a process with so much memory, in bytes. 0 stands for memory that is not known.
func CapacityOf(memory int64) int64 {
	if memory <= 0 {
		return DefaultCapacity
	}
	return max(memory/memoryFraction, minCapacity)
}

// Budget is the memory for answers of one process. Its methods are safe for concurrent use.
type Budget struct {
	capacity int64

	mu sync.Mutex
	// held is the sum of what the accounts hold. It never exceeds capacity.
	held int64
	// refused counts the accounts that were refused bytes.
	refused uint64
}

// NewBudget returns a budget of which nothing is held.
func NewBudget(capacity int64) *Budget { return &Budget{capacity: capacity} }

// Capacity returns the bytes that all accounts together may hold.
func (b *Budget) Capacity() int64 { return b.capacity }

// Held returns the bytes that all accounts hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Refused returns the number of accounts that were refused bytes.
func (b *Budget) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Open returns the account of one request, which holds nothing. The caller has to close it. The account of a nil budget is nil.
func (b *Budget) Open() *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b}
}

// Account has what is held of the answers to one request. All methods of a nil account succeed; it bounds nothing.
type Account struct {
	budget *Budget
	// held, refused and closed are protected by budget.mu. A closed account holds nothing.
	held            int64
	refused, closed bool
}

// Reserve adds n bytes to the account, or returns ErrExceeded and adds none. Above guaranteedBytes an account holds at
// most as much as all accounts leave free. So n accounts that take what they can get leave one in n+1 parts free.
func (a *Account) Reserve(n int) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	held, free := a.held+int64(n), b.capacity-b.held-int64(n)
	if a.closed || free < 0 || held > guaranteedBytes && held > free {
		if !a.refused {
			a.refused = true
			b.refused++
		}
		return ErrExceeded
	}
	a.held += int64(n)
	b.held += int64(n)
	return nil
}

// Release takes n bytes that were reserved from the account.
func (a *Account) Release(n int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release(int64(n))
}

// release takes at most what the account holds, which is nothing once it is closed. The caller holds budget.mu.
func (a *Account) release(n int64) {
	n = min(n, a.held)
	a.held -= n
	a.budget.held -= n
}

// Close releases what the account holds. It may be called again.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release(a.held)
	a.closed = true
}
