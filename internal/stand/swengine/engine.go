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
	"github.com/sassafraswing/sassafraswing/internal/stand/swversion"
)

// expiryInterval is the time between two checks for runs whose retention has ended, or
// Config.Retention if that is shorter. An idle engine does not check, because its batch
// is not stepped.
const expiryInterval = swclock.Second

// Engine is a running stand-in for a model engine.
type Engine struct {
	config  Config
	clock   swclock.Clock
	log     zerolog.Logger
	faults  *swfault.Set
	handler http.Handler
	version *swversion.Player

	lifetime context.Context
	stop     context.CancelFunc
	workers  conc.WaitGroup
	// wake signals the stepping goroutine that the batch is no longer idle.
	wake chan struct{}

	mu    sync.Mutex
	batch *batch
	cache *prefixCache
	// process is the context of the simulated process. A crash cancels and replaces it, and
	// Close cancels it; either aborts every response that began under it.
	process    context.Context
	endProcess context.CancelFunc
	// runs holds the runs that can be resumed or cancelled, by request id.
	runs map[swid.RequestID]*run
	// bySequence holds the runs whose sequences are in the batch.
	bySequence map[*sequence]*run
	// nextExpiry is the time of the next check for runs whose retention has ended.
	nextExpiry swclock.Millis
	tally      *tally
	loads      loadHistory
	orders     orderLog
	// latest and previous are the last two accepted runs; the crossAnswers fault
	// answers a request with the content of one of them.
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
		orders:     newOrderLog(c),
	}
	for _, o := range options {
		o(e)
	}
	e.batch = &batch{config: c, cache: e.cache}
	e.version = swversion.NewPlayer(c.Version, e.clock)
	e.faults = swfault.NewSet(e.clock, e.onFaultAdded, faultKinds...)
	e.lifetime, e.stop = context.WithCancel(context.Background())
	e.process, e.endProcess = context.WithCancel(e.lifetime)
	e.handler = e.routes()
	e.workers.Go(e.runSteps)
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler { return e.handler }

// Faults returns the engine's faults.
func (e *Engine) Faults() *swfault.Set { return e.faults }

// Attempts returns the counters of every attempt since the engine's start.
func (e *Engine) Attempts() []AttemptStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally.runs()
}

// Close stops the engine and aborts its responses.
func (e *Engine) Close() {
	e.stop()
	e.workers.Wait()
}

// runSteps steps the batch while it is not idle.
func (e *Engine) runSteps() {
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
	crashOn, crashes := e.advance()
	busy := !e.batch.idle()
	e.mu.Unlock()
	if crashes {
		e.addCrash(crashOn)
	}
	return busy
}

// advance steps the batch; the caller holds the engine's mutex. It returns the
// crashOn fault and reports whether a sequence whose prompt matches it progressed.
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
	crashOn, hasCrashOn := e.faults.Get(kindCrashOn)
	crashes := false
	for _, s := range e.batch.step(now, slow) {
		r, ok := e.bySequence[s]
		if !ok {
			continue
		}
		if hasCrashOn && matchesPrompt(crashOn, r.call) {
			crashes = true
		}
		e.recordProgress(r)
	}
	e.recordLoad(now)
	return crashOn, crashes
}

func matchesPrompt(f swfault.Fault, c call) bool {
	if f.Hash != "" && c.hash() == f.Hash {
		return true
	}
	return f.Contains != "" && strings.Contains(c.prompt, f.Contains)
}

func (e *Engine) recordProgress(r *run) {
	if r.sequence.finished() {
		r.state = runEnded
		r.record.prefilled += r.sequence.prefilled
		delete(e.bySequence, r.sequence)
	}
	r.broadcast()
}

// startRun queues a run of a call for a path and reports whether the queue had room.
func (e *Engine) startRun(c call, path string, id swid.RequestID, attempt swid.Attempt) (*run, bool) {
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
	r.effect = e.version.Next(swversion.Request{Path: path, Running: len(e.batch.running) + len(e.batch.waiting), Slots: e.config.Slots})
	r.sequence.slowdown = max(r.effect.Slowdown, 1)
	r.record = e.tally.startRun(recordKey{id: id, attempt: attempt, hash: c.hash()})
	e.runs[id] = r
	e.bySequence[r.sequence] = r
	e.previous, e.latest = e.latest, r
	crashOn, crashes := e.advance()
	e.mu.Unlock()
	if crashes {
		e.addCrash(crashOn)
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r, true
}

// cancel ends a run early. The caller holds the engine's mutex.
func (e *Engine) cancel(r *run) {
	if r.state == runActive {
		e.batch.remove(r.sequence)
		delete(e.bySequence, r.sequence)
		r.record.prefilled += r.sequence.prefilled
		e.recordLoad(e.clock.Now())
	}
	r.countWaste()
	r.state = runCancelled
	e.removeRun(r)
	r.broadcast()
}

// retain keeps a delivered run resumable until its retention ends, since the client
// may not have received the end of the answer.
func (e *Engine) retain(r *run) {
	r.isDetached = true
	r.detachedAt = e.clock.Now()
}

func (e *Engine) removeRun(r *run) {
	if e.runs[r.id] == r {
		delete(e.runs, r.id)
	}
}

// expire removes the runs whose latest response ended longer ago than the
// retention, and cancels those whose answer was not delivered.
func (e *Engine) expire(now swclock.Millis) {
	if now < e.nextExpiry {
		return
	}
	e.nextExpiry = now + min(expiryInterval, e.config.Retention)
	for _, r := range e.runs {
		if !r.isDetached || now <= r.detachedAt+e.config.Retention {
			continue
		}
		if r.delivered {
			e.removeRun(r)
		} else {
			e.cancel(r)
		}
	}
}

// crash cancels every run, aborts every response and empties the cache.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.clear()
	for s, r := range e.bySequence {
		r.record.prefilled += s.prefilled
		r.countWaste()
		r.state = runCancelled
	}
	clear(e.bySequence)
	for _, r := range e.runs {
		r.countWaste()
		r.state = runCancelled
	}
	clear(e.runs)
	e.cache.clear()
	e.recordLoad(e.clock.Now())
	e.endProcess()
	e.process, e.endProcess = context.WithCancel(e.lifetime)
	e.log.Warn().Msg("crashed")
}
