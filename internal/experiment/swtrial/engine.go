package swtrial

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// engine models a target with continuous batching: it processes prompts one
// after another, and each stream generates tokens at a constant rate.
type engine struct {
	conf  Engine
	cache *lru.LRU[swid.PrefixHash, struct{}]
	// prefillBusyUntil is the time at which the engine will have processed all prompts started so far.
	prefillBusyUntil swclock.Millis
	slowdown         float64
	down             bool
	unresponsive     bool
	running          []*attempt
	// queue holds the attempts that wait inside the engine, in order of arrival.
	queue []*attempt
	// kvTokens is the KV cache space in use, in tokens.
	kvTokens swid.Tokens
	// added and removed are the changes of the prefix cache since the last report.
	added   []swid.PrefixHash
	removed []swid.PrefixHash
}

func newEngine(conf Engine) *engine {
	e := &engine{conf: conf, slowdown: 1}
	cache, err := lru.NewLRU(conf.CacheBlocks, func(h swid.PrefixHash, _ struct{}) { e.removed = append(e.removed, h) })
	if err != nil {
		panic(err) // NewLRU fails only if the size is not positive
	}
	e.cache = cache
	return e
}

// attempt is one dispatch of a request to an engine.
type attempt struct {
	request *request
	number  swid.Attempt
	engine  *engine
	// dispatched, startedAt, firstToken and end are points in time, not durations. All but
	// dispatched are set when the attempt starts.
	dispatched swclock.Millis
	started    bool
	startedAt  swclock.Millis
	firstToken swclock.Millis
	end        swclock.Millis
	// prefillTime is the time that the engine takes to process the prompt.
	prefillTime  swclock.Millis
	cachedTokens swid.Tokens
	ended        bool
}

// kvTokens returns the KV cache space that the attempt occupies while it runs, in tokens.
func (a *attempt) kvTokens() swid.Tokens { return a.request.prompt + a.request.limit }

// producedTokens returns the number of output tokens generated until now.
func (a *attempt) producedTokens(now swclock.Millis) swid.Tokens {
	if !a.started || now < a.firstToken {
		return 0
	}
	span := max(a.end-a.firstToken, 1)
	return max(swid.Tokens(int64(a.request.output)*int64(min(now-a.firstToken, span))/int64(span)), 1)
}

// processedTokens returns the number of uncached prompt tokens processed until now.
func (a *attempt) processedTokens(now swclock.Millis) swid.Tokens {
	if !a.started {
		return 0
	}
	uncached := a.request.prompt - a.cachedTokens
	if now >= a.firstToken {
		return uncached
	}
	remaining := min(a.firstToken-now, a.prefillTime)
	return uncached * swid.Tokens(a.prefillTime-remaining) / swid.Tokens(a.prefillTime)
}

// admit starts queued attempts, in order, as long as a slot is free and the tokens fit into the
// KV cache, and returns the started ones. An idle engine starts an attempt of any size.
func (e *engine) admit(now swclock.Millis) []*attempt {
	var started []*attempt
	for len(e.queue) > 0 && len(e.running) < e.conf.Slots {
		a := e.queue[0]
		if len(e.running) > 0 && e.kvTokens+a.kvTokens() > e.conf.KVTokens {
			break
		}
		e.queue = e.queue[1:]
		e.start(a, now)
		started = append(started, a)
	}
	return started
}

func (e *engine) start(a *attempt, now swclock.Millis) {
	a.started, a.startedAt = true, now
	a.cachedTokens = e.cachedPrefixTokens(a.request.prefix)
	uncached := float64(a.request.prompt - a.cachedTokens)
	a.prefillTime = ceilMillis(1000 * uncached / e.conf.PrefillRate * e.slowdown)
	e.prefillBusyUntil = max(e.prefillBusyUntil, now) + a.prefillTime
	a.firstToken = e.prefillBusyUntil
	a.end = a.firstToken + ceilMillis(1000*float64(a.request.output)/e.conf.DecodeRate*e.slowdown)
	e.running = append(e.running, a)
	e.kvTokens += a.kvTokens()
	// The first block is added last: the cache evicts the least recently used block, and a
	// later block is of no use without the blocks before it.
	for i := len(a.request.prefix) - 1; i >= 0; i-- {
		h := a.request.prefix[i]
		if !e.cache.Contains(h) {
			e.added = append(e.added, h)
		}
		e.cache.Add(h, struct{}{})
	}
}

func (e *engine) cachedPrefixTokens(prefix []swid.PrefixHash) swid.Tokens {
	for i, h := range prefix {
		if !e.cache.Contains(h) {
			return swid.Tokens(i) * swcell.PrefixBlock
		}
	}
	return swid.Tokens(len(prefix)) * swcell.PrefixBlock
}

// remove ends an attempt and removes it from the engine. If the prompt is not fully
// processed, the engine processes the prompts after it earlier by the prefill time that is saved.
// remove returns the attempts of those prompts, which now end earlier.
func (e *engine) remove(a *attempt, now swclock.Millis) []*attempt {
	a.ended = true
	e.queue = slices.DeleteFunc(e.queue, func(o *attempt) bool { return o == a })
	i := slices.Index(e.running, a)
	if i < 0 {
		return nil
	}
	e.running = slices.Delete(e.running, i, i+1)
	e.kvTokens -= a.kvTokens()
	saved := min(a.firstToken-now, a.prefillTime)
	if saved <= 0 {
		return nil
	}
	e.prefillBusyUntil -= saved
	var rescheduled []*attempt
	for _, o := range e.running {
		if o.firstToken > a.firstToken {
			o.firstToken -= saved
			o.end -= saved
			rescheduled = append(rescheduled, o)
		}
	}
	return rescheduled
}
