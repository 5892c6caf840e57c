package swfleet

import (
	"math/rand/v2"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
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

// replyStoreState tells a host what this one holds of the store, if it asks for that and this host reaches the store.
func (h *Host) replyStoreState(from swlink.Peer, question uint64) {
	if question == 0 || from.Host == h.self.Host {
		return
	}
	state := swmsg.StoreState{Question: question}
	for _, kind := range []string{kindCatalogs, kindTargets, kindHosts} {
		held, ok := h.followers()[kind].Held()
		if !ok || len(state.Kinds) > 0 && held.Era != state.Era {
			return // the store was set back, and not all kinds have been listed again
		}
		state.Era = held.Era
		state.Kinds = append(state.Kinds, swmsg.StoreKind{
			Kind: kind, Latest: held.Latest, ConfirmedAge: max(h.boot.SinceBoot()-held.ConfirmedAt, 0),
		})
	}
	h.exchange.Send(from.Host, state)
}

// receiveStoreState compares what the owner holds with this host's copies. The question came to the owner after it was asked, so
// that the owner's copy was confirmed no earlier than its age before that.
func (h *Host) receiveStoreState(m swmsg.StoreState) {
	askedAt, known := h.storeQuestions.askedAt(m.Question)
	if !known {
		return
	}
	followers := h.followers()
	for _, k := range m.Kinds {
		if f := followers[k.Kind]; f != nil {
			f.ObservePeer(swwatch.Held{Era: m.Era, Latest: k.Latest, ConfirmedAt: askedAt - k.ConfirmedAge})
		}
	}
}
