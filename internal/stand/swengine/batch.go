package swengine

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// batch is the continuous batch of an engine: it admits sequences first in,
// first out, and knows no priorities. It is not safe for concurrent use.
type batch struct {
	config Config
	cache  *prefixCache
	// running holds at most config.Slots sequences, in order of admission.
	running []*sequence
	waiting []*sequence
	// credit is the prefill that may be done now, in tokens; at most one
	// millisecond's worth is carried over.
	credit float64
	// last is the time of the latest step.
	last swclock.Millis
}

func (b *batch) idle() bool { return len(b.running) == 0 && len(b.waiting) == 0 }

// submit queues a sequence and reports whether there was room.
func (b *batch) submit(s *sequence) bool {
	if len(b.running) >= b.config.Slots && len(b.waiting) >= b.config.MaxWaiting {
		return false
	}
	b.waiting = append(b.waiting, s)
	return true
}

// remove takes a sequence out of the batch.
func (b *batch) remove(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
}

// clear takes out and returns every sequence.
func (b *batch) clear() []*sequence {
	all := slices.Concat(b.running, b.waiting)
	b.running, b.waiting, b.credit = nil, nil, 0
	return all
}

// skip lets time pass without progress.
func (b *batch) skip(now swclock.Millis) { b.last = now }

// step advances the batch to now, at a speed divided by slow, and returns the
// sequences that progressed.
func (b *batch) step(now swclock.Millis, slow float64) []*sequence {
	seconds := float64(now-b.last) / float64(swclock.Second) * b.config.TimeScale / slow
	b.last = now
	b.earn(seconds)
	progressed := b.decode(seconds)
	b.admit()
	progressed = append(progressed, b.prefill(now)...)
	b.running = slices.DeleteFunc(b.running, (*sequence).finished)
	b.admit()
	return progressed
}

func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.config.Slots && b.fits(b.waiting[0]) {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.cached = min(b.cache.lookup(s.hashes), s.prompt-1)
		s.left = float64(s.prompt - s.cached)
		b.running = append(b.running, s)
	}
}

// fits reports whether a sequence's tokens fit; one that runs alone always does.
func (b *batch) fits(s *sequence) bool {
	if b.config.KVTokens == 0 || len(b.running) == 0 {
		return true
	}
	used := s.size()
	for _, r := range b.running {
		used += r.size()
	}
	return used <= b.config.KVTokens
}

// earn adds the prefill of a span to the credit. It comes before admission, so
// that time in which the engine was idle earns nothing for a sequence that arrives later.
func (b *batch) earn(seconds float64) {
	rate := b.config.PrefillRate * b.config.TimeScale
	needed := 0.0
	for _, s := range b.running {
		needed += s.left
	}
	carried := rate / float64(swclock.Second)
	b.credit = min(b.credit+b.config.PrefillRate*seconds, max(needed, carried))
}

// prefill spends the credit on the sequences in their order. A sequence gives
// its first token when its prefill ends.
func (b *batch) prefill(now swclock.Millis) []*sequence {
	var progressed []*sequence
	for _, s := range b.running {
		if s.left == 0 {
			continue
		}
		done := min(s.left, b.credit)
		b.credit -= done
		s.left -= done
		s.prefilled += done
		if s.left > 0 {
			break
		}
		s.produced = 1
		b.cache.insert(now, s.hashes)
		progressed = append(progressed, s)
	}
	return progressed
}

func (b *batch) decode(seconds float64) []*sequence {
	n := 0
	for _, s := range b.running {
		if s.left == 0 {
			n++
		}
	}
	tokens := seconds * b.config.DecodeRate / (1 + b.config.BatchPenalty*float64(n-1))
	var progressed []*sequence
	for _, s := range b.running {
		if s.left > 0 {
			continue
		}
		before := s.tokens()
		s.produced = min(s.produced+tokens, float64(s.output))
		if s.tokens() > before {
			progressed = append(progressed, s)
		}
	}
	return progressed
}

// sequence is one prompt and its answer.
type sequence struct {
	hashes []swid.PrefixHash
	// prompt is the length of the prompt; cached is the part that prefill skips.
	prompt swid.Tokens
	cached swid.Tokens
	// output is the length of the answer.
	output int
	// left and prefilled are the prompt tokens still to process and processed.
	left      float64
	prefilled float64
	// produced counts output tokens, with the fraction of the one in progress.
	produced float64
}

func (s *sequence) tokens() int { return int(math.Floor(s.produced + 1e-9)) }

func (s *sequence) size() swid.Tokens { return s.prompt + swid.Tokens(s.output) }

func (s *sequence) finished() bool { return s.left == 0 && s.tokens() >= s.output }
