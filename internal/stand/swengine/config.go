// Package swengine is a stand-in for a model engine: continuous batching
// without priorities, a limited prefix cache, resumable streams, delayed load
// reports and cache events, and fault injection.
package swengine

import (
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swversion"
)

// Config describes one engine. Zero fields take the defaults below.
type Config struct {
	// Model is the name of the model that the engine serves; if empty, it serves any name.
	Model string
	// Slots is the number of sequences that run at once.
	Slots int
	// MaxWaiting bounds the queue; a request that finds it full is rejected with 429.
	MaxWaiting int
	// KVTokens bounds the tokens of the running sequences; 0 means no bound.
	KVTokens swid.Tokens
	// CacheTokens bounds the prefix cache, in tokens.
	CacheTokens swid.Tokens
	// PrefillRate is in prompt tokens per second, shared by all sequences.
	PrefillRate float64
	// DecodeRate is in output tokens per second for one sequence that runs alone.
	DecodeRate float64
	// BatchPenalty slows decoding: with n sequences each runs at DecodeRate / (1 + BatchPenalty*(n-1)).
	BatchPenalty float64
	// TimeScale multiplies both rates, to shorten tests.
	TimeScale float64
	// StepInterval is the time between two steps of the batch.
	StepInterval swclock.Millis
	// LoadLag is the age of the load that the load report shows.
	LoadLag swclock.Millis
	// EventLag is the age at which a cache event is published.
	EventLag swclock.Millis
	// EventLimit bounds the cache events that are kept; dropping older ones leaves a gap in the numbers.
	EventLimit int
	// EventLoss drops every EventLoss-th cache event, which leaves a gap; 0 drops none.
	EventLoss int
	// Retention is how long a run stays resumable after its answer was sent, or after a
	// fault of the engine ended or blocked the response. A client that disconnects
	// before that cancels the run.
	Retention swclock.Millis
	// EnforceFencing makes the engine reject an order (a command to load a model or adapter,
	// or to set the role) whose fencing number is below the highest of the executed orders.
	EnforceFencing bool
	// CallerToken is the bearer token that orders must carry; if empty, orders are not checked.
	CallerToken string
	// Version is the software version that the engine plays. It is sound if it has no Badness.
	Version swversion.Version
}

// Defaults of Config.
const (
	defaultSlots        = 8
	defaultMaxWaiting   = 256
	defaultCacheTokens  = 1 << 16
	defaultPrefillRate  = 8000
	defaultDecodeRate   = 50
	defaultStepInterval = 2 * swclock.Millis(1)
	defaultEventLimit   = 1024
	defaultRetention    = 30 * swclock.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.MaxWaiting, defaultMaxWaiting)
	setDefault(&c.CacheTokens, defaultCacheTokens)
	setDefault(&c.PrefillRate, defaultPrefillRate)
	setDefault(&c.DecodeRate, defaultDecodeRate)
	setDefault(&c.TimeScale, 1)
	setDefault(&c.StepInterval, defaultStepInterval)
	setDefault(&c.EventLimit, defaultEventLimit)
	setDefault(&c.Retention, defaultRetention)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Option configures an Engine in New.
type Option func(*Engine)

// WithClock sets the clock; the default is the system's.
func WithClock(c swclock.Clock) Option { return func(e *Engine) { e.clock = c } }

// WithLog sets the log; the default discards it.
func WithLog(log zerolog.Logger) Option { return func(e *Engine) { e.log = log } }
