package swscenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swprompt"
)

// Request is one request of a scenario.
type Request struct {
	// Number is the request's index in the order of arrival.
	Number int
	// At is the time of arrival, counted from the start of the run.
	At swclock.Millis
	// Flow is an index into Scenario.Flows, Host an index into Scenario.Hosts.
	Flow int
	Host int
	// LongPrompt selects Model.LongPromptTokens as the prompt's length. Prefix is the
	// number of the shared prefix, from 0 to below Model.Prefixes.
	LongPrompt bool
	Prefix     int
	// nonce makes the content unique within the scenario.
	nonce uint64
}

// Generate returns the scenario's requests in order of arrival.
func (s *Scenario) Generate() []Request {
	var requests []Request
	for i := range s.Flows {
		requests = append(requests, s.drawArrivals(i)...)
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.At - b.At) })
	if s.Requests > 0 && len(requests) > s.Requests {
		requests = requests[:s.Requests]
	}
	for i := range requests {
		requests[i].Number = i
	}
	return requests
}

// drawArrivals draws the arrivals of one flow: a Poisson process at the flow's highest
// rate, thinned to the rate at each arrival.
func (s *Scenario) drawArrivals(flow int) []Request {
	f := &s.Flows[flow]
	random := rand.New(rand.NewPCG(s.Seed, uint64(flow)))
	highest := f.highestRate()
	var requests []Request
	for at := 0.0; ; {
		at += random.ExpFloat64() / highest * float64(swclock.Second)
		if at >= float64(s.Duration) || len(requests) >= maxRequests {
			return requests
		}
		r := Request{
			At:    swclock.Millis(at),
			Flow:  flow,
			Host:  random.IntN(len(s.Hosts)),
			nonce: random.Uint64(),
		}
		kept := random.Float64() < f.rateAt(r.At)/highest
		if f.Model != nil {
			r.LongPrompt = random.Float64() < f.Model.LongShare
			r.Prefix = random.IntN(max(1, f.Model.Prefixes))
		}
		if kept {
			requests = append(requests, r)
		}
	}
}

func (f *Flow) rateAt(at swclock.Millis) float64 {
	rate := f.Rate
	for _, b := range f.Bursts {
		if at >= b.At && at < b.At+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// highestRate returns an upper bound of the rate at any time.
func (f *Flow) highestRate() float64 {
	highest := f.Rate
	for _, b := range f.Bursts {
		highest *= max(1, b.Factor)
	}
	return highest
}

// Messages returns the messages of a request to a model: a system message with the
// shared prefix, if the flow has prefixes, and a user message.
func (s *Scenario) Messages(r Request) []swprompt.Message {
	f := &s.Flows[r.Flow]
	m := f.Model
	tokens := m.PromptTokens
	if r.LongPrompt {
		tokens = m.LongPromptTokens
	}
	nonce := r.nonce
	if m.SameContent {
		nonce = 0
	}
	opening := fmt.Sprintf("%s %s %016x", f.Name, m.Marker, nonce)
	prefixTokens := 0
	var messages []swprompt.Message
	if m.Prefixes > 0 && m.PrefixTokens > 0 {
		prefixTokens = min(m.PrefixTokens, tokens)
		prefix := s.randomText(uint64(r.Flow)<<32|uint64(r.Prefix), prefixTokens)
		messages = append(messages, swprompt.Message{Role: "system", Content: prefix})
	}
	content := opening + " " + s.randomText(nonce, tokens-prefixTokens-len(opening)/swprompt.BytesPerToken)
	return append(messages, swprompt.Message{Role: "user", Content: content})
}

// randomText returns text of about the given number of tokens. It depends only on the
// scenario's seed, the key and that number.
func (s *Scenario) randomText(key uint64, tokens int) string {
	random := rand.New(rand.NewPCG(s.Seed, key))
	var b strings.Builder
	for b.Len() < tokens*swprompt.BytesPerToken {
		fmt.Fprintf(&b, "%07x ", random.Uint32()>>4)
	}
	return b.String()
}

// Prompt returns the prompt of a request to a model, which determines the engine's answer.
func (s *Scenario) Prompt(r Request) string {
	messages := s.Messages(r)
	if s.Flows[r.Flow].Model.Chat {
		return swprompt.Render(messages)
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// Key returns the request's idempotency key, which is unique within a run of the load tool.
func (r Request) Key(runID string) string {
	return fmt.Sprintf("%s-%d-%016x", runID, r.Number, r.nonce)
}

// Variant returns a copy of r with different content for each n.
func (r Request) Variant(n int) Request {
	r.nonce += uint64(n) << 20
	return r
}
