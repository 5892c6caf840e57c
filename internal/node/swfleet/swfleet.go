// Package swfleet assembles an entry host, which accepts callers' requests and dispatches
// them to targets. The host reads its configuration, its targets and the other hosts from
// the platform's store. A Platform translates between the platform's protocols and the
// types of this module.
package swfleet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/sassafraswing/sassafraswing/internal/caller/swcallerconn"
	"github.com/sassafraswing/sassafraswing/internal/caller/swgate"
	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swbuffer"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swcontention"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/core/swquota"
	"github.com/sassafraswing/sassafraswing/internal/core/swreach"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/core/swroom"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
	"github.com/sassafraswing/sassafraswing/internal/core/swvalue"
	"github.com/sassafraswing/sassafraswing/internal/holder/swholder"
	"github.com/sassafraswing/sassafraswing/internal/node/swnode"
	"github.com/sassafraswing/sassafraswing/internal/operator/swmetrics"
	"github.com/sassafraswing/sassafraswing/internal/owner/swowner"
	"github.com/sassafraswing/sassafraswing/internal/owner/swrolloutkeeper"
	"github.com/sassafraswing/sassafraswing/internal/peer/swcarry"
	"github.com/sassafraswing/sassafraswing/internal/peer/swexchange"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
	"github.com/sassafraswing/sassafraswing/internal/store/sworiginlog"
	"github.com/sassafraswing/sassafraswing/internal/store/swrefusal"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
	"github.com/sassafraswing/sassafraswing/internal/target/swpool"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Platform translates between the platform's protocols and the types of this module.
type Platform interface {
	// Catalogs returns the source of the configuration, which is one object in the store.
	Catalogs() swwatch.Source[*swcatalog.Catalog]
	// Targets returns the source of the targets that registered themselves in the store.
	Targets() swwatch.Source[swcatalog.Target]
	// Hosts returns the source of the hosts that registered themselves in the store.
	Hosts() swwatch.Source[swcatalog.Host]
	// Rollouts returns the source of the operators' orders of roll-outs. An item's name is that of its service.
	Rollouts() swwatch.Source[swcatalog.Rollout]
	// WriteRollout writes the record of the order with a name if its entry still has the expected revision, and returns the
	// new one. Its errors are those of swobject.Objects.
	WriteRollout(ctx context.Context, name string, record swrollout.Record, expected swwatch.Revision) (swwatch.Revision, error)
	// Objects returns the objects in which the hosts keep what has to outlast them.
	Objects() swobject.Objects
	// Streams returns the objects in which the hosts keep the origins of streams.
	Streams() swobject.Objects
	// Register writes this host's entry to the store and returns the incarnation of
	// this process, which is higher than that of any earlier process of the host. After
	// an error the entry may or may not have been written.
	Register(ctx context.Context, h swcatalog.Host) (swid.Incarnation, error)
	// Restore writes this host's entry if the store has none, or one of an earlier process, because the
	// store was set back.
	Restore(ctx context.Context, h swcatalog.Host) error
	// CallerHandler returns the handler of callers' requests.
	CallerHandler(gate *swgate.Gate, leaving func() bool) http.Handler
	// ReadinessHandler returns the handler of the platform's readiness checks.
	ReadinessHandler(ready func() bool) http.Handler
	// TargetAdapter returns the adapter of one target.
	TargetAdapter(t Target) swtarget.Adapter
}

// Target is what a Platform needs to know of a target to send requests to it.
type Target struct {
	ID      swid.TargetID
	Address string
	// EventTokens is the number of tokens in each event of the target's streams.
	EventTokens swid.Tokens
	// Engine is set for model engines, and HealthPath is the path of the health checks of other targets.
	Engine     bool
	HealthPath string
}

// Factory creates the Platform that the settings name.
type Factory func(s *swsettings.Settings, clock swclock.Clock, log zerolog.Logger) (Platform, error)

// Host is one entry host.
type Host struct {
	settings *swsettings.Settings
	// reloadable holds the settings that Reload replaces.
	reloadable atomic.Pointer[swsettings.Fleet]
	log        zerolog.Logger
	clock      *swclock.System
	// boot is clock; tests replace it.
	boot     swclock.Boot
	platform Platform
	// self has no incarnation until the host is registered in the store.
	self swlink.Peer
	// started is when the process began to record the quota usage of its requests.
	started swclock.Millis

	registry *prometheus.Registry
	metrics  *swmetrics.Metrics
	gauges   *gauges
	gate     *swgate.Gate
	// ledger accounts for the quota usage of the hosts registered with this one,
	// meter for that of this host's own requests.
	ledger  *swquota.Ledger
	meter   *swquota.Meter
	retries *retryBudget
	// strikes counts the crashes of targets against content, for all cells that this host
	// schedules. strikeLog has those that the owner of the shared cells does not know.
	strikes   *swsuspect.Register
	strikeLog strikeLog
	// parts counts the crashes of targets against parts of prompts.
	parts *swsuspect.Parts
	// limits has the rate limits that targets named in answers to this host's requests.
	limits *swlimit.Limiter
	// brittle has the targets that end when they have to reject too many requests.
	brittle *swlimit.Brittle
	// slotShares divides the slots of brittle targets among the owners.
	slotShares slotShares
	// origins records which software version began each stream.
	origins *sworigin.Register
	// originKeeper keeps origins in the store. It is nil until the host is registered.
	originKeeper *sworiginlog.Keeper
	// closed has the targets that take no new requests from this host.
	closed *swlimit.Closed
	// paths records which targets this host reaches, pathProber looks for those that it does not, and carriers
	// has the hosts that carry requests of others.
	paths      *swreach.Paths
	pathProber *pathProber
	carriers   *swreach.Directory
	// contentionMeter counts how the requests of plain services that this host schedules find room, and contention has the counts
	// of the hosts that are registered with this one.
	contentionMeter *swcontention.Meter
	contention      swcontention.Register
	earlyContention swcontention.Early
	// carrying carries requests of other hosts.
	carrying *swcarry.Server
	// answers is the memory for the answers that this host holds, of its own requests and of those that it carries.
	answers *swbuffer.Budget
	// rollouts runs the roll-outs while this host is the owner. It is nil if they are not in force, and until the host is assembled.
	rollouts *swrolloutkeeper.Keeper
	// rolloutKeeper is rollouts for operators, whose listener is open before the host is assembled.
	rolloutKeeper atomic.Pointer[swrolloutkeeper.Keeper]
	// outcomes has the latest answers of services with several versions.
	outcomes outcomeLog
	// intake is the room for the connections of callers and the bodies of requests, also of those that it carries.
	intake *swcallerconn.Intake
	// refusalKeeper keeps the refused contents and parts in the store. It is nil until the host is registered.
	refusalKeeper *swrefusal.Keeper
	view          *view
	exchange      *swexchange.Exchange
	// linkOptions are further options of network, and wrapCore, if not nil, wraps each cell's core; tests set them.
	linkOptions []swlink.Option
	wrapCore    func(swowner.Core) swowner.Core
	network     *swlink.Network
	router      *router
	pool        *swpool.Pool
	holder      *swholder.Holder
	owner       *swowner.Owner

	catalogs *swwatch.Follower[*swcatalog.Catalog]
	targets  *swwatch.Follower[swcatalog.Target]
	hosts    *swwatch.Follower[swcatalog.Host]
	// storeQuestions has the questions for what the owner holds of the store.
	storeQuestions storeQuestions
	// targetQuestions bounds the questions to other hosts for the targets that they hold.
	targetQuestions targetQuestions
	// targetLists bounds the lists of targets that this host sends to others, which get them in turn.
	targetLists     *rate.Limiter
	targetListTurns turns
	// health tracks whether the store can be reached; nil until the host is assembled.
	health atomic.Pointer[swwatch.Health]
	// loggedHostCount is the number of hosts registered with this one when it was
	// last logged. Only the goroutine of renewRegistration accesses it.
	loggedHostCount int
	// granted is set by the first grant of a request of this host, reportedReady has the
	// latest answer to a readiness check.
	granted, reportedReady atomic.Bool
	// entryEra is the era of the store in which keepEntry last wrote or found this host's entry. Only the
	// goroutine of keepEntry accesses it.
	entryEra swobject.Era
	// leaving is set when the host begins to stop.
	leaving atomic.Bool
	// needsCompleteRegistration is set while the owner may lack the quota usage of this
	// host's requests.
	needsCompleteRegistration atomic.Bool
	// registrationRequested makes renewRegistration register before its interval ends.
	registrationRequested chan struct{}
	schedulingOrders      chan schedulingOrder
	// adoptedUntil is the time until which this host, as a new owner, keeps the scheduling
	// of plain services that the hosts have.
	adoptedUntil atomic.Int64
	// configureMu serialises assemble, configure, putIntoForce and reconfigure.
	configureMu sync.Mutex
}

// New returns a host that does nothing before Run.
func New(settings *swsettings.Settings, factory Factory, log zerolog.Logger) (*Host, error) {
	h := &Host{
		settings: settings, log: log, clock: swclock.NewSystem(),
		registry: prometheus.NewRegistry(), ledger: swquota.New(settings.Fleet.QuotaWindow), view: newView(settings),
		strikes: swvalue.NewStrikes(), parts: swvalue.NewParts(), limits: swlimit.New(), brittle: swlimit.NewBrittle(), closed: swlimit.NewClosed(),
		targetLists: rate.NewLimiter(targetListsPerSecond, targetListsPerSecond),
		origins:     sworigin.NewRegister(sworigin.DefaultCapacity), registrationRequested: make(chan struct{}, 1), schedulingOrders: make(chan schedulingOrder, 1),
	}
	h.boot = h.clock
	h.contentionMeter = swcontention.NewMeter(func() bool { return h.view.scheduling() == swmsg.SchedulingShared }, h.reportContention)
	h.pathProber = newPathProber(h)
	h.paths = swreach.NewPaths(h.clock, swreach.Hooks{Changed: h.pathProber.changed, Doubted: h.pathProber.doubted, Suspected: h.pathProber.suspected})
	h.carriers = swreach.NewDirectory()
	memory := int64(settings.Fleet.MemoryMegabytes * megabyte)
	h.answers = swbuffer.NewBudget(swbuffer.CapacityOf(memory))
	connections := swroom.LimitOf(settings.Caller.MaxConnections, swcallerconn.Descriptors(settings.Fleet.FileDescriptors), memory)
	h.intake = swcallerconn.NewIntake(connections, swroom.CapacityOf(memory, int64(settings.Caller.MaxBodyBytes)), h.clock)
	h.carrying = swcarry.NewServer(swcarry.Config{
		Adapter: h.carryingAdapter, Probe: h.probeForPeer, OnStatement: h.recordCarriedStatement, Bodies: h.intake.Bodies, Answers: h.answers, Clock: h.clock, Log: log,
	})
	h.meter, h.started = swquota.NewMeter(settings.Fleet.QuotaWindow), h.clock.Now()
	platform, err := factory(settings, h.clock, log)
	if err != nil {
		return nil, err
	}
	h.platform = platform
	h.reloadable.Store(settings.Fleet)
	h.metrics = swmetrics.New(h.registry)
	h.gauges = newGauges(h)
	h.intake.Register(h.registry)
	h.retries = newRetryBudget(settings.Fleet, h.clock)
	return h, nil
}

// megabyte is the unit of the memory in the settings.
const megabyte = 1e6

const (
	// ackTimeout is how long an owner may take to acknowledge a grant request: many
	// times the round trip in a region, and a fraction of the shortest objective.
	ackTimeout = 60 * swclock.Millis(1)
	// grantRequestInterval is the interval at which a waiting grant request is
	// repeated. An owner that became unresponsive after an earlier acknowledgement is
	// detected because it does not acknowledge the repeated request.
	grantRequestInterval = 400 * swclock.Millis(1)
	// verificationTimeout is how long a holder whose link to the owner was lost has to
	// report the grants that it still uses.
	verificationTimeout = swclock.Second
	// catalogWait and catalogWaitAfterChange are the longest times that a watch of the
	// configuration waits for a change. The store confirms the configuration when a
	// watch ends. These times keep the age of the latest confirmation well below the
	// time within which a removed key must be refused.
	catalogWait            = 3 * swclock.Second
	catalogWaitAfterChange = 700 * swclock.Millis(1)
	// catalogAskedWait is that time at an owner, which confirms the configuration to the hosts that are registered
	// with it. If nobody has confirmed it for catalogConfirmWithin, a host asks the store.
	catalogAskedWait     = swclock.Second
	catalogConfirmWithin = 2500 * swclock.Millis(1)
	// peerWait is the longest time that a watch waits for a change while the owner confirms what the host holds. It is the
	// longest that the platform's protocol allows.
	peerWait = 30 * swclock.Second
	// targetWait and hostWait are the longest times that watches of targets and hosts
	// wait for a change. They are longer than catalogWait because nothing depends on the
	// age of the latest confirmation of targets and hosts. If the store is unresponsive,
	// such a watch ends when the keep-alive probes on its connection, or the next watch
	// of the configuration, go unanswered.
	targetWait = 15 * swclock.Second
	hostWait   = 20 * swclock.Second
	// missedHeartbeats is the number of missed heartbeats after which the platform's
	// protocol drops a target's entry.
	missedHeartbeats = 3
	// catalogChangePause and targetChangePause are the pauses between a change and the next watch of the
	// configuration and the targets. They save calls when changes come in quick succession, as they do when many
	// targets start or leave, and are a tenth and a quarter of the time within which a change must be in force.
	catalogChangePause = 200 * swclock.Millis(1)
	targetChangePause  = 500 * swclock.Millis(1)
	// hostChangePause is the same pause for changes of hosts. It is longer, because a
	// restart of many hosts changes only their incarnations, which this host also
	// receives over its links to them.
	hostChangePause = 3 * swclock.Second
)

// linkKeepAlive detects within 4 s that an idle link is broken. A peer that is silent from the first probe to the last, for 2 s, is
// taken for lost.
var linkKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// assemble creates the components that need the incarnation that register obtained.
func (h *Host) assemble() {
	h.configureMu.Lock()
	defer h.configureMu.Unlock()
	h.exchange = swexchange.New(h.self)
	if h.rollouts = h.newRolloutKeeper(); h.rollouts != nil {
		h.registry.MustRegister(newRolloutCollector(h.rollouts))
	}
	h.network = swlink.New(swlink.Config{
		Self: h.self, Address: h.settings.Peer.Address, ProbeInterval: h.settings.Peer.Heartbeat,
		KeepAlive: linkKeepAlive, ServeStream: func(peer swlink.Peer, stream net.Conn) { h.carrying.Serve(peer.Host, stream) },
	}, h.clock, h.view.resolve, h.exchange, append(h.linkOptions, swlink.WithoutTLS(), swlink.WithLogger(h.log))...)
	h.router = newRouter(swnode.NewRouter(h.self.Host, h.settings.Region, h.network, h.clock, h.log), h.self.Host, h.settings.Region, h.view, h.paths, h.ownerChanged)
	h.pool = swpool.New(h.adapter)
	h.holder = swholder.New(swholder.Config{
		Host: h.self.Host, Incarnation: h.self.Incarnation, Clock: h.clock, Sender: h.exchange, Router: h.router,
		Targets: h.pool, Observer: h.metrics, Log: h.log, MaxHeld: h.settings.Caller.MaxHeld,
		Retries: h.retries, AckTimeout: ackTimeout, GrantRequestInterval: grantRequestInterval, ReportEarly: true,
		OnGranted: h.recordUsage, OnStatement: h.recordStatement, Closed: h.closed.Statement, OnDone: h.recordOutcome,
		Origins: h.origins, Cut: h.paths.Cut, Carry: h.carriedAdapter, Answers: h.answers,
	})
	h.owner = swowner.New(swowner.Config{
		Host: h.self.Host, Clock: h.clock, Sender: h.exchange, Router: h.router, Members: h.view, Watcher: noWatcher{},
		Observer: h.metrics, Log: h.log, NewCore: h.newCore, Acknowledge: true, Local: h.view.scheduledByEachHost, VerificationTimeout: verificationTimeout,
	})
	h.gate = swgate.New(swgate.Config{
		Region: h.settings.Region, Holder: h.holder, Clock: h.clock, Boot: h.boot,
		ConfirmedAt: func() swclock.Millis { return h.catalogs.ConfirmedAt() },
		OnForwarded: h.retries.countRequest, Log: h.log, OnResult: h.gauges.countResult,
	}, boundsOf(h.reloadable.Load()))
	h.exchange.OnLinkUp(h.linkUp)
	h.exchange.Connect(h.network, h.linkDown, h.holder, h.owner, registrationReceiver{h})
	h.createFollowers()
	h.rolloutKeeper.Store(h.rollouts)
}

// createFollowers creates the followers, which keep copies of the store's objects.
func (h *Host) createFollowers() {
	health := swwatch.NewHealth(h.clock, h.log)
	h.health.Store(health)
	config := func(kind string, wait swclock.Millis) swwatch.Config {
		return swwatch.Config{Kind: kind, Wait: wait, PeerWait: peerWait, Clock: h.clock, Boot: h.boot, Health: health, Log: h.log}
	}
	catalogs := config(kindCatalogs, catalogWait)
	catalogs.WaitAfterChange = catalogWaitAfterChange
	catalogs.AskedWait, catalogs.ConfirmWithin = catalogAskedWait, catalogConfirmWithin
	catalogs.ChangePause = catalogChangePause
	h.catalogs = swwatch.NewFollower(catalogs, h.platform.Catalogs(), h.catalogChanged)
	targets := config(kindTargets, targetWait)
	targets.ChangePause = targetChangePause
	targets.MissingGrace = h.settings.Fleet.ReregisterWithin
	targets.RenewalTimeout = missedHeartbeats * h.settings.Fleet.TargetHeartbeat
	h.targets = swwatch.NewFollower(targets, h.platform.Targets(), h.targetsChanged)
	h.followRollouts(config(kindRollouts, rolloutWait))
	hosts := config(kindHosts, hostWait)
	hosts.ChangePause = hostChangePause
	hosts.MissingGrace = h.settings.Fleet.ReregisterWithin
	h.hosts = swwatch.NewFollower(hosts, h.platform.Hosts(), h.hostsChanged)
}

func boundsOf(s *swsettings.Fleet) swgate.Bounds {
	return swgate.Bounds{ApplyWithin: s.ApplyWithin, RevokeWithin: s.RevokeWithin}
}
