package swdaemon

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swexample"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/stand/swplain"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// cluster is a number of daemons in one process, in front of stand-ins.
type cluster struct {
	t        *testing.T
	store    *swmemstore.Store
	document []byte
	// cut disturbs the links between the hosts.
	cut     *cutter
	engines []*swengine.Engine
	plain   *swplain.Service

	mu    sync.Mutex
	hosts []*host
	// entries are the hosts that callers use; nil stands for all.
	entries []*host
}

// host is one daemon of a cluster.
type host struct {
	id     swid.HostID
	daemon *Daemon
	// shutDown ends the daemon gracefully, kill at once; done is closed when it has ended.
	shutDown, kill context.CancelFunc
	done           chan struct{}
	alive          bool
}

// newCluster starts hosts in front of two engines and a plain service, and
// waits until the document is in force on all of them.
func newCluster(t *testing.T, hosts int, engine swengine.Config) *cluster {
	t.Helper()
	c := &cluster{t: t, store: swmemstore.New(1), cut: &cutter{}}
	c.startTargets(engine)
	for i := range hosts {
		c.hosts = append(c.hosts, &host{id: swid.HostID(fmt.Sprintf("host-%d", i))})
	}
	for _, h := range c.hosts {
		c.start(h)
	}
	t.Cleanup(c.stop)
	for _, h := range c.hosts {
		eventually(t, "the document is in force on "+string(h.id), func() bool { return h.daemon.Ready() == nil })
	}
	return c
}

// startTargets starts the targets of the example document and puts their addresses into it.
func (c *cluster) startTargets(engine swengine.Config) {
	var document map[string]any
	if err := yaml.Unmarshal(swexample.Document(), &document); err != nil {
		c.t.Fatal(err)
	}
	for _, t := range document["targets"].([]any) {
		target := t.(map[string]any)
		if target["service"] == "records" {
			c.plain = swplain.New(swplain.Config{})
			target["url"] = c.serve(httptest.NewServer(c.plain.Handler()), c.plain.Faults(), c.plain.Close)
			continue
		}
		e := swengine.New(engine)
		c.engines = append(c.engines, e)
		target["url"] = c.serve(httptest.NewServer(e.Handler()), e.Faults(), e.Close)
	}
	data, err := yaml.Marshal(document)
	if err != nil {
		c.t.Fatal(err)
	}
	c.document = data
}

// serve ends a stand-in's faults before its server, which waits for the requests that they hold.
func (c *cluster) serve(s *httptest.Server, faults *swfault.Set, end func()) string {
	c.t.Cleanup(func() {
		faults.ClearAll()
		end()
		s.Close()
	})
	return s.URL
}

// start starts a host's next process.
func (c *cluster) start(h *host) {
	c.t.Helper()
	settings, err := swsettings.Parse(swexample.SettingsFile, swexample.Settings())
	if err != nil {
		c.t.Fatal(err)
	}
	settings.Host = h.id
	settings.Caller.Address = "127.0.0.1:0"
	settings.Peer.Address = "127.0.0.1:0"
	settings.Operator.Address = "127.0.0.1:0"
	abort, kill := context.WithCancel(context.Background())
	ctx, shutDown := context.WithCancel(context.Background())
	d, err := New(settings, zerolog.Nop(), WithStore(c.store), WithFirstDocument(c.document), WithAbort(abort), WithLinkOption(swlink.WithConn(c.cut.wrap)))
	if err != nil {
		c.t.Fatal(err)
	}
	if err := d.Listen(); err != nil {
		c.t.Fatal(err)
	}
	done := make(chan struct{})
	c.mu.Lock()
	h.daemon, h.kill, h.shutDown, h.done, h.alive = d, kill, shutDown, done, true
	c.mu.Unlock()
	c.listHosts()
	go func() {
		defer close(done)
		_ = d.Run(ctx) // a killed daemon's error is of no interest
	}()
}

// listHosts has the platform list the living hosts.
func (c *cluster) listHosts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []swobject.Host
	for _, h := range c.hosts {
		if h.alive {
			list = append(list, swobject.Host{
				ID: h.id, Zone: "local-a", Region: "local", Address: h.daemon.PeerAddress(), State: swobject.HostLive,
			})
		}
	}
	c.store.SetHosts(list)
}

// end ends a host's process; the platform's list keeps the host.
func (c *cluster) end(h *host, how context.CancelFunc) {
	how()
	<-h.done
	c.mu.Lock()
	h.alive = false
	c.mu.Unlock()
}

// stop kills every host and checks the invariants that the program asserts itself.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		if n := testutil.CollectAndCount(h.daemon.registry, "sassafraswing_invariant_violations_total"); n > 0 {
			c.t.Errorf("%s counted violated invariants", h.id)
		}
		h.kill()
		<-h.done
	}
}

// urls returns the addresses that callers use, those of dead hosts included.
func (c *cluster) urls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := c.entries
	if entries == nil {
		entries = c.hosts
	}
	urls := make([]string, 0, len(entries))
	for _, h := range entries {
		urls = append(urls, "http://"+h.daemon.CallerAddress())
	}
	return urls
}
