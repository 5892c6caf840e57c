package swfleet

import (
	"maps"
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
)

// turnTimeout is the time after which a host that waits for its turn, and has not come again, no longer holds up others.
const turnTimeout = 2*swquota.RegistrationInterval + 200*swclock.Millis(1)

// turns serves the hosts that register in turn where a limit does not allow all of them. All hosts register at the same interval, so
// that the limit alone would serve the same ones each time. It is safe for concurrent use.
type turns struct {
	mu sync.Mutex
	// served has the hosts that were served in this round, which lasts until nobody waits.
	served map[swid.HostID]struct{}
	// waiting has when each host came last that the limit did not allow since it was served.
	waiting map[swid.HostID]swclock.Millis
}

// take reports whether a host is served now. allow reports whether the limit allows one more, and counts that.
func (t *turns) take(host swid.HostID, now swclock.Millis, allow func() bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.waiting, func(_ swid.HostID, cameAt swclock.Millis) bool { return now-cameAt > turnTimeout })
	if t.served == nil || len(t.waiting) == 0 {
		t.served, t.waiting = make(map[swid.HostID]struct{}), make(map[swid.HostID]swclock.Millis)
	}
	if _, served := t.served[host]; served {
		return false
	}
	if !allow() {
		t.waiting[host] = now
		return false
	}
	delete(t.waiting, host)
	t.served[host] = struct{}{}
	return true
}
