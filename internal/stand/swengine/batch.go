package swengine

import (
	"math"
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// batch is the continuous batch of an engine: it admits sequences first in,
// first out, without priorities. It is not safe for concurrent use.
type batch struct {
	config Config
	cache  *prefixCache
	// running holds at most config.Slots sequences, in order of admission.
	running []*sequence
	waiting []*sequence
	// prefillCredit is the number of prompt tokens that may be prefilled now.
	// It is capped at the larger of what the running sequences need and what PrefillRate
	// times TimeScale allows in one millisecond.
	prefillCredit float64
	// lastStep is the time of the latest call of step or skip.
	lastStep swclock.Millis
}

func (b *batch) idle() bool { return len(b.running) == 0 && len(b.waiting) == 0 }

// submit queues a sequence and reports whether the queue had room.
func (b *batch) submit(s *sequence) bool {
	if len(b.running) >= b.config.Slots && len(b.waiting) >= b.config.MaxWaiting {
		return false
	}
	b.waiting = append(b.waiting, s)
	return true
}

// remove removes a sequence from the batch.
func (b *batch) remove(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	b.running = slices.DeleteFunc(b.running, same)
	b.waiting = slices.DeleteFunc(b.waiting, same)
}

// clear removes and returns every sequence.
func (b *batch) clear() []*sequence {
	all := slices.Concat(b.running, b.waiting)
	b.running, b.waiting, b.prefillCredit = nil, nil, 0
	return all
}

// skip advances the batch's time to now without progress.
func (b *batch) skip(now swclock.Millis) { b.lastStep = now }

// step advances the batch to now, at a speed divided by slowdown, and returns
// the sequences that progressed.
func (b *batch) step(now swclock.Millis, slowdown float64) []*sequence {
	seconds := float64(now-b.lastStep) / float64(swclock.Second) * b.config.TimeScale / slowdown
	b.lastStep = now
	b.addCredit(seconds)
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
		s.remaining = float64(s.prompt - s.cached)
		b.running = append(b.running, s)
	}
}

// fits reports whether a sequence's tokens fit into KVTokens beside those of the
// running sequences. A sequence that would run alone always fits.
func (b *batch) fits(s *sequence) bool {
	if b.config.KVTokens == 0 || len(b.running) == 0 {
		return true
	}
	used := s.totalTokens()
	for _, r := range b.running {
		used += r.totalTokens()
	}
	return used <= b.config.KVTokens
}

// addCredit adds the number of tokens that can be prefilled in a time span to the credit.
// step calls addCredit before admit, so that the cap leaves out the sequences that admit
// adds, and idle time gives them no credit.
func (b *batch) addCredit(seconds float64) {
	rate := b.config.PrefillRate * b.config.TimeScale
	needed := 0.0
	for _, s := range b.running {
		needed += s.remaining * s.slowdown
	}
	maxCarry := rate / float64(swclock.Second)
	b.prefillCredit = min(b.prefillCredit+b.config.PrefillRate*seconds, max(needed, maxCarry))
}

// prefill spends the credit on the running sequences in order of admission. A
// sequence produces its first token when its prefill ends.
func (b *batch) prefill(now swclock.Millis) []*sequence {
	var progressed []*sequence
	for _, s := range b.running {
		if s.remaining == 0 {
			continue
		}
		done := min(s.remaining, b.prefillCredit/s.slowdown)
		b.prefillCredit -= done * s.slowdown
		s.remaining -= done
		s.prefilled += done
		if s.remaining > 0 {
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
		if s.remaining == 0 {
			n++
		}
	}
	tokens := seconds * b.config.DecodeRate / (1 + b.config.BatchPenalty*float64(n-1))
	var progressed []*sequence
	for _, s := range b.running {
		if s.remaining > 0 {
			continue
		}
		before := s.outputTokens()
		s.produced = min(s.produced+tokens/s.slowdown, float64(s.output))
		if s.outputTokens() > before {
			progressed = append(progressed, s)
		}
	}
	return progressed
}

// sequence is the progress of one prompt and its answer through the batch.
type sequence struct {
	hashes []swid.PrefixHash
	// prompt is the length of the prompt; cached is the part that prefill skips.
	prompt swid.Tokens
	cached swid.Tokens
	// output is the length of the answer.
	output int
	// slowdown is how many times as long the sequence takes; at least 1.
	slowdown float64
	// remaining and prefilled count the prompt tokens still to prefill and those prefilled.
	remaining float64
	prefilled float64
	// produced counts output tokens, with the fraction of the one in progress.
	produced float64
}

func (s *sequence) outputTokens() int { return int(math.Floor(s.produced + 1e-9)) }

func (s *sequence) totalTokens() swid.Tokens { return s.prompt + swid.Tokens(s.output) }

func (s *sequence) finished() bool { return s.remaining == 0 && s.outputTokens() >= s.output }
