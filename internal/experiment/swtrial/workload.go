package swtrial

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// minOutputShare is the minimum length of an output as a fraction of its limit.
	minOutputShare       = 0.6
	poisonResends        = 5
	poisonResendInterval = 3 * swclock.Second
)

// request is one request of the workload.
type request struct {
	class   *Class
	seq     swid.Seq
	org     int
	arrival swclock.Millis
	// deadline is a time, not a duration.
	deadline swclock.Millis
	prompt   swid.Tokens
	limit    swid.Tokens
	// output is the number of tokens that an engine generates. Schedulers have no access to it.
	output      swid.Tokens
	prefix      []swid.PrefixHash
	fingerprint swid.Fingerprint
	poison      bool
	// abandonAt is the time at which the caller abandons the request, or 0 if the caller never does.
	abandonAt swclock.Millis
}

// counted reports whether the request counts for goodput. Poison and abandoned
// requests don't: no caller is waiting for their answers.
func (r *request) counted() bool { return !r.poison && r.abandonAt == 0 }

// relativeSpeed returns the ratio of an engine's decode rate to that of reference.
// Multiplying by it converts slot time on the engine to slot time on reference.
func (e *Engine) relativeSpeed(reference *Engine) float64 { return e.DecodeRate / reference.DecodeRate }

// slotTime returns the time in milliseconds that a request occupies a slot of an engine.
func (e *Engine) slotTime(uncached, output float64) float64 {
	return 1000 * (uncached/e.PrefillRate + output/e.DecodeRate)
}

// capacity returns the number of slots of all engines, each weighted by its engine's relative speed.
func (s *Scenario) capacity() float64 {
	var sum float64
	for i := range s.Engines {
		e := &s.Engines[i]
		sum += float64(e.Slots) * e.relativeSpeed(&s.Engines[0])
	}
	return sum
}

func (s *Scenario) longestDeadline() swclock.Millis {
	var longest swclock.Millis
	for i := range s.Classes {
		longest = max(longest, s.Classes[i].Deadline)
	}
	return longest
}

// workload generates the requests of a scenario in order of arrival.
func (s *Scenario) workload() []*request {
	var all []*request
	random := rand.New(rand.NewPCG(s.Seed, 1))
	for i := range s.Classes {
		all = s.drawArrivals(random, &s.Classes[i], all)
	}
	for _, at := range s.PoisonAt {
		for n := range poisonResends + 1 {
			r := s.drawRequest(random, &s.Classes[0], at+swclock.Millis(n)*poisonResendInterval)
			r.poison = true
			r.fingerprint = swid.Fingerprint(at)
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *request) int { return cmp.Compare(a.arrival, b.arrival) })
	for i, r := range all {
		r.seq = swid.Seq(i + 1)
		if !r.poison {
			r.fingerprint = swid.Fingerprint(1<<40 + i)
		}
	}
	return all
}

// drawArrivals appends the requests of a class to all. They arrive as a Poisson process,
// whose rate is multiplied by Class.Burst during the burst if that is above 1.
func (s *Scenario) drawArrivals(random *rand.Rand, class *Class, all []*request) []*request {
	mean := s.Engines[0].slotTime(float64(class.Prompt-class.Shared), float64(class.Output)*(1+minOutputShare)/2)
	rate := s.Load * class.Share * s.capacity() / mean
	peak := rate * max(class.Burst, 1)
	for at := 0.0; ; {
		at += random.ExpFloat64() / peak
		now := swclock.Millis(at)
		if now >= s.Span {
			return all
		}
		bursting := now >= s.BurstAt && now < s.BurstAt+s.BurstSpan
		if bursting || random.Float64()*peak < rate {
			all = append(all, s.drawRequest(random, class, now))
		}
	}
}

// drawRequest returns a random request. The unshared part of its prompt has 0.5 to 1.5 times the class's length.
func (s *Scenario) drawRequest(random *rand.Rand, class *Class, at swclock.Millis) *request {
	factor := 0.5 + random.Float64()
	r := &request{
		class: class, org: s.drawOrganisation(random), arrival: at, deadline: at + class.Deadline,
		prompt: class.Shared + swid.Tokens(float64(class.Prompt-class.Shared)*factor),
		limit:  class.Output,
	}
	r.output = max(swid.Tokens(float64(r.limit)*(minOutputShare+(1-minOutputShare)*random.Float64())), 1)
	r.prefix = blockHashes(class.Name+strconv.Itoa(r.org), random.Uint64(), class.Shared, r.prompt)
	if random.Float64() < s.AbandonShare {
		r.abandonAt = at + swclock.Millis(random.Float64()*float64(class.Deadline)/4) + 1
	}
	return r
}

func (s *Scenario) drawOrganisation(random *rand.Rand) int {
	var sum float64
	for _, w := range s.Organisations {
		sum += w
	}
	at := random.Float64() * sum
	for i, w := range s.Organisations {
		at -= w
		if at < 0 {
			return i
		}
	}
	return len(s.Organisations) - 1
}

// blockHashes returns the hashes of a prompt's prefixes at each block. Those within the
// shared part depend on name only, the others also on unique.
func blockHashes(name string, unique uint64, shared, prompt swid.Tokens) []swid.PrefixHash {
	total := int(prompt / swcell.PrefixBlock)
	hashes := make([]swid.PrefixHash, 0, total)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name) // never fails
	for i := range total {
		var block [16]byte
		binary.LittleEndian.PutUint64(block[:], uint64(i))
		if i >= int(shared/swcell.PrefixBlock) {
			binary.LittleEndian.PutUint64(block[8:], unique)
		}
		_, _ = d.Write(block[:]) // never fails
		hashes = append(hashes, swid.PrefixHash(d.Sum64()))
	}
	return hashes
}

func ceilMillis(span float64) swclock.Millis { return max(swclock.Millis(math.Ceil(span)), 1) }
