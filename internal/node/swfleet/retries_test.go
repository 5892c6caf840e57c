package swfleet

import (
	"fmt"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// TestRetryBudgetOfAllHosts guards against retries of all hosts together beyond the budget, when hosts
// restart and before they know how many they are.
func TestRetryBudgetOfAllHosts(t *testing.T) {
	settings := &swsettings.Fleet{RetryWindow: 10 * swclock.Second, RetryRatio: 0.2, RetryReserve: 116}
	const requestsPerHost = 5
	for _, hosts := range []int{15, 137, 300} {
		for _, tt := range []struct {
			name string
			// restarted is the time before the end of the window at which all hosts restart.
			restarted swclock.Millis
			known     bool
		}{
			{"no restart", 0, true},
			{"restart in the window", swclock.Second, true},
			{"hosts not listed yet", swclock.Second, false},
		} {
			t.Run(fmt.Sprint(hosts, " hosts, ", tt.name), func(t *testing.T) {
				clock := &swclock.Manual{}
				retries, requests := 0, 0
				use := func(budgets []*retryBudget) {
					for _, b := range budgets {
						for range requestsPerHost {
							b.countRequest("s")
							requests++
						}
					}
					for _, b := range budgets {
						for b.Take("s") {
							retries++
						}
					}
				}
				start := func(known bool) []*retryBudget {
					budgets := make([]*retryBudget, hosts)
					for i := range budgets {
						budgets[i] = newRetryBudget(settings, clock)
						if known {
							budgets[i].setHostCount(hosts)
						}
					}
					return budgets
				}
				budgets := start(true)
				clock.Advance(swclock.Minute)
				use(budgets)
				if tt.restarted > 0 {
					clock.Advance(tt.restarted)
					use(start(tt.known))
				}
				if allowed := settings.RetryRatio*float64(requests) + settings.RetryReserve; float64(retries) > allowed {
					t.Errorf("%d retries in the window, at most %.0f are allowed for %d requests", retries, allowed, requests)
				}
				if retries < requests/10 {
					t.Errorf("%d retries for %d requests", retries, requests)
				}
			})
		}
	}
}
