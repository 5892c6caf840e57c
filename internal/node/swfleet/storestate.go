package swfleet

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcodec"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

// Kinds of objects that a host follows, as they are written to the log.
const (
	kindCatalogs = "configuration"
	kindTargets  = "targets"
	kindHosts    = "hosts"
)

// peerFollower is a swwatch.Follower of any objects.
type peerFollower interface {
	Held() (swwatch.Held, bool)
	ObservePeer(held swwatch.Held)
}

// storeQuestions has the latest questions to owners for what they hold of the store. It is safe for concurrent use.
type storeQuestions struct {
	mu sync.Mutex
	// last is the number of the latest question. The first number is random, so that an answer to an earlier process is not
	// taken for one to this process.
	last  uint64
	asked [8]storeQuestion
}

type storeQuestion struct {
	number uint64
	// at is the time since boot.
	at swclock.Millis
}

// ask returns the number of a new question.
func (q *storeQuestions) ask(now swclock.Millis) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.last == 0 {
		q.last = rand.Uint64()
	}
	q.last = max(q.last+1, 1)
	q.asked[q.last%uint64(len(q.asked))] = storeQuestion{q.last, now}
	return q.last
}

// askedAt returns when a question was asked, and false if it was not, or long ago.
func (q *storeQuestions) askedAt(number uint64) (swclock.Millis, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	asked := q.asked[number%uint64(len(q.asked))]
	return asked.at, number != 0 && asked.number == number
}

// askStoreState returns the number of a question for what the owner holds of the store, or 0 if this host is the owner.
func (h *Host) askStoreState(owner swid.HostID) uint64 {
	if owner == h.self.Host {
		return 0
	}
	return h.storeQuestions.ask(h.boot.SinceBoot())
}

// followers returns the copies of the store's objects by kind.
func (h *Host) followers() map[string]peerFollower {
	return map[string]peerFollower{kindCatalogs: h.catalogs, kindTargets: h.targets, kindHosts: h.hosts}
}

// replyStoreState tells a host what this one holds of the store, if it asks for that and this host reaches the store. Otherwise it
// may ask the host for what that holds.
func (h *Host) replyStoreState(from swlink.Peer, r *swmsg.Registration) {
	if r.StoreQuestion == 0 || from.Host == h.self.Host {
		return
	}
	state := swmsg.StoreState{Question: r.StoreQuestion}
	for _, kind := range []string{kindCatalogs, kindTargets, kindHosts} {
		held, ok := h.followers()[kind].Held()
		if !ok {
			h.askTargets(from, r)
			return
		}
		if len(state.Kinds) > 0 && held.Era != state.Era {
			return // the store was set back, and not all kinds have been listed again
		}
		state.Era = held.Era
		state.Kinds = append(state.Kinds, swmsg.StoreKind{
			Kind: kind, Latest: held.Latest, ConfirmedAge: max(h.boot.SinceBoot()-held.ConfirmedAt, 0),
		})
	}
	h.exchange.Send(from.Host, state)
}

const (
	// targetsAskedInterval is the least time between two hosts that an owner asks for targets.
	targetsAskedInterval = 250 * swclock.Millis(1)
	// targetListsPerSecond bounds the lists of targets that a host sends to others, whatever their number.
	targetListsPerSecond = 32
)

// targetQuestions decides which of the hosts that register an owner asks for targets. It is safe for concurrent use.
type targetQuestions struct {
	turns turns
	// last is the time since boot of the latest question.
	last atomic.Int64
}

// mayAsk reports whether an owner that holds the targets as of a revision asks a host that registers, and counts that as asked. A
// host that cannot read the store either says as of when it holds them.
func (q *targetQuestions) mayAsk(now swclock.Millis, after swwatch.Revision, era swobject.Era, host swid.HostID, r *swmsg.Registration) bool {
	if r.TargetsAfter != 0 && (r.TargetsEra != era || r.TargetsAfter <= after) {
		return false
	}
	return q.turns.take(host, now, func() bool {
		last := q.last.Load()
		return now-swclock.Millis(last) >= targetsAskedInterval && q.last.CompareAndSwap(last, int64(now))
	})
}

// askTargets asks a host that has registered for the targets that it holds, if this host cannot read them. An owner with an old list
// grants targets that are leaving, which look free, and none that have come since.
func (h *Host) askTargets(from swlink.Peer, r *swmsg.Registration) {
	after, era, wanted := h.targets.Wanted()
	if !wanted || !h.targetQuestions.mayAsk(h.boot.SinceBoot(), after, era, from.Host, r) {
		return
	}
	h.exchange.Send(from.Host, swmsg.StoreState{Question: r.StoreQuestion, Era: era, TargetsAfter: after})
}

// sendTargets sends the targets to a host that asks for them, if this host holds later ones.
func (h *Host) sendTargets(to swid.HostID, after swwatch.Revision, era swobject.Era) {
	if after == 0 || to == h.self.Host {
		return
	}
	listing, later := h.targets.ListSince(after, era)
	if !later || len(listing.Items) > swcodec.MaxListedTargets || !h.targetListTurns.take(to, h.boot.SinceBoot(), h.targetLists.Allow) {
		return
	}
	m := swmsg.TargetList{Era: era, AsOf: listing.AsOf, Targets: make([]swmsg.ListedTarget, len(listing.Items))}
	for i, item := range listing.Items {
		m.Targets[i] = swmsg.ListedTarget{Target: item.Value, Revision: item.Revision}
	}
	h.exchange.Send(to, m)
}

// receiveTargets takes the targets that another host holds.
func (h *Host) receiveTargets(m swmsg.TargetList) {
	listing := swwatch.Listing[swcatalog.Target]{Era: m.Era, AsOf: m.AsOf, Items: make([]swwatch.Item[swcatalog.Target], len(m.Targets))}
	for i, t := range m.Targets {
		listing.Items[i] = swwatch.Item[swcatalog.Target]{Name: string(t.ID), Revision: t.Revision, Value: t.Target}
	}
	h.targets.ListFromPeer(listing)
}

// receiveStoreState compares what the owner holds with this host's copies. The question came to the owner after it was asked, so
// that the owner's copy was confirmed no earlier than its age before that.
func (h *Host) receiveStoreState(from swlink.Peer, m swmsg.StoreState) {
	askedAt, known := h.storeQuestions.askedAt(m.Question)
	if !known {
		return
	}
	h.sendTargets(from.Host, m.TargetsAfter, m.Era)
	followers := h.followers()
	for _, k := range m.Kinds {
		if f := followers[k.Kind]; f != nil {
			f.ObservePeer(swwatch.Held{Era: m.Era, Latest: k.Latest, ConfirmedAt: askedAt - k.ConfirmedAge})
		}
	}
}
