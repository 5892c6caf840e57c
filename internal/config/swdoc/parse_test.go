package swdoc

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
)

var hash = strings.Repeat("1", 64)

var valid = `name: Test
regions:
  - id: lisbon
    zones: [a, b]
tiers:
  - {name: urgent, deadline: 2s}
  - {name: batch, deadline: 10m}
organisations:
  - id: agency
    class: large
    weight: 2.5
    keyHashes: [` + hash + `]
    highestTier: batch
generations:
  - {id: g1, prefillTokensPerSecond: 4000, decodeTokensPerSecond: 40}
services:
  - {id: org/letters:7b, kind: model, outputTokens: 500}
  - id: cases
    kind: plain
    serviceTime: 30ms
    routes:
      - {method: GET, path: /cases/:id, idempotent: true}
      - {method: POST, path: /cases, idempotent: false}
targets:
  - {id: e1, service: org/letters:7b, zone: a, generation: g1, url: "http://127.0.0.1:9101", slots: 8, kvTokens: 60000, fencing: honoured}
  - {id: p1, service: cases, zone: b, url: "http://127.0.0.1:9201", slots: 16}
`

func TestParse(t *testing.T) {
	d, err := Parse("env.yaml", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	o := d.Organisations[0]
	if o.HighestTier != 1 || o.Weight != 2.5 || o.KeyHashes[0] != hash {
		t.Errorf("organisation: %+v", o)
	}
	e := d.Targets[0]
	if e.Service != "org/letters:7b" || e.Slots != 8 || e.Fencing != FencingHonoured || d.Targets[1].Fencing != FencingIgnored {
		t.Errorf("targets: %+v", d.Targets)
	}
	if d.Services[1].Kind != KindPlain || !d.Services[1].Routes[0].Idempotent || d.Services[1].Routes[1].Idempotent {
		t.Errorf("services: %+v", d.Services)
	}
}

func TestParseRefuses(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		line     int
		key      string
		text     string
	}{
		{"unknown service", "service: cases, zone", "service: case, zone", 26, "targets[1].service", "not defined"},
		{"unknown zone", "zone: a,", "zone: c,", 25, "targets[0].zone", "not defined"},
		{"unknown tier", "highestTier: batch", "highestTier: low", 13, "organisations[0].highestTier", "not defined"},
		{"unknown generation", "generation: g1", "generation: g2", 25, "targets[0].generation", "not defined"},
		{"engine without generation", "generation: g1, ", "", 25, "targets[0].generation", "missing"},
		{"plain service with generation", "id: p1", "id: p1, generation: g1", 26, "targets[1].generation", "has no generation"},
		{"target twice", "id: p1", "id: e1", 26, "targets[1].id", "occurs twice"},
		{"URL twice", "9201", "9101", 26, "targets[1].url", "occurs twice"},
		{"zone twice", "[a, b]", "[a, a]", 4, "regions[0].zones[1]", "occurs twice"},
		{"key hash in capitals", hash, strings.Repeat("A", 64), 12, "organisations[0].keyHashes[0]", "is not valid"},
		{"weight of zero", "2.5", "0", 11, "organisations[0].weight", "out of range"},
		{"weight that is no number", "2.5", ".nan", 11, "organisations[0].weight", "not a number"},
		{"no slots", "slots: 16", "slots: 0", 26, "targets[1].slots", "out of range"},
		{"conflicting routes", "POST, path: /cases,", "GET, path: /cases/all,", 23, "services[1].routes[1].path", "refused"},
		{"route not marked", ", idempotent: false", "", 23, "services[1].routes[1].idempotent", "missing"},
		{"routes of a model", "outputTokens: 500", "outputTokens: 500, serviceTime: 1s", 17, "services[0].serviceTime", "does not apply"},
		{"no tiers", "  - {name: urgent, deadline: 2s}\n  - {name: batch, deadline: 10m}", "  []", 5, "tiers", "empty"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("env.yaml", []byte(strings.Replace(valid, tt.old, tt.new, 1)))
			var list *swyaml.Error
			if !errors.As(err, &list) {
				t.Fatalf("got %v, want a *swyaml.Error", err)
			}
			for _, p := range list.Problems {
				if p.Line == tt.line && p.Key == tt.key && strings.Contains(p.Text, tt.text) {
					return
				}
			}
			t.Errorf("no problem at line %d, key %q, %q in:\n%v", tt.line, tt.key, tt.text, err)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("services:\n  - {id: a, kind: plain, routes: [{method: GET, path: '/*x/y'}]}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("fuzz.yaml", data)
		if (d == nil) == (err == nil) {
			t.Fatalf("document %v with error %v", d, err)
		}
		var list *swyaml.Error
		if err != nil && !errors.As(err, &list) {
			t.Fatalf("an untyped error: %v", err)
		}
	})
}

// manyOrganisations returns a document with n organisations.
func manyOrganisations(n int) []byte {
	head, tail, _ := strings.Cut(valid, "generations:")
	var b strings.Builder
	b.WriteString(head)
	for i := range n {
		fmt.Fprintf(&b, "  - {id: o%d, class: small, keyHashes: [%064x]}\n", i, i)
	}
	b.WriteString("generations:" + tail)
	return []byte(b.String())
}

func BenchmarkParse26000(b *testing.B) {
	data := manyOrganisations(26_000)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := Parse("env.yaml", data); err != nil {
			b.Fatal(err)
		}
	}
}
