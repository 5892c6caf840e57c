package swdaemon

import (
	"bytes"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
)

// TestDrainTarget drains a target while requests run: once the change is in
// force on every host, the target gets nothing new.
func TestDrainTarget(t *testing.T) {
	c := newCluster(t, 3, swengine.Config{TimeScale: 10})
	c.check(c.load(4, 10))
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
	before := started(c.engines[1])
	if before == 0 {
		t.Fatal("the target was not used before it was drained")
	}
	c.check(c.load(4, 20))
	if after := started(c.engines[1]); after != before {
		t.Errorf("%d requests started on the draining target", after-before)
	}
	if started(c.engines[0]) == 0 {
		t.Error("the other engine got no request")
	}
}

// started counts the attempts that an engine accepted.
func started(e *swengine.Engine) int {
	runs := 0
	for _, r := range e.Runs() {
		runs += r.Runs
	}
	return runs
}

// TestOwnerKilled kills the owner of a cell while requests wait and run; those
// that other hosts hold are all answered.
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
	c.entries = others
	c.mu.Unlock()
	done := make(chan *tally, 1)
	go func() { done <- c.load(40, 5) }()
	eventually(t, "requests run", func() bool { return started(c.engines[0])+started(c.engines[1]) > 8 })
	c.end(killed, killed.kill)
	seen := <-done
	c.check(seen)
	if len(seen.notRun)+seen.unknown+seen.lost > 0 {
		t.Errorf("requests that waited at living hosts were not answered: %q", seen.refusals)
	}
	if next, _ := others[0].daemon.router.Owner(swid.NewCellID("chat", "local")); next == owner {
		t.Errorf("%s still counts as the owner", owner)
	}
}

// TestShutdownUnderLoad shuts a host down while it holds running and waiting
// requests; all are answered whole.
func TestShutdownUnderLoad(t *testing.T) {
	const callers = 40
	c := newCluster(t, 3, swengine.Config{TimeScale: 2, Slots: 8})
	leaving := c.hosts[0]
	c.mu.Lock()
	c.entries = []*host{leaving}
	c.mu.Unlock()
	done := make(chan *tally, 1)
	go func() { done <- c.load(callers, 1) }()
	asked := 0
	eventually(t, "every request has reached the host", func() bool {
		asked++
		next, _ := leaving.daemon.node.Holder().NextID() // numbers the requests and these calls
		return int(next)-asked >= callers
	})
	c.end(leaving, leaving.shutDown)
	seen := <-done
	c.check(seen)
	if cut := seen.unknown + seen.lost; cut > 0 {
		t.Errorf("%d of %d requests were cut", cut, callers)
	}
}
