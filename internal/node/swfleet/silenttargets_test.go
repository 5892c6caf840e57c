package swfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// silentSpan is how long a sound target may fall silent, and longSilentSpan more than half of patience.
	silentSpan     = time.Second
	longSilentSpan = 1200 * time.Millisecond
	// minServedInSilence is the share of the requests that has to be answered while sound targets fall silent.
	minServedInSilence = 0.95
	// minCallsServedInSilence is that of calls to plain services, each of which can be answered in time after the silence.
	minCallsServedInSilence = 0.99
)

// silence lets targets fall silent to all hosts.
func (f *partitionedFleet) silence(targets []*sharedTarget, span time.Duration) {
	for _, t := range targets {
		t.silence.set(cutHang, 0)
	}
	time.Sleep(span)
	for _, t := range targets {
		t.silence.set(0)
	}
}

// TestSilentTargets guards against requests that are ended, or not served, because sound targets fall silent for a second.
func TestSilentTargets(t *testing.T) {
	cases := []struct {
		name string
		// share is the share of the targets of the service that fall silent together.
		share float64
	}{{"one target", 0}, {"half of the targets", 0.5}, {"all targets", 1}}
	services := []struct {
		name, prefix string
		paths        []string
		span         time.Duration
		least        float64
	}{
		{"engines", "model", []string{"/model/x", "/stream/x"}, silentSpan, minServedInSilence},
		{"plain", "plain", []string{"/plain/x", "/once/x"}, longSilentSpan, minCallsServedInSilence},
		{"plain, one attempt", "plain", []string{"/single/x"}, longSilentSpan, minCallsServedInSilence},
	}
	for _, size := range sizesOf(15) {
		for _, s := range services {
			for _, c := range cases {
				t.Run(fmt.Sprint(size, " hosts, ", s.name, ", ", c.name), func(t *testing.T) {
					clearPools()
					synctest.Test(t, func(t *testing.T) {
						defer clearPools()
						f := newPartitionedFleet(t, size)
						f.startAll()
						f.observe(4)
						ctx, stop := context.WithTimeout(context.Background(), 16*time.Second)
						defer stop()
						var callers sync.WaitGroup
						f.load(ctx, s.paths, &callers)
						time.Sleep(2 * time.Second)
						f.setCounting(true)
						for range 4 {
							var targets []*sharedTarget
							for id, target := range f.targets {
								if strings.HasPrefix(string(id), s.prefix) {
									targets = append(targets, target)
								}
							}
							rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
							f.silence(targets[:max(int(c.share*float64(len(targets))), 1)], s.span)
							time.Sleep(2 * time.Second)
						}
						f.setCounting(false)
						<-ctx.Done()
						callers.Wait()
						f.killAll()
						t.Logf("%d of %d served", f.sound.served, f.sound.sent)
						if float64(f.sound.served) < s.least*float64(f.sound.sent) {
							t.Errorf("%d of %d requests were served", f.sound.served, f.sound.sent)
						}
					})
				})
			}
		}
	}
}
