package swscenario

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const example = `name: example
seed: 7
duration: 20s
hosts: ["http://127.0.0.1:1", "http://127.0.0.1:2"]
tiers: [high, low]
organisations:
  - {id: a, key: a-key, weight: 3}
  - {id: b, key: b-key}
flows:
  - name: letters
    tier: low
    organisation: b
    service: drafting
    perSecond: 50
    deadline: 5s
    bursts: [{at: 10s, for: 5s, factor: 4}]
    model: {promptTokens: 20, longPromptTokens: 2000, longShare: 0.2, prefixes: 3, prefixTokens: 200, marker: letter}
  - name: lookups
    tier: high
    organisation: a
    service: cases
    perSecond: 10
    plain: {method: POST, path: /plans, keyed: true}
faults:
  - {at: 9s, url: "http://127.0.0.1:4", kind: crash, duration: 1s}
  - {at: 3s, url: "http://127.0.0.1:3", kind: slow, factor: 2.5}
paired: {engine: "http://127.0.0.1:5", flow: letters}
`

func mustParse(t *testing.T, text string) *Scenario {
	t.Helper()
	s, err := Parse("example.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestParse(t *testing.T) {
	s := mustParse(t, example)
	if s.Flows[0].Tier != 1 || s.Flows[0].Organisation != 1 || s.Flows[1].Tier != 0 {
		t.Errorf("flows = %+v", s.Flows)
	}
	if s.Faults[0].Kind != "slow" || s.Faults[1].Duration != swclock.Second {
		t.Errorf("faults are not in order of time: %+v", s.Faults)
	}
}

func TestParseErrors(t *testing.T) {
	tests := []struct {
		name, old, new, want string
	}{
		{"unknown key", "seed: 7", "sead: 7", "example.yaml:2: sead: unknown key"},
		{"unknown tier", "tier: low", "tier: lowest", "example.yaml:11: flows[0].tier: "},
		{"model and plain", "plain: {method", "model: {}\n    plain: {method", "a flow is either"},
		{"bad URL", "http://127.0.0.1:4", "127.0.0.1:4", "faults[0].url"},
		{"pair of a plain flow", "flow: letters", "flow: lookups", "paired.flow"},
		{"no unit", "duration: 20s", "duration: 20", "example.yaml:3: duration"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("example.yaml", []byte(strings.Replace(example, test.old, test.new, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error = %v, want %q", err, test.want)
			}
		})
	}
}

// FuzzParse checks that no input causes a panic, that every error lists its problems,
// and that the flows of every accepted scenario are complete, with valid indexes.
func FuzzParse(f *testing.F) {
	f.Add(example)
	f.Add("name: x\nduration: 1s\nhosts: []\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("fuzz.yaml", []byte(text))
		var problems *swyaml.Error
		if err != nil {
			if !errors.As(err, &problems) || len(problems.Problems) == 0 {
				t.Errorf("error without problems: %v", err)
			}
			return
		}
		for i := range s.Flows {
			flow := &s.Flows[i]
			if (flow.Plain == nil) == (flow.Model == nil) || flow.Tier >= len(s.Tiers) || flow.Organisation >= len(s.Organisations) {
				t.Errorf("flow %d of an accepted scenario is incomplete: %+v", i, flow)
			}
		}
	})
}

func TestGenerateIsRepeatableAndOrdered(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := mustParse(t, example)
		s.Seed = rapid.Uint64().Draw(r, "seed")
		s.Requests = rapid.IntRange(1, 60).Draw(r, "requests")
		first, second := s.Generate(), s.Generate()
		if !reflect.DeepEqual(first, second) {
			r.Fatal("the same seed generated different requests")
		}
		prompts := make(map[string]struct{})
		for i, q := range first {
			if i > 0 && q.At < first[i-1].At || q.Number != i {
				r.Fatalf("request %d is out of order", i)
			}
			if s.Flows[q.Flow].Model == nil {
				continue
			}
			prompt := s.Prompt(q)
			if _, duplicate := prompts[prompt]; duplicate {
				r.Fatal("two requests have the same content")
			}
			prompts[prompt] = struct{}{}
		}
	})
}

func TestRates(t *testing.T) {
	s := mustParse(t, example)
	burst, calm, long := 0, 0, 0
	for _, r := range s.Generate() {
		switch {
		case r.Flow != 0:
			continue
		case r.At >= 10*swclock.Second && r.At < 15*swclock.Second:
			burst++
		default:
			calm++
		}
		if r.LongPrompt {
			long++
		}
	}
	// Expected: 200 per second for 5 s in the burst, 50 per second for 15 s outside it.
	// The tolerances of both are five standard deviations.
	if math.Abs(float64(burst-1000)) > 160 || math.Abs(float64(calm-750)) > 140 || long < 200 || long > 500 {
		t.Errorf("burst %d, calm %d, long %d", burst, calm, long)
	}
}

func TestVariantChangesContent(t *testing.T) {
	a := Request{nonce: 1}
	if b := a.Variant(3); b.nonce == a.nonce {
		t.Error("a variant has the same content")
	}
}
