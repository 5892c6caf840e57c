package swfleet

import (
	"sync"

	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swbudget"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// retryShare is the share of the retry budget that all hosts together use. The
// remainder keeps the total within the budget while the hosts have different lists of
// hosts, and so divide the reserve by different numbers.
const retryShare = 0.8

// retryBudget is this host's part of the retry budget, which limits the retries of each
// service to a ratio of its requests plus a reserve. It has one window for each service
// and is safe for concurrent use.
type retryBudget struct {
	clock    swclock.Clock
	settings *swsettings.Fleet

	mu      sync.Mutex
	hosts   int
	windows map[swid.ServiceID]*swbudget.Window
}

func newRetryBudget(s *swsettings.Fleet, clock swclock.Clock) *retryBudget {
	return &retryBudget{clock: clock, settings: s, hosts: 1, windows: make(map[swid.ServiceID]*swbudget.Window)}
}

// configure replaces the settings of the budget. The counts of requests and retries are
// kept unless the window or the ratio changes.
func (r *retryBudget) configure(s *swsettings.Fleet) {
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

// setHostCount sets the number of hosts among which the reserve is divided.
func (r *retryBudget) setHostCount(hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = max(hosts, 1)
	for _, w := range r.windows {
		w.SetReserve(r.reserve())
	}
}

// reserve returns this host's part of the reserve. r.mu must be held.
func (r *retryBudget) reserve() float64 {
	return retryShare * r.settings.RetryReserve / float64(r.hosts)
}

// countRequest counts a request of a service. Each request adds to the retries allowed for the service.
func (r *retryBudget) countRequest(service swid.ServiceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).Request(r.clock.Now())
}

// Take implements swholder.Retries.
func (r *retryBudget) Take(service swid.ServiceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window(service).Take(r.clock.Now())
}

// window returns the window of a service, creating it if needed. r.mu must be held.
func (r *retryBudget) window(service swid.ServiceID) *swbudget.Window {
	w, known := r.windows[service]
	if !known {
		w = swbudget.NewWindow(r.settings.RetryWindow, retryShare*r.settings.RetryRatio, r.reserve())
		r.windows[service] = w
	}
	return w
}
