// Package swplatform is a stand-in for the platform, the services that the hosts
// depend on: an object API with versions, conditional updates and watches, a list of
// hosts that is served with a delay, and a weight store. All data is held in memory.
package swplatform

import (
	"context"
	"net/http"
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Fault kinds of a platform, in addition to swfault.KindSlow, whose delay is added
// to each call.
const (
	// KindOutage cuts the calls in progress, watches among them, and answers
	// every later one with 503, or cuts its connection if Fault.Status is 1.
	KindOutage swfault.Kind = "outage"
	// KindLoseAnswer executes a write and cuts the connection without a response.
	KindLoseAnswer swfault.Kind = "loseAnswer"
	// KindRateLimit rejects every call with 429.
	KindRateLimit swfault.Kind = "rateLimit"
	// KindLagHosts keeps the served list of hosts unchanged while it is active.
	KindLagHosts swfault.Kind = "lagHosts"
)

// Config describes a platform. Zero fields take the defaults below.
type Config struct {
	// ReadRate and WriteRate bound the calls per second; a watch counts as a read.
	ReadRate  float64
	WriteRate float64
	// WeightRate bounds the transfer rate of the weight store, in bytes per second.
	WeightRate float64
	// Delay is added to each call.
	Delay swclock.Millis
	// HostLag is the age of the list of hosts that is served.
	HostLag swclock.Millis
	// Hosts is the initial list of hosts.
	Hosts []swobject.Host
}

// Defaults of Config.
const (
	defaultReadRate   = 2000
	defaultWriteRate  = 400
	defaultWeightRate = 64 << 20
)

// Option configures a Platform in New.
type Option func(*Platform)

// WithClock sets the clock; the default is the system's.
func WithClock(c swclock.Clock) Option { return func(p *Platform) { p.clock = c } }

// WithLog sets the log; the default discards it.
func WithLog(log zerolog.Logger) Option { return func(p *Platform) { p.log = log } }

// Platform is a running stand-in for the platform.
type Platform struct {
	config  Config
	clock   swclock.Clock
	log     zerolog.Logger
	faults  *swfault.Set
	handler http.Handler

	lifetime context.Context
	stop     context.CancelFunc

	readLimit   *rate.Limiter
	writeLimit  *rate.Limiter
	weightLimit *rate.Limiter

	mu sync.Mutex
	// callsContext is the context of the calls in progress. An outage cancels and replaces
	// it, and Close cancels it; either aborts the calls that are waiting.
	callsContext context.Context
	cancelCalls  context.CancelFunc
	// objects holds the latest version of each object.
	objects map[string]swobject.Object
	// changed is closed and replaced at each write.
	changed chan struct{}
	hosts   hostHistory
	calls   Calls
}

// Calls counts calls by kind. A rejected call counts both under its kind and as Refused.
type Calls struct {
	Reads   int64
	Writes  int64
	Watches int64
	Hosts   int64
	Weights int64
	Refused int64
}

// New starts a platform. The caller must close it.
func New(c Config, options ...Option) *Platform {
	setDefault(&c.ReadRate, defaultReadRate)
	setDefault(&c.WriteRate, defaultWriteRate)
	setDefault(&c.WeightRate, defaultWeightRate)
	p := &Platform{
		config:      c,
		clock:       swclock.NewSystem(),
		log:         zerolog.Nop(),
		readLimit:   newLimiter(c.ReadRate),
		writeLimit:  newLimiter(c.WriteRate),
		weightLimit: newLimiter(c.WeightRate),
		objects:     make(map[string]swobject.Object),
		changed:     make(chan struct{}),
	}
	for _, o := range options {
		o(p)
	}
	p.hosts = hostHistory{{hosts: c.Hosts}}
	p.faults = swfault.NewSet(p.clock, p.onFaultAdded, swfault.KindSlow,
		KindOutage, KindLoseAnswer, KindRateLimit, KindLagHosts)
	p.lifetime, p.stop = context.WithCancel(context.Background())
	p.callsContext, p.cancelCalls = context.WithCancel(p.lifetime)
	p.handler = p.routes()
	return p
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler { return p.handler }

// Faults returns the platform's faults.
func (p *Platform) Faults() *swfault.Set { return p.faults }

// Calls returns the counts of calls since the platform's start.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []swobject.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hostList{at: p.clock.Now(), hosts: hosts})
}

// Close stops the platform and ends its watches.
func (p *Platform) Close() { p.stop() }

func (p *Platform) onFaultAdded(f swfault.Fault) {
	p.log.Info().Str("kind", string(f.Kind)).Msg("fault")
	if f.Kind != KindOutage {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelCalls()
	p.callsContext, p.cancelCalls = context.WithCancel(p.lifetime)
}

func (p *Platform) currentCallsContext() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callsContext
}

// newLimiter returns a limiter whose burst is what the rate allows in one second.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func setDefault(field *float64, value float64) {
	if *field == 0 {
		*field = value
	}
}
