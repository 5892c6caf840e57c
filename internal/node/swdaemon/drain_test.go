package swdaemon

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
)

// TestDrainTarget checks that a draining target gets no new requests once the change
// that drains it is in force on every host.
func TestDrainTarget(t *testing.T) {
	c := newCluster(t, 3, swengine.Config{TimeScale: 10})
	c.checkResults(c.runLoad(4, 10))
	relay := c.hosts[0].daemon.relay
	base := relay.Current().Version
	drained := bytes.Replace(c.document, []byte("id: engine-2\n"), []byte("id: engine-2\n  draining: true\n"), 1)
	if bytes.Equal(drained, c.document) {
		t.Fatalf("no engine-2 in %s", c.document)
	}
	version, err := relay.Apply(t.Context(), swstore.Change{ID: "drain", Base: base, Document: drained})
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range c.hosts {
		eventually(t, "the change is in force on "+string(h.id), func() bool { return h.daemon.relay.Current().Version >= version })
		eventually(t, "nothing runs on the target from "+string(h.id), func() bool {
			return h.daemon.node.Holder().Running()["engine-2"] == 0
		})
	}
	before := countAttempts(c.engines[1])
	if before == 0 {
		t.Fatal("the target was not used before it was drained")
	}
	c.checkResults(c.runLoad(4, 20))
	if after := countAttempts(c.engines[1]); after != before {
		t.Errorf("%d requests started on the draining target", after-before)
	}
	if countAttempts(c.engines[0]) == 0 {
		t.Error("the other engine received no request")
	}
}

// countAttempts counts the attempts that an engine accepted.
func countAttempts(e *swengine.Engine) int {
	runs := 0
	for _, r := range e.Attempts() {
		runs += r.Runs
	}
	return runs
}

// TestOwnerKilled kills the owner of a cell, the host that schedules it, while requests
// wait and run, and checks that all requests held by other hosts are answered.
func TestOwnerKilled(t *testing.T) {
	c := newCluster(t, 3, swengine.Config{TimeScale: 2, Slots: 8})
	owner, _ := c.hosts[0].daemon.router.Owner(swid.NewCellID("chat", "local"))
	var killed *host
	var others []*host
	for _, h := range c.hosts {
		if h.id == owner {
			killed = h
		} else {
			others = append(others, h)
		}
	}
	c.mu.Lock()
	c.entryHosts = others
	c.mu.Unlock()
	done := make(chan *callerResults, 1)
	go func() { done <- c.runLoad(40, 5) }()
	eventually(t, "requests run", func() bool { return countAttempts(c.engines[0])+countAttempts(c.engines[1]) > 8 })
	c.endHost(killed, killed.kill)
	results := <-done
	c.checkResults(results)
	if len(results.notRun)+results.unknown+results.lost > 0 {
		t.Errorf("requests held by running hosts were not answered: %q", results.notRunBodies)
	}
	if next, _ := others[0].daemon.router.Owner(swid.NewCellID("chat", "local")); next == owner {
		t.Errorf("%s is still the owner", owner)
	}
}

// TestShutdownUnderLoad checks that a host which is shut down while it holds running
// and waiting requests completes all of them.
func TestShutdownUnderLoad(t *testing.T) {
	const callers = 40
	c := newCluster(t, 3, swengine.Config{TimeScale: 2, Slots: 8})
	leaving := c.hosts[0]
	c.mu.Lock()
	c.entryHosts = []*host{leaving}
	c.mu.Unlock()
	first, _ := leaving.daemon.node.Holder().NextID()
	done := make(chan *callerResults, 1)
	go func() { done <- c.runLoad(callers, 1) }()
	calls := 0
	eventually(t, "every request has reached the host", func() bool {
		calls++
		next, _ := leaving.daemon.node.Holder().NextID() // counts the requests and these calls
		return int(next-first)-calls >= callers
	})
	c.endHost(leaving, leaving.shutDown)
	results := <-done
	c.checkResults(results)
	if cut := results.unknown + results.lost; cut > 0 {
		t.Errorf("%d of %d requests were cut", cut, callers)
	}
}

// TestShutdownAnswersRunningRequests guards against requests that still run at the end of a shutdown and get no answer.
func TestShutdownAnswersRunningRequests(t *testing.T) {
	c := newCluster(t, 1, swengine.Config{TimeScale: 10})
	leaving := c.hosts[0]
	leaving.daemon.settings.ShutdownTimeout = 2 * swclock.Second
	if err := c.plain.Faults().Add(swfault.Fault{Kind: swfault.KindFreeze, Duration: swclock.Minute}); err != nil {
		t.Fatal(err)
	}
	k := &caller{cluster: c, results: &callerResults{}, client: &http.Client{Timeout: waitTimeout}, random: rand.New(rand.NewPCG(1, 1))}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		k.post("/services/records/records", "key", []byte("record"))
	}()
	eventually(t, "the request runs", func() bool { return len(leaving.daemon.node.Holder().Running()) == 1 })
	c.endHost(leaving, leaving.shutDown)
	<-answered
	if r := k.results; r.unknown != 1 || r.lost != 0 {
		t.Errorf("%d requests ended as unknown, %d without an answer, want 1 and 0", r.unknown, r.lost)
	}
}
