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
	// minOutputShare is the least part of its limit that a request generates.
	minOutputShare = 0.6
	poisonResends  = 5
	poisonPause    = 3 * swclock.Second
)

// request is one request of the workload.
type request struct {
	class   *Class
	seq     swid.Seq
	org     int
	arrival swclock.Millis
	// deadline is an instant.
	deadline swclock.Millis
	prompt   swid.Tokens
	limit    swid.Tokens
	// output is what an engine generates, which no scheduler knows.
	output      swid.Tokens
	prefix      []swid.PrefixHash
	fingerprint swid.Fingerprint
	poison      bool
	// leaves is when its caller leaves, or 0.
	leaves swclock.Millis
}

// counted reports whether the request counts for goodput: nobody waits for the others.
func (r *request) counted() bool { return !r.poison && r.leaves == 0 }

// speed returns the slot time that an engine offers per time, relative to the first generation.
func (e *Engine) speed(reference *Engine) float64 { return e.DecodeRate / reference.DecodeRate }

// slotTime returns the time in milliseconds that a request holds a slot of an engine.
func (e *Engine) slotTime(uncached, output float64) float64 {
	return 1000 * (uncached/e.PrefillRate + output/e.DecodeRate)
}

// capacity returns the slots of all engines, those of the first generation counting 1.
func (s *Scenario) capacity() float64 {
	var sum float64
	for i := range s.Engines {
		e := &s.Engines[i]
		sum += float64(e.Slots) * e.speed(&s.Engines[0])
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

// workload draws the requests of a scenario in order of arrival.
func (s *Scenario) workload() []*request {
	var all []*request
	random := rand.New(rand.NewPCG(s.Seed, 1))
	for i := range s.Classes {
		all = s.arrivals(random, &s.Classes[i], all)
	}
	for _, at := range s.PoisonAt {
		for n := range poisonResends + 1 {
			r := s.draw(random, &s.Classes[0], at+swclock.Millis(n)*poisonPause)
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

// arrivals draws a class's requests as a Poisson process.
func (s *Scenario) arrivals(random *rand.Rand, class *Class, all []*request) []*request {
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
			all = append(all, s.draw(random, class, now))
		}
	}
}

// draw makes one request whose sizes vary by half round the class's.
func (s *Scenario) draw(random *rand.Rand, class *Class, at swclock.Millis) *request {
	vary := 0.5 + random.Float64()
	r := &request{
		class: class, org: s.organisation(random), arrival: at, deadline: at + class.Deadline,
		prompt: class.Shared + swid.Tokens(float64(class.Prompt-class.Shared)*vary),
		limit:  class.Output,
	}
	r.output = max(swid.Tokens(float64(r.limit)*(minOutputShare+(1-minOutputShare)*random.Float64())), 1)
	r.prefix = prefixes(class.Name+strconv.Itoa(r.org), random.Uint64(), class.Shared, r.prompt)
	if random.Float64() < s.LeaveShare {
		r.leaves = at + swclock.Millis(random.Float64()*float64(class.Deadline)/4) + 1
	}
	return r
}

func (s *Scenario) organisation(random *rand.Rand) int {
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

// prefixes makes block hashes of which those of the shared part are equal for equal names.
func prefixes(name string, own uint64, shared, prompt swid.Tokens) []swid.PrefixHash {
	total := int(prompt / swcell.PrefixBlock)
	hashes := make([]swid.PrefixHash, 0, total)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name) // never fails
	for i := range total {
		var block [16]byte
		binary.LittleEndian.PutUint64(block[:], uint64(i))
		if i >= int(shared/swcell.PrefixBlock) {
			binary.LittleEndian.PutUint64(block[8:], own)
		}
		_, _ = d.Write(block[:]) // never fails
		hashes = append(hashes, swid.PrefixHash(d.Sum64()))
	}
	return hashes
}

func ceilMillis(span float64) swclock.Millis { return max(swclock.Millis(math.Ceil(span)), 1) }
