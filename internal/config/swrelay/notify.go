package swrelay

import (
	"context"

	"github.com/sassafraswing/sassafraswing/internal/core/swring"
)

// noticeCapacity is the capacity of the notice queue, which holds the subscriptions made
// before Run and the documents that wait for slow subscribers. While the queue is full,
// subscribe and publish block.
const noticeCapacity = 64

// notifier calls the subscribers from one goroutine and in order.
type notifier struct {
	notices *swring.Ring[notice]
}

// notice is a new subscription or a new document in force.
type notice struct {
	subscriber func(CurrentDocument) // nil for a new document
	current    CurrentDocument
}

func newNotifier() *notifier { return &notifier{notices: swring.New[notice](noticeCapacity)} }

func (n *notifier) subscribe(f func(CurrentDocument)) {
	_ = n.notices.Put(context.Background(), notice{subscriber: f}) // waits for room; fails only when its context ends, which never happens
}

func (n *notifier) publish(ctx context.Context, current CurrentDocument) {
	_ = n.notices.Put(ctx, notice{current: current}) // fails only when ctx ends
}

// run calls the subscribers until ctx ends.
func (n *notifier) run(ctx context.Context) {
	var subscribers []func(CurrentDocument)
	var current CurrentDocument
	for {
		select {
		case item := <-n.notices.Items():
			if item.subscriber != nil {
				subscribers = append(subscribers, item.subscriber)
				callWithCurrent(item.subscriber, current)
				continue
			}
			current = item.current
			for _, f := range subscribers {
				f(current)
			}
		case <-ctx.Done():
			return
		}
	}
}

// callWithCurrent calls a new subscriber with the current document, if there is one.
func callWithCurrent(f func(CurrentDocument), current CurrentDocument) {
	if current.Version != 0 {
		f(current)
	}
}
