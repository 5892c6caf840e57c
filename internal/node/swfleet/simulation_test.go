package swfleet

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/caller/swgate"
	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/owner/swowner"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

const (
	// startCost is the processor time, of a whole core, until a process has started.
	startCost = 60 * time.Millisecond
	// defaultRequestsPerHost is the mean number of requests a second that each host accepts.
	defaultRequestsPerHost = 4
	// patience is how long a caller waits for its answer.
	patience = 2 * time.Second
	// minServed is the share of the requests that has to be answered once the owner is settled. The
	// targets have the capacity for all.
	minServed = 0.9
	// lateness is how late after its caller has left a request may reach a target.
	lateness = 500 * time.Millisecond
)

// Parts of a core that hosts have. One host in largeInterval has the large one.
const (
	smallShare    = 0.134
	largeShare    = 0.8
	largeInterval = 20
)

// shareOf returns the part of a core that a host has.
func shareOf(number int) float64 {
	if number%largeInterval == largeInterval/2 {
		return largeShare
	}
	return smallShare
}

// simulatedFleet is a fleet of hosts in one process on virtual time.
type simulatedFleet struct {
	deployment *deployment
	network    *memoryNetwork
	hosts      []*simulatedHost
	// requestsPerHost is the mean number of requests a second that each host accepts by itself.
	requestsPerHost float64
	// revokeWithin is the time within which removed keys are to be denied; 0 sets no limit.
	revokeWithin swclock.Millis
	// rollout is zero if roll-outs are not in force.
	rollout swsettings.Rollout
	// log takes the log of all hosts; nil drops it.
	log io.Writer
	// adapter, if not nil, returns the adapter of a target for one process of a host.
	adapter func(swid.TargetID) swtarget.Adapter
	// hostAdapter, if not nil, returns the adapter of a target for one process of the host with a number.
	hostAdapter func(host int, id swid.TargetID) swtarget.Adapter
	// chargeCores is set if the decisions of the cells take processor time.
	chargeCores bool
	// deadline is what callers say of how long they wait; 0 if they do not.
	deadline swclock.Millis
	// answered counts the answers of each second since the start.
	mu       sync.Mutex
	started  time.Time
	answered []int
	asked    []int
	// late counts the requests that reached a target later than lateness after their caller had left.
	late int
}

// simulatedHost is one host of a simulatedFleet.
type simulatedHost struct {
	fleet     *simulatedFleet
	number    int
	processor *processor
	store     *storePath
	// current is nil while the host is down.
	current atomic.Pointer[Host]
	stop    context.CancelFunc
	// leave begins a planned stop.
	leave context.CancelFunc
	ended chan struct{}
	// startedAt is when the process was last started.
	startedAt time.Time
}

func newSimulatedFleet(t *testing.T, size int) *simulatedFleet {
	d := &deployment{t: t, store: newFakeStore(), targets: make(map[swid.TargetID]*fakeTarget)}
	d.store.catalogs.put("main", catalogOf(1))
	f := &simulatedFleet{
		deployment: d, network: &memoryNetwork{listeners: make(map[string]*memoryListener)}, started: time.Now(), requestsPerHost: defaultRequestsPerHost,
	}
	const slots = 7
	for i := range size {
		id := swid.TargetID(fmt.Sprint("engine-", i))
		d.addTarget(id, "model", slots)
		d.targets[id].duration = time.Second
	}
	f.addHosts(size)
	return f
}

func (f *simulatedFleet) addHosts(size int) {
	for i := range size {
		f.hosts = append(f.hosts, &simulatedHost{
			fleet: f, number: i, processor: &processor{share: shareOf(i), freeAt: time.Now()}, store: newStorePath(),
		})
	}
}

func (h *simulatedHost) address() string {
	return fmt.Sprintf("10.0.%d.%d:7600", h.number/250, h.number%250)
}

// start starts the host's process.
func (h *simulatedHost) start() {
	ctx, stop := context.WithCancel(context.Background())
	leaving, leave := context.WithCancel(context.Background())
	h.stop, h.leave, h.ended, h.startedAt = stop, leave, make(chan struct{}), time.Now()
	go func() {
		defer close(h.ended)
		h.processor.use(startCost, ctx.Done())
		h.run(ctx, leaving)
		h.current.Store(nil)
	}()
	go h.accept(ctx)
}

// run runs the host as Host.run does, but without the listeners for callers and operators, until ctx ends or the host
// has left after the end of leaving.
func (h *simulatedHost) run(ctx, leaving context.Context) {
	t := h.fleet.deployment.t
	settings := &swsettings.Settings{
		Host: swid.HostID(fmt.Sprint("host-", h.number)), Zone: "z", Region: "r",
		Caller:   swsettings.Caller{MaxHeld: 1000},
		Peer:     swsettings.Peer{Address: h.address(), Heartbeat: 400},
		Operator: swsettings.Operator{},
		Fleet: &swsettings.Fleet{
			ApplyWithin: 2 * swclock.Second, RevokeWithin: h.fleet.revokeWithin, TargetHeartbeat: swclock.Second, ReregisterWithin: 2 * swclock.Second,
			QuotaWindow: 8 * swclock.Second, RetryWindow: 10 * swclock.Second, RetryRatio: 0.1, RetryReserve: 32,
			ProcessorShare: h.processor.share, Cores: 1, LinkMegabits: 100, Rollout: h.fleet.rollout,
		},
		ShutdownTimeout: 8 * swclock.Second,
	}
	factory := func(*swsettings.Settings, swclock.Clock, zerolog.Logger) (Platform, error) {
		return simulatedPlatform{fakePlatform{h.fleet.deployment}, h.fleet, h.number}, nil
	}
	log := zerolog.Nop()
	if h.fleet.log != nil {
		log = zerolog.New(h.fleet.log).With().Str("host", string(settings.Host)).Logger()
	}
	host, err := New(settings, factory, log)
	if err != nil {
		t.Error(err)
		return
	}
	host.boot = virtualBoot{}
	if h.fleet.chargeCores {
		host.wrapCore = func(c swowner.Core) swowner.Core {
			return &chargedCore{Core: c, processor: h.processor, ended: ctx.Done()}
		}
	}
	host.linkOptions = []swlink.Option{swlink.WithTransport(memoryTransport{h.fleet.network, h.address(), h.processor})}
	if err := host.register(ctx); err != nil {
		return // ctx ended
	}
	host.assemble()
	if err := host.network.Listen(); err != nil {
		t.Error(err)
		return
	}
	h.current.Store(host)
	if err := host.runComponents(leaving, ctx, &http.Server{}); err != nil {
		t.Error(err)
	}
}

// virtualBoot is the time since the start of a host, in virtual time.
type virtualBoot struct{}

// SinceBoot implements swclock.Boot.
func (virtualBoot) SinceBoot() swclock.Millis { return swclock.Millis(time.Now().UnixMilli()) }

// accept serves callers until ctx ends.
func (h *simulatedHost) accept(ctx context.Context) {
	if h.fleet.requestsPerHost == 0 {
		return
	}
	random := rand.New(rand.NewPCG(uint64(h.number), uint64(time.Now().UnixNano())))
	var callers sync.WaitGroup
	defer callers.Wait()
	for n := 0; ; n++ {
		select {
		case <-time.After(time.Duration(random.ExpFloat64() / h.fleet.requestsPerHost * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		callers.Go(func() { h.call(ctx, swid.RequestID(fmt.Sprintf("%d-%d-%d", h.number, time.Now().UnixNano(), n))) })
	}
}

// call sends one request, which its caller abandons after patience.
func (h *simulatedHost) call(ctx context.Context, id swid.RequestID) {
	f := h.fleet
	second := int(time.Since(f.started) / time.Second)
	f.count(&f.asked, second)
	host := h.current.Load()
	if host == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	ctx = context.WithValue(ctx, leavesAt{}, time.Now().Add(patience))
	call := &swgate.Call{
		ID: id, Method: http.MethodPost, Host: "h", Target: "/model/x", Path: "/model/x", Key: "key",
		PromptTokens: 100, OutputTokens: 10, ExpectedTokens: 5, Deadline: f.deadline,
		ReadBody: func(swcatalog.Limits, swid.OrgID) ([]byte, error) { return nil, nil },
	}
	result := host.gate.Serve(ctx, call, discardSink{})
	if result.Denial == swgate.DeniedNone && result.Report.End.Outcome == swlife.OutcomeAnswered {
		f.count(&f.answered, second)
	}
}

// leavesAt is the key of the instant at which the caller of a request leaves.
type leavesAt struct{}

// lateCounter is a target that counts the requests that reach it late after their caller has left.
type lateCounter struct {
	swtarget.Adapter
	fleet *simulatedFleet
}

// Start implements swtarget.Adapter.
func (l lateCounter) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	if left, known := ctx.Value(leavesAt{}).(time.Time); known && time.Since(left) > lateness {
		l.fleet.mu.Lock()
		l.fleet.late++
		l.fleet.mu.Unlock()
	}
	return l.Adapter.Start(ctx, r)
}

// simulatedPlatform is a fakePlatform whose targets are lateCounters.
type simulatedPlatform struct {
	fakePlatform
	fleet *simulatedFleet
	// host is the number of the host.
	host int
}

func (p simulatedPlatform) TargetAdapter(t Target) swtarget.Adapter {
	if p.fleet.hostAdapter != nil {
		return p.fleet.hostAdapter(p.host, t.ID)
	}
	if p.fleet.adapter != nil {
		return p.fleet.adapter(t.ID)
	}
	return lateCounter{p.fakePlatform.TargetAdapter(t), p.fleet}
}

// discardSink discards an answer. It implements swholder.Sink.
type discardSink struct{}

func (discardSink) Begin(int, http.Header) error { return nil }
func (discardSink) Write([]byte) error           { return nil }

// count adds one to a second's count.
func (f *simulatedFleet) count(counts *[]int, second int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(*counts) <= second {
		*counts = append(*counts, 0)
	}
	(*counts)[second]++
}

// owners returns the hosts that others send their grant requests to, with the number of these.
func (f *simulatedFleet) owners() map[swid.HostID]int {
	owners := make(map[swid.HostID]int)
	for _, h := range f.hosts {
		if host := h.current.Load(); host != nil && host.view.complete() {
			owners[host.router.currentOwner()]++
		}
	}
	return owners
}

// startAll starts all hosts within 0.3 s.
func (f *simulatedFleet) startAll() {
	random := rand.New(rand.NewPCG(1, uint64(len(f.hosts))))
	for _, h := range f.hosts {
		delay := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
		time.AfterFunc(delay, h.start)
	}
	time.Sleep(300 * time.Millisecond)
}

// killAll kills the processes of all hosts.
func (f *simulatedFleet) killAll() {
	for _, h := range f.hosts {
		h.stop()
	}
	for _, h := range f.hosts {
		<-h.ended
	}
}

// restartAll kills the processes of all hosts and starts them again.
func (f *simulatedFleet) restartAll() {
	f.killAll()
	f.startAll()
}

// restartOwner kills the process of the owner and starts it again a second later.
func (f *simulatedFleet) restartOwner() {
	owner := f.owner()
	owner.stop()
	<-owner.ended
	time.Sleep(time.Second)
	owner.start()
}

// cutInTwo cuts the links between the hosts with even and those with odd numbers for a time.
func (f *simulatedFleet) cutInTwo(span time.Duration) {
	half := make(map[string]int)
	for i, h := range f.hosts {
		half[h.address()] = i % 2
	}
	cut := func(from, to string) bool { return half[from] != half[to] }
	f.network.cut.Store(&cut)
	time.Sleep(span)
	f.network.cut.Store(nil)
}

// observe returns the number of owners at each of the next seconds.
func (f *simulatedFleet) observe(seconds int) []int {
	counts := make([]int, seconds)
	for i := range counts {
		time.Sleep(time.Second)
		counts[i] = len(f.owners())
	}
	return counts
}

// servedShare returns the share of the requests of a second that were answered.
func (f *simulatedFleet) servedShare(second int) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if second >= len(f.asked) || f.asked[second] == 0 {
		return 0
	}
	if second >= len(f.answered) {
		return 0
	}
	return float64(f.answered[second]) / float64(f.asked[second])
}

// clearPools empties every sync.Pool: yamux pools timers, which must not leave a bubble.
func clearPools() {
	runtime.GC()
	runtime.GC()
}

// owner returns the host that owns the shared cells for most hosts.
func (f *simulatedFleet) owner() *simulatedHost {
	var found swid.HostID
	owners := f.owners()
	for host, users := range owners {
		if users > owners[found] {
			found = host
		}
	}
	i := slices.IndexFunc(f.hosts, func(h *simulatedHost) bool { return h.current.Load() != nil && h.current.Load().self.Host == found })
	return f.hosts[i]
}

// furtherSize replaces the usual numbers of hosts.
var furtherSize = flag.Int("hosts", 0, "the number of hosts in tests of a simulated fleet")

// sizesOf returns the numbers of hosts to run a test with: the usual ones, unless the flag sets another.
func sizesOf(usual ...int) []int {
	if *furtherSize > 0 {
		return []int{*furtherSize}
	}
	return usual
}

// TestOneOwner guards against hosts that leave a busy owner one by one.
func TestOneOwner(t *testing.T) {
	events := []struct {
		name string
		run  func(f *simulatedFleet)
		// settled is the time after the event from which there is one owner again.
		settled time.Duration
	}{
		{"all hosts restart", func(f *simulatedFleet) {
			f.killAll()
			time.Sleep(time.Second)
			f.startAll()
		}, 3 * time.Second},
		{"the owner is killed", func(f *simulatedFleet) {
			owner := f.owner()
			owner.stop()
			<-owner.ended
		}, 3 * time.Second},
		{"the owner freezes", func(f *simulatedFleet) { f.owner().processor.freeze(3 * time.Second) }, 6 * time.Second},
	}
	for _, size := range sizesOf(30, 100) {
		for _, e := range events {
			t.Run(fmt.Sprint(size, " hosts, ", e.name), func(t *testing.T) {
				clearPools()
				synctest.Test(t, func(t *testing.T) {
					defer clearPools()
					f := newSimulatedFleet(t, size)
					f.startAll()
					f.observe(6)
					f.network.handshakes.Store(0)
					e.run(f)
					at := int(time.Since(f.started) / time.Second)
					owners := f.observe(12)
					t.Logf("owners in each second after the event %v; handshakes %d", owners, f.network.handshakes.Load())
					settled := int(e.settled / time.Second)
					if most := slices.Max(owners); most > 2 {
						t.Errorf("%d owners at once, want at most the former and the next", most)
					}
					if owners := owners[settled:]; slices.Max(owners) > 1 {
						t.Errorf("owners in each second from %d s after the event %v, want 1", settled, owners)
					}
					for second := at + settled + 1; second < at+10; second++ {
						if share := f.servedShare(second); share < minServed {
							t.Errorf("%.2f of the requests were answered %d s after the event", share, second-at)
						}
					}
					f.killAll()
					if f.late > 0 {
						t.Errorf("%d requests reached a target over %v after their caller had left", f.late, lateness)
					}
				})
			})
		}
	}
}

// TestHealedCut guards against hosts that own the shared cells for a moment after a cut between hosts, because links to
// them come back before those to better-ranked ones.
func TestHealedCut(t *testing.T) {
	const (
		// cutSpan is long enough for 300 hosts to find the owner of either side.
		cutSpan  = 20 * time.Second
		interval = 20 * time.Millisecond
		settled  = 4 * time.Second
	)
	for _, size := range sizesOf(15, 100) {
		t.Run(fmt.Sprint(size, " hosts"), func(t *testing.T) {
			clearPools()
			synctest.Test(t, func(t *testing.T) {
				defer clearPools()
				f := newSimulatedFleet(t, size)
				f.startAll()
				f.observe(6)
				f.cutInTwo(cutSpan)
				former := f.owners()
				later := make(map[swid.HostID]bool)
				for range settled / interval {
					time.Sleep(interval)
					for owner := range f.owners() {
						if _, owned := former[owner]; !owned {
							later[owner] = true
						}
					}
				}
				t.Logf("%d owners when the cut ends, %d others after", len(former), len(later))
				if len(former) != 2 {
					t.Errorf("%d owners during the cut, want one on either side", len(former))
				}
				if len(later) > 0 {
					t.Errorf("%d further hosts owned the shared cells after the cut", len(later))
				}
				if owners := f.owners(); len(owners) != 1 {
					t.Errorf("%d owners %v after the cut, want 1", len(owners), settled)
				}
				f.killAll()
			})
		})
	}
}
