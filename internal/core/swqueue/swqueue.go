// Package swqueue orders the waiting requests of one tier: by fair shares of the
// cost served between organisations, and by earliest deadline within each of them.
//
// The queue uses start-time fair queueing. Every organisation has a start tag, which grows by
// cost divided by weight when a request of it is served; the organisation with the
// least start tag is next. An organisation that was idle starts at the virtual time of
// the queue, the greatest start tag served so far, so being idle earns no credit.
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
	// LatestStart is the last instant at which the request can start and still meet its deadline.
	LatestStart swclock.Millis
	// Work is the time that the request is expected to occupy a slot of a target, in milliseconds.
	Work float64
	// Cost is what the organisation is charged when the request starts.
	Cost float64

	// seq breaks ties in order of arrival.
	seq  uint64
	flow *flow[T]
	held bool
}

// Queue is the queue of one tier.
type Queue[T any] struct {
	flows map[swid.OrgID]*flow[T]
	// ready holds the flows with items that are not held, by start tag.
	ready *swtree.Tree[*flow[T]]
	// idle holds the flows without items whose start tag is still ahead of virtualTime.
	idle *swtree.Tree[*flow[T]]
	// byLatestStart holds every item, held ones included, by latest start.
	byLatestStart *swtree.Tree[*Item[T]]
	held          []*Item[T]
	// virtualTime is the greatest start tag that was served so far.
	virtualTime float64
	backlog     backlog
	weight      func(swid.OrgID) float64
	seq         uint64
}

// flow is the queue of one organisation.
type flow[T any] struct {
	org    swid.OrgID
	seq    uint64
	weight float64
	// startTag is the virtual time at which the flow's next request starts.
	startTag float64
	// items holds the items that are not held, by deadline.
	items *swtree.Tree[*Item[T]]
	// count and work include held items.
	count int
	work  float64
	// bucket is where the flow is counted in the backlog, if count is not 0.
	bucket int
}

// New returns an empty queue. weight gives an organisation's share and is always positive.
func New[T any](weight func(swid.OrgID) float64) *Queue[T] {
	return &Queue[T]{
		flows:         make(map[swid.OrgID]*flow[T]),
		ready:         swtree.New(lessStartTag[T]),
		idle:          swtree.New(lessStartTag[T]),
		byLatestStart: swtree.New(lessLatestStart[T]),
		weight:        weight,
	}
}

func lessStartTag[T any](a, b *flow[T]) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.seq < b.seq
}

func lessDeadline[T any](a, b *Item[T]) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.seq < b.seq
}

func lessLatestStart[T any](a, b *Item[T]) bool {
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	return a.seq < b.seq
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.byLatestStart.Len() }

// Organisations returns the number of organisations with waiting items.
func (q *Queue[T]) Organisations() int { return len(q.flows) - q.idle.Len() }

// Work returns the work of all waiting items.
func (q *Queue[T]) Work() float64 { return q.byLatestStart.Total() }

// Push adds an item.
func (q *Queue[T]) Push(i *Item[T]) {
	q.seq++
	i.seq = q.seq
	f := q.activate(i.Org)
	i.flow = f
	q.count(f, 1, i.Work)
	q.enqueue(i)
	q.byLatestStart.Insert(i, i.Work)
}

// Remove removes an item without charging its organisation.
func (q *Queue[T]) Remove(i *Item[T]) {
	f := i.flow
	if !i.held {
		q.dequeue(i)
	}
	i.held = false
	i.flow = nil
	q.byLatestStart.Delete(i)
	q.count(f, -1, -i.Work)
	if f.count == 0 {
		q.deactivate(f)
	}
}

// Take removes an item that starts, and charges its organisation.
func (q *Queue[T]) Take(i *Item[T]) {
	f := i.flow
	q.virtualTime = max(q.virtualTime, f.startTag)
	q.Remove(i)
	q.Charge(i.Org, i.Cost)
	q.expireIdle()
}

// Charge advances an organisation's start tag by a cost, which is negative for a refund.
func (q *Queue[T]) Charge(org swid.OrgID, cost float64) {
	f := q.flows[org]
	if f == nil {
		if cost <= 0 {
			return
		}
		f = q.activate(org)
		q.idle.Insert(f, 0)
	}
	tree := q.treeOf(f)
	if tree != nil {
		tree.Delete(f)
	}
	f.startTag += cost / f.weight
	if tree != nil {
		tree.Insert(f, 0)
	}
}

// Head returns the next item in order, skipping those that are held.
func (q *Queue[T]) Head() (*Item[T], bool) {
	f, ok := q.ready.Min()
	if !ok {
		return nil, false
	}
	return f.items.Min()
}

// Hold excludes an item from Head until Release, so that Head returns the next one.
func (q *Queue[T]) Hold(i *Item[T]) {
	q.dequeue(i)
	i.held = true
	q.held = append(q.held, i)
}

// Release makes the held items available to Head again, in their previous order.
func (q *Queue[T]) Release() {
	for _, i := range q.held {
		if i.held {
			i.held = false
			q.enqueue(i)
		}
	}
	q.held = q.held[:0]
}

// Urgent calls visit for each item by latest start until visit returns false. The
// queue must not change meanwhile.
func (q *Queue[T]) Urgent(visit func(*Item[T]) bool) { q.byLatestStart.Ascend(visit) }

// Debt returns by how much an item's organisation has exceeded its fair share, as
// cost divided by weight.
func (q *Queue[T]) Debt(i *Item[T]) float64 { return i.flow.startTag - q.virtualTime }

// Held reports whether the item is excluded from Head until Release.
func (i *Item[T]) Held() bool { return i.held }

// NextUrgent returns the item after the given one by latest start, even if the
// given one is no longer queued. For nil it returns the first item.
func (q *Queue[T]) NextUrgent(i *Item[T]) (*Item[T], bool) {
	if i == nil {
		return q.byLatestStart.Min()
	}
	return q.byLatestStart.Next(i)
}

// MostUrgent returns the item with the earliest latest start.
func (q *Queue[T]) MostUrgent() (*Item[T], bool) { return q.byLatestStart.Min() }

// After returns the item after the given one by deadline within its organisation.
func (q *Queue[T]) After(i *Item[T]) (*Item[T], bool) { return i.flow.items.Next(i) }

// Ahead estimates the work of this tier that is served before a queued item: the
// earlier work of its organisation, and the work of the others served meanwhile.
func (q *Queue[T]) Ahead(i *Item[T]) float64 {
	f := i.flow
	own := f.items.Before(i)
	// Items are served whole, so about one item of each other flow precedes even
	// the first item of this one.
	item := min(i.Work, q.Work()/float64(q.Len()))
	served := q.backlog.servedWithin((own + item) / f.weight)
	return max(served-item, own)
}

// activate returns the flow of an organisation that is about to get an item or a
// charge. It creates the flow if there is none, and removes an idle one from the
// idle tree.
func (q *Queue[T]) activate(org swid.OrgID) *flow[T] {
	f := q.flows[org]
	if f == nil {
		q.seq++
		f = &flow[T]{org: org, seq: q.seq, items: swtree.New(lessDeadline[T])}
		q.flows[org] = f
	} else if f.count == 0 {
		q.idle.Delete(f)
	}
	if f.count == 0 {
		f.weight = q.weight(org)
		f.startTag = max(f.startTag, q.virtualTime)
	}
	return f
}

// deactivate keeps a flow without items as idle while its start tag is ahead of the
// virtual time, and deletes it otherwise.
func (q *Queue[T]) deactivate(f *flow[T]) {
	if f.startTag <= q.virtualTime {
		delete(q.flows, f.org)
		return
	}
	q.idle.Insert(f, 0)
}

// treeOf returns the tree that contains a flow, or nil if all of its items are held.
func (q *Queue[T]) treeOf(f *flow[T]) *swtree.Tree[*flow[T]] {
	switch {
	case f.count == 0:
		return q.idle
	case f.items.Len() > 0:
		return q.ready
	default:
		return nil
	}
}

// expireIdle deletes the idle flows whose start tag the virtual time has reached.
func (q *Queue[T]) expireIdle() {
	for {
		f, ok := q.idle.Min()
		if !ok || f.startTag > q.virtualTime {
			return
		}
		q.idle.Delete(f)
		delete(q.flows, f.org)
	}
}

// enqueue adds an item to its flow, which becomes ready with its first item.
func (q *Queue[T]) enqueue(i *Item[T]) {
	f := i.flow
	if f.items.Len() == 0 {
		q.ready.Insert(f, 0)
	}
	f.items.Insert(i, i.Work)
}

// dequeue removes an item from its flow, which is no longer ready without items.
func (q *Queue[T]) dequeue(i *Item[T]) {
	f := i.flow
	f.items.Delete(i)
	if f.items.Len() == 0 {
		q.ready.Delete(f)
	}
}

// count adds to the number and the work of a flow's items, and updates the backlog.
func (q *Queue[T]) count(f *flow[T], count int, work float64) {
	if f.count > 0 {
		q.backlog.remove(f.bucket, f.work, f.weight)
	}
	f.count += count
	f.work += work
	if f.count > 0 {
		f.bucket = bucketOf(f.work / f.weight)
		q.backlog.add(f.bucket, f.work, f.weight)
	} else {
		f.work = 0
	}
}
