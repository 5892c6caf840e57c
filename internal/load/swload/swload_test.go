package swload

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
)

// scenario sends model requests to an engine stand-in, whose URL replaces that of a host.
const scenario = `name: direct
duration: 1s
requests: 40
hosts: ["%[1]s"]
engines: ["%[1]s"]
tiers: [high, low]
organisations: [{id: a, key: a-key}, {id: b, key: b-key, weight: 2}]
flows:
  - {name: chats, tier: high, organisation: a, service: m, perSecond: 40, model: {maxTokens: 8}}
  - {name: wholes, tier: low, organisation: b, service: m, perSecond: 40, model: {maxTokens: 8, stream: false, chat: false}}
paired: {engine: "%[1]s", flow: chats, count: 5, warmup: 1}
`

// startEngine starts an engine stand-in with the faults and returns the path of a
// scenario file that uses it.
func startEngine(t *testing.T, faults ...swfault.Fault) string {
	t.Helper()
	e := swengine.New(swengine.Config{TimeScale: 100, StepInterval: 1})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		e.Close()
		server.Close()
	})
	for _, f := range faults {
		if err := e.Faults().Add(f); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(t.TempDir(), "scenario.yaml")
	if err := os.WriteFile(path, fmt.Appendf(nil, scenario, server.URL), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestFaultsAreSeen checks that the tool distinguishes each kind of bad answer from
// a good one. The engine's errors carry no outcome, so a refused request counts as
// unknown here.
func TestFaultsAreSeen(t *testing.T) {
	tests := []struct {
		name   string
		faults []swfault.Fault
		status int
		want   string
	}{
		{"good", nil, ExitOK, ""},
		{"crossed", []swfault.Fault{{Kind: "crossAnswers", Count: 3}}, ExitViolation, "wrong: content"},
		{"truncated", []swfault.Fault{{Kind: "truncate", After: 2, Count: 3}}, ExitViolation, "truncated: short"},
		{"cut", []swfault.Fault{{Kind: "cutAfter", After: 2, Count: 3}}, ExitOK, "unknown: "},
		{"refused", []swfault.Fault{{Kind: "refuse", Count: 3}}, ExitOK, "unknown: refused"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := startEngine(t, test.faults...)
			directory := t.TempDir()
			jsonPath := filepath.Join(directory, "report.json")
			var stdout, stderr strings.Builder
			status := Run(t.Context(), []string{"-scenario", path, "-json", jsonPath, "-plots", directory}, &stdout, &stderr)
			if status != test.status || !strings.Contains(stdout.String(), test.want) {
				t.Errorf("status %d, want %d and %q\n%s%s", status, test.status, test.want, &stdout, &stderr)
			}
			if test.want == "" && strings.Contains(stdout.String(), "not answered") {
				t.Errorf("not every request was answered:\n%s", &stdout)
			}
			for _, name := range []string{"report.json", "firstToken.png", "goodput.png"} {
				if info, err := os.Stat(filepath.Join(directory, name)); err != nil || info.Size() == 0 {
					t.Errorf("%s was not written: %v", name, err)
				}
			}
		})
	}
}

func TestPaired(t *testing.T) {
	var stdout, stderr strings.Builder
	if status := Run(t.Context(), []string{"-scenario", startEngine(t), "-paired"}, &stdout, &stderr); status != ExitOK {
		t.Errorf("status %d\n%s", status, &stderr)
	}
	if !strings.Contains(stdout.String(), "5 pairs") {
		t.Errorf("stdout = %s", &stdout)
	}
}

func TestWrongUse(t *testing.T) {
	for _, args := range [][]string{nil, {"-scenario", "absent.yaml"}, {"-scenario", "x", "extra"}, {"-unknown"}} {
		var stdout, stderr strings.Builder
		if status := Run(t.Context(), args, &stdout, &stderr); status != ExitUsage {
			t.Errorf("%v: status %d, want %d", args, status, ExitUsage)
		}
	}
}
