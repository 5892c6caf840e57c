package swdaemon

import (
	"testing"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/stand/swplain"
)

// TestFailures runs mixed requests through three hosts while hosts, links, targets or
// the platform fail, and checks the answers and outcomes that callers receive.
func TestFailures(t *testing.T) {
	// The faults are set on the second engine, because it is faster and therefore
	// receives requests first.
	engine := func(kind swfault.Kind) func(*cluster) {
		return func(c *cluster) {
			if err := c.engines[1].Faults().Add(swfault.Fault{Kind: kind, Duration: 1000, After: 3}); err != nil {
				c.t.Error(err)
			}
		}
	}
	tests := []struct {
		name string
		// fail is called three times while requests run.
		fail func(c *cluster)
	}{
		{"nothing", func(*cluster) {}},
		{"host killed and replaced", func(c *cluster) {
			c.endHost(c.hosts[0], c.hosts[0].kill)
			time.Sleep(200 * time.Millisecond)
			c.startHost(c.hosts[0])
		}},
		{"host shut down and replaced", func(c *cluster) {
			c.endHost(c.hosts[1], c.hosts[1].shutDown)
			c.startHost(c.hosts[1])
		}},
		{"answers of the plain service lost", func(c *cluster) {
			if err := c.plain.Faults().Add(swfault.Fault{Kind: swplain.KindDropAnswer, Count: 5}); err != nil {
				c.t.Error(err)
			}
		}},
		{"links silent", func(c *cluster) { c.linkFaults.stallConns() }},
		{"links cut", func(c *cluster) { c.linkFaults.closeConns() }},
		{"platform down", func(c *cluster) {
			c.store.SetFaults(swmemstore.Faults{Outage: true})
			time.Sleep(200 * time.Millisecond)
			c.store.SetFaults(swmemstore.Faults{})
		}},
		{"platform answers lost", func(c *cluster) { c.store.SetFaults(swmemstore.Faults{LostResponseRate: 0.3}) }},
		{"engine frozen", engine(swfault.KindFreeze)},
		{"engine crashed", engine(swfault.KindCrash)},
		{"streams cut", engine("cutAfter")},
		{"streams truncated", engine("truncate")},
		{"answers crossed", engine("crossAnswers")},
		{"engine silent", engine(swfault.KindSilence)},
		{"host killed while the platform is down", func(c *cluster) {
			c.store.SetFaults(swmemstore.Faults{Outage: true})
			c.endHost(c.hosts[0], c.hosts[0].kill)
			time.Sleep(100 * time.Millisecond)
			c.store.SetFaults(swmemstore.Faults{})
			c.startHost(c.hosts[0])
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, swengine.Config{TimeScale: 10})
			done := make(chan *callerResults, 1)
			go func() { done <- c.runLoad(8, 30) }()
			for range 3 {
				time.Sleep(100 * time.Millisecond)
				tt.fail(c)
			}
			c.checkResults(<-done)
		})
	}
}
