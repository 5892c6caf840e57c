package swsettings

import (
	"errors"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

const valid = `host: entry-1
zone: lisbon-a
region: lisbon
caller:
  address: 127.0.0.1:8080
  tls: {off: true}
  maxBody: 2MiB
peer:
  address: 127.0.0.1:8081
  tls:
    certificateFile: peer.crt
    keyFile: peer.key
    authorityFile: authority.crt
  heartbeat: 250ms
operator:
  address: 127.0.0.1:8082
  tls: {off: true}
platform:
  url: http://127.0.0.1:9000
  tls: {off: true}
  environment: trial
`

func TestParse(t *testing.T) {
	s, err := Parse("host.yaml", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.Caller.MaxBodyBytes != 2<<20 || s.Peer.Heartbeat != 250 || s.Peer.TLS.KeyFile != "peer.key" {
		t.Errorf("values set in the file: %+v", s)
	}
	if s.ShutdownTimeout != 2*swclock.Minute || s.Log.Level != "info" || s.Caller.MaxHeld != 2048 {
		t.Errorf("defaults: %+v", s)
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
		{"unknown key", "  maxBody: 2MiB", "  maxBodies: 2MiB", 7, "caller.maxBodies", "unknown key"},
		{"duplicate key", "  maxBody: 2MiB", "  address: 127.0.0.1:1", 7, "caller.address", "the key occurs twice"},
		{"no unit", "2MiB", "2000000", 7, "caller.maxBody", "is not a size"},
		{"wrong unit", "250ms", "250ns", 14, "peer.heartbeat", "is not a span of time"},
		{"out of range", "250ms", "1ms", 14, "peer.heartbeat", "out of range"},
		{"no address", "  address: 127.0.0.1:8082\n", "", 15, "operator.address", "the key is missing"},
		{"name for an address", "127.0.0.1:8082", "localhost:8082", 16, "operator.address", "is not valid"},
		{"no port", "127.0.0.1:8082", "127.0.0.1", 16, "operator.address", "is not valid"},
		{"missing mapping", "platform:", "platforms:", 1, "platform", "the key is missing"},
		{"half of the key files", "    keyFile: peer.key\n", "", 10, "peer.tls", "files are missing"},
		{"scheme against tls", "http://127.0.0.1:9000", "https://127.0.0.1:9000", 19, "platform.url", "does not match tls"},
		{"wrong type", "zone: lisbon-a", "zone: [a]", 2, "zone", "not a string"},
		{"fleet with TLS", "  environment: trial\n", "  environment: trial\nfleet:\n  adapter: a\n  readiness: 127.0.0.1:1\n", 22, "fleet", "cannot be combined with TLS"},
		{"fleet without an adapter", "  environment: trial\n", "  environment: trial\nfleet:\n  readiness: 127.0.0.1:1\n", 22, "fleet.adapter", "the key is missing"},
		{"share of a roll-out over 1", "  environment: trial\n", "  environment: trial\nfleet:\n  rollout:\n    maxShare: 1.5\n", 24, "fleet.rollout.maxShare", "out of range"},
		{"negative slack of a roll-out", "  environment: trial\n", "  environment: trial\nfleet:\n  rollout:\n    slack: -1\n", 24, "fleet.rollout.slack", "out of range"},
		{"no time for a roll-back", "  environment: trial\n", "  environment: trial\nfleet:\n  rollout:\n    rollbackWithin: 0s\n", 24, "fleet.rollout.rollbackWithin", "out of range"},
		{"roll-outs without a share", "  environment: trial\n", "  environment: trial\nfleet:\n  rollout:\n    slack: 50\n", 23, "fleet.rollout.maxShare", "the key is missing"},
		{"syntax", "zone: lisbon-a", "zone: 'lisbon", 2, "", ""},
		{"alias", "host: entry-1", "host: *x", 1, "host", "not a string"},
		{"second document", "zone: lisbon-a", "---\nzone: lisbon-a", 3, "", "second document"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("host.yaml", []byte(strings.Replace(valid, tt.old, tt.new, 1)))
			var list *swyaml.Error
			if !errors.As(err, &list) {
				t.Fatalf("got %v, want a *swyaml.Error", err)
			}
			for _, p := range list.Problems {
				if p.File == "host.yaml" && p.Line == tt.line && p.Key == tt.key && strings.Contains(p.Text, tt.text) {
					return
				}
			}
			t.Errorf("no problem at line %d, key %q, %q in:\n%v", tt.line, tt.key, tt.text, err)
		})
	}
}

// TestParseListsAll checks that one problem does not keep others from being reported.
func TestParseListsAll(t *testing.T) {
	text := strings.NewReplacer("250ms", "5", "2MiB", "x", "trial", "a b").Replace(valid)
	_, err := Parse("host.yaml", []byte(text))
	want := `host.yaml:7: caller.maxBody: "x" is not a size (allowed: a size with a unit of B, KiB, MiB or GiB, from 1KiB to 64MiB)
host.yaml:14: peer.heartbeat: "5" is not a span of time (allowed: a span with a unit of ms, s, m or h, from 50ms to 10s)
host.yaml:21: platform.environment: "a b" is not valid (allowed: 1 to 64 letters, digits, '.', '_' or '-')`
	if err == nil || err.Error() != want {
		t.Errorf("got:\n%v\nwant:\n%s", err, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("host: {a: [1, 2]}\n? x\n: y\n"))
	f.Add([]byte("a: &x {<<: *x}\nb: !!binary abc\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.yaml", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
		var list *swyaml.Error
		if err != nil && (!errors.As(err, &list) || len(list.Problems) == 0) {
			t.Fatalf("an error without problems: %v", err)
		}
	})
}
