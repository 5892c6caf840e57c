package swhttpstore

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swplatform"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaim"
)

// TestClaimsOverHTTP checks that a key is granted once when two hosts claim the same
// keys and the platform loses answers.
func TestClaimsOverHTTP(t *testing.T) {
	platform := swplatform.New(swplatform.Config{})
	defer platform.Close()
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	const keys = 40
	var granted [keys]atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var run, callers conc.WaitGroup
	for host := range 2 {
		clock := swclock.NewSystem()
		registry := swclaim.New(swclaim.Config{Environment: "e", Shards: 3}, newStore(server.URL, clock), clock)
		run.Go(func() { registry.Run(ctx) })
		for caller := range 4 {
			callers.Go(func() {
				for i := range keys {
					if err := platform.Faults().Add(swfault.Fault{Kind: swplatform.KindLoseAnswer, Count: 1}); err != nil {
						t.Error(err)
					}
					e := swclaim.Entry{Key: swclaim.Key{Org: "o", Key: fmt.Sprint(i)}, Request: swid.RequestID(fmt.Sprintf("%d-%d-%d", host, caller, i))}
					if d, err := registry.Claim(ctx, e); err == nil && d.Granted {
						granted[i].Add(1)
					}
				}
			})
		}
	}
	callers.Wait()
	cancel()
	run.Wait()
	total := int64(0)
	for i := range granted {
		n := granted[i].Load()
		if n > 1 {
			t.Errorf("key %d was granted %d times", i, n)
		}
		total += n
	}
	if total == 0 {
		t.Error("no key was granted")
	}
}
