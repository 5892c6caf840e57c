package swengine

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
)

// expiryInterval is the time between two looks for runs whose retention is over.
const expiryInterval = swclock.Second

// Engine is a running stand-in.
type Engine struct {
	config  Config
	clock   swclock.Clock
	log     zerolog.Logger
	faults  *swfault.Set
	handler http.Handler

	lifetime context.Context
	stop     context.CancelFunc
	workers  conc.WaitGroup
	// wake tells the stepping goroutine that the batch is no longer idle.
	wake chan struct{}

	mu    sync.Mutex
	batch *batch
	cache *prefixCache
	// process ends at a crash or at Close; every response belongs to one.
	process context.Context
	crashed context.CancelFunc
	// runs holds those that can be resumed or cancelled, by request id.
	runs map[swid.RequestID]*run
	// bySequence holds the runs whose sequences are in the batch.
	bySequence map[*sequence]*run
	// nextExpiry is when runs are next looked through for old ones.
	nextExpiry swclock.Millis
	tally      *tally
	loads      loadHistory
	orders     orderBook
	// latest and previous are the calls accepted last; crossed answers are taken from them.
	latest   *run
	previous *run
}

// New starts an engine. The caller must close it.
func New(c Config, options ...Option) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config:     c,
		clock:      swclock.NewSystem(),
		log:        zerolog.Nop(),
		wake:       make(chan struct{}, 1),
		cache:      newPrefixCache(c),
		runs:       make(map[swid.RequestID]*run),
		bySequence: make(map[*sequence]*run),
		tally:      newTally(),
		orders:     newOrderBook(c),
	}
	for _, o := range options {
		o(e)
	}
	e.batch = &batch{config: c, cache: e.cache}
	e.faults = swfault.NewSet(e.clock, e.faultAdded, faultKinds...)
	e.lifetime, e.stop = context.WithCancel(context.Background())
	e.process, e.crashed = context.WithCancel(e.lifetime)
	e.handler = e.routes()
	e.workers.Go(e.work)
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler { return e.handler }

// Faults returns the engine's faults.
func (e *Engine) Faults() *swfault.Set { return e.faults }

// Runs returns the counts of every attempt since the engine's start.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally.runs()
}

// Close stops the engine and breaks off its responses.
func (e *Engine) Close() {
	e.stop()
	e.workers.Wait()
}

// work steps the batch while it is not idle.
func (e *Engine) work() {
	ticker := time.NewTicker(e.config.StepInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-e.lifetime.Done():
			return
		}
		if e.step() {
			continue
		}
		ticker.Stop()
		select {
		case <-e.wake:
		case <-e.lifetime.Done():
			return
		}
		ticker.Reset(e.config.StepInterval.Duration())
	}
}

// step advances the batch and reports whether there is more to do.
func (e *Engine) step() bool {
	e.mu.Lock()
	poison, poisoned := e.advance()
	busy := !e.batch.idle()
	e.mu.Unlock()
	if poisoned {
		e.addCrash(poison)
	}
	return busy
}

// advance steps the batch under the engine's mutex. It returns the fault of a
// prompt that crashes the engine, if one ran.
func (e *Engine) advance() (swfault.Fault, bool) {
	now := e.clock.Now()
	e.expire(now)
	if _, frozen := e.faults.Get(swfault.KindFreeze); frozen {
		e.batch.skip(now)
		return swfault.Fault{}, false
	}
	slow := 1.0
	if f, ok := e.faults.Get(swfault.KindSlow); ok && f.Factor > 0 {
		slow = f.Factor
	}
	poison, hasPoison := e.faults.Get(kindCrashOn)
	poisoned := false
	for _, s := range e.batch.step(now, slow) {
		r, ok := e.bySequence[s]
		if !ok {
			continue
		}
		if hasPoison && matches(poison, r.call) {
			poisoned = true
		}
		e.progressed(r)
	}
	e.countLoad(now)
	return poison, poisoned
}

func matches(f swfault.Fault, c call) bool {
	if f.Hash != "" && c.hash() == f.Hash {
		return true
	}
	return f.Contains != "" && strings.Contains(c.prompt, f.Contains)
}

func (e *Engine) progressed(r *run) {
	if r.sequence.finished() {
		r.state = runEnded
		r.record.prefilled += r.sequence.prefilled
		delete(e.bySequence, r.sequence)
	}
	r.broadcast()
}

// start accepts a call and reports whether there was room.
func (e *Engine) start(c call, id swid.RequestID, attempt swid.Attempt) (*run, bool) {
	r := &run{call: c, id: id, attempt: attempt, changed: make(chan struct{})}
	r.sequence = &sequence{
		hashes: swprompt.BlockHashes(c.prompt),
		prompt: max(1, swprompt.Tokens(c.prompt)),
		output: c.output,
	}
	e.mu.Lock()
	if !e.batch.submit(r.sequence) {
		e.mu.Unlock()
		return nil, false
	}
	r.record = e.tally.start(recordKey{id: id, attempt: attempt, hash: c.hash()})
	e.runs[id] = r
	e.bySequence[r.sequence] = r
	e.previous, e.latest = e.latest, r
	poison, poisoned := e.advance()
	e.mu.Unlock()
	if poisoned {
		e.addCrash(poison)
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r, true
}

// cancel ends a run early. The engine's mutex is held.
func (e *Engine) cancel(r *run) {
	if r.state == runActive {
		e.batch.remove(r.sequence)
		delete(e.bySequence, r.sequence)
		r.record.prefilled += r.sequence.prefilled
		e.countLoad(e.clock.Now())
	}
	r.waste()
	r.state = runCancelled
	e.forget(r)
	r.broadcast()
}

// retain keeps a run whose answer was sent for a while, since the client may have lost the end of it.
func (e *Engine) retain(r *run) {
	r.isDetached = true
	r.detached = e.clock.Now()
}

func (e *Engine) forget(r *run) {
	if e.runs[r.id] == r {
		delete(e.runs, r.id)
	}
}

// expire cancels the runs whose responses broke off too long ago.
func (e *Engine) expire(now swclock.Millis) {
	if now < e.nextExpiry {
		return
	}
	e.nextExpiry = now + min(expiryInterval, e.config.Retention)
	for _, r := range e.runs {
		if !r.isDetached || now <= r.detached+e.config.Retention {
			continue
		}
		if r.delivered {
			e.forget(r)
		} else {
			e.cancel(r)
		}
	}
}

// crash drops every run, connection and the cache.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.clear()
	for s, r := range e.bySequence {
		r.record.prefilled += s.prefilled
		r.waste()
		r.state = runCancelled
	}
	clear(e.bySequence)
	for _, r := range e.runs {
		r.waste()
		r.state = runCancelled
	}
	clear(e.runs)
	e.cache.clear()
	e.countLoad(e.clock.Now())
	e.crashed()
	e.process, e.crashed = context.WithCancel(e.lifetime)
	e.log.Warn().Msg("crashed")
}
