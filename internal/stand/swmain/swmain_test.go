package swmain

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// waitTimeout bounds each wait in these tests.
const waitTimeout = 20 * time.Second

func TestWrongUse(t *testing.T) {
	tests := []struct {
		name     string
		args     []string
		settings string
		want     string
	}{
		{"no kind", nil, "", "kind of stand-in is missing"},
		{"unknown kind", []string{"database", "-address", "127.0.0.1:0"}, "", `unknown kind of stand-in "database"`},
		{"no address", []string{"engine"}, "", "-address"},
		{"unknown key", []string{"engine", "-address", "127.0.0.1:0"}, "slots: 4\nslotz: 5\n", "settings.yaml:2: slotz: unknown key"},
		{"wrong value", []string{"plain", "-address", "127.0.0.1:0"}, "serviceTime: 5\n", "settings.yaml:1: serviceTime: "},
		{"badness of an engine", []string{"engine", "-address", "127.0.0.1:0"}, "version: v2\nbadness: {kind: slow, share: 2}\n", "settings.yaml:2: badness.share: "},
		{"badness of a plain service", []string{"plain", "-address", "127.0.0.1:0"}, "badness: {share: 1}\n", "settings.yaml:1: badness.kind: the key is missing"},
		{"host without zone", []string{"platform", "-address", "127.0.0.1:0"}, "hosts:\n  - {id: a, region: r, address: 127.0.0.1:1}\n", "hosts[0].zone: the key is missing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			args := test.args
			if test.settings != "" {
				path := filepath.Join(t.TempDir(), "settings.yaml")
				if err := os.WriteFile(path, []byte(test.settings), 0o600); err != nil {
					t.Fatal(err)
				}
				args = append(args, "-settings", path)
			}
			var stderr strings.Builder
			if status := Run(t.Context(), args, &stderr); status != ExitUsage {
				t.Errorf("status %d, want %d", status, ExitUsage)
			}
			if !strings.Contains(stderr.String(), test.want) {
				t.Errorf("stderr = %s, want %q", stderr.String(), test.want)
			}
		})
	}
}

// readAddress returns the next listening address in the process's log.
func readAddress(t *testing.T, lines *bufio.Scanner) string {
	t.Helper()
	for lines.Scan() {
		var line struct{ Address string }
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			t.Fatalf("the log line is not JSON: %s", lines.Text())
		}
		if line.Address != "" {
			return line.Address
		}
	}
	t.Fatal("the log holds no further listening address")
	return ""
}

func TestCrashRefusesConnections(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	read, write := io.Pipe()
	var workers conc.WaitGroup
	defer workers.Wait()
	defer stop()
	status := -1
	workers.Go(func() {
		defer write.Close()
		status = Run(ctx, []string{"engine", "-address", "127.0.0.1:0", "-admin", "127.0.0.1:0"}, write)
	})
	lines := bufio.NewScanner(read)
	address, admin := readAddress(t, lines), readAddress(t, lines)
	workers.Go(func() { _, _ = io.Copy(io.Discard, read) })

	answers := func() bool {
		response, err := http.Get("http://" + address + "/load")
		if err == nil {
			response.Body.Close()
		}
		return err == nil
	}
	if !answers() {
		t.Fatal("the engine does not answer")
	}
	body := strings.NewReader(`{"kind":"crash"}`)
	response, err := http.Post("http://"+admin+"/admin/faults", "application/json", body)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	waitFor(t, "the crashed engine refuses connections", func() bool { return !answers() })
	request, err := http.NewRequest(http.MethodDelete, "http://"+admin+"/admin/faults", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err = http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	waitFor(t, "the restarted engine answers", answers)
	stop()
	workers.Wait()
	if status != ExitOK {
		t.Errorf("status %d", status)
	}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}
