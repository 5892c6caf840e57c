// Package swqueue orders the waiting requests of one tier: fair between
// organisations by cost served, earliest deadline within an organisation.
//
// Fairness is start-time fair queueing. Every organisation has a virtual time
// that grows by cost over weight when it is served; the organisation with the
// least virtual time is next. An organisation that was idle starts at the
// virtual time of the organisation served last, so idleness earns no credit.
package swqueue

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swtree"
)

// Item is one waiting request. Its fields must not change while it is queued.
type Item[T any] struct {
	Value    T
	Org      swid.OrgID
	Deadline swclock.Millis
	// LatestStart is the last instant at which a start can still meet the deadline.
	LatestStart swclock.Millis
	// Work is the time that the request is expected to hold a slot, in milliseconds.
	Work float64
	// Cost is what the organisation is charged when the request starts.
	Cost float64

	// seq breaks ties in order of arrival.
	seq  uint64
	flow *flow[T]
	held bool
}

// Tier is the queue of one tier.
type Tier[T any] struct {
	flows map[swid.OrgID]*flow[T]
	// ready holds the flows that have items which are not held, by virtual time.
	ready *swtree.Tree[*flow[T]]
	// idle holds the flows without items whose virtual time is still ahead.
	idle *swtree.Tree[*flow[T]]
	// urgent holds every item by its latest start.
	urgent *swtree.Tree[*Item[T]]
	held   []*Item[T]
	// virtual is the virtual time of the organisation served last; it never decreases.
	virtual float64
	backlog backlog
	weight  func(swid.OrgID) float64
	seq     uint64
}

// flow is the queue of one organisation.
type flow[T any] struct {
	org    swid.OrgID
	seq    uint64
	weight float64
	// start is the flow's virtual time.
	start float64
	// items holds the items that are not held, by deadline.
	items *swtree.Tree[*Item[T]]
	// count and work include held items.
	count int
	work  float64
	// bucket is where the flow is counted in the backlog, if count is not 0.
	bucket int
}

// New returns an empty queue. weight gives an organisation's share and is always positive.
func New[T any](weight func(swid.OrgID) float64) *Tier[T] {
	return &Tier[T]{
		flows:  make(map[swid.OrgID]*flow[T]),
		ready:  swtree.New(lessFlow[T]),
		idle:   swtree.New(lessFlow[T]),
		urgent: swtree.New(lessUrgent[T]),
		weight: weight,
	}
}

func lessFlow[T any](a, b *flow[T]) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.seq < b.seq
}

func lessItem[T any](a, b *Item[T]) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.seq < b.seq
}

func lessUrgent[T any](a, b *Item[T]) bool {
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	return a.seq < b.seq
}

// Len returns the number of waiting items.
func (t *Tier[T]) Len() int { return t.urgent.Len() }

// Organisations returns the number of organisations with waiting items.
func (t *Tier[T]) Organisations() int { return len(t.flows) - t.idle.Len() }

// Work returns the work of all waiting items.
func (t *Tier[T]) Work() float64 { return t.urgent.Total() }

// Push adds an item.
func (t *Tier[T]) Push(i *Item[T]) {
	t.seq++
	i.seq = t.seq
	f := t.open(i.Org)
	i.flow = f
	t.count(f, 1, i.Work)
	t.enqueue(i)
	t.urgent.Insert(i, i.Work)
}

// Remove takes an item out without charging its organisation.
func (t *Tier[T]) Remove(i *Item[T]) {
	f := i.flow
	if !i.held {
		t.dequeue(i)
	}
	i.held = false
	i.flow = nil
	t.urgent.Delete(i)
	t.count(f, -1, -i.Work)
	if f.count == 0 {
		t.close(f)
	}
}

// Take takes an item out because it starts, and charges its organisation.
func (t *Tier[T]) Take(i *Item[T]) {
	f := i.flow
	t.virtual = max(t.virtual, f.start)
	t.Remove(i)
	t.Charge(i.Org, i.Cost)
	t.expire()
}

// Charge moves an organisation's virtual time by a cost, which is negative for a refund.
func (t *Tier[T]) Charge(org swid.OrgID, cost float64) {
	f := t.flows[org]
	if f == nil {
		if cost <= 0 {
			return
		}
		f = t.open(org)
		t.idle.Insert(f, 0)
	}
	set := t.setOf(f)
	if set != nil {
		set.Delete(f)
	}
	f.start += cost / f.weight
	if set != nil {
		set.Insert(f, 0)
	}
}

// Head returns the next item in order, without those that are held.
func (t *Tier[T]) Head() (*Item[T], bool) {
	f, ok := t.ready.Min()
	if !ok {
		return nil, false
	}
	return f.items.Min()
}

// Hold passes an item over until Release, so that Head returns the one behind it.
func (t *Tier[T]) Hold(i *Item[T]) {
	t.dequeue(i)
	i.held = true
	t.held = append(t.held, i)
}

// Release puts the held items back in their places.
func (t *Tier[T]) Release() {
	for _, i := range t.held {
		if i.held {
			i.held = false
			t.enqueue(i)
		}
	}
	t.held = t.held[:0]
}

// Urgent calls visit by latest start until it returns false. The queue must not change meanwhile.
func (t *Tier[T]) Urgent(visit func(*Item[T]) bool) { t.urgent.Ascend(visit) }

// Debt returns how far an item's organisation is ahead of its share, in cost by weight.
func (t *Tier[T]) Debt(i *Item[T]) float64 { return i.flow.start - t.virtual }

// Held reports whether the item is passed over until Release.
func (i *Item[T]) Held() bool { return i.held }

// NextUrgent returns the item behind the given one by latest start, even if
// that one has left the queue, or the first if it is nil.
func (t *Tier[T]) NextUrgent(i *Item[T]) (*Item[T], bool) {
	if i == nil {
		return t.urgent.Min()
	}
	return t.urgent.Next(i)
}

// MostUrgent returns the item with the earliest latest start.
func (t *Tier[T]) MostUrgent() (*Item[T], bool) { return t.urgent.Min() }

// After returns the item behind the given one by deadline in its organisation.
func (t *Tier[T]) After(i *Item[T]) (*Item[T], bool) { return i.flow.items.Next(i) }

// Ahead estimates the work of this tier that is served before a queued item:
// its organisation's earlier work, and what the other organisations are served meanwhile.
func (t *Tier[T]) Ahead(i *Item[T]) float64 {
	f := i.flow
	own := f.items.Before(i)
	// A flow is served whole items, so about one item of each other flow
	// precedes even the first item of this one.
	item := min(i.Work, t.Work()/float64(t.Len()))
	served := t.backlog.servedBy((own + item) / f.weight)
	return max(served-item, own)
}

func (t *Tier[T]) open(org swid.OrgID) *flow[T] {
	f := t.flows[org]
	if f == nil {
		t.seq++
		f = &flow[T]{org: org, seq: t.seq, items: swtree.New(lessItem[T])}
		t.flows[org] = f
	} else if f.count == 0 {
		t.idle.Delete(f)
	}
	if f.count == 0 {
		f.weight = t.weight(org)
		f.start = max(f.start, t.virtual)
	}
	return f
}

func (t *Tier[T]) close(f *flow[T]) {
	if f.start <= t.virtual {
		delete(t.flows, f.org)
		return
	}
	t.idle.Insert(f, 0)
}

// setOf returns the tree that holds a flow, or nil if all of its items are held.
func (t *Tier[T]) setOf(f *flow[T]) *swtree.Tree[*flow[T]] {
	switch {
	case f.count == 0:
		return t.idle
	case f.items.Len() > 0:
		return t.ready
	default:
		return nil
	}
}

// expire forgets the idle flows that the virtual time has passed.
func (t *Tier[T]) expire() {
	for {
		f, ok := t.idle.Min()
		if !ok || f.start > t.virtual {
			return
		}
		t.idle.Delete(f)
		delete(t.flows, f.org)
	}
}

func (t *Tier[T]) enqueue(i *Item[T]) {
	f := i.flow
	if f.items.Len() == 0 {
		t.ready.Insert(f, 0)
	}
	f.items.Insert(i, i.Work)
}

func (t *Tier[T]) dequeue(i *Item[T]) {
	f := i.flow
	f.items.Delete(i)
	if f.items.Len() == 0 {
		t.ready.Delete(f)
	}
}

func (t *Tier[T]) count(f *flow[T], count int, work float64) {
	if f.count > 0 {
		t.backlog.remove(f.bucket, f.work, f.weight)
	}
	f.count += count
	f.work += work
	if f.count > 0 {
		f.bucket = bucketOf(f.work / f.weight)
		t.backlog.add(f.bucket, f.work, f.weight)
	} else {
		f.work = 0
	}
}
