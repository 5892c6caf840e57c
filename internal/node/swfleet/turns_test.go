package swfleet

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
)

// TestTurns guards against hosts that a limit never serves because all come at the same interval, and against hosts that have left
// and hold up the others.
func TestTurns(t *testing.T) {
	const (
		span      = 30 * swclock.Second
		perSecond = 32
	)
	tests := []struct {
		name string
		// hosts is the number that come each RegistrationInterval, and leaving is how many of them come no more after a third of span.
		hosts, leaving int
		// maxGap bounds the time for which a host that comes is not served.
		maxGap swclock.Millis
	}{
		{"within the limit", 10, 0, swquota.RegistrationInterval},
		{"47 hosts", 47, 0, 2500},
		{"47 hosts, a half leave", 47, 24, 2500},
		{"100 hosts", 100, 0, 4500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			began := time.Unix(1, 0)
			limit := rate.NewLimiter(perSecond, perSecond)
			var turns turns
			servedAt, served := make([]swclock.Millis, tt.hosts), 0
			for start := swclock.Millis(0); start < span; start += swquota.RegistrationInterval {
				for host := range tt.hosts {
					if host >= tt.hosts-tt.leaving && start > span/3 {
						continue
					}
					now := start + swclock.Millis(host)*swquota.RegistrationInterval/swclock.Millis(tt.hosts)
					if turns.take(swid.HostID(fmt.Sprint(host)), now, func() bool { return limit.AllowN(began.Add(now.Duration()), 1) }) {
						servedAt[host] = now
						served++
					}
					if gap := now - servedAt[host]; gap > tt.maxGap {
						t.Fatalf("host %d was not served for %v at %v", host, gap.Duration(), now.Duration())
					}
				}
			}
			if most := perSecond * int(span/swclock.Second+1); served > most {
				t.Errorf("served %d times, want at most %d", served, most)
			}
		})
	}
}
