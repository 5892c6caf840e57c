package swfleet

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swbudget"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// retryShare is the part of the budget that the hosts use together, so that it
// also holds while they disagree on how many they are.
const retryShare = 0.8

// retries keeps this host's part of the budget for sending requests again.
type retries struct {
	clock    swclock.Clock
	settings *swsettings.Fleet

	mu      sync.Mutex
	hosts   int
	windows map[swid.ServiceID]*swbudget.Window
}

func newRetries(s *swsettings.Fleet, clock swclock.Clock) *retries {
	return &retries{clock: clock, settings: s, hosts: 1, windows: make(map[swid.ServiceID]*swbudget.Window)}
}

// configure replaces the budget. What was counted is kept where the window is the same.
func (r *retries) configure(s *swsettings.Fleet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.RetryWindow != r.settings.RetryWindow || s.RetryRatio != r.settings.RetryRatio {
		clear(r.windows)
	}
	r.settings = s
	for _, w := range r.windows {
		w.SetReserve(r.reserve())
	}
}

// share divides the reserve between a number of hosts.
func (r *retries) share(hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = max(hosts, 1)
	for _, w := range r.windows {
		w.SetReserve(r.reserve())
	}
}

// reserve needs r.mu.
func (r *retries) reserve() float64 {
	return retryShare * r.settings.RetryReserve / float64(r.hosts)
}

// count counts a request of a service.
func (r *retries) count(service swid.ServiceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).Request(r.clock.Now())
}

// Take implements swholder.Retries.
func (r *retries) Take(service swid.ServiceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window(service).Take(r.clock.Now())
}

// window needs r.mu.
func (r *retries) window(service swid.ServiceID) *swbudget.Window {
	w, known := r.windows[service]
	if !known {
		w = swbudget.NewWindow(r.settings.RetryWindow, retryShare*r.settings.RetryRatio, r.reserve())
		r.windows[service] = w
	}
	return w
}
