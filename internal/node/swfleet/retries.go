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

	// started is when the process began. What its predecessor used of the host's part of the
	// reserve is not known.
	started swclock.Millis

	mu sync.Mutex
	// hosts is 0 until the hosts have been listed.
	hosts   int
	windows map[swid.ServiceID]*swbudget.Window
}

func newRetryBudget(s *swsettings.Fleet, clock swclock.Clock) *retryBudget {
	return &retryBudget{clock: clock, settings: s, started: clock.Now(), windows: make(map[swid.ServiceID]*swbudget.Window)}
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
}

// setHostCount sets the number of hosts among which the reserve is divided.
func (r *retryBudget) setHostCount(hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = max(hosts, 1)
}

// reserve returns this host's part of the reserve. It is 0 until the hosts are known, and while a
// window may include what an earlier process used. r.mu must be held.
func (r *retryBudget) reserve() float64 {
	if r.hosts == 0 || r.clock.Now()-r.started <= r.settings.RetryWindow {
		return 0
	}
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
	w := r.window(service)
	w.SetReserve(r.reserve())
	return w.Take(r.clock.Now())
}

// GiveBack implements swholder.Retries.
func (r *retryBudget) GiveBack(service swid.ServiceID, takenAt swclock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).GiveBack(takenAt)
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
