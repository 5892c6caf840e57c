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

// cluster runs several daemons in one process, with stand-ins (simulated servers) as
// targets and a store in memory.
type cluster struct {
	t        *testing.T
	store    *swmemstore.Store
	document []byte
	// linkFaults stalls or closes the links between the hosts.
	linkFaults *linkFaults
	engines    []*swengine.Engine
	plain      *swplain.Service

	mu    sync.Mutex
	hosts []*host
	// entryHosts are the hosts that callers send requests to; nil means all.
	entryHosts []*host
}

// host is one daemon of a cluster.
type host struct {
	id     swid.HostID
	daemon *Daemon
	// shutDown stops the daemon gracefully, kill at once; done is closed when it has stopped.
	shutDown, kill context.CancelFunc
	done           chan struct{}
	alive          bool
}

// newCluster starts hosts in front of two engines and a plain service, and
// waits until the document is in force on all of them.
func newCluster(t *testing.T, hosts int, engine swengine.Config) *cluster {
	t.Helper()
	c := &cluster{t: t, store: swmemstore.New(1), linkFaults: &linkFaults{}}
	c.startTargets(engine)
	for i := range hosts {
		c.hosts = append(c.hosts, &host{id: swid.HostID(fmt.Sprintf("host-%d", i))})
	}
	for _, h := range c.hosts {
		c.startHost(h)
	}
	t.Cleanup(c.killHosts)
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
			target["url"] = c.registerServer(httptest.NewServer(c.plain.Handler()), c.plain.Faults(), c.plain.Close)
			continue
		}
		e := swengine.New(engine)
		c.engines = append(c.engines, e)
		target["url"] = c.registerServer(httptest.NewServer(e.Handler()), e.Faults(), e.Close)
	}
	data, err := yaml.Marshal(document)
	if err != nil {
		c.t.Fatal(err)
	}
	c.document = data
}

// registerServer registers a cleanup for a stand-in and its server, and returns the
// server's URL. The faults are cleared first, because closing the server waits for the
// requests that they block.
func (c *cluster) registerServer(s *httptest.Server, faults *swfault.Set, closeStandIn func()) string {
	c.t.Cleanup(func() {
		faults.ClearAll()
		closeStandIn()
		s.Close()
	})
	return s.URL
}

// startHost starts a new daemon for a host.
func (c *cluster) startHost(h *host) {
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
	d, err := New(settings, zerolog.Nop(), WithStore(c.store), WithFirstDocument(c.document), WithAbort(abort), WithLinkOption(swlink.WithConnWrapper(c.linkFaults.wrapConn)))
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
		_ = d.Run(ctx) // the error of a killed daemon is ignored
	}()
}

// listHosts sets the platform's host list to the running hosts.
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

// endHost stops a host's daemon and waits until it has stopped. The host remains in
// the platform's list.
func (c *cluster) endHost(h *host, stop context.CancelFunc) {
	stop()
	<-h.done
	c.mu.Lock()
	h.alive = false
	c.mu.Unlock()
}

// killHosts kills every host, after checking that it has counted no invariant violation.
func (c *cluster) killHosts() {
	for _, h := range c.hosts {
		if n := testutil.CollectAndCount(h.daemon.registry, "sassafraswing_invariant_violations_total"); n > 0 {
			c.t.Errorf("%s counted invariant violations", h.id)
		}
		h.kill()
		<-h.done
	}
}

// callerURLs returns the URLs that callers use, including those of stopped hosts.
func (c *cluster) callerURLs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := c.entryHosts
	if entries == nil {
		entries = c.hosts
	}
	urls := make([]string, 0, len(entries))
	for _, h := range entries {
		urls = append(urls, "http://"+h.daemon.CallerAddress())
	}
	return urls
}
